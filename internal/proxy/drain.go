package proxy

import "context"

// recheckDraining checks again that the daemon accepts requests, after the
// request was added to the registry. Every request that passes is therefore in
// the result of Running after BeginDrain.
func (p *Proxy) recheckDraining() error { return p.refuseIfDraining() }

// BeginDrain makes the proxy refuse new requests.
func (p *Proxy) BeginDrain() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.draining = true
}

// Running returns the unfinished model requests.
func (p *Proxy) Running() []*Inflight { return p.registry.running() }

// WaitIdle waits until no model request is running on this daemon or ctx ends. It
// also waits for requests that are taken over from another daemon in the
// meantime.
func (p *Proxy) WaitIdle(ctx context.Context) error {
	for {
		f := firstNotMoved(p.registry.running())
		if f == nil {
			return nil
		}
		if err := f.wait(ctx); err != nil {
			return err
		}
	}
}

// firstNotMoved returns a request that was not moved to another daemon, or nil if
// there is none.
func firstNotMoved(running []*Inflight) *Inflight {
	for _, f := range running {
		if f.After(0).Moved == nil {
			return f
		}
	}
	return nil
}

// wait returns when the request is finished or moved.
func (f *Inflight) wait(ctx context.Context) error {
	lastID := int64(0)
	for {
		progress, err := f.Next(ctx, lastID)
		if err != nil {
			return err
		}
		if progress.Done || progress.Moved != nil {
			return nil
		}
		lastID += int64(len(progress.Events))
	}
}

// Copy calls open with the events emitted so far. If that succeeds, replicate is
// called with every later event before a reader sees it. No event is emitted
// between the two.
func (f *Inflight) Copy(open func(events []Event) error, replicate ReplicateFunc) error {
	f.emitMu.Lock()
	defer f.emitMu.Unlock()
	if err := open(f.After(0).Events); err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.replicate = replicate
	return nil
}

// Move stops the request on this daemon and sends its readers the addresses of
// the daemons on which it continues.
func (f *Inflight) Move(addresses []string) {
	f.mu.Lock()
	f.moved = addresses
	fireAll(f.machine, eventMove)
	f.notifyLocked()
	f.mu.Unlock()
	f.stop()
}
