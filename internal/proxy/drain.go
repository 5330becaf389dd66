package proxy

import "context"

// Keeper holds records of streams that other daemons handed over.
type Keeper interface {
	// Take gives up the record of a request to the caller, once.
	Take(account, requestID string) (*Inflight, bool)
}

// register installs the gate of a draining daemon on a request that is still
// being started.
func (p *Proxy) register(f *Inflight) error {
	p.mu.Lock()
	gate, onStart := p.gate, p.onStart
	p.mu.Unlock()
	if gate == nil {
		return nil
	}
	if err := onStart(f); err != nil {
		return err
	}
	f.setGate(gate)
	return nil
}

// BeginDrain refuses new requests from now on.
func (p *Proxy) BeginDrain() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.draining = true
}

// WaitIdle waits until no model request is running or ctx ends.
func (p *Proxy) WaitIdle(ctx context.Context) error {
	for _, f := range p.registry.running() {
		last := int64(0)
		for {
			progress, err := f.Next(ctx, last)
			if err != nil {
				return err
			}
			if progress.Done || progress.Moved != nil {
				break
			}
			last += int64(len(progress.Events))
		}
	}
	return nil
}

// takeOver continues a request that another daemon handed over. It returns nil if
// there is none.
func (p *Proxy) takeOver(caller Caller, id string) *Inflight {
	if p.keeper == nil {
		return nil
	}
	f, ok := p.keeper.Take(caller.Account, id)
	if !ok {
		return nil
	}
	p.metrics.handovers.Inc()
	return f
}
