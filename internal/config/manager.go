// Package config keeps the configuration in force on a daemon. Manager commits
// changes to the store, applies the changes of other daemons in order of their
// revisions, and brings a daemon that lags up to date from a peer or from the
// store. The revision in force never decreases.
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

// Broadcaster sends an item to every daemon. Broadcast must not block on slow
// peers.
type Broadcaster interface {
	Broadcast(ctx context.Context, item *peerv1.Item)
}

// Actor is the origin of a change.
type Actor struct {
	// Account is the name of the client account or, for the system, of the duty.
	Account string
	// RemoteAddress is ip:port, empty for the system.
	RemoteAddress string
}

// Options are the dependencies of a Manager. Store is required.
type Options struct {
	Store       store.Store
	Clock       clockwork.Clock // real clock if nil
	Broadcaster Broadcaster     // may be nil
	Logger      *slog.Logger    // slog.Default if nil
	Refusals    *audit.Refusals // a new list if nil
	// Daemon is the daemon's name for change records.
	Daemon string
	// Watches tells whether this daemon follows the store; nil means yes.
	Watches func() bool
	// FetchPeer chooses a peer for RunFetch, best one with a higher revision.
	FetchPeer func(context.Context) (peerv1.PeerClient, error)
	// Verdicts returns the verdicts that Fetch passes on; may be nil.
	Verdicts func() []*peerv1.Verdict
	// OnVerdicts receives the verdicts of FetchFrom; may be nil.
	OnVerdicts func([]*peerv1.Verdict)
	// NewID makes change IDs; random UUIDs if nil.
	NewID func() string
}

// Manager keeps the configuration in force. All methods are safe for
// concurrent use.
type Manager struct {
	opts    Options
	current atomic.Pointer[Snapshot]

	// committing holds one token, so that commits of one daemon do not race
	// with each other for the head key.
	committing chan struct{}
	gap        chan struct{}

	applyMu     sync.Mutex // guards the fields below and orders subscribers
	subscribers []func(*Snapshot)
	log         changeLog
	held        map[int64]*heldChange
	wanted      int64 // highest revision known to exist elsewhere

	stateMu  sync.Mutex // guards the fields below
	store    StoreStatus
	mods     map[object.Ref]knownMod
	unknowns []*draft
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
	if opts.Watches == nil {
		opts.Watches = func() bool { return true }
	}
	if opts.NewID == nil {
		opts.NewID = uuid.NewString
	}
	m := &Manager{
		opts:       opts,
		committing: make(chan struct{}, 1),
		gap:        make(chan struct{}, 1),
		held:       make(map[int64]*heldChange),
		mods:       make(map[object.Ref]knownMod),
	}
	m.current.Store(NewSnapshot(object.NewSet(0), ""))
	return m
}

// Current returns the configuration in force. It never returns nil.
func (m *Manager) Current() *Snapshot { return m.current.Load() }

// Subscribe calls f with the current snapshot and then with every later one,
// in revision order. Revisions can be skipped. f must return quickly and must
// not call Subscribe, Commit or HandleItem.
func (m *Manager) Subscribe(f func(*Snapshot)) {
	m.applyMu.Lock()
	defer m.applyMu.Unlock()
	m.subscribers = append(m.subscribers, f)
	f(m.Current())
}

// Refusals returns the refused changes of this daemon.
func (m *Manager) Refusals() *audit.Refusals { return m.opts.Refusals }

// StoreStatus describes the last contacts with the store.
type StoreStatus struct {
	// LastContact is the time of the last answer of the store, zero if none.
	LastContact time.Time `json:"lastContact"`
	// Revision is the configuration revision of the store's head at the time.
	Revision int64 `json:"revision"`
	// Stale means that the store holds older or different data than the
	// configuration in force and is not followed.
	Stale bool `json:"stale"`
	// Detail explains Stale.
	Detail string `json:"detail,omitempty"`
}

// Status describes the configuration of this daemon.
type Status struct {
	Revision int64       `json:"revision"`
	ChangeID string      `json:"changeId,omitempty"`
	Objects  int         `json:"objects"`
	Store    StoreStatus `json:"store"`
	// UnknownOutcomes counts commits whose outcome is not settled yet.
	UnknownOutcomes int `json:"unknownOutcomes"`
	// WantedRevision is the highest revision known to exist.
	WantedRevision int64 `json:"wantedRevision"`
}

// Status returns the state of the configuration and of the store.
func (m *Manager) Status() Status {
	snapshot := m.Current()
	m.applyMu.Lock()
	wanted := m.wanted
	m.applyMu.Unlock()
	m.stateMu.Lock()
	defer m.stateMu.Unlock()
	return Status{
		Revision:        snapshot.Revision,
		ChangeID:        snapshot.ChangeID,
		Objects:         snapshot.Set.Len(),
		Store:           m.store,
		UnknownOutcomes: len(m.unknowns),
		WantedRevision:  max(wanted, snapshot.Revision),
	}
}
