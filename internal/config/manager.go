// Package config manages the configuration of a daemon. The configuration in
// force is the one that the daemon uses at the moment; each commit increases its
// revision by 1. Manager commits changes to the store, applies the changes of
// other daemons in order of their revisions, and fetches missing changes from a
// peer or from the store. The revision in force never decreases.
package config

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"

	peerv1 "github.com/dogwoodrudder/dogwoodrudder/api/peer/v1"
	"github.com/dogwoodrudder/dogwoodrudder/internal/audit"
	"github.com/dogwoodrudder/dogwoodrudder/internal/store"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/object"
)

// Broadcaster sends an item to all daemons. Broadcast must not block on slow
// peers.
type Broadcaster interface {
	Broadcast(ctx context.Context, item *peerv1.Item)
}

// Actor identifies who made a change.
type Actor struct {
	// Account is the name of the client account or, if a daemon made the change
	// by itself, of the duty.
	Account string
	// RemoteAddress is ip:port, empty if a daemon made the change by itself.
	RemoteAddress string
}

// Options are the dependencies of a Manager. Store is required.
type Options struct {
	Store       store.Store
	Clock       clockwork.Clock // real clock if nil
	Broadcaster Broadcaster     // may be nil
	Logger      *slog.Logger    // slog.Default if nil
	Refusals    *audit.Refusals // a new list if nil
	// Daemon is the name of this daemon in change records.
	Daemon string
	// ShouldWatch reports whether this daemon watches the store; nil means that
	// it does.
	ShouldWatch func() bool
	// FetchPeer chooses a peer for RunFetch, preferably one with a higher revision.
	FetchPeer func(context.Context) (peerv1.PeerClient, error)
	// Verdicts returns the verdicts on moves that Fetch sends along; may be nil.
	Verdicts func() []*peerv1.Verdict
	// OnVerdicts is called with the verdicts that FetchFrom receives; may be nil.
	OnVerdicts func([]*peerv1.Verdict)
	// NewID generates change IDs; random UUIDs if nil.
	NewID func() string
}

// Manager holds the configuration in force of one daemon. All methods are safe
// for concurrent use.
type Manager struct {
	opts    Options
	current atomic.Pointer[Snapshot]

	// commitSemaphore has a capacity of 1: commits of one daemon run one after
	// the other, so that they do not race with each other for the head key.
	commitSemaphore chan struct{}
	// fetchRequested wakes RunFetch.
	fetchRequested chan struct{}

	applyMu        sync.Mutex // guards the fields below and keeps the calls of subscribers in order
	subscribers    []func(*Snapshot)
	changeLog      changeLog
	pending        map[int64]*pendingChange
	wantedRevision int64 // highest revision that is known to exist and may not be in force here

	stateMu      sync.Mutex // guards the fields below
	store        StoreStatus
	modRevisions map[object.Ref]cachedModRevision
	unsettled    []*preparedCommit
}

// NewManager returns a manager without configuration, at revision 0.
func NewManager(opts Options) *Manager {
	if opts.Clock == nil {
		opts.Clock = clockwork.NewRealClock()
	}
	if opts.Logger == nil {
		opts.Logger = slog.Default()
	}
	if opts.Refusals == nil {
		opts.Refusals = audit.NewRefusals(opts.Logger)
	}
	if opts.ShouldWatch == nil {
		opts.ShouldWatch = func() bool { return true }
	}
	if opts.NewID == nil {
		opts.NewID = uuid.NewString
	}
	m := &Manager{
		opts:            opts,
		commitSemaphore: make(chan struct{}, 1),
		fetchRequested:  make(chan struct{}, 1),
		pending:         make(map[int64]*pendingChange),
		modRevisions:    make(map[object.Ref]cachedModRevision),
	}
	m.current.Store(NewSnapshot(object.NewSet(0), ""))
	return m
}

// Current returns the configuration in force. It never returns nil.
func (m *Manager) Current() *Snapshot { return m.current.Load() }

// Subscribe calls f with the current snapshot and then with every later one,
// in ascending order of revisions. Revisions can be skipped. f must return quickly and must
// not call Subscribe, Commit or HandleItem.
func (m *Manager) Subscribe(f func(*Snapshot)) {
	m.applyMu.Lock()
	defer m.applyMu.Unlock()
	m.subscribers = append(m.subscribers, f)
	f(m.Current())
}

// Refusals returns the list of changes that this daemon refused.
func (m *Manager) Refusals() *audit.Refusals { return m.opts.Refusals }

// StoreStatus describes the last replies of the store.
type StoreStatus struct {
	// LastContact is the time of the last reply of the store, zero if none.
	LastContact time.Time `json:"lastContact"`
	// Revision is the configuration revision that the store had at that time.
	Revision int64 `json:"revision"`
	// Stale means that the store's configuration is older than the one in force
	// or differs from it at the same revision. It is not applied.
	Stale bool `json:"stale"`
	// Detail gives the reason for Stale.
	Detail string `json:"detail,omitempty"`
}

// Status describes the configuration of this daemon.
type Status struct {
	Revision int64       `json:"revision"`
	ChangeID string      `json:"changeId,omitempty"`
	Objects  int         `json:"objects"`
	Store    StoreStatus `json:"store"`
	// UnknownOutcomes is the number of commits whose outcome is not settled yet.
	UnknownOutcomes int `json:"unknownOutcomes"`
	// WantedRevision is the highest revision that is known to exist on any daemon
	// or in the store.
	WantedRevision int64 `json:"wantedRevision"`
}

// Status returns the state of the configuration and of the store.
func (m *Manager) Status() Status {
	snapshot := m.Current()
	m.applyMu.Lock()
	wanted := m.wantedRevision
	m.applyMu.Unlock()
	m.stateMu.Lock()
	defer m.stateMu.Unlock()
	return Status{
		Revision:        snapshot.Revision,
		ChangeID:        snapshot.ChangeID,
		Objects:         snapshot.Set.Len(),
		Store:           m.store,
		UnknownOutcomes: len(m.unsettled),
		WantedRevision:  max(wanted, snapshot.Revision),
	}
}
