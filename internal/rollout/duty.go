package rollout

import (
	"context"
	"encoding/json"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/dogwoodrudder/dogwoodrudder/internal/duty"
	"github.com/dogwoodrudder/dogwoodrudder/internal/store"
)

const (
	// stepInterval is the time between two rounds of decisions.
	stepInterval = 150 * time.Millisecond
	// callTimeout bounds the calls to the store for one roll-out in one round.
	callTimeout = 800 * time.Millisecond
	// KeyPrefix is the prefix of the store keys that hold the record of each
	// roll-out. All daemons watch it, so that a daemon that starts while there is
	// no coordinator knows the outcomes.
	KeyPrefix = "serving/rollout/"
)

// Config holds the parameters of a Duty.
type Config struct {
	Log   *slog.Logger
	Store store.Store
	Token func() int64 // fencing token, 0 while the duty isn't held
	// Predecessor returns the token that the holder of the duty had when the store was
	// restored from an older copy, if nobody else has had it since, and 0 otherwise; nil means
	// that the store isn't restored.
	Predecessor func() int64
	// Known returns the newest state of a roll-out of a service that this daemon knows, nil if
	// there is none. A restored store may lack it; nil means that nothing is known.
	Known  func(service string) *State
	Civil  func() time.Time // wall-clock time
	Policy Policy
	// Unproven returns the versions of a service that were ordered before its current
	// order and not completed, as far as this daemon knows; nil means none.
	Unproven func(service string) []string
	// Serving returns the versions of the announced instances of a service that are not
	// leaving; nil means that they are not known.
	Serving func(service string) []string
	// Evidence returns the counters summed over all daemons.
	Evidence func() map[Key]Counters
	// Status returns the store key and value that show the outcome to operators.
	Status func(order Order, outcome Outcome) (key string, value []byte, err error)
}

// record is the stored state of a roll-out, from which the next holder of the
// duty continues.
type record struct {
	Service  string  `json:"service"`
	Revision int64   `json:"revision"` // of the order
	Target   string  `json:"target"`
	WithinMs int64   `json:"within_ms,omitempty"` // of the order
	Start    int64   `json:"start_ms"`            // Unix time
	Outcome  Outcome `json:"outcome"`
	// Unproven are the versions that were ordered earlier and not completed. They get no
	// requests.
	Unproven []string `json:"unproven,omitempty"`
	// Sole tells that only unproven versions served beside the target when the roll-out
	// began, so that it got all requests at once.
	Sole bool `json:"sole,omitempty"`
}

// order returns the order that the record is of.
func (r record) order() Order {
	return Order{Service: r.Service, Target: r.Target, Within: time.Duration(r.WithinMs) * time.Millisecond, Revision: r.Revision}
}

// initialShare returns the fraction of requests for the target with which a new
// holder of the duty starts. For an active roll-out it is 0: each holder
// collects its own evidence.
func (r record) initialShare() float64 {
	if r.Outcome == Complete || r.Sole && r.Outcome == Active {
		return 1
	}
	return 0
}

// DecodeRecord decodes the stored record of a roll-out.
func DecodeRecord(value []byte) (State, error) {
	var r record
	if err := json.Unmarshal(value, &r); err != nil {
		return State{}, errors.Wrap(err, "decode roll-out record")
	}
	return State{Order: r.order(), Share: r.initialShare(), Outcome: r.Outcome, Unproven: r.Unproven}, nil
}

// State is the state of a roll-out that the coordinator sends to all daemons.
type State struct {
	Order   Order
	Share   float64 // fraction of the requests for the target, 0 to 1
	Outcome Outcome
	// Unproven are the versions that were ordered before this order and not completed.
	Unproven []string
}

// Duty controls the roll-outs while this daemon is the coordinator.
type Duty struct {
	config Config

	mu      sync.Mutex
	orders  map[string]Order           // by service
	token   int64                      // fencing token under which tracked was collected
	tracked map[string]*trackedRollout // by service
	// retained are roll-outs that the holder with the token retainedToken controlled, and whose
	// latest record may not be in the store.
	retained      map[string]*trackedRollout
	retainedToken int64
}

// trackedRollout is a roll-out that this holder of the duty controls or has ended.
type trackedRollout struct {
	record         record
	recordRevision int64            // revision of the record's key in the store
	initial        map[Key]Counters // counters at the start of the roll-out
	latest         map[Key]Counters // counters at the last decision
	share          float64          // fraction of the requests for the target
}

// New returns a Duty without orders.
func New(config Config) *Duty {
	return &Duty{config: config, orders: map[string]Order{}, tracked: map[string]*trackedRollout{}}
}

// SetOrder sets an operator's order. It replaces an earlier one for the service.
func (d *Duty) SetOrder(o Order) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.orders[o.Service] = o
}

// RemoveOrder removes the order for a service.
func (d *Duty) RemoveOrder(service string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.orders, service)
}

// InProgress reports whether a service has an order whose roll-out has not ended.
func (d *Duty) InProgress(service string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	order, ordered := d.orders[service]
	if !ordered {
		return false
	}
	r := d.tracked[service]
	return r == nil || !order.same(r.record.order()) || r.record.Outcome == Active
}

// States returns the roll-outs that this holder of the duty controls or has ended.
func (d *Duty) States() []State {
	d.mu.Lock()
	defer d.mu.Unlock()
	var states []State
	for service, r := range d.tracked {
		order := d.orders[service]
		if order.same(r.record.order()) {
			states = append(states, State{Order: order, Share: r.share, Outcome: r.record.Outcome, Unproven: r.record.Unproven})
		}
	}
	return states
}

// Run makes decisions periodically until ctx is done.
func (d *Duty) Run(ctx context.Context) error {
	return duty.Every(ctx, stepInterval, func(ctx context.Context) {
		if err := d.Step(ctx); err != nil && ctx.Err() == nil {
			d.config.Log.Warn("roll-out not decided", "error", err)
		}
	})
}

// Step makes one round of decisions on all orders. It does nothing without the
// duty, and starts from the stored records when the fencing token has changed.
func (d *Duty) Step(ctx context.Context) error {
	token := d.config.Token()
	d.mu.Lock()
	d.setToken(token)
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

// setToken sets the fencing token. Roll-outs of an earlier token are used again only if
// nobody else can have controlled them meanwhile. The caller holds the lock.
func (d *Duty) setToken(token int64) {
	if token == d.token {
		return
	}
	if d.token != 0 {
		if d.retainedToken != d.token {
			d.retained, d.retainedToken = map[string]*trackedRollout{}, d.token
		}
		maps.Copy(d.retained, d.tracked)
	}
	d.token, d.tracked = token, map[string]*trackedRollout{}
	if token == 0 {
		return
	}
	if d.config.Predecessor == nil || d.config.Predecessor() != d.retainedToken {
		d.retained = nil
	}
	d.retainedToken = token
	if d.retained == nil {
		d.retained = map[string]*trackedRollout{}
	}
}

// advance checks the evidence on one roll-out, and ends it or changes its share.
// The share never decreases before the end.
func (d *Duty) advance(ctx context.Context, order Order) error {
	d.mu.Lock()
	r := d.tracked[order.Service]
	d.mu.Unlock()
	if r == nil || !order.same(r.record.order()) {
		return d.begin(ctx, order)
	}
	if r.record.Outcome != Active {
		return nil
	}
	now := d.config.Evidence()
	r.forgetRestarted(now)
	evidence := countersSince(now, r.initial)
	reason, regressed, answers := d.config.Policy.evaluate(order, r.record.Unproven, evidence)
	left := time.UnixMilli(r.record.Start).Add(order.Within).Sub(d.config.Civil())
	switch {
	case regressed:
		return d.end(ctx, order, r, Reverted, reason)
	case left <= 0 && r.share < 1:
		return d.end(ctx, order, r, Reverted, "not all requests moved by the deadline")
	case left <= d.config.Policy.CompletionMargin && r.share >= 1:
		return d.end(ctx, order, r, Complete, "no regression found")
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

// begin continues a roll-out from its stored record, or records a new one.
func (d *Duty) begin(ctx context.Context, order Order) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	kv, err := d.config.Store.Get(ctx, KeyPrefix+order.Service)
	if err != nil {
		return errors.WithMessage(err, "read roll-out record")
	}
	r := &trackedRollout{recordRevision: kv.ModRevision}
	if kv.ModRevision > 0 {
		if err := json.Unmarshal(kv.Value, &r.record); err != nil {
			return errors.Wrap(err, "decode roll-out record")
		}
		r.share = r.record.initialShare()
	}
	isStored := order.same(r.record.order())
	if earlier := d.recall(order, r); earlier != nil {
		if !isStored || earlier.record.Outcome != r.record.Outcome {
			if err := d.write(ctx, order, earlier); err != nil {
				return err
			}
			d.config.Log.Info("roll-out record written again", "service", order.Service, "target", order.Target, "outcome", earlier.record.Outcome)
		}
		r = earlier
	} else if !isStored {
		r.record = newRecord(order, Active, d.unproven(order, r.record), d.config.Civil())
		r.record.Sole = d.config.Serving != nil && noneProven(d.config.Serving(order.Service), order.Target, r.record.Unproven)
		r.share = r.record.initialShare()
		r.initial = d.config.Evidence()
		if err := d.write(ctx, order, r); err != nil {
			return err
		}
		d.config.Log.Info("roll-out began", "service", order.Service, "target", order.Target, "within", order.Within,
			"unproven", r.record.Unproven, "sole", r.record.Sole)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.tracked[order.Service] = r
	return nil
}

func newRecord(order Order, outcome Outcome, unproven []string, start time.Time) record {
	return record{
		Service: order.Service, Revision: order.Revision, Target: order.Target, WithinMs: order.Within.Milliseconds(),
		Start: start.UnixMilli(), Outcome: outcome, Unproven: unproven,
	}
}

// recall returns what this daemon knows of a roll-out beyond the record in the store: an
// outcome, or the evidence and the share of one that it controlled. It is nil if there is
// nothing. The store may have been restored from an older copy.
func (d *Duty) recall(order Order, stored *trackedRollout) *trackedRollout {
	isStored := order.same(stored.record.order())
	if isStored && stored.record.Outcome != Active {
		return nil
	}
	d.mu.Lock()
	retained := d.retained[order.Service]
	d.mu.Unlock()
	if retained != nil && order.same(retained.record.order()) {
		recalled := *retained
		recalled.recordRevision, recalled.record.Revision = stored.recordRevision, order.Revision
		return &recalled
	}
	if d.config.Known == nil {
		return nil
	}
	known := d.config.Known(order.Service)
	if known == nil || !order.same(known.Order) || known.Outcome == Active {
		return nil
	}
	recalled := &trackedRollout{record: stored.record, recordRevision: stored.recordRevision}
	if !isStored {
		recalled.record = newRecord(order, known.Outcome, known.Unproven, d.config.Civil())
	}
	recalled.record.Outcome = known.Outcome
	recalled.share = recalled.record.initialShare()
	return recalled
}

// maxUnproven is the maximum number of unproven versions of a service that are recorded.
const maxUnproven = 16

// unproven returns the versions that were ordered before an order and not completed, the
// newest last. previous is the record of an earlier order.
func (d *Duty) unproven(order Order, previous record) []string {
	versions := slices.Clone(previous.Unproven)
	if previous.Target != "" {
		versions = append(versions, previous.Target)
	}
	if d.config.Unproven != nil {
		versions = append(versions, d.config.Unproven(order.Service)...)
	}
	var unproven []string
	for _, version := range versions {
		completed := previous.Outcome == Complete && version == previous.Target
		if !completed && version != order.Target && !slices.Contains(unproven, version) {
			unproven = append(unproven, version)
		}
	}
	return unproven[max(len(unproven)-maxUnproven, 0):]
}

// end stores the outcome of a roll-out. A reverted target gets no requests from
// here on, even if the write fails; the next holder of the duty knows the outcome
// once it is written.
func (d *Duty) end(ctx context.Context, order Order, r *trackedRollout, outcome Outcome, reason string) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if outcome == Reverted {
		d.mu.Lock()
		r.share = 0
		d.mu.Unlock()
	}
	ended := &trackedRollout{record: r.record, recordRevision: r.recordRevision, share: r.share}
	ended.record.Outcome = outcome
	if err := d.write(ctx, order, ended); err != nil {
		d.mu.Lock()
		d.retained[order.Service] = r
		d.mu.Unlock()
		return err
	}
	d.config.Log.Info("roll-out ended", "service", order.Service, "target", order.Target, "outcome", outcome, "reason", reason)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.tracked[order.Service] = ended
	return nil
}

// write stores the record and the status for operators in one transaction.
func (d *Duty) write(ctx context.Context, order Order, r *trackedRollout) error {
	value, err := json.Marshal(r.record)
	if err != nil {
		return errors.Wrap(err, "encode roll-out record")
	}
	key, status, err := d.config.Status(order, r.record.Outcome)
	if err != nil {
		return err
	}
	result, err := d.config.Store.Txn(ctx,
		[]store.Condition{{Key: KeyPrefix + order.Service, ModRevision: r.recordRevision}},
		[]store.Op{{Key: KeyPrefix + order.Service, Value: value}, {Key: key, Value: status}})
	if err == nil && !result.Succeeded {
		err = errors.New("the record was written by another holder")
	}
	if err != nil {
		// The write may have taken effect: the next round reads the record again.
		d.mu.Lock()
		delete(d.tracked, order.Service)
		d.mu.Unlock()
		return errors.WithMessage(err, "write roll-out record")
	}
	r.recordRevision = result.Revision
	return nil
}

// forgetRestarted drops the initial counters that have become useless because a daemon
// restarted, which shows in a counter that decreases. The difference to them would be that
// of many requests less almost as many others.
func (r *trackedRollout) forgetRestarted(now map[Key]Counters) {
	for key, before := range r.latest {
		if now[key].Requests < before.Requests {
			delete(r.initial, key)
		}
	}
	r.latest = now
}

// countersSince returns the counters minus those at the start of the roll-out.
// Counters that are smaller than at the start, because daemons restarted, are
// returned unchanged.
func countersSince(now, initial map[Key]Counters) map[Key]Counters {
	evidence := make(map[Key]Counters, len(now))
	for key, c := range now {
		b := initial[key]
		if c.Requests >= b.Requests {
			c = Counters{
				Requests: c.Requests - b.Requests, Failures: max(c.Failures-b.Failures, 0), Latency: max(c.Latency-b.Latency, 0),
				Completed: max(c.Completed-b.Completed, 0), LogDuration: c.LogDuration - b.LogDuration,
				LogDurationSquares: max(c.LogDurationSquares-b.LogDurationSquares, 0),
			}
		}
		evidence[key] = c
	}
	return evidence
}
