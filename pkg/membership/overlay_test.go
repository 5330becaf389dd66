package membership_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/dogwoodrudder/dogwoodrudder/pkg/membership"
)

func overlayMembers(n, dataCentres int) []membership.Member {
	var members []membership.Member
	for i := range n {
		members = append(members, membership.Member{
			DaemonID: fmt.Sprintf("id%d", i), Name: fmt.Sprint(i), State: membership.Alive,
			HTTPAddress: fmt.Sprintf("h%d", i), DataCentre: fmt.Sprintf("dc%02d", i%dataCentres),
			Region: fmt.Sprintf("r%d", i%dataCentres/3),
		})
	}
	return members
}

// Guards against daemons that select different relays, and against relays that
// are all the same few members.
func TestRelaysAndWatchers(t *testing.T) {
	members := overlayMembers(420, 20)
	a, b := membership.NewOverlay("id1", members), membership.NewOverlay("id2", members)
	used := make(map[string]bool)
	for key := range 100 {
		relays := a.Relays(fmt.Sprint(key))
		if len(relays) != 40 || !slices.Equal(relays, b.Relays(fmt.Sprint(key))) {
			t.Fatalf("%d relays, or the daemons disagree", len(relays))
		}
		for _, r := range relays {
			used[r.DaemonID] = true
		}
	}
	if len(used) < 400 {
		t.Errorf("only %d of 420 members relayed 100 items", len(used))
	}
	watchers := 0
	for _, m := range members {
		if a.WatchesStore(m.DaemonID) {
			watchers++
		}
	}
	if watchers != 40 {
		t.Errorf("%d members watch the store", watchers)
	}
	if n := len(a.Neighbours()); n != 20 {
		t.Errorf("%d neighbours", n)
	}
}

// Guards against a change of one member that changes the selection of others.
func TestRemovedMemberIsReplacedAlone(t *testing.T) {
	members := overlayMembers(30, 3)
	before := membership.NewOverlay("id0", members).Evaluators("move", 3)
	gone := before[1].DaemonID
	members = slices.DeleteFunc(members, func(m membership.Member) bool { return m.DaemonID == gone })
	after := membership.NewOverlay("id0", members).Evaluators("move", 3)
	if after[0] != before[0] || after[1] != before[2] {
		t.Errorf("evaluators %v became %v", before, after)
	}
}

// Guards against address answers that list members that should get no callers, or
// list them in the wrong order.
func TestCallerAddresses(t *testing.T) {
	members := overlayMembers(12, 6)
	members[0].Overloaded = true          // dc00
	members[1].State = membership.Suspect // dc01
	members[2].State = membership.Leaving // dc02
	members[3].State = membership.Dead    // dc03
	o := membership.NewOverlay("id5", members)
	addresses := o.CallerAddresses("dc00")
	if len(addresses) != 8 || addresses[0] != "h6" {
		t.Errorf("addresses %v", addresses)
	}
	region := []string{"h7", "h8"} // the rest of region r0
	if !slices.Contains(region, addresses[1]) || !slices.Contains(region, addresses[2]) {
		t.Errorf("the addresses of the region do not follow those of the data centre: %v", addresses)
	}
	for _, m := range o.PeersOutside("dc00", "request", 20) {
		if m.DataCentre == "dc00" || m.DaemonID == "id5" || m.State != membership.Alive {
			t.Errorf("peer %+v", m)
		}
	}
	for i := range members {
		members[i].Overloaded = true
	}
	if len(membership.NewOverlay("id5", members).CallerAddresses("dc00")) == 0 {
		t.Error("callers get no address while all members are overloaded")
	}
}
