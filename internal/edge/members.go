package edge

import (
	"context"
	"encoding/json"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/dogwoodrudder/dogwoodrudder/internal/duty"
	"github.com/dogwoodrudder/dogwoodrudder/internal/store"
)

const (
	// memberPrefix holds one key for each daemon.
	memberPrefix = ownPrefix + "daemons/"
	// memberTTL is how long a dead daemon is listed.
	memberTTL = 5 * time.Second
	// memberRenew leaves room for two failed renewals.
	memberRenew = 1500 * time.Millisecond
	// memberRetry is the wait after the first failure; it doubles up to
	// memberRetryMost, since a store that turns machines away charges each call.
	memberRetry     = 300 * time.Millisecond
	memberRetryMost = 1200 * time.Millisecond
	// memberCall bounds a call to the store.
	memberCall = time.Second
)

// member is what a daemon announces of itself.
type member struct {
	Name        string `json:"name"`
	Incarnation int64  `json:"incarnation"`
	DataCentre  string `json:"data_centre"`
	Callers     string `json:"callers"`
	Coordinator string `json:"coordinator"`
	// CPUShare in cores and LinkMbps tell what the machine can carry.
	CPUShare float64 `json:"cpu_share"`
	LinkMbps float64 `json:"link_mbps"`
}

// members keeps this daemon's announcement and the list of all daemons.
type members struct {
	store store.Store
	log   *slog.Logger
	self  member

	mu     sync.Mutex
	others map[string]member // by key, this daemon included
	lease  store.LeaseID
	silent map[string]bool // by reportName
}

func newMembers(s store.Store, log *slog.Logger, self member) *members {
	return &members{store: s, log: log, self: self, others: map[string]member{}}
}

func (m *members) key() string { return memberPrefix + m.self.Name }

// put records another daemon's announcement.
func (m *members) put(key string, value []byte) error {
	var other member
	if err := json.Unmarshal(value, &other); err != nil {
		return errors.Wrap(err, "decode daemon entry")
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.others[key] = other
	return nil
}

func (m *members) remove(key string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.others, key)
}

// list returns all announced daemons but this one.
func (m *members) list() []member {
	m.mu.Lock()
	defer m.mu.Unlock()
	list := make([]member, 0, len(m.others))
	for key, other := range m.others {
		if key != m.key() {
			list = append(list, other)
		}
	}
	return list
}

// setSilent records which daemons stopped reporting to the coordinator.
func (m *members) setSilent(names []string) {
	silent := make(map[string]bool, len(names))
	for _, name := range names {
		silent[name] = true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.silent = silent
}

// reachable returns the announced daemons, this one excepted, that report to
// the coordinator; all of them if none does.
func (m *members) reachable() []member {
	all := m.list()
	m.mu.Lock()
	defer m.mu.Unlock()
	var reachable []member
	for _, other := range all {
		if !m.silent[reportName(other)] {
			reachable = append(reachable, other)
		}
	}
	if len(reachable) == 0 {
		return all
	}
	return reachable
}

// reportNames returns the names of all announced daemons in their reports.
func (m *members) reportNames() []string {
	names := []string{reportName(m.self)}
	for _, other := range m.list() {
		names = append(names, reportName(other))
	}
	return names
}

// count returns the number of daemons, this one included.
func (m *members) count() int { return len(m.list()) + 1 }

// run announces the daemon until ctx ends, and then withdraws it.
func (m *members) run(ctx context.Context) error {
	retry := memberRetry
	for ctx.Err() == nil {
		wait := memberRenew + rand.N(memberRenew/8)
		if err := m.keep(ctx); err != nil {
			m.log.Warn("daemon not announced", "error", err)
			wait = retry + rand.N(retry)/2
			retry = min(retry*2, memberRetryMost)
		} else {
			retry = memberRetry
		}
		duty.Sleep(ctx, wait)
	}
	return nil
}

// keep renews the announcement, or makes it if it has lapsed.
func (m *members) keep(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, memberCall)
	defer cancel()
	m.mu.Lock()
	id := m.lease
	_, listed := m.others[m.key()]
	m.mu.Unlock()
	if id != 0 && listed {
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
	// The name belongs to this machine alone, so that the write needs no condition.
	_, err = m.store.Txn(ctx, nil, []store.Op{{Key: m.key(), Value: value, Lease: id}})
	if err != nil {
		return err
	}
	m.mu.Lock()
	m.lease = id
	m.others[m.key()] = m.self
	m.mu.Unlock()
	return nil
}

// withdraw removes the announcement, so that callers are sent elsewhere.
func (m *members) withdraw(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, memberCall)
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
