package edge

import (
	"context"
	"encoding/json"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/dogwoodrudder/dogwoodrudder/internal/duty"
	"github.com/dogwoodrudder/dogwoodrudder/internal/store"
)

const (
	// memberPrefix is the prefix of the store keys that announce the daemons.
	memberPrefix = ownPrefix + "daemons/"
	// memberTTL is the lease TTL of an announcement: the time for which a daemon stays
	// announced that is dead or can't reach the store. With 15 s, callers went on using
	// daemons that were cut off from the store.
	memberTTL = 5 * time.Second
	// memberRenewInterval is the time between two renewals of the lease. Within
	// memberTTL two renewals may fail.
	memberRenewInterval = 1500 * time.Millisecond
	// minMemberRetry is the wait after the first failure. It doubles up to
	// maxMemberRetry, because a store that refuses machines charges for each call.
	minMemberRetry = 300 * time.Millisecond
	maxMemberRetry = 1200 * time.Millisecond
	// memberCallTimeout bounds the calls to the store for one renewal,
	// announcement or withdrawal.
	memberCallTimeout = time.Second
)

// member is a daemon's announcement of itself.
type member struct {
	Name        string `json:"name"`
	Incarnation int64  `json:"incarnation"`
	DataCentre  string `json:"data_centre"`
	Callers     string `json:"callers"`     // address for callers
	Coordinator string `json:"coordinator"` // address for other daemons
	// CPUShare in cores and LinkMbps in Mbit/s determine the capacity of the
	// daemon's machine.
	CPUShare float64 `json:"cpu_share"`
	LinkMbps float64 `json:"link_mbps"`
	// Tunnels is the address for other daemons that have lost their links to the
	// instances; empty if the daemon accepts no tunnels.
	Tunnels string `json:"tunnels,omitempty"`
}

// members maintains this daemon's announcement and the list of all daemons.
type members struct {
	store store.Store
	log   *slog.Logger
	self  member
	// unreachable returns the address of a daemon that is known not to answer, or "".
	unreachable func() string
	// changed is called after the list of daemons has changed.
	changed func()

	mu        sync.Mutex
	announced map[string]member // by key, this daemon included
	lease     store.LeaseID
	silent    map[string]bool // daemons that don't report to the coordinator, by reportID
	size      fleetSize
	// removed receives an item when this daemon's announcement disappears.
	removed chan struct{}
}

func newMembers(s store.Store, log *slog.Logger, self member) *members {
	return &members{store: s, log: log, self: self, unreachable: func() string { return "" }, changed: func() {}, announced: map[string]member{}, removed: make(chan struct{}, 1)}
}

func (m *members) key() string { return memberPrefix + m.self.Name }

// put records another daemon's announcement.
func (m *members) put(key string, value []byte) error {
	var other member
	if err := json.Unmarshal(value, &other); err != nil {
		return errors.Wrap(err, "decode daemon entry")
	}
	if err := other.check(key); err != nil {
		return err
	}
	m.mu.Lock()
	m.announced[key] = other
	m.mu.Unlock()
	m.changed()
	return nil
}

// maxMachineCapacity bounds CPUShare and LinkMbps in an announcement.
const maxMachineCapacity = 1e6

// check checks an announcement under key. Another writer may have left it.
func (m member) check(key string) error {
	if memberPrefix+m.Name != key {
		return errors.Errorf("daemon entry has name %.60q", m.Name)
	}
	for i, address := range []string{m.Callers, m.Coordinator, m.Tunnels} {
		if i == 2 && address == "" {
			continue
		}
		if parsed, err := netip.ParseAddrPort(address); err != nil || parsed.Port() == 0 {
			return errors.Errorf("daemon entry has address %.60q, want ip:port", address)
		}
	}
	for _, capacity := range []float64{m.CPUShare, m.LinkMbps} {
		if !(capacity >= 0 && capacity <= maxMachineCapacity) {
			return errors.Errorf("daemon entry has capacity %g, want 0 to %g", capacity, maxMachineCapacity)
		}
	}
	return nil
}

func (m *members) remove(key string) {
	m.mu.Lock()
	delete(m.announced, key)
	m.mu.Unlock()
	m.changed()
	if key == m.key() {
		select {
		case m.removed <- struct{}{}:
		default:
		}
	}
}

// others returns all announced daemons but this one.
func (m *members) others() []member {
	m.mu.Lock()
	defer m.mu.Unlock()
	others := make([]member, 0, len(m.announced))
	for key, other := range m.announced {
		if key != m.key() {
			others = append(others, other)
		}
	}
	return others
}

// setSilent records which daemons stopped reporting to the coordinator.
func (m *members) setSilent(ids []string) {
	silent := make(map[string]bool, len(ids))
	for _, id := range ids {
		silent[id] = true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.silent = silent
}

// reachable returns the announced daemons except this one that report to the
// coordinator, or all of them if none does. A coordinator that this daemon can't reach
// is not among them.
func (m *members) reachable() []member {
	unreachable := m.unreachable()
	all := slices.DeleteFunc(m.others(), func(other member) bool { return other.Coordinator == unreachable })
	m.mu.Lock()
	defer m.mu.Unlock()
	var reachable []member
	for _, other := range all {
		if !m.silent[reportID(other)] {
			reachable = append(reachable, other)
		}
	}
	if len(reachable) == 0 {
		return all
	}
	return reachable
}

// reportIDs returns the reportID of each announced daemon, this one included.
func (m *members) reportIDs() []string {
	ids := []string{reportID(m.self)}
	for _, other := range m.others() {
		ids = append(ids, reportID(other))
	}
	return ids
}

// count returns the number of daemons, this one included.
func (m *members) count() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	count := len(m.announced)
	if _, listed := m.announced[m.key()]; !listed {
		count++
	}
	return count
}

// limitCount returns the number of daemons among which limits of the fleet are divided:
// the largest that was known lately.
func (m *members) limitCount() int { return m.size.observe(m.count()) }

// run announces the daemon and renews the announcement until ctx is done.
func (m *members) run(ctx context.Context) error {
	retry := minMemberRetry
	for ctx.Err() == nil {
		wait := memberRenewInterval + rand.N(memberRenewInterval/8)
		if err := m.renew(ctx); err != nil {
			m.log.Warn("daemon not announced", "error", err)
			wait = retry + rand.N(retry)/2
			if m.isAnnounced() {
				wait = max(wait, memberRenewInterval/2) // the lease still lasts for several attempts
			}
			retry = min(retry*2, maxMemberRetry)
		} else {
			retry = minMemberRetry
		}
		m.sleep(ctx, wait)
	}
	return nil
}

// sleep waits for wait, or a random part of minMemberRetry after the announcement
// has disappeared: after an outage, those of all daemons may do so at once.
func (m *members) sleep(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-m.removed:
		duty.Sleep(ctx, rand.N(minMemberRetry))
	}
}

// isAnnounced reports whether the announcement was made and is still listed.
func (m *members) isAnnounced() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, listed := m.announced[m.key()]
	return m.lease != 0 && listed
}

// renew renews the announcement, or makes a new one if it has expired.
func (m *members) renew(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, memberCallTimeout)
	defer cancel()
	if m.isAnnounced() {
		m.mu.Lock()
		id := m.lease
		m.mu.Unlock()
		_, err := m.store.KeepAlive(ctx, id)
		if !errors.Is(err, store.ErrLeaseExpired) {
			return err
		}
	}
	return m.announce(ctx)
}

func (m *members) announce(ctx context.Context) error {
	id, err := m.store.Grant(ctx, memberTTL)
	if err != nil {
		return err
	}
	value, err := json.Marshal(m.self)
	if err != nil {
		return errors.Wrap(err, "encode daemon entry")
	}
	// No other machine uses this daemon's name, so the write needs no condition.
	_, err = m.store.Txn(ctx, nil, []store.Op{{Key: m.key(), Value: value, Lease: id}})
	if err != nil {
		return err
	}
	m.mu.Lock()
	m.lease = id
	m.announced[m.key()] = m.self
	m.mu.Unlock()
	return nil
}

// withdraw removes the announcement, so that callers use other daemons.
func (m *members) withdraw(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, memberCallTimeout)
	defer cancel()
	m.mu.Lock()
	id := m.lease
	m.mu.Unlock()
	if id == 0 {
		return
	}
	if err := m.store.Revoke(ctx, id); err != nil && !errors.Is(err, store.ErrLeaseExpired) {
		m.log.Warn("daemon not withdrawn", "error", err)
	}
}

// maxMemberLines is the number of changes in one list up to which each change of a daemon
// gets a log line.
const maxMemberLines = 32

// memberChanges logs the changes of daemons in one list.
type memberChanges struct {
	log             *slog.Logger
	lines           bool // each change gets a line
	announced, gone int
}

func (m *memberChanges) announce(key string) {
	m.announced++
	if m.lines {
		m.log.Info("daemon announced", "key", key)
	}
}

func (m *memberChanges) remove(key string) {
	m.gone++
	if m.lines {
		m.log.Info("daemon gone", "key", key)
	}
}

// finish logs the counts if the changes got no lines.
func (m *memberChanges) finish() {
	if !m.lines && m.announced+m.gone > 0 {
		m.log.Info("daemons changed", "announced", m.announced, "gone", m.gone)
	}
}
