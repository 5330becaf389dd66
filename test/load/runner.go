package main

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/dogwoodrudder/dogwoodrudder/internal/apiclient"
)

// runner sends the requests and events of a scenario and collects the results.
type runner struct {
	scenario *Scenario
	callers  [][]*caller   // by account
	stats    []*classStats // by class
	orders   orderLog
	before   counts
	after    counts
	inFlight chan struct{}
	requests sync.WaitGroup
	eventErr error
}

// requestParams holds the random choices of one request. They depend only on the
// seed and the class, not on the timing of the run.
type requestParams struct {
	account, client int
	session         int
	number          uint64 // makes the request unique
}

func newRunner(s *Scenario) (*runner, error) {
	r := &runner{scenario: s, inFlight: make(chan struct{}, s.MaxInFlight)}
	index := 0
	for _, a := range s.Accounts {
		api, err := apiclient.New(a.Key, true)
		if err != nil {
			return nil, err
		}
		var callers []*caller
		for range a.Clients {
			callers = append(callers, newCaller(api, s.Addresses, index))
			index++
		}
		r.callers = append(r.callers, callers)
	}
	for range s.Classes {
		r.stats = append(r.stats, newClassStats())
	}
	return r, nil
}

// run sends all requests and events and returns when all of them have ended.
func (r *runner) run(ctx context.Context) (err error) {
	if r.before, err = r.readCounts(ctx); err != nil {
		return errors.WithMessage(err, "before the run")
	}
	start := time.Now()
	var generators sync.WaitGroup
	for i := range r.scenario.Classes {
		generators.Go(func() { r.generate(ctx, i, start) })
	}
	generators.Go(func() { r.eventErr = r.sendEvents(ctx, start) })
	generators.Wait()
	r.requests.Wait()
	if r.eventErr != nil {
		return r.eventErr
	}
	// An interrupted run still reports what it has measured so far.
	r.after, err = r.readCounts(context.WithoutCancel(ctx))
	return errors.WithMessage(err, "after the run")
}

// generate sends the requests of a class as an open-loop Poisson process: arrivals
// do not wait for answers.
func (r *runner) generate(ctx context.Context, class int, start time.Time) {
	c := &r.scenario.Classes[class]
	rng := rand.New(rand.NewPCG(r.scenario.Seed, uint64(class)))
	for at := 0.0; ; {
		at += rng.ExpFloat64() / c.Rate
		offset := time.Duration(at * float64(time.Second))
		if offset >= r.scenario.Duration {
			return
		}
		params := r.drawParams(rng, c)
		if !sleepUntil(ctx, start.Add(offset)) {
			return
		}
		select {
		case r.inFlight <- struct{}{}:
			r.requests.Add(1)
			go r.sendRequest(ctx, class, start.Add(offset), params)
		default:
			r.stats[class].addNotSent()
		}
	}
}

func (r *runner) drawParams(rng *rand.Rand, c *Class) requestParams {
	p := requestParams{account: r.drawAccount(rng), number: rng.Uint64()}
	p.client = rng.IntN(len(r.callers[p.account]))
	if c.Sessions > 0 {
		p.session = rng.IntN(c.Sessions)
	}
	return p
}

// drawAccount returns the index of a random account; the weights of the accounts
// are their relative probabilities.
func (r *runner) drawAccount(rng *rand.Rand) int {
	sum := 0.0
	for _, a := range r.scenario.Accounts {
		sum += a.Weight
	}
	rest := rng.Float64() * sum
	for i, a := range r.scenario.Accounts {
		if rest -= a.Weight; rest < 0 {
			return i
		}
	}
	return len(r.scenario.Accounts) - 1
}

// sendRequest sends one request and counts its outcome. Latency is measured from
// the planned arrival, so it includes a delayed start of the request.
func (r *runner) sendRequest(ctx context.Context, class int, arrival time.Time, p requestParams) {
	defer r.requests.Done()
	defer func() { <-r.inFlight }()
	ctx, cancel := context.WithDeadline(ctx, arrival.Add(r.scenario.Timeout))
	defer cancel()
	c := &r.scenario.Classes[class]
	lr := &loadRequest{runner: r, class: c, caller: r.callers[p.account][p.client], params: p, arrival: arrival}
	outcome := lr.send(ctx)
	outcome.total = time.Since(arrival)
	r.stats[class].add(&outcome)
}

// sendEvents sends the events of the scenario, each at its time.
func (r *runner) sendEvents(ctx context.Context, start time.Time) error {
	var all errorList
	var pending sync.WaitGroup
	for _, e := range r.scenario.Events {
		pending.Go(func() {
			if !sleepUntil(ctx, start.Add(e.At)) {
				return
			}
			all.add(errors.WithMessagef(r.sendEvent(ctx, e), "event %s %s%s", e.Method, e.Address, e.Path))
		})
	}
	pending.Wait()
	return all.first()
}

func (r *runner) sendEvent(ctx context.Context, e Event) error {
	api, err := apiclient.New(e.Key, false)
	if err != nil {
		return err
	}
	resp, err := api.Do(ctx, e.Address, apiclient.Request{
		Method: e.Method, Path: e.Path, Body: []byte(e.Body), ContentType: jsonType, Timeout: r.scenario.Timeout,
	})
	if err != nil {
		return err
	}
	if resp.Status >= 300 {
		return errors.Errorf("status %d: %s", resp.Status, resp.Body)
	}
	return nil
}

// errorList collects errors of concurrent calls.
type errorList struct {
	mu   sync.Mutex
	errs []error
}

func (l *errorList) add(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.errs = append(l.errs, err)
	}
}

func (l *errorList) first() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.errs) == 0 {
		return nil
	}
	return l.errs[0]
}

// sleepUntil returns false if ctx ended before t.
func sleepUntil(ctx context.Context, t time.Time) bool {
	timer := time.NewTimer(time.Until(t))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
