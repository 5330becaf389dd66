// Package platform is a stand-in of the users' platform: a key-value store and
// a cloud API with the wire protocol that package platform uses, with faults.
package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Faults of the store. The zero value is a healthy store.
type Faults struct {
	Down bool          // responds with status 503
	Mute bool          // doesn't respond
	Lose bool          // executes writes and closes the connection without a response
	Slow time.Duration // delays every response
	// SlowReply delays every response after the call was executed.
	SlowReply time.Duration
	// Late executes writes after this time; the connection is closed without a response.
	Late time.Duration
}

// item is a stored entry or, in the history, a change.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// lease is a time to live of the keys attached to it.
type lease struct {
	ttl     time.Duration
	expires time.Time
}

// Store is an in-memory key-value store.
type Store struct {
	mu        sync.Mutex
	era       int64         // rises at each restore
	changed   chan struct{} // closed and replaced at each change
	faults    Faults
	revision  int64
	compacted int64 // changes up to this revision are no longer in history
	items     map[string]item
	history   []item
	leases    map[int64]*lease
	nextLease int64
	calls     int
}

// firstLease makes lease IDs as large as a store may give out.
const firstLease = 1 << 62

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{
		changed: make(chan struct{}), era: 1, revision: 1, items: map[string]item{}, leases: map[int64]*lease{}, nextLease: firstLease,
	}
}

// SetFaults replaces the faults. Leases continue to expire during an outage.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Put writes a key as the operator or an instance does, and returns the revision.
func (s *Store) Put(key string, value []byte) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(key, value, 0)
	return s.revision
}

// Delete removes a key.
func (s *Store) Delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(key)
}

// Value returns the value of a key, nil if it doesn't exist.
func (s *Store) Value(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	return s.items[key].Value
}

// Keys returns the keys below prefix.
func (s *Store) Keys(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	return keys
}

// Compact discards the history, so that watches from older revisions fail.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.compacted = nil, s.revision
	s.notifyWatches()
}

// Snapshot is a copy of the store from which it can be restored.
type Snapshot struct {
	revision, nextLease int64
	items               map[string]item
	leases              map[int64]lease
}

// Snapshot returns a copy of the store.
func (s *Store) Snapshot() *Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := &Snapshot{revision: s.revision, nextLease: s.nextLease, items: maps.Clone(s.items), leases: map[int64]lease{}}
	for id, l := range s.leases {
		c.leases[id] = *l
	}
	return c
}

// Restore replaces the contents by those of a copy. Later revisions and leases are given out
// again. The leases of the copy last for their time to live from now on.
func (s *Store) Restore(from *Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.revision, s.nextLease, s.items = from.revision, from.nextLease, maps.Clone(from.items)
	s.history, s.compacted = nil, s.revision
	s.leases = map[int64]*lease{}
	for id, l := range from.leases {
		s.leases[id] = &lease{ttl: l.ttl, expires: time.Now().Add(l.ttl)}
	}
	s.notifyWatches()
}

// Revision returns the revision of the latest change.
func (s *Store) Revision() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// Calls returns the number of calls so far.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *Store) put(key string, value []byte, id int64) {
	s.revision++
	created := s.revision
	if old, ok := s.items[key]; ok {
		created = old.Created
	}
	entry := item{Key: key, Value: value, Revision: s.revision, Created: created, Lease: id}
	s.items[key] = entry
	s.history = append(s.history, entry)
	s.notifyWatches()
}

func (s *Store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.history = append(s.history, item{Key: key, Revision: s.revision, Deleted: true})
	s.notifyWatches()
}

// notifyWatches wakes the waiting watches.
func (s *Store) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire ends the leases whose time to live has passed.
func (s *Store) expire() {
	for id, l := range s.leases {
		if time.Now().After(l.expires) {
			s.endLease(id)
		}
	}
}

// endLease removes a lease and its keys.
func (s *Store) endLease(id int64) {
	delete(s.leases, id)
	for key, entry := range s.items {
		if entry.Lease == id {
			s.remove(key)
		}
	}
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls++
	faults := s.faults
	s.mu.Unlock()
	time.Sleep(faults.Slow)
	write := r.Method != http.MethodGet
	switch {
	case faults.Mute:
		<-r.Context().Done()
		return
	case faults.Down:
		s.mu.Lock()
		setEra(w, s.era)
		s.mu.Unlock()
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case write && faults.Late > 0:
		s.handleLate(r, faults.Late)
		panic(http.ErrAbortHandler)
	}
	status, body, era := s.handle(r)
	if faults.Lose && write {
		panic(http.ErrAbortHandler)
	}
	time.Sleep(faults.SlowReply)
	setEra(w, era)
	writeJSON(w, status, body)
}

// setEra sets the header that tells how often the store was restored.
func setEra(w http.ResponseWriter, era int64) {
	w.Header().Set("Store-Era", strconv.FormatInt(era, 10))
}

// handleLate executes a call after a delay.
func (s *Store) handleLate(r *http.Request, delay time.Duration) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	late := r.Clone(context.Background())
	late.Body = io.NopCloser(bytes.NewReader(body))
	time.AfterFunc(delay, func() { s.handle(late) })
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if body != nil {
		_ = json.NewEncoder(w).Encode(body) // the client may have disconnected
	}
}

// handle executes a call and returns the era in which it was executed.
func (s *Store) handle(r *http.Request) (status int, body any, era int64) {
	path, id := strings.TrimPrefix(r.URL.Path, "/api/"), int64(0)
	if name, number, ok := strings.Cut(path, "/"); ok {
		path = name
		id, _ = strconv.ParseInt(number, 10, 64) // an invalid number becomes 0, which no lease has
	}
	if path == "kv-watch" {
		return s.watch(r)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	status, body = s.execute(r, path, id)
	return status, body, s.era
}

// execute executes a call other than a watch. The caller holds the lock.
func (s *Store) execute(r *http.Request, path string, id int64) (int, any) {
	switch path {
	case "kv-key":
		return s.get(r.URL.Query().Get("key"))
	case "kv-range":
		return s.list(r.URL.Query().Get("pathPrefix"), r.URL.Query().Get("after"))
	case "kv-txn":
		return s.txn(r)
	case "kv-lease":
		return s.grant(r)
	case "kv-keep":
		l := s.leases[id]
		if l == nil {
			return http.StatusNotFound, nil
		}
		l.expires = time.Now().Add(l.ttl)
		return http.StatusOK, map[string]int64{"ttlMs": l.ttl.Milliseconds()}
	case "kv-lease-end":
		if s.leases[id] == nil {
			return http.StatusNotFound, nil
		}
		s.endLease(id)
		return http.StatusOK, nil
	}
	return http.StatusNotFound, nil
}

func (s *Store) get(key string) (int, any) {
	entry, ok := s.items[key]
	if !ok {
		return http.StatusNotFound, map[string]int64{"storeRevision": s.revision}
	}
	return http.StatusOK, struct {
		item
		StoreRevision int64 `json:"storeRevision"`
	}{entry, s.revision}
}

// pageSize is the number of items in a page, small so that tests list several
// pages.
const pageSize = 20

func (s *Store) list(prefix, after string) (int, any) {
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	more := len(keys) > pageSize
	items := []item{}
	for _, key := range keys[:min(len(keys), pageSize)] {
		items = append(items, s.items[key])
	}
	return http.StatusOK, map[string]any{"items": items, "hasMore": more, "storeRevision": s.revision}
}

func (s *Store) grant(r *http.Request) (int, any) {
	var body struct {
		TTL int64 `json:"ttlMs"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		return http.StatusBadRequest, nil
	}
	s.nextLease++
	ttl := time.Duration(body.TTL) * time.Millisecond
	s.leases[s.nextLease] = &lease{ttl: ttl, expires: time.Now().Add(ttl)}
	return http.StatusOK, map[string]int64{"lease": s.nextLease, "ttlMs": body.TTL}
}

func (s *Store) txn(r *http.Request) (int, any) {
	var body struct {
		Conditions []struct {
			Key      string `json:"key"`
			Revision int64  `json:"revision"`
		} `json:"expectRev"`
		Puts    []item   `json:"puts"`
		Deletes []string `json:"delete"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		return http.StatusBadRequest, nil
	}
	current, conditionsMet := []item{}, true
	for _, c := range body.Conditions {
		entry, ok := s.items[c.Key]
		conditionsMet = conditionsMet && entry.Revision == c.Revision
		if ok {
			current = append(current, entry)
		}
	}
	if !conditionsMet {
		return http.StatusPreconditionFailed, map[string]any{"items": current}
	}
	for _, put := range body.Puts {
		if put.Lease != 0 && s.leases[put.Lease] == nil {
			return http.StatusNotFound, nil
		}
	}
	for _, put := range body.Puts {
		s.put(put.Key, put.Value, put.Lease)
	}
	for _, key := range body.Deletes {
		s.remove(key)
	}
	return http.StatusOK, map[string]int64{"revision": s.revision}
}

// expiryCheckInterval is the interval at which a watch checks for expired leases.
const expiryCheckInterval = 50 * time.Millisecond

func (s *Store) watch(r *http.Request) (status int, body any, era int64) {
	query := r.URL.Query()
	after, errAfter := strconv.ParseInt(query.Get("after"), 10, 64)
	wait, errWait := strconv.ParseInt(query.Get("waitMs"), 10, 64)
	if errAfter != nil || errWait != nil {
		return http.StatusBadRequest, nil, 0
	}
	deadline := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer deadline.Stop()
	tick := time.NewTicker(expiryCheckInterval)
	defer tick.Stop()
	for timedOut := false; ; {
		s.mu.Lock()
		s.expire()
		events, revision, compacted, changed := s.since(query.Get("pathPrefix"), after)
		era = s.era
		s.mu.Unlock()
		switch {
		case compacted:
			return http.StatusGone, nil, era
		case len(events) > 0 || timedOut:
			return http.StatusOK, map[string]any{"events": events, "storeRevision": revision}, era
		}
		select {
		case <-r.Context().Done():
			return http.StatusServiceUnavailable, nil, era
		case <-deadline.C:
			timedOut = true
		case <-changed:
		case <-tick.C:
		}
	}
}

// since returns the changes below prefix after a revision, and a channel that is
// closed at the next change. compacted means that the history no longer has them.
func (s *Store) since(prefix string, after int64) (events []item, revision int64, compacted bool, changed chan struct{}) {
	events = []item{}
	if after < s.compacted || after > s.revision {
		return nil, 0, true, nil
	}
	for _, change := range s.history {
		if change.Revision > after && strings.HasPrefix(change.Key, prefix) {
			events = append(events, change)
		}
	}
	return events, s.revision, false, s.changed
}
