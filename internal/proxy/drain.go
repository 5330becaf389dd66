package proxy

import "context"

// register checks again that the daemon accepts requests. A request that
// passes is seen by Running after BeginDrain.
func (p *Proxy) register() error { return p.refuseIfDraining() }

// BeginDrain refuses new requests from now on.
func (p *Proxy) BeginDrain() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.draining = true
}

// Running returns the unfinished model requests.
func (p *Proxy) Running() []*Inflight { return p.registry.running() }

// WaitIdle waits until no model request is running here or ctx ends. Requests
// that are taken over in the meantime count.
func (p *Proxy) WaitIdle(ctx context.Context) error {
	for {
		f := firstHere(p.registry.running())
		if f == nil {
			return nil
		}
		if err := f.wait(ctx); err != nil {
			return err
		}
	}
}

// firstHere returns a request that was not moved, nil if there is none.
func firstHere(running []*Inflight) *Inflight {
	for _, f := range running {
		if f.After(0).Moved == nil {
			return f
		}
	}
	return nil
}

// wait returns when the request is finished or moved.
func (f *Inflight) wait(ctx context.Context) error {
	last := int64(0)
	for {
		progress, err := f.Next(ctx, last)
		if err != nil {
			return err
		}
		if progress.Done || progress.Moved != nil {
			return nil
		}
		last += int64(len(progress.Events))
	}
}

// Copy passes the request and its events to open and, if that succeeds, lets
// every later event pass gate before a reader sees it. No event is emitted in
// between.
func (f *Inflight) Copy(open func(events []Event) error, gate Gate) error {
	f.emitMu.Lock()
	defer f.emitMu.Unlock()
	if err := open(f.After(0).Events); err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.gate = gate
	return nil
}

// Move stops the request here and tells readers the addresses at which it
// continues.
func (f *Inflight) Move(addresses []string) {
	f.mu.Lock()
	f.moved = addresses
	fireAll(f.machine, eventMove)
	f.notifyLocked()
	f.mu.Unlock()
	f.stop()
}
