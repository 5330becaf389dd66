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
	// stepInterval is the time between two scaling decisions.
	stepInterval = 250 * time.Millisecond
	// orderTimeout is the timeout of an order call to the cloud.
	orderTimeout = 800 * time.Millisecond
	// refusalBackoff is how long no reclaimable instances are ordered after the
	// cloud refused some.
	refusalBackoff = 2 * time.Second
	// reclaimBackoff is how long no reclaimable instances are ordered after a
	// reclaim notice: the cloud reclaims all of a data centre's reclaimable
	// instances and has no new ones for a while.
	reclaimBackoff = 6 * time.Second
	// scaleDownDelay is how long a surplus must last before instances are
	// released.
	scaleDownDelay = 4 * time.Second
	// idleScaleDownDelay replaces scaleDownDelay before the first request, when
	// the surplus instances are idle and their replacements are already serving.
	// Two successive decisions must agree.
	idleScaleDownDelay = 2 * stepInterval
	// discoveryTime is how long it can take until the instances that ran before
	// the duty started are listed.
	discoveryTime = 3 * time.Second
	// demandLearningTime is how long the demand is observed before instances that
	// ran before the duty started are released.
	demandLearningTime = 2500 * time.Millisecond
	// reorderMargin is added to the boot time before the number of instances is
	// ordered again because fewer are ready.
	reorderMargin = 3 * time.Second
	// peakWindow is how long the largest number of ready instances is remembered.
	// It is about the time that the measured prefill time takes to follow a change
	// of the load.
	peakWindow = 20 * time.Second
	// All numbers are ordered again every unknownReorderInterval, for
	// unknownReorderWindow, after an order that got no answer: it may be executed
	// late and undo a newer order.
	unknownReorderInterval = 3 * time.Second
	unknownReorderWindow   = 14 * time.Second
)

// Config holds the parameters of a Duty.
type Config struct {
	Log       *slog.Logger
	Cloud     cloudduty.Client
	Token     func() int64 // fencing token; 0 while the duty is not held
	Table     func() *traffic.Table
	Instances *fleet.Set
	// Demands returns the demand for each service, summed over all daemons.
	Demands func() map[string]Demand
	Now     func() time.Duration
	Policy  Policy
	// Frozen reports whether the number of instances of a service must not change,
	// for example during a roll-out of a new version. Instances that replace those of an
	// evacuated data centre are ordered all the same.
	Frozen func(service string) bool
	// Evacuated reports whether a data centre's instances get no requests by order of the
	// operators; nil means that none is. They are kept, and none are ordered there.
	Evacuated func(dataCentre string) bool
}

// Duty plans the number of instances of each service and orders changes from the
// cloud.
type Duty struct {
	config   Config
	token    int64
	services map[string]*serviceState
}

// serviceState is the scaling state of one service.
type serviceState struct {
	pools                  map[InstancePool]*poolState
	discoveryEnds          time.Duration   // by then running instances are listed and daemons have reported demand
	initialInstances       int             // on-demand instances that ran before any order
	demandSince            time.Duration   // when demand was first seen; 0 if there was none yet
	learningDemand         bool            // the demand has not been observed for demandLearningTime
	onDemandStarting       bool            // ordered on-demand instances are within their boot time
	unknownOutcomeAt       time.Duration   // when an order got no answer; 0 if none is unresolved
	reorderedAt            time.Duration   // last repetition of all orders
	reclaimablePausedUntil time.Duration   // no reclaimable instances are ordered before this time
	evacuated              map[string]bool // data centres at the previous step
	releaseAfter           time.Duration   // no instances are released before this time
	peakReady              int             // most instances that were ready within peakWindow
	peakReadyAt            time.Duration
}

// poolState is the state of the orders for one pool.
type poolState struct {
	ordered      int           // number of instances last ordered, or running before any order
	acknowledged bool          // the cloud has acknowledged an order
	orderedAt    time.Duration // time of the latest order
	surplusSince time.Duration // since when fewer instances suffice; 0 if they do not
}

// New returns a Duty.
func New(config Config) *Duty { return &Duty{config: config} }

// Run calls Step every stepInterval until ctx ends.
func (d *Duty) Run(ctx context.Context) error {
	return duty.Every(ctx, stepInterval, d.Step)
}

// Step plans all services once and orders the changes.
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
		if service.Scaling == nil {
			continue
		}
		frozen := d.config.Frozen(name)
		if frozen && !d.anyEvacuated(service.Scaling) {
			continue
		}
		d.scaleService(ctx, token, service, demands[name], table.MinObjective(name), frozen)
	}
}

// poolCount is the number of listed instances of a pool; leaving ones are being
// reclaimed or shut down.
type poolCount struct{ ready, leaving int }

func (d *Duty) countInstances(service string) map[InstancePool]poolCount {
	counts := map[InstancePool]poolCount{}
	for _, i := range d.config.Instances.Snapshot(service) {
		pool := InstancePool{i.DataCentre, i.Reclaimable}
		c := counts[pool]
		if i.Leaving {
			c.leaving++
		} else {
			c.ready++
		}
		counts[pool] = c
	}
	return counts
}

func (d *Duty) scaleService(ctx context.Context, token int64, service *traffic.Service, demand Demand, objective time.Duration, frozen bool) {
	now := d.config.Now()
	counts := d.countInstances(service.Name)
	s := d.stateFor(service, counts)
	if s.demandSince == 0 && demand.BusyInstances > 0 {
		s.demandSince = now
	}
	s.learningDemand = s.demandSince == 0 || now-s.demandSince < demandLearningTime
	s.observe(counts, now)
	evacuated := d.evacuatedCentres(service.Scaling, s, counts)
	s.observeEvacuated(evacuated, now, service.WarmupTime)
	demand = demand.uncontended(s.peakReadyInstances(counts, now))
	plan := Plan(d.config.Policy, PlanInput{
		Scaling: service.Scaling, Evacuated: evacuated, RequiredInstances: d.requiredInstances(s, demand, objective), ReadyReclaimable: readyReclaimable(counts),
		OrderedReclaimable: s.ordered(true), OrderedOnDemand: s.ordered(false), ReclaimableUnavailable: now < s.reclaimablePausedUntil,
	})
	reorder := s.reorderAll(now)
	s.onDemandStarting = s.demandSince > 0 && s.hasBootingOnDemand(counts, now, service.Scaling.BootTime)
	for _, centre := range cheapestFirst(service.Scaling.Prices, evacuated) {
		for _, reclaimable := range []bool{false, true} {
			pool := InstancePool{centre, reclaimable}
			if frozen && plan[pool] <= s.pools[pool].ordered {
				continue
			}
			if s.orderDue(pool, plan[pool], counts[pool], reorder, now, service.Scaling.BootTime) {
				d.order(ctx, token, service.Name, pool, plan[pool], s, demand)
			}
		}
	}
}

// requiredInstances returns the number of instances for the load. While the
// demand is being learned, it is at least the number that ran at the start.
func (d *Duty) requiredInstances(s *serviceState, demand Demand, objective time.Duration) int {
	required := d.config.Policy.RequiredInstances(demand, objective)
	if s.learningDemand {
		return max(required, s.initialInstances)
	}
	return required
}

func (d *Duty) stateFor(service *traffic.Service, counts map[InstancePool]poolCount) *serviceState {
	s := d.services[service.Name]
	if s == nil {
		s = &serviceState{pools: map[InstancePool]*poolState{}, discoveryEnds: d.config.Now() + discoveryTime}
		d.services[service.Name] = s
	}
	for centre := range service.Scaling.Prices {
		for _, reclaimable := range []bool{false, true} {
			pool := InstancePool{centre, reclaimable}
			if s.pools[pool] == nil {
				s.pools[pool] = &poolState{ordered: counts[pool].ready}
			}
		}
	}
	return s
}

// observe updates the state from the listed instances: those that were started
// by others before the first order, and those that the cloud reclaims.
func (s *serviceState) observe(counts map[InstancePool]poolCount, now time.Duration) {
	initialInstances := 0
	for pool, p := range s.pools {
		c := counts[pool]
		if s.learningDemand && !p.acknowledged {
			p.ordered = max(p.ordered, c.ready)
		}
		if !pool.Reclaimable {
			initialInstances += p.ordered
		}
		if pool.Reclaimable && c.leaving > 0 && c.ready == 0 && p.ordered > 0 {
			s.reclaimablePausedUntil = max(s.reclaimablePausedUntil, now+reclaimBackoff)
			p.ordered = 0
		}
	}
	if s.learningDemand {
		s.initialInstances = max(s.initialInstances, initialInstances)
	}
}

// peakReadyInstances returns the largest number of instances that were ready
// within peakWindow. The prefill time was measured with that many instances, and a
// fleet that has just lost some must not appear less loaded.
func (s *serviceState) peakReadyInstances(counts map[InstancePool]poolCount, now time.Duration) int {
	ready := 0
	for _, c := range counts {
		ready += c.ready
	}
	if ready >= s.peakReady || now-s.peakReadyAt > peakWindow {
		s.peakReady, s.peakReadyAt = ready, now
	}
	return s.peakReady
}

// readyReclaimable returns the number of ready reclaimable instances by data
// centre.
func readyReclaimable(counts map[InstancePool]poolCount) map[string]int {
	ready := map[string]int{}
	for pool, c := range counts {
		if pool.Reclaimable {
			ready[pool.DataCentre] = c.ready
		}
	}
	return ready
}

// ordered returns the number of reclaimable or on-demand instances that were
// ordered, by data centre.
func (s *serviceState) ordered(reclaimable bool) map[string]int {
	ordered := map[string]int{}
	for pool, p := range s.pools {
		if pool.Reclaimable == reclaimable {
			ordered[pool.DataCentre] = p.ordered
		}
	}
	return ordered
}

// reorderAll reports whether all numbers are to be ordered again because an order
// without an answer may be executed late, and records the repetition.
func (s *serviceState) reorderAll(now time.Duration) bool {
	if s.unknownOutcomeAt == 0 || now-s.reorderedAt < unknownReorderInterval {
		return false
	}
	s.reorderedAt = now
	if now-s.unknownOutcomeAt > unknownReorderWindow {
		s.unknownOutcomeAt = 0
	}
	return true
}

// orderDue reports whether the wanted number of a pool is to be ordered now.
func (s *serviceState) orderDue(pool InstancePool, wanted int, current poolCount, reorder bool, now, boot time.Duration) bool {
	p := s.pools[pool]
	if pool.Reclaimable && now < s.reclaimablePausedUntil {
		return false
	}
	if s.learningDemand && !pool.Reclaimable && (now < s.discoveryEnds || wanted > p.ordered) {
		return false
	}
	if wanted >= p.ordered {
		p.surplusSince = 0
	} else if p.surplusSince == 0 {
		p.surplusSince = now
	}
	switch {
	case wanted > p.ordered:
		return true
	case wanted < p.ordered:
		return now >= s.releaseAfter && !s.onDemandStarting && s.surplusLasted(p.surplusSince, now)
	case !p.acknowledged && !s.learningDemand, reorder && p.acknowledged:
		return true
	}
	return p.acknowledged && current.ready < p.ordered && now-p.orderedAt > boot+reorderMargin
}

// hasBootingOnDemand reports whether ordered on-demand instances are within their
// boot time. The plan counts them as capacity, so releasing others meanwhile would
// leave too few. Of the reclaimable instances, the plan counts only ready ones.
func (s *serviceState) hasBootingOnDemand(counts map[InstancePool]poolCount, now, boot time.Duration) bool {
	for pool, p := range s.pools {
		if !pool.Reclaimable && p.acknowledged && counts[pool].ready < p.ordered && now-p.orderedAt < boot {
			return true
		}
	}
	return false
}

// surplusLasted reports whether a surplus that was first seen at since has lasted
// long enough. Right after the load has begun, the time in which the demand was
// learned counts too: no surplus is detected during that time, because at least
// the instances of the start are required.
func (s *serviceState) surplusLasted(since, now time.Duration) bool {
	switch {
	case s.demandSince == 0 && now >= s.discoveryEnds:
		return now-since >= idleScaleDownDelay
	case !s.learningDemand && since-s.demandSince < demandLearningTime+2*stepInterval:
		return now-s.demandSince >= scaleDownDelay
	}
	return now-since >= scaleDownDelay
}

func (d *Duty) order(ctx context.Context, token int64, service string, pool InstancePool, wanted int, s *serviceState, demand Demand) {
	if d.config.Token() != token {
		return
	}
	p := s.pools[pool]
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	err := d.config.Cloud.Order(ctx, token, cloudduty.Order{
		Service: service, DataCentre: pool.DataCentre, Instances: wanted, Reclaimable: pool.Reclaimable,
	})
	now := d.config.Now()
	d.config.Log.Info("instances ordered", "service", service, "data_centre", pool.DataCentre,
		"reclaimable", pool.Reclaimable, "before", p.ordered, "ordered", wanted, "busy", demand.BusyInstances, "delay", demand.ResidualPrefill, "token", token, "error", err)
	p.orderedAt = now
	switch {
	case err == nil:
		p.ordered, p.acknowledged, p.surplusSince = wanted, true, 0
		metrics.GetOrCreateCounter("rudder_scaling_orders_total").Inc()
	case errors.Is(err, cloudduty.ErrConflict) && pool.Reclaimable:
		s.reclaimablePausedUntil = now + refusalBackoff
	case errors.Is(err, cloudduty.ErrUnknown):
		s.unknownOutcomeAt = now
	}
}
