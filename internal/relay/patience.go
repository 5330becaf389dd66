package relay

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// patienceShare is the part of the objective that an attempt may take for
	// the first byte of its answer while another attempt is allowed; the rest
	// is left for that other attempt.
	patienceShare = 0.6
	// leastPatience bounds it from below.
	leastPatience = 100 * time.Millisecond
	// patienceFactor bounds it from below as a multiple of the route's usual
	// latency, so that a fleet under load isn't loaded further.
	patienceFactor = 3
	// latencyGain smooths the usual latency.
	latencyGain = 0.02
)

var errSlow = errors.New("no answer within the usual time")

// patience ends an attempt whose answer doesn't begin in time.
type patience struct {
	timer  *time.Timer
	cancel context.CancelCauseFunc
}

// begun stops the clock: the answer has begun.
func (p *patience) begun() {
	if p != nil && p.timer != nil {
		p.timer.Stop()
	}
}

func (p *patience) stop() {
	p.begun()
	if p.cancel != nil {
		p.cancel(nil)
	}
}

// withPatience bounds an attempt of a request that may be sent to another
// instance. The retry budget is asked when the time has come, so that nothing
// is abandoned that can't be repeated.
func (q *request) withPatience(ctx context.Context) (context.Context, *patience) {
	if !q.route.Repeatable() || q.attempts+1 >= q.route.Attempts || q.route.Objective <= 0 {
		return ctx, &patience{}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	wait := max(time.Duration(patienceShare*float64(q.route.Objective)), leastPatience,
		patienceFactor*q.relay.latencies.usual(q.route.Name))
	p := &patience{cancel: cancel}
	p.timer = time.AfterFunc(wait, func() {
		if q.relay.options.Budget.Take(q.service.Name) {
			q.prepaid.Store(true)
			cancel(errSlow)
		}
	})
	return ctx, p
}

// latencies are the usual times to the first byte by route.
type latencies struct {
	mu      sync.Mutex
	byRoute map[string]time.Duration
}

func (l *latencies) observe(route string, latency time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.byRoute == nil {
		l.byRoute = map[string]time.Duration{}
	}
	old, known := l.byRoute[route]
	if !known {
		old = latency
	}
	l.byRoute[route] = old + time.Duration(latencyGain*float64(latency-old))
}

func (l *latencies) usual(route string) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.byRoute[route]
}
