package edge

import (
	"context"
	"fmt"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dogwoodrudder/dogwoodrudder/internal/bootclock"
	"github.com/dogwoodrudder/dogwoodrudder/internal/mirror"
	"github.com/dogwoodrudder/dogwoodrudder/internal/settings"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/crashguard"
	"github.com/dogwoodrudder/dogwoodrudder/platform"
	"github.com/dogwoodrudder/dogwoodrudder/test/knownred"
	standin "github.com/dogwoodrudder/dogwoodrudder/test/standin/platform"
)

// restoredFleet is a running fleet on a store that can be restored from an older copy.
type restoredFleet struct {
	testFleet
	store *standin.Store
}

// skipIfKnownRed skips a test in CI that is listed as known to fail.
func skipIfKnownRed(t *testing.T) {
	t.Helper()
	if entry := knownred.EntryInCI("../../"+knownred.File, t.Name()); entry != "" {
		t.Skip(entry)
	}
}

func configVersion(version int) []byte {
	return fmt.Appendf(nil, `{"configVer":%d,"routes":[],"services":[{"name":"s"}]}`, version)
}

func startRestoredFleet(t *testing.T, n int) *restoredFleet {
	t.Helper()
	f := &restoredFleet{testFleet: testFleet{cancel: map[*Daemon]context.CancelFunc{}}, store: standin.NewStore()}
	server := httptest.NewServer(f.store)
	t.Cleanup(server.CloseClientConnections)
	f.store.Put("op/config", configVersion(1))
	f.store.Put("servers/i1", instanceEntry("ready"))
	client := func(string) mirror.Poller { return platform.NewStore(strings.TrimPrefix(server.URL, "http://")) }
	f.daemons = newFleetOn(t, n, client, &f.stopped, func(s *settings.Edge) { s.Bounds.LeaveTime = 2 * time.Second })
	for _, d := range f.daemons {
		ctx, cancel := context.WithCancel(t.Context())
		f.cancel[d] = cancel
		d.runForTest(ctx)
	}
	NewWithT(t).Eventually(f.settled, 15*time.Second, 20*time.Millisecond).Should(BeTrue())
	return f
}

// settled reports whether all daemons know each other and there is a coordinator.
func (f *restoredFleet) settled() bool {
	for _, d := range f.daemons {
		if d.members.count() != len(f.daemons) {
			return false
		}
	}
	return f.coordinator() != nil
}

// restore brings the store back from a copy after an outage of half a second.
func (f *restoredFleet) restore(from *standin.Snapshot) {
	f.store.SetFaults(standin.Faults{Down: true})
	time.Sleep(500 * time.Millisecond)
	f.store.Restore(from)
	f.store.SetFaults(standin.Faults{})
}

// versions returns the versions of the configuration that are in force.
func (f *restoredFleet) versions() map[int64]int {
	versions := map[int64]int{}
	for _, d := range f.daemons {
		versions[d.state.Table().Version]++
	}
	return versions
}

// tokenLog records the fencing tokens under which each daemon holds the duty.
type tokenLog struct {
	mu      sync.Mutex
	holders map[int64]string // by token
	highest int64
	faults  []string
}

// watch records tokens until ctx ends.
func (l *tokenLog) watch(ctx context.Context, daemons []*Daemon) {
	for ctx.Err() == nil {
		for _, d := range daemons {
			if token := d.holder.Token(); token != 0 {
				l.add(token, d.settings.Name)
			}
		}
		time.Sleep(2 * time.Millisecond)
	}
}

func (l *tokenLog) add(token int64, holder string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.holders == nil {
		l.holders = map[int64]string{}
	}
	earlier, known := l.holders[token]
	switch {
	case known && earlier != holder:
		l.faults = append(l.faults, fmt.Sprintf("%s and %s hold token %d", earlier, holder, token))
	case !known && token <= l.highest:
		l.faults = append(l.faults, fmt.Sprintf("%s holds token %d after %d", holder, token, l.highest))
	}
	l.holders[token] = holder
	l.highest = max(l.highest, token)
}

func (l *tokenLog) result() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults
}

// The store is copied while the duty is vacant, and restored after it was acquired. Guards
// against fencing tokens that are given out twice: two daemons reported usage under one
// token.
func TestFencingTokensRiseAcrossARestore(t *testing.T) {
	skipIfKnownRed(t)
	g := NewWithT(t)
	f := startRestoredFleet(t, 5)
	log := &tokenLog{}
	go log.watch(t.Context(), f.daemons)
	f.stop(f.coordinator())
	g.Eventually(func() []string { return f.store.Keys(dutyKey) }, 5*time.Second, time.Millisecond).Should(BeEmpty())
	snapshot := f.store.Snapshot()
	for version := range 20 {
		f.store.Put("op/config", configVersion(version+2))
	}
	g.Eventually(f.coordinator, 10*time.Second, 10*time.Millisecond).ShouldNot(BeNil())
	f.restore(snapshot)
	f.store.Put("op/config", configVersion(21))
	const withoutHolder = 8 * time.Second // more than two lease times
	g.Eventually(func() []byte { return f.store.Value(dutyKey) }, withoutHolder, 10*time.Millisecond).ShouldNot(BeNil(), "nobody holds the duty")
	g.Eventually(f.coordinator, time.Second, 10*time.Millisecond).ShouldNot(BeNil())
	g.Expect(log.result()).To(BeEmpty())
}

// The operator writes the lost versions again after a restore, then a new one. Guards
// against daemons that compare its revision with those before the restore: they kept the
// older version, and new routes were not served.
func TestConfigurationIsFollowedAfterARestore(t *testing.T) {
	skipIfKnownRed(t)
	g := NewWithT(t)
	f := startRestoredFleet(t, 5)
	snapshot := f.store.Snapshot()
	for version := range 20 {
		f.store.Put("op/config", configVersion(version+2))
		f.store.Put("servers/i2", instanceEntry("ready"))
	}
	g.Eventually(f.versions, 3*time.Second, 10*time.Millisecond).Should(Equal(map[int64]int{21: 5}))
	f.restore(snapshot)
	time.Sleep(300 * time.Millisecond)
	g.Expect(f.versions()).To(Equal(map[int64]int{21: 5}), "an older version came back")
	f.store.Put("op/config", configVersion(21))
	f.store.Put("op/config", configVersion(22))
	const inForce = 2 * time.Second
	g.Eventually(f.versions, inForce, 10*time.Millisecond).Should(Equal(map[int64]int{22: 5}))
}

// The store is restored from a copy without the records of the coordinator. Guards against
// records that are not written again while nothing changes: after a loss of power, daemons
// sent requests with a known dangerous part again.
func TestRecordsAreWrittenAgainAfterARestore(t *testing.T) {
	g := NewWithT(t)
	f := startRestoredFleet(t, 3)
	for _, d := range f.daemons {
		go func() { _ = d.keepCrashes(t.Context()) }()   // ends with the context
		go func() { _ = d.keepFleetSize(t.Context()) }() // ends with the context
	}
	snapshot := f.store.Snapshot()
	for i, d := range f.daemons {
		now := bootclock.Now()
		d.crashGuard.Crashed(uint64(i), now, []crashguard.Request{{Service: "s", Account: fmt.Sprint(i), Parts: []string{"deadly"}, Sent: now}})
	}
	recorded := func() bool {
		record, err := decodeCrashRecord(f.store.Value(crashesKey))
		return err == nil && len(record.Parts) == 1 && len(record.Parts[0].Crashes) == 3 && string(f.store.Value(fleetSizeKey)) == "3"
	}
	g.Eventually(recorded, 5*time.Second, 10*time.Millisecond).Should(BeTrue())
	f.restore(snapshot)
	g.Expect(recorded()).To(BeFalse())
	g.Eventually(recorded, 10*time.Second, 10*time.Millisecond).Should(BeTrue())
}
