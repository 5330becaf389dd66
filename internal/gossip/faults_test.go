package gossip_test

import (
	"context"
	"testing"
	"time"

	peerv1 "github.com/dogwoodrudder/dogwoodrudder/api/peer/v1"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/membership"
)

// maxDetectionTime bounds the time from a member's failure until all members have
// declared it dead. The target is about 5 s; the rest allows for slow test machines.
const maxDetectionTime = 7 * time.Second

func notice(upstream string) *peerv1.Item {
	return &peerv1.Item{Kind: &peerv1.Item_UpstreamNotice{UpstreamNotice: &peerv1.UpstreamNotice{
		Upstream: upstream, Cause: "reclaim", ExpiresUnixMs: time.Now().Add(time.Minute).UnixMilli(),
	}}}
}

// Guards against a frozen member that stays in the list, that isn't told after it
// resumes that it was declared dead, or that then declares the others dead.
func TestFrozenMemberIsDeclaredDeadAndRejoins(t *testing.T) {
	daemons := fleet(t, newNetwork(), 7)
	frozen, others := daemons[6], daemons[:6]
	before := frozen.Self().Incarnation
	frozen.frozen.Lock()
	began := time.Now()
	eventually(t, maxDetectionTime, func() bool {
		for _, d := range others {
			if count(d, membership.Dead) != 1 || count(d, membership.Alive) != 6 {
				return false
			}
		}
		return true
	})
	t.Logf("all members declared the frozen one dead after %v", time.Since(began))
	frozen.frozen.Unlock()
	eventually(t, maxDetectionTime, func() bool { return agree(daemons, 7) && frozen.declaredDeadCount() > 0 })
	if after := frozen.Self().Incarnation; after <= before {
		t.Errorf("incarnation after the resume is %d, want more than %d", after, before)
	}
}

// Guards against two partitions that have declared each other dead and don't
// reconnect when the network is restored.
func TestPartitionedDataCentreRejoins(t *testing.T) {
	network := newNetwork()
	daemons := fleet(t, network, 7)
	var partitioned, rest []*daemon
	for i, d := range daemons {
		if i%3 == 1 {
			partitioned = append(partitioned, d)
			network.setSide("partitioned", d.address)
		} else {
			rest = append(rest, d)
		}
	}
	eventually(t, 2*maxDetectionTime, func() bool { return agree(partitioned, len(partitioned)) && agree(rest, len(rest)) })
	if err := rest[0].Broadcast(t.Context(), notice("u1")); err != nil {
		t.Errorf("broadcast while a data centre is partitioned: %v", err)
	}
	network.setSide("", partitioned[0].address, partitioned[1].address)
	eventually(t, 2*maxDetectionTime, func() bool { return agree(daemons, 7) })
	// The partitioned members missed the push and get the notice with probes.
	eventually(t, 2*maxDetectionTime, func() bool { return partitioned[0].received() == 1 && partitioned[1].received() == 1 })
}

// Guards against a restarted process that is mistaken for the earlier process at
// its address, and against the earlier process staying in the list.
func TestRestartAtSameAddressSupersedes(t *testing.T) {
	network := newNetwork()
	daemons := fleet(t, network, 7)
	old := daemons[3].Self().DaemonID
	daemons[3].stop()
	daemons[3] = start(t, network, "d3", "dc0", daemons[3].address, daemons[0].address)
	eventually(t, maxDetectionTime, func() bool {
		for _, d := range daemons {
			for _, m := range d.Members() {
				if m.DaemonID == old && !m.State.Gone() {
					return false
				}
			}
		}
		return agree(daemons, 7)
	})
}

// Guards against items that are lost because both relays of a data centre stopped
// answering shortly before the push.
func TestItemReachesAllWhenRelaysAreDead(t *testing.T) {
	daemons := fleet(t, newNetwork(), 9)
	item := notice("u2")
	const key = "notice u2  reclaim" // identity of the item
	relays := daemons[0].Overlay().RelayOrder("dc1", key)[:membership.RelaysPerDataCentre]
	dead := make(map[string]bool)
	for _, relay := range relays {
		dead[relay.DaemonID] = true
	}
	var live []*daemon
	for _, d := range daemons {
		if dead[d.Self().DaemonID] {
			d.frozen.Lock()
			t.Cleanup(d.frozen.Unlock)
			continue
		}
		live = append(live, d)
	}
	began := time.Now()
	if err := live[0].Broadcast(t.Context(), item); err != nil {
		t.Error(err)
	}
	eventually(t, 2*time.Second, func() bool {
		for _, d := range live[1:] {
			if d.received() != 1 {
				return false
			}
		}
		return true
	})
	t.Logf("all live members had the item after %v", time.Since(began))
}

// Guards against a leaving member that is still among the addresses for callers,
// and against a member that left being declared dead.
func TestLeave(t *testing.T) {
	daemons := fleet(t, newNetwork(), 7)
	leaving, others := daemons[2], daemons[:2]
	leaving.BeginLeave(t.Context())
	eventually(t, 2*time.Second, func() bool {
		return len(others[0].Overlay().CallerAddresses("dc0")) == 6 && count(others[1], membership.Leaving) == 1
	})
	leaving.Leave(t.Context())
	leaving.stop()
	eventually(t, 2*time.Second, func() bool {
		return count(others[0], membership.Left) == 1 && count(others[1], membership.Left) == 1
	})
}

// Guards against a daemon that isn't told that another one has a newer
// configuration, and against a configuration revision that decreases.
func TestNewerConfigIsReported(t *testing.T) {
	daemons := fleet(t, newNetwork(), 3)
	daemons[0].SetSelf(func(m *membership.Member) { m.ConfigRevision = 9 })
	daemons[0].SetSelf(func(m *membership.Member) { m.ConfigRevision = 4 })
	eventually(t, 3*time.Second, func() bool {
		daemons[1].mu.Lock()
		defer daemons[1].mu.Unlock()
		return len(daemons[1].newerRevisions) > 0 && daemons[1].newerRevisions[0] == 9
	})
}

// Guards against a Run that doesn't return after its context ends if the only
// seed can't be reached.
func TestRunStopsWithoutSeeds(t *testing.T) {
	d := start(t, newNetwork(), "alone", "dc0", "127.0.0.1:0", "127.0.0.1:1")
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	if err := d.Broadcast(ctx, notice("u3")); err != nil {
		t.Errorf("broadcast without other members: %v", err)
	}
	d.stop()
}
