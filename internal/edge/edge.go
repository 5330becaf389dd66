// Package edge assembles the daemon that serves callers from the platform's
// store: it follows the store, forwards requests, and takes part in the
// coordination and the single-writer duties.
package edge

import (
	"context"
	"log/slog"
	"math"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	coordinatorv1 "github.com/dogwoodrudder/dogwoodrudder/api/coordinator/v1"
	"github.com/dogwoodrudder/dogwoodrudder/internal/bootclock"
	"github.com/dogwoodrudder/dogwoodrudder/internal/cloudduty"
	"github.com/dogwoodrudder/dogwoodrudder/internal/coordination"
	"github.com/dogwoodrudder/dogwoodrudder/internal/duty"
	"github.com/dogwoodrudder/dogwoodrudder/internal/exchange"
	"github.com/dogwoodrudder/dogwoodrudder/internal/fleet"
	"github.com/dogwoodrudder/dogwoodrudder/internal/metering"
	"github.com/dogwoodrudder/dogwoodrudder/internal/mirror"
	"github.com/dogwoodrudder/dogwoodrudder/internal/peer"
	"github.com/dogwoodrudder/dogwoodrudder/internal/relay"
	"github.com/dogwoodrudder/dogwoodrudder/internal/rollout"
	"github.com/dogwoodrudder/dogwoodrudder/internal/scaling"
	"github.com/dogwoodrudder/dogwoodrudder/internal/settings"
	"github.com/dogwoodrudder/dogwoodrudder/internal/store"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/lease"
)

// Platform is what the daemon needs of the users' platform.
type Platform struct {
	Store     mirror.Poller
	Cloud     cloudduty.Caller
	Reader    Reader
	Wire      relay.HeaderCodec
	Ready     func(ready func() bool) http.Handler
	Directory func(addresses func(dataCentre string, limit int) []string, ttl time.Duration) http.Handler
}

const (
	// pollWait is the longest wait of the poll for the configuration. It bounds
	// the age of the configuration's proof, so that the keys outlast the first
	// 3 s of an outage, and costs one call per daemon.
	pollWait = 1200 * time.Millisecond
	// coordinatorWait is the same at the coordinator.
	coordinatorWait = 500 * time.Millisecond
	// pollPause and fleetPause are waits between two polls. They are small beside
	// the 2 s in which a configuration applies and a leaving instance gets no work.
	pollPause  = 200 * time.Millisecond
	fleetPause = 400 * time.Millisecond
	// soloPause takes the place of fleetPause at a daemon that follows by itself.
	// It has no others to tell, and all of them together make its calls: a wave
	// of reclaims ends each poll at once.
	soloPause = 800 * time.Millisecond
	// fleetWait is the longest wait of the poll for instances and daemons. A
	// failure of the other poll ends it early.
	fleetWait = 8 * time.Second
	// keyMargin is what is left of the revocation bound for a request that
	// has passed the check.
	keyMargin = 500 * time.Millisecond
	// dialTimeout bounds a connection to an instance; nothing was sent then,
	// so that another instance can be tried.
	dialTimeout = 300 * time.Millisecond
	// ackTimeout breaks connections to silent instances.
	ackTimeout = 1500 * time.Millisecond
	// idleLimit is how long a connection to an instance is kept.
	idleLimit = 10 * time.Second
	// healthInterval is the time between two evaluations of the instances' health.
	healthInterval = 500 * time.Millisecond
	// dutyWorkers is the size of the pool: one worker for each duty.
	dutyWorkers = 24
	// peerIdle closes connections to earlier coordinators.
	peerIdle = 30 * time.Second
	// usageKey holds the usage report that is due, countsKey the counts behind it.
	usageKey  = "usage/report"
	countsKey = "usage/counts"
)

// Daemon is one edge daemon.
type Daemon struct {
	settings *settings.Edge
	platform Platform
	log      *slog.Logger
	clock    clockwork.Clock

	instances   *fleet.Set
	members     *members
	link        *link
	state       *state
	peers       *peer.Pool
	holder      *lease.Holder
	coordinator *coordination.Coordinator
	agent       *coordination.Agent
	reporter    *metering.Reporter
	relay       *relay.Relay
	civil       *bootclock.Civil
	estimator   *scaling.Estimator
	scaler      *scaling.Duty
	splitter    *rollout.Splitter
	rollouts    *rollout.Duty

	followMu sync.Mutex
	follower follower

	rate requestRate
	load atomic.Uint64 // bits of the requests a second of all daemons; 0 if unknown

	draining atomic.Bool
	stopping atomic.Pointer[stopTimes] // nil while the daemon doesn't stop
}

// New returns a daemon that does nothing until Run.
func New(s *settings.Edge, p Platform, log *slog.Logger) *Daemon {
	d := &Daemon{settings: s, platform: p, log: log, clock: clockwork.NewRealClock(), civil: bootclock.NewCivil()}
	d.instances = fleet.NewSet(d.clock, log)
	d.members = newMembers(p.Store, log, member{
		Name: s.Name, Incarnation: d.civil.Now().UnixMilli(), DataCentre: s.DataCentre,
		Callers: s.CallersAddress, Coordinator: s.CoordinatorAddress, CPUShare: s.CPUShare, LinkMbps: s.LinkMbps,
	})
	d.instances.DaemonCount = d.members.count
	d.peers = peer.NewPool(peerIdle, time.Now)
	d.link = &link{log: log, self: s.CoordinatorAddress, members: d.members, peers: d.peers, doubts: map[string]time.Duration{}, vacant: make(chan struct{}, 1)}
	d.state = &state{
		log: log, reader: p.Reader, instances: d.instances, members: d.members, link: d.link, onOther: d.applyOther,
	}
	d.buildMirrors()
	d.holder = lease.New(lease.Config{
		Backend: store.LeaseBackend{Store: p.Store}, Clock: d.clock, Logger: log, Duty: "coordinator", Key: dutyKey,
		DaemonID: holderID(s.Name, s.CoordinatorAddress), TTL: max(s.Bounds.Lease, leastLease), Candidate: d.mayCampaign,
		Wake: d.link.vacant,
	})
	d.splitter = rollout.NewSplitter()
	d.rollouts = rollout.New(rollout.Config{
		Log: log, Store: p.Store, Token: d.holder.Token, Civil: d.civil.Now, Policy: rollout.DefaultPolicy(),
		Evidence: d.fleetEvidence, Status: p.Reader.RolloutStatus,
	})
	d.estimator = scaling.NewEstimator(bootclock.Now)
	d.buildCoordination()
	d.buildRelay()
	return d
}

// leastLease is the shortest lease that pkg/lease supports.
const leastLease = 3 * time.Second

func (d *Daemon) buildMirrors() {
	operator, fleetPrefix := d.platform.Reader.Prefixes()
	d.state.fleet = mirror.New(mirror.Config{
		Store: d.platform.Store, Log: d.log, Prefix: fleetPrefix, Wait: func() time.Duration { return fleetWait }, Pause: d.fleetPause, Now: bootclock.Now,
		Lenient: d.state.lenient, OnChange: d.state.apply,
	})
	d.state.operator = mirror.New(mirror.Config{
		Store: d.platform.Store, Log: d.log, Prefix: operator, Wait: d.operatorWait, Pause: func() time.Duration { return pollPause }, Now: bootclock.Now,
		OnContactChange: d.state.fleet.Interrupt, OnChange: d.state.apply,
	})
}

// operatorWait returns the longest wait of the poll for the configuration. The
// coordinator's proof serves all daemons and ages on the way to them.
func (d *Daemon) operatorWait() time.Duration {
	if d.holder.Valid() {
		return coordinatorWait
	}
	return pollWait
}

// fleetPause returns the wait between two polls for instances and daemons.
func (d *Daemon) fleetPause() time.Duration {
	if d.holder.Valid() {
		return fleetPause
	}
	return soloPause
}

func (d *Daemon) buildCoordination() {
	s := d.settings
	d.coordinator = coordination.NewCoordinator(coordination.CoordinatorConfig{
		Log: d.log, Token: d.holder.Token, Table: d.state.Table, Now: bootclock.Now, Daemons: d.members.count,
		AddMirrorDelta: d.completeReport,
		Members:        d.members.reportNames, Civil: d.civil.Now,
		Rollouts: d.rolloutStates,
		Slack:    func() float64 { return s.Bounds.QuotaSlack / 2 },
	})
	d.link.local = d.coordinator
	d.agent = coordination.NewAgent(coordination.AgentConfig{
		Daemon: reportName(d.members.self), Log: d.log, Link: d.link, Instances: d.instances,
		Daemons: d.members.count, Civil: d.civil.Now, Now: bootclock.Now, UsageWindow: s.Bounds.UsageWindow,
		SlackShare: func() float64 { return s.Bounds.QuotaSlack / 2 / float64(d.members.count()) },
		Demand:     d.serviceDemand,
		Evidence:   d.evidence,
		Rate:       func() float64 { return d.rate.update(bootclock.Now()) },
		Cursor:     d.cursor,
		OnResponse: d.acceptReport,
		OnLost:     d.loseCoordinator,
	})
	d.reporter = metering.New(metering.Config{
		Log: d.log, Store: d.platform.Store, Key: usageKey, Cloud: d.platform.Cloud, Token: d.holder.Token,
		Counts: d.coordinator.Counts, Civil: d.civil.Now, Window: s.Bounds.UsageWindow, Lateness: s.Bounds.UsageLateness,
	})
	d.scaler = scaling.New(scaling.Config{
		Log: d.log, Cloud: d.platform.Cloud, Token: d.holder.Token, Table: d.state.Table, Instances: d.instances,
		Demands: d.coordinator.Demands, Now: bootclock.Now, Policy: scaling.DefaultPolicy(),
		Frozen: d.rollouts.InProgress,
	})
}

func (d *Daemon) buildRelay() {
	s := d.settings
	pool := exchange.NewPool(exchange.Config{
		DialTimeout: dialTimeout, AckTimeout: ackTimeout, IdleTimeout: idleLimit,
	})
	d.instances.OnRemove = pool.CloseIdle
	d.relay = relay.New(relay.Options{
		Clock: d.clock, Log: d.log, Headers: d.platform.Wire, Configuration: d.state, Instances: d.instances, Pool: pool,
		Quota: d.agent, Meter: d.agent, RetryBudget: newBudgets(s.Bounds, d.clock, d.members.count), Versions: d.splitter,
		Demand:     d.estimator,
		DataCentre: s.DataCentre, DaemonCount: d.members.count, MaxKeyAge: s.Bounds.KeyRevocation - keyMargin,
		OnRequest: func() { d.rate.count.Add(1) },
		Draining:  d.draining.Load, RefuseDuringShutdown: func(deadline time.Time) bool { return d.stopping.Load().refuses(time.Now(), deadline) },
	})
}

// serviceDemand reports this daemon's demand to the coordinator.
func (d *Daemon) serviceDemand() []*coordinatorv1.ServiceDemand {
	var demand []*coordinatorv1.ServiceDemand
	for service, own := range d.estimator.Demands() {
		demand = append(demand, &coordinatorv1.ServiceDemand{
			Service: service, Busy: own.BusyInstances, DelaySeconds: own.ResidualPrefill.Seconds(),
		})
	}
	return demand
}

// reportName identifies one incarnation of a daemon in its reports.
func reportName(m member) string { return coordination.DaemonID(m.Name, m.Incarnation) }

// acceptReport takes over what the coordinator says about the other daemons.
func (d *Daemon) acceptReport(r *coordinatorv1.ReportResponse, sent time.Duration) {
	d.members.setSilent(r.Silent)
	d.acceptRollouts(r.Rollouts)
	d.follow(r, sent)
	d.load.Store(math.Float64bits(max(r.RequestsPerSecond, 1)))
}

// Ready reports whether the daemon can serve requests.
func (d *Daemon) Ready() bool {
	return d.state.Table() != nil && d.state.fleet.Synced() && !d.draining.Load()
}

// Addresses returns the addresses that callers should use.
func (d *Daemon) Addresses(_ string, limit int) []string {
	all := d.members.reachable()
	if d.Ready() {
		all = append(all, d.members.self)
	}
	var addresses []string
	for _, m := range listed(all, d.fleetLoad()) {
		addresses = append(addresses, m.Callers)
	}
	return addresses[:min(len(addresses), limit)]
}

// fleetLoad returns the requests a second of all daemons. It is unbounded while
// no coordinator tells it, so that all daemons are listed.
func (d *Daemon) fleetLoad() float64 {
	if bits := d.load.Load(); bits != 0 {
		return math.Float64frombits(bits)
	}
	return math.Inf(1)
}

// Run serves until ctx ends, and then stops gracefully.
func (d *Daemon) Run(ctx context.Context) error {
	s := d.settings
	d.log.Info("daemon started", "name", s.Name, "data_centre", s.DataCentre, "callers", s.CallersAddress,
		"coordinator", s.CoordinatorAddress, "store", s.StoreAddress)
	servers, err := d.listen()
	if err != nil {
		return err
	}
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	runner, err := duty.NewRunner(dutyWorkers, d.clock, d.log)
	if err != nil {
		return err
	}
	if err := d.startDuties(work, ctx, runner); err != nil {
		return err
	}
	<-ctx.Done()
	d.stop(work, servers)
	cancel()
	runner.Wait()
	d.log.Info("daemon stopped", "name", s.Name)
	return nil
}

// thread is a duty and the context that ends it.
type thread struct {
	ctx context.Context
	run duty.Duty
}

// startDuties starts the threads. Those that announce the daemon end with
// serving; the others go on while requests are finished.
func (d *Daemon) startDuties(work, serving context.Context, runner *duty.Runner) error {
	threads := []thread{
		{work, duty.Duty{Name: "operator mirror", Run: d.state.operator.Run}},
		{work, duty.Duty{Name: "fleet mirror", Run: d.state.fleet.Run}},
		{work, duty.Duty{Name: "agent", Run: d.agent.Run}},
		{work, duty.Duty{Name: "health", Run: d.evaluateHealth}},
		{serving, duty.Duty{Name: "announce", Run: d.announce}},
		{serving, duty.Duty{Name: "lease", Run: d.holder.Run}},
		{serving, duty.Duty{Name: "roll-outs", Run: d.rollouts.Run}},
	}
	if d.settings.CloudAddress != "" {
		if d.settings.HasDuty("metering") {
			persister := &coordination.UsagePersister{
				Coordinator: d.coordinator, Store: d.platform.Store, Key: countsKey, Token: d.holder.Token, Log: d.log,
			}
			threads = append(threads, thread{serving, duty.Duty{Name: "metering", Run: d.reporter.Run}},
				thread{serving, duty.Duty{Name: "counts", Run: persister.Run}})
		}
		if d.settings.HasDuty("autoscaler") {
			threads = append(threads, thread{serving, duty.Duty{Name: "scaling", Run: d.scaler.Run}})
		}
	}
	for _, each := range threads {
		if err := runner.Start(each.ctx, each.run); err != nil {
			return errors.WithMessage(err, "start daemon")
		}
	}
	return nil
}

// announce lists the daemon once it can serve.
func (d *Daemon) announce(ctx context.Context) error {
	for !d.Ready() && ctx.Err() == nil {
		duty.Sleep(ctx, announceCheck)
	}
	return d.members.run(ctx)
}

const announceCheck = 50 * time.Millisecond

func (d *Daemon) evaluateHealth(ctx context.Context) error {
	return duty.Every(ctx, healthInterval, func(context.Context) { d.instances.Evaluate() })
}
