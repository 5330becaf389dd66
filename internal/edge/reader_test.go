package edge

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	coordinatorv1 "github.com/dogwoodrudder/dogwoodrudder/api/coordinator/v1"
	"github.com/dogwoodrudder/dogwoodrudder/internal/bootclock"
	"github.com/dogwoodrudder/dogwoodrudder/internal/mirror"
	"github.com/dogwoodrudder/dogwoodrudder/internal/store"
)

// announceFleet gives a daemon the announcements of a large fleet: in each of three
// data centres one large machine and nine small ones.
func announceFleet(t *testing.T, d *Daemon) {
	t.Helper()
	d.settings.Bounds.LeaveTime = 4 * time.Second
	for i := range 30 {
		m := member{
			Name: fmt.Sprintf("d%02d", i), DataCentre: string(rune('a' + i%3)), CPUShare: 0.2, LinkMbps: 20,
			Callers: fmt.Sprintf("10.0.0.%d:1", i+1), Coordinator: fmt.Sprintf("10.0.0.%d:2", i+1),
		}
		if i < 3 {
			m.CPUShare = 0.8
		}
		value, err := json.Marshal(m)
		if err != nil {
			t.Fatal(err)
		}
		if err := d.members.put(memberPrefix+m.Name, value); err != nil {
			t.Fatal(err)
		}
	}
}

func names(members []member) string {
	var list []string
	for _, m := range members {
		list = append(list, m.Name)
	}
	return strings.Join(list, " ")
}

// Guards against readers that differ between daemons of a data centre, so that more of
// them poll than needed, and against calling a reader again that did not answer.
func TestDaemonsOfADataCentreChooseTheSameReader(t *testing.T) {
	g := NewWithT(t)
	one, two := newTestDaemon("d06"), newTestDaemon("d09")
	for _, d := range []*Daemon{one, two} {
		announceFleet(t, d)
		d.members.self.CPUShare = 0.2
		g.Expect(d.usesReaders()).To(BeTrue())
		g.Expect(names(d.readers())).To(HavePrefix("d00 d01 d02 d03 "))
	}
	one.link.avoid("10.0.0.1:2", time.Minute)
	g.Expect(names(one.readers())).To(HavePrefix("d03 d01 d02 "))
	largest := newTestDaemon("d00")
	largest.members.self.CPUShare = 0.8
	announceFleet(t, largest)
	g.Expect(largest.readers()).To(BeEmpty(), "it polls the store itself")
}

// A small fleet has less time to learn of a leaving instance. Guards against the detour
// through a reader there.
func TestSmallFleetsPollTheStore(t *testing.T) {
	g := NewWithT(t)
	d := newTestDaemon("d06")
	announceFleet(t, d)
	d.settings.Bounds.LeaveTime = 2 * time.Second
	g.Expect(d.usesReaders()).To(BeFalse())
	d.settings.Bounds.LeaveTime = 4 * time.Second
	for i := range 20 {
		d.members.remove(fmt.Sprintf("%sd%02d", memberPrefix, i))
	}
	g.Expect(d.usesReaders()).To(BeFalse())
}

// Two daemons that follow each other would take each other's age for contact with the
// store. Guards against forwarding mirrors that neither a poll of the daemon itself nor
// the coordinator has confirmed.
func TestReaderNeedsContactOfItsOwn(t *testing.T) {
	g := NewWithT(t)
	d := newTestDaemon("reader")
	now := bootclock.Now()
	d.state.fleet.ApplyDelta(mirror.Delta{Cursor: mirror.Cursor{Index: 1, Revision: 9}}, now, now)
	d.state.operator.SetRelayedCurrent(now, now)
	_, err := d.follow(&coordinatorv1.FollowRequest{})
	g.Expect(status.Code(err)).To(Equal(codes.Unavailable))
	g.Expect(d.state.operator.PollRequired()).To(BeTrue(), "it polls for its followers from now on")
	g.Expect(d.state.fleet.PollRequired()).To(BeTrue())
	d.coordinatorRelay.Store(int64(bootclock.Now()))
	response, err := d.follow(&coordinatorv1.FollowRequest{})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(response.Fleet.Cursor.Revision).To(Equal(int64(9)))
}

// 295 daemons that read each configuration from the store make as many calls. Guards
// against that, and against sending a configuration of 1,400 routes uncompressed over
// links of 10 Mbit/s.
func TestConfigurationIsForwardedCompressed(t *testing.T) {
	g := NewWithT(t)
	leader, follower := newTestDaemon("leader"), newTestDaemon("follower")
	var config bytes.Buffer
	config.WriteString(`{"configVer":7,"routes":[`)
	for i := range 1400 {
		if i > 0 {
			config.WriteString(",")
		}
		fmt.Fprintf(&config, `{"name":"route%d","host":"h.example","pathPrefix":"/p%d/","type":"idempotent","service":"s","attempts":2,"timeoutMs":800,"sloMs":150}`, i, i)
	}
	config.WriteString(`],"services":[{"name":"s"}]}`)
	now := bootclock.Now()
	entries := []store.KeyValue{{Key: "op/config", Value: config.Bytes(), ModRevision: 5}}
	leader.state.operator.ApplyDelta(mirror.Delta{Cursor: mirror.Cursor{Index: 1, Revision: 9}, Entries: entries}, now, now)
	leader.state.fleet.ApplyDelta(mirror.Delta{Cursor: mirror.Cursor{Index: 1, Revision: 9}}, now, now)
	report := func() *coordinatorv1.ReportResponse {
		fleet, operator := follower.mirrorCursors()
		response := &coordinatorv1.ReportResponse{}
		leader.addMirrorDelta(&coordinatorv1.ReportRequest{Daemon: "follower/1", Fleet: fleet, Operator: operator}, response)
		follower.applyMirrorDelta(response, now)
		return response
	}
	first := report()
	g.Expect(len(first.Operator.Entries[0].DeflatedValue)).To(BeNumerically("<", config.Len()/8))
	g.Expect(follower.state.Table().Version).To(Equal(int64(7)))
	g.Expect(follower.state.operator.Relayed()).To(BeTrue(), "it does not poll the store")
	g.Expect(report().Operator.Entries).To(BeEmpty())
	first.Operator.Entries[0].DeflatedValue = []byte("odd")
	first.Operator.Entries[0].Revision = 10
	follower.applyMirrorDelta(first, now)
	g.Expect(follower.state.Table().Version).To(Equal(int64(7)))
	g.Expect(follower.state.operator.Relayed()).To(BeFalse(), "it reads the configuration itself")
}
