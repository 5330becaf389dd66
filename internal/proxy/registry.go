package proxy

import (
	"sync"
	"time"
)

// registry holds the model requests of this daemon by account and ID, including
// finished ones that a reader may still resume.
type registry struct {
	mu       sync.Mutex
	requests map[registryKey]*Inflight
}

type registryKey struct{ account, id string }

func newRegistry() *registry {
	return &registry{requests: make(map[registryKey]*Inflight)}
}

// add stores f unless the account already has a request with its ID. It returns
// the stored request and whether it is f.
func (r *registry) add(f *Inflight) (*Inflight, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := registryKey{f.Account, f.ID}
	if existing, ok := r.requests[key]; ok {
		return existing, false
	}
	r.requests[key] = f
	return f, true
}

// get returns the request with the given account and ID, or nil.
func (r *registry) get(account, id string) *Inflight {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.requests[registryKey{account, id}]
}

// remove deletes f, unless another request is stored under its ID.
func (r *registry) remove(f *Inflight) {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := registryKey{f.Account, f.ID}
	if r.requests[key] == f {
		delete(r.requests, key)
	}
}

// list returns all requests.
func (r *registry) list() []*Inflight {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := make([]*Inflight, 0, len(r.requests))
	for _, f := range r.requests {
		all = append(all, f)
	}
	return all
}

// running returns the requests that are not finished.
func (r *registry) running() []*Inflight {
	var running []*Inflight
	for _, f := range r.list() {
		if !f.After(0).Done {
			running = append(running, f)
		}
	}
	return running
}

// sweep removes requests whose response was delivered before deliveredLimit and
// finished requests without a reader since abandonedLimit. It cancels unfinished
// requests without a reader since abandonedLimit.
func (r *registry) sweep(abandonedLimit, deliveredLimit time.Time) {
	for _, f := range r.list() {
		if f.deliveredBefore(deliveredLimit) {
			r.remove(f)
			continue
		}
		if !f.abandonedSince(abandonedLimit) {
			continue
		}
		if f.After(0).Done {
			r.remove(f)
			continue
		}
		f.stop()
	}
}
