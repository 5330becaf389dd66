package rollout

import (
	"context"
	"encoding/json"
	"log/slog"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/dogwoodrudder/dogwoodrudder/internal/duty"
	"github.com/dogwoodrudder/dogwoodrudder/internal/store"
)

const (
	step        = 150 * time.Millisecond
	callTimeout = 800 * time.Millisecond
	// KeyPrefix holds the record of each roll-out. Daemons follow it, so that
	// one that starts while nobody coordinates knows the verdicts.
	KeyPrefix = "serving/rollout/"
)

// Config holds the parameters of a Duty.
type Config struct {
	Log    *slog.Logger
	Store  store.Store
	Token  func() int64 // fencing token, 0 while the duty isn't held
	Civil  func() time.Time
	Policy Policy
	// Evidence returns the counters of all daemons.
	Evidence func() map[Key]Counters
	// Status returns the key and the value that tell operators the outcome.
	Status func(order Order, outcome Outcome) (key string, value []byte, err error)
}

// record is what the store keeps of a roll-out, for a successor.
type record struct {
	Service  string  `json:"service"`
	Revision int64   `json:"revision"` // of the order
	Target   string  `json:"target"`
	Start    int64   `json:"start_ms"` // Unix time
	Outcome  Outcome `json:"outcome"`
}

// share returns the part of the requests for the target under the holder that
// reads the record. A holder gathers its own evidence for an open roll-out.
func (r record) share() float64 {
	if r.Outcome == Complete {
		return 1
	}
	return 0
}

// Verdict decodes the record of a roll-out. It reports whether it has ended.
func Verdict(value []byte) (State, bool, error) {
	var r record
	if err := json.Unmarshal(value, &r); err != nil {
		return State{}, false, errors.Wrap(err, "decode roll-out")
	}
	order := Order{Service: r.Service, Target: r.Target, Revision: r.Revision}
	return State{Order: order, Share: r.share(), Outcome: r.Outcome}, r.Outcome != Active, nil
}

// State is a roll-out as daemons are told it.
type State struct {
	Order   Order
	Share   float64
	Outcome Outcome
}

// Duty decides about roll-outs while the daemon coordinates.
type Duty struct {
	config Config

	mu     sync.Mutex
	orders map[string]Order // by service
	token  int64
	runs   map[string]*run
}

// run is one roll-out under this holder.
type run struct {
	record record
	key    int64            // revision of the record's key
	base   map[Key]Counters // evidence from before the order
	share  float64
}

// New returns a Duty without orders.
func New(config Config) *Duty {
	return &Duty{config: config, orders: map[string]Order{}, runs: map[string]*run{}}
}

// SetOrder takes over an operator's order.
func (d *Duty) SetOrder(o Order) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.orders[o.Service] = o
}

// DropOrder forgets the order for a service.
func (d *Duty) DropOrder(service string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.orders, service)
}

// Open reports whether a service has a roll-out that hasn't ended.
func (d *Duty) Open(service string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	order, ordered := d.orders[service]
	if !ordered {
		return false
	}
	r := d.runs[service]
	return r == nil || r.record.Revision != order.Revision || r.record.Outcome == Active
}

// States returns the roll-outs that this holder decides about.
func (d *Duty) States() []State {
	d.mu.Lock()
	defer d.mu.Unlock()
	var states []State
	for service, r := range d.runs {
		order := d.orders[service]
		if order.Revision == r.record.Revision {
			states = append(states, State{Order: order, Share: r.share, Outcome: r.record.Outcome})
		}
	}
	return states
}

// Run decides until ctx ends.
func (d *Duty) Run(ctx context.Context) error {
	return duty.Every(ctx, step, func(ctx context.Context) {
		if err := d.Step(ctx); err != nil && ctx.Err() == nil {
			d.config.Log.Warn("roll-out not decided", "error", err)
		}
	})
}

// Step makes one round of decisions.
func (d *Duty) Step(ctx context.Context) error {
	token := d.config.Token()
	d.mu.Lock()
	if token != d.token {
		d.token, d.runs = token, map[string]*run{}
	}
	orders := make([]Order, 0, len(d.orders))
	for _, o := range d.orders {
		orders = append(orders, o)
	}
	d.mu.Unlock()
	if token == 0 {
		return nil
	}
	var failed error
	for _, o := range orders {
		if err := d.advance(ctx, o); err != nil {
			failed = err
		}
	}
	return failed
}

func (d *Duty) advance(ctx context.Context, order Order) error {
	d.mu.Lock()
	r := d.runs[order.Service]
	d.mu.Unlock()
	if r == nil || r.record.Revision != order.Revision {
		return d.begin(ctx, order)
	}
	if r.record.Outcome != Active {
		return nil
	}
	evidence := since(d.config.Evidence(), r.base)
	reason, bad, answers := d.config.Policy.judge(order, evidence)
	left := time.UnixMilli(r.record.Start).Add(order.Within).Sub(d.config.Civil())
	switch {
	case bad:
		return d.end(ctx, order, r, Reverted, reason)
	case left <= 0 && r.share < 1:
		return d.end(ctx, order, r, Reverted, "not proved by the deadline")
	case left <= d.config.Policy.EndMargin && r.share >= 1:
		return d.end(ctx, order, r, Complete, "no fault found")
	}
	share := max(d.config.Policy.Share(left, answers), r.share)
	d.mu.Lock()
	defer d.mu.Unlock()
	if share != r.share {
		d.config.Log.Info("roll-out share changed", "service", order.Service, "target", order.Target,
			"before", r.share, "share", share, "answers", answers, "left", left)
		r.share = share
	}
	return nil
}

// begin takes a roll-out over, or records a new one.
func (d *Duty) begin(ctx context.Context, order Order) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	kv, err := d.config.Store.Get(ctx, KeyPrefix+order.Service)
	if err != nil {
		return errors.WithMessage(err, "read roll-out")
	}
	r := &run{key: kv.ModRevision}
	if kv.ModRevision > 0 {
		if err := json.Unmarshal(kv.Value, &r.record); err != nil {
			return errors.Wrap(err, "decode roll-out")
		}
		r.share = r.record.share()
	}
	if r.record.Revision != order.Revision {
		r.share = 0
		r.record = record{Service: order.Service, Revision: order.Revision, Target: order.Target, Start: d.config.Civil().UnixMilli(), Outcome: Active}
		r.base = d.config.Evidence()
		if err := d.write(ctx, order, r); err != nil {
			return err
		}
		d.config.Log.Info("roll-out began", "service", order.Service, "target", order.Target, "within", order.Within)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.runs[order.Service] = r
	return nil
}

// end records a verdict. It holds at once here, and for a successor when it is written.
func (d *Duty) end(ctx context.Context, order Order, r *run, outcome Outcome, reason string) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if outcome == Reverted {
		d.mu.Lock()
		r.share = 0
		d.mu.Unlock()
	}
	ended := &run{record: r.record, key: r.key, share: r.share}
	ended.record.Outcome = outcome
	if err := d.write(ctx, order, ended); err != nil {
		return err
	}
	d.config.Log.Info("roll-out ended", "service", order.Service, "target", order.Target, "outcome", outcome, "reason", reason)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.runs[order.Service] = ended
	return nil
}

// write stores the record and tells the operators, in one transaction.
func (d *Duty) write(ctx context.Context, order Order, r *run) error {
	value, err := json.Marshal(r.record)
	if err != nil {
		return errors.Wrap(err, "encode roll-out")
	}
	key, status, err := d.config.Status(order, r.record.Outcome)
	if err != nil {
		return err
	}
	result, err := d.config.Store.Txn(ctx,
		[]store.Condition{{Key: KeyPrefix + order.Service, ModRevision: r.key}},
		[]store.Op{{Key: KeyPrefix + order.Service, Value: value}, {Key: key, Value: status}})
	if err == nil && !result.Succeeded {
		err = errors.New("the record was written by another holder")
	}
	if err != nil {
		// The record is read again: the write may have taken effect.
		d.mu.Lock()
		delete(d.runs, order.Service)
		d.mu.Unlock()
		return errors.WithMessage(err, "write roll-out")
	}
	r.key = result.Revision
	return nil
}

// since subtracts the evidence from before the order. A daemon that restarted
// has fewer, which counts as none.
func since(now, base map[Key]Counters) map[Key]Counters {
	evidence := make(map[Key]Counters, len(now))
	for key, c := range now {
		b := base[key]
		if c.Requests >= b.Requests {
			c = Counters{Requests: c.Requests - b.Requests, Failures: max(c.Failures-b.Failures, 0), Latency: max(c.Latency-b.Latency, 0)}
		}
		evidence[key] = c
	}
	return evidence
}
