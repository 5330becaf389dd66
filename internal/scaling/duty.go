package scaling

import (
	"context"
	"log/slog"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"

	"github.com/dogwoodrudder/dogwoodrudder/internal/cloudduty"
	"github.com/dogwoodrudder/dogwoodrudder/internal/duty"
	"github.com/dogwoodrudder/dogwoodrudder/internal/fleet"
	"github.com/dogwoodrudder/dogwoodrudder/internal/traffic"
)

const (
	// step is the time between two decisions.
	step = 250 * time.Millisecond
	// orderTimeout bounds an order.
	orderTimeout = 800 * time.Millisecond
	// dryTime is how long no reclaimable instances are ordered after a refusal.
	dryTime = 2 * time.Second
	// reclaimedTime is how long none are ordered after a reclaim notice: the
	// cloud takes a data centre's instances and has none for a while.
	reclaimedTime = 6 * time.Second
	// shrinkAfter is how long a surplus must last before instances are given back.
	shrinkAfter = 4 * time.Second
	// idleShrinkAfter is the same before the first request: nothing runs on the
	// instances, and their replacements serve already. Two decisions must agree.
	idleShrinkAfter = 2 * step
	// settleTime is how long instances that stood at the start take to be listed.
	settleTime = 3 * time.Second
	// learnTime is how long the demand is watched before instances that stood
	// at the start are given back.
	learnTime = 2500 * time.Millisecond
	// driftMargin is added to the boot time before a number that isn't reached
	// is ordered again.
	driftMargin = 3 * time.Second
	// peakTime is how long the largest number of instances is remembered: about
	// the time in which the measured reading time follows a change.
	peakTime = 20 * time.Second
	// unknownRepeat and unknownFor repeat orders after one that got no answer:
	// it may be executed late and undo a newer one.
	unknownRepeat = 3 * time.Second
	unknownFor    = 14 * time.Second
)

// Config holds the parameters of a Duty.
type Config struct {
	Log       *slog.Logger
	Cloud     cloudduty.Caller
	Token     func() int64 // fencing token, 0 while the duty isn't held
	Table     func() *traffic.Table
	Instances *fleet.Set
	// Demands returns what clients ask of each service, over all daemons.
	Demands func() map[string]Demand
	Now     func() time.Duration
	Policy  Policy
	// Forbidden reports whether the number must not change, for example while
	// a new version of the service is brought in.
	Forbidden func(service string) bool
}

// Duty orders instances.
type Duty struct {
	config   Config
	token    int64
	services map[string]*serviceState
}

// serviceState is what the duty knows of one service.
type serviceState struct {
	places   map[Place]*placeState
	settled  time.Duration // from when on instances are listed and daemons have reported demand
	started  int           // instances that stood before any was ordered
	loaded   time.Duration // demand was first seen; 0 if not yet
	learning bool          // the demand isn't known yet
	starting bool          // some instances that aren't reclaimable don't serve yet
	lostAt   time.Duration // an order got no answer; 0 if none did
	repeated time.Duration
	dryUntil time.Duration // no reclaimable instances are ordered before
	peak     int           // most instances that served within peakTime
	peakAt   time.Duration
}

// placeState is the number of instances of one kind in one data centre.
type placeState struct {
	ordered int
	known   bool          // an order was acknowledged
	orderAt time.Duration // of the latest order
	surplus time.Duration // since when fewer would do; 0 if not
}

// New returns a Duty.
func New(config Config) *Duty { return &Duty{config: config} }

// Run decides and orders until ctx ends.
func (d *Duty) Run(ctx context.Context) error {
	return duty.Every(ctx, step, d.Step)
}

// Step makes one round of decisions.
func (d *Duty) Step(ctx context.Context) {
	token := d.config.Token()
	table := d.config.Table()
	if token == 0 || table == nil {
		return
	}
	if token != d.token {
		d.token = token
		d.services = map[string]*serviceState{}
	}
	demands := d.config.Demands()
	for name, service := range table.Services {
		if service.Scaling == nil || d.config.Forbidden(name) {
			continue
		}
		d.decide(ctx, token, service, demands[name], table.ShortestObjective(name))
	}
}

// count is what stands of one kind in one data centre.
type count struct{ ready, leaving int }

func (d *Duty) counts(service string) map[Place]count {
	counts := map[Place]count{}
	for _, i := range d.config.Instances.Snapshot(service) {
		place := Place{i.DataCentre, i.Reclaimable}
		c := counts[place]
		if i.Leaving {
			c.leaving++
		} else {
			c.ready++
		}
		counts[place] = c
	}
	return counts
}

func (d *Duty) decide(ctx context.Context, token int64, service *traffic.Service, demand Demand, objective time.Duration) {
	now := d.config.Now()
	counts := d.counts(service.Name)
	s := d.stateOf(service, counts)
	if s.loaded == 0 && demand.Busy > 0 {
		s.loaded = now
	}
	s.learning = s.loaded == 0 || now-s.loaded < learnTime
	s.observe(counts, now)
	demand = demand.unshared(s.mostServing(counts, now))
	plan := Plan(d.config.Policy, Situation{
		Scaling: service.Scaling, Need: d.need(s, demand, objective), Ready: readyReclaimable(counts),
		Ordered: s.ordered(true), Kept: s.ordered(false), Dry: now < s.dryUntil,
	})
	repeat := s.mustRepeat(now)
	s.starting = s.loaded > 0 && s.waitsForStarts(counts, now, service.Scaling.BootTime)
	for _, centre := range byPrice(service.Scaling.Prices) {
		for _, reclaimable := range []bool{false, true} {
			place := Place{centre, reclaimable}
			if s.due(place, plan[place], counts[place], repeat, now, service.Scaling.BootTime) {
				d.order(ctx, token, service.Name, place, plan[place], s, demand)
			}
		}
	}
}

// need returns the number of instances for the load. Before the load is known,
// it is what the operators started with.
func (d *Duty) need(s *serviceState, demand Demand, objective time.Duration) int {
	need := d.config.Policy.Need(demand, objective)
	if s.learning {
		return max(need, s.started)
	}
	return need
}

func (d *Duty) stateOf(service *traffic.Service, counts map[Place]count) *serviceState {
	s := d.services[service.Name]
	if s == nil {
		s = &serviceState{places: map[Place]*placeState{}, settled: d.config.Now() + settleTime}
		d.services[service.Name] = s
	}
	for centre := range service.Scaling.Prices {
		for _, reclaimable := range []bool{false, true} {
			place := Place{centre, reclaimable}
			if s.places[place] == nil {
				s.places[place] = &placeState{ordered: counts[place].ready}
			}
		}
	}
	return s
}

// observe takes over what stands: instances that were started by others while
// no number was ordered, and those that the cloud takes away.
func (s *serviceState) observe(counts map[Place]count, now time.Duration) {
	started := 0
	for place, p := range s.places {
		c := counts[place]
		if s.learning && !p.known {
			p.ordered = max(p.ordered, c.ready)
		}
		if !place.Reclaimable {
			started += p.ordered
		}
		if place.Reclaimable && c.leaving > 0 && c.ready == 0 && p.ordered > 0 {
			s.dryUntil = max(s.dryUntil, now+reclaimedTime)
			p.ordered = 0
		}
	}
	if s.learning {
		s.started = max(s.started, started)
	}
}

// mostServing returns the largest number of instances that served within
// peakTime: the reading time was measured among them, and a fleet that has just
// lost instances must not look less loaded.
func (s *serviceState) mostServing(counts map[Place]count, now time.Duration) int {
	serving := 0
	for _, c := range counts {
		serving += c.ready
	}
	if serving >= s.peak || now-s.peakAt > peakTime {
		s.peak, s.peakAt = serving, now
	}
	return s.peak
}

// readyReclaimable returns the reclaimable instances that serve, by data centre.
func readyReclaimable(counts map[Place]count) map[string]int {
	ready := map[string]int{}
	for place, c := range counts {
		if place.Reclaimable {
			ready[place.DataCentre] = c.ready
		}
	}
	return ready
}

// ordered returns the instances of a kind that were ordered, by data centre.
func (s *serviceState) ordered(reclaimable bool) map[string]int {
	ordered := map[string]int{}
	for place, p := range s.places {
		if place.Reclaimable == reclaimable {
			ordered[place.DataCentre] = p.ordered
		}
	}
	return ordered
}

// mustRepeat reports whether all numbers are to be ordered again because an
// order without an answer may be executed late.
func (s *serviceState) mustRepeat(now time.Duration) bool {
	if s.lostAt == 0 || now-s.repeated < unknownRepeat {
		return false
	}
	s.repeated = now
	if now-s.lostAt > unknownFor {
		s.lostAt = 0
	}
	return true
}

// due reports whether the number of a place is to be ordered now.
func (s *serviceState) due(place Place, wanted int, stands count, repeat bool, now, boot time.Duration) bool {
	p := s.places[place]
	if place.Reclaimable && now < s.dryUntil {
		return false
	}
	if s.learning && !place.Reclaimable && (now < s.settled || wanted > p.ordered) {
		return false
	}
	if wanted >= p.ordered {
		p.surplus = 0
	} else if p.surplus == 0 {
		p.surplus = now
	}
	switch {
	case wanted > p.ordered:
		return true
	case wanted < p.ordered:
		return !s.starting && s.lasting(p.surplus, now)
	case !p.known && !s.learning, repeat && p.known:
		return true
	}
	return p.known && stands.ready < p.ordered && now-p.orderAt > boot+driftMargin
}

// waitsForStarts reports whether instances that aren't reclaimable are within
// their boot time. The plan counts them, so that giving others back meanwhile
// leaves too few. Of reclaimable ones it counts those that serve.
func (s *serviceState) waitsForStarts(counts map[Place]count, now, boot time.Duration) bool {
	for place, p := range s.places {
		if !place.Reclaimable && p.known && counts[place].ready < p.ordered && now-p.orderAt < boot {
			return true
		}
	}
	return false
}

// lasting reports whether a surplus that was first seen at since has lasted
// long enough. Right after the load has begun, the time in which the demand was
// watched counts: the instances that stood at the start hid the surplus.
func (s *serviceState) lasting(since, now time.Duration) bool {
	switch {
	case s.loaded == 0 && now >= s.settled:
		return now-since >= idleShrinkAfter
	case !s.learning && since-s.loaded < learnTime+2*step:
		return now-s.loaded >= shrinkAfter
	}
	return now-since >= shrinkAfter
}

func (d *Duty) order(ctx context.Context, token int64, service string, place Place, wanted int, s *serviceState, demand Demand) {
	if d.config.Token() != token {
		return
	}
	p := s.places[place]
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	err := d.config.Cloud.Order(ctx, token, cloudduty.Order{
		Service: service, DataCentre: place.DataCentre, Instances: wanted, Reclaimable: place.Reclaimable,
	})
	now := d.config.Now()
	d.config.Log.Info("instances ordered", "service", service, "data_centre", place.DataCentre,
		"reclaimable", place.Reclaimable, "before", p.ordered, "ordered", wanted, "busy", demand.Busy, "delay", demand.Delay, "token", token, "error", err)
	p.orderAt = now
	switch {
	case err == nil:
		p.ordered, p.known, p.surplus = wanted, true, 0
		metrics.GetOrCreateCounter("rudder_scaling_orders_total").Inc()
	case errors.Is(err, cloudduty.ErrConflict) && place.Reclaimable:
		s.dryUntil = now + dryTime
	case errors.Is(err, cloudduty.ErrUnknown):
		s.lostAt = now
	}
}
