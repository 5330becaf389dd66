// Package edge assembles the edge daemon. The daemon mirrors the platform's store,
// forwards callers' requests to instances, takes part in the coordination of all
// daemons, and performs the single-writer duties while it is the coordinator.
package edge

import (
	"context"
	"log/slog"
	"math"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	coordinatorv1 "github.com/dogwoodrudder/dogwoodrudder/api/coordinator/v1"
	"github.com/dogwoodrudder/dogwoodrudder/internal/bootclock"
	"github.com/dogwoodrudder/dogwoodrudder/internal/cloudduty"
	"github.com/dogwoodrudder/dogwoodrudder/internal/coordination"
	"github.com/dogwoodrudder/dogwoodrudder/internal/crashwatch"
	"github.com/dogwoodrudder/dogwoodrudder/internal/duty"
	"github.com/dogwoodrudder/dogwoodrudder/internal/fleet"
	"github.com/dogwoodrudder/dogwoodrudder/internal/metering"
	"github.com/dogwoodrudder/dogwoodrudder/internal/mirror"
	"github.com/dogwoodrudder/dogwoodrudder/internal/peer"
	"github.com/dogwoodrudder/dogwoodrudder/internal/relay"
	"github.com/dogwoodrudder/dogwoodrudder/internal/rollout"
	"github.com/dogwoodrudder/dogwoodrudder/internal/scaling"
	"github.com/dogwoodrudder/dogwoodrudder/internal/settings"
	"github.com/dogwoodrudder/dogwoodrudder/internal/store"
	"github.com/dogwoodrudder/dogwoodrudder/internal/tunnel"
	"github.com/dogwoodrudder/dogwoodrudder/internal/uplink"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/crashguard"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/homes"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/lease"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/speed"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/warmup"
)

// Platform provides the daemon's interfaces to the users' platform.
type Platform struct {
	Store   mirror.Poller
	Cloud   cloudduty.Client // calls of the single-writer duties
	Reader  Reader
	Headers relay.HeaderCodec
	// Ready returns the handler of the readiness check.
	Ready func(ready func() bool) http.Handler
	// Directory returns the handler of the lookup of addresses by callers, who
	// keep an answer for ttl.
	Directory func(addresses func(lookup homes.Lookup, limit int) []string, ttl time.Duration) http.Handler
}

const (
	// configPollWait is the maximum wait of a poll for the configuration. Each
	// answer proves that the configuration is current, so this bounds the age
	// of the proof and lets API keys stay valid for the first 3 s of an outage.
	// The cost is one call in this time for each daemon.
	configPollWait = 1200 * time.Millisecond
	// coordinatorConfigPollWait replaces configPollWait at the coordinator.
	coordinatorConfigPollWait = 500 * time.Millisecond
	// configPollPause and coordinatorFleetPollPause are the pauses between two
	// polls. They are short compared with the 2 s within which a configuration
	// must apply and a leaving instance must stop getting work.
	configPollPause           = 200 * time.Millisecond
	coordinatorFleetPollPause = 400 * time.Millisecond
	// fallbackFleetPollPause replaces coordinatorFleetPollPause at a daemon
	// that is not the coordinator but polls the store itself. No other daemon
	// depends on its polls, and the calls of all such daemons add up: during a
	// wave of reclaims, each change ends every poll at once.
	fallbackFleetPollPause = 800 * time.Millisecond
	// fleetPollWait is the maximum wait of a poll for instances and daemons. A
	// failure of the configuration poll ends it early.
	fleetPollWait = 8 * time.Second
	// keyCheckMargin is the part of the key revocation bound reserved for
	// requests that have already passed the key check.
	keyCheckMargin = 500 * time.Millisecond
	// dialTimeout bounds connecting to an instance. After a failed connection
	// attempt nothing has been sent, so another instance can be tried.
	dialTimeout = 300 * time.Millisecond
	// ackTimeout is the time after which a connection to an instance that doesn't
	// acknowledge data, or that takes none, is closed. A sound instance may be silent for
	// a second or two. TCP_USER_TIMEOUT also ends keep-alive probes, whatever their count:
	// those of a connection to an instance are sent after 1 s and 2 s.
	ackTimeout = 2500 * time.Millisecond
	// instanceIdleTimeout is how long an idle connection to an instance is kept.
	instanceIdleTimeout = 10 * time.Second
	// maxFleetValueBytes is the largest entry of an instance or daemon that is kept.
	// Theirs have some hundred bytes.
	maxFleetValueBytes = 4 << 10
	// requestMemoryShare and replyMemoryShare are the shares of the machine's memory
	// that the bodies of requests, and what is buffered of replies, may take up. A body
	// is copied once when it is sent, and freed memory counts until it is collected.
	requestMemoryShare = 1.0 / 8
	replyMemoryShare   = 1.0 / 16
	// healthInterval is the time between two evaluations of the instances' health.
	healthInterval = 500 * time.Millisecond
	// dutyWorkers is the size of the worker pool that runs the duties. Each duty
	// occupies one worker.
	dutyWorkers = 24
	// peerIdleTimeout is the idle time after which a connection to another daemon is
	// closed, such as one to an earlier coordinator.
	peerIdleTimeout = 30 * time.Second
	// usagePlanKey is the store key of the usage report in progress,
	// usageCountsKey that of the usage counts it is made from.
	usagePlanKey   = "usage/report"
	usageCountsKey = "usage/counts"
)

// Daemon is one edge daemon.
type Daemon struct {
	settings *settings.Edge
	platform Platform
	log      *slog.Logger
	clock    clockwork.Clock

	instances   *fleet.Set
	members     *members
	link        *coordinatorLink
	state       *state
	peers       *peer.Pool
	holder      *lease.Holder
	coordinator *coordination.Coordinator
	agent       *coordination.Agent
	reporter    *metering.Reporter
	crashWatch  *crashwatch.Watch
	crashGuard  *crashguard.Guard
	speeds      *speed.Learner
	links       *uplink.Monitor
	tunnels     *tunnel.Server
	// tunnelListener is nil if the daemon accepts no tunnels.
	tunnelListener net.Listener
	// dialInstance connects to an instance directly.
	dialInstance func(ctx context.Context, address string) (net.Conn, error)
	relay        *relay.Relay
	// requestMemory and replyMemory limit what the relay buffers.
	requestMemory, replyMemory *relay.MemoryBudget
	civil                      *bootclock.Civil
	estimator                  *scaling.Estimator
	scaler                     *scaling.Duty
	splitter                   *rollout.Splitter
	rollouts                   *rollout.Duty
	evacuations                *evacuations      // nil if data centres can't be evacuated
	regions                    map[string]string // of each data centre
	warmup                     *warmup.Tracker

	position mirrorPosition
	deflater deflater
	// askReaders receives an item when the coordinator forwards nothing any more.
	askReaders chan struct{}
	// campaignsFrom is the time from which on a daemon on a small machine campaigns
	// for the coordinator duty after its start; 0 until its mirrors are current.
	campaignsFrom atomic.Int64
	// campaignsAfter is the time from which on the daemon campaigns if the store was restored
	// just before its start.
	campaignsAfter atomic.Int64
	// coordinatorRelay is the time of the last update from the coordinator.
	coordinatorRelay atomic.Int64

	rate          requestRate
	fleetRateBits atomic.Uint64 // requests per second of all daemons, as float64 bits; 0 if unknown

	draining atomic.Bool
	stopping atomic.Pointer[stopTimes] // nil until the daemon begins to stop
}

// New returns a daemon that does nothing until Run is called.
func New(s *settings.Edge, p Platform, log *slog.Logger) *Daemon {
	d := &Daemon{settings: s, platform: p, log: log, clock: clockwork.NewRealClock(), civil: bootclock.NewCivil(), regions: regionsOf(s), askReaders: make(chan struct{}, 1)}
	d.instances = fleet.NewSet(d.clock, log)
	d.members = newMembers(p.Store, log, member{
		Name: s.Name, Incarnation: d.civil.Now().UnixMilli(), DataCentre: s.DataCentre,
		Callers: s.CallersAddress, Coordinator: s.CoordinatorAddress, CPUShare: s.CPUShare, LinkMbps: s.LinkMbps,
		Tunnels: s.TunnelsAddress,
	})
	d.instances.DaemonCount = d.members.count
	if d.evacuations = newEvacuations(s.Bounds); d.evacuations != nil {
		d.instances.Constraints = append(d.instances.Constraints, d.evacuations)
	}
	d.peers = peer.NewPool(peerIdleTimeout, time.Now)
	d.link = &coordinatorLink{log: log, self: s.CoordinatorAddress, members: d.members, peers: d.peers, avoidedUntil: map[string]time.Duration{}, vacated: make(chan struct{}, 1)}
	d.link.dial = d.link.dialPeer
	d.members.unreachable = func() string {
		if d.agent.Connected() {
			return ""
		}
		return d.link.lostHolder()
	}
	d.state = &state{
		log: log, reader: p.Reader, instances: d.instances, members: d.members, link: d.link, noRegions: len(s.Regions) == 0, onOther: d.applyOtherChange,
	}
	d.buildWarmup()
	d.buildMirrors()
	d.holder = lease.New(lease.Config{
		Backend: store.LeaseBackend{Store: p.Store}, Clock: d.clock, Logger: log, Duty: "coordinator", Key: dutyKey,
		DaemonID: holderID(s.Name, s.CoordinatorAddress), TTL: max(s.Bounds.Lease, minLeaseTTL), Candidate: d.mayCampaign,
		Wake: d.link.vacated, BootTime: bootclock.Now, Generation: func() int64 { return store.CurrentGeneration(p.Store) },
	})
	d.splitter = rollout.NewSplitter()
	d.splitter.Serving = d.instances.Versions
	d.rollouts = rollout.New(rollout.Config{
		Log: log, Store: p.Store, Token: d.holder.Token, Civil: d.civil.Now, Policy: rollout.DefaultPolicy(),
		Evidence: d.fleetEvidence, Unproven: d.splitter.Unproven, Serving: d.instances.Versions,
		Status: p.Reader.RolloutStatus, Predecessor: d.holder.Predecessor, Known: d.splitter.State,
	})
	d.estimator = scaling.NewEstimator(bootclock.Now)
	d.crashGuard = crashguard.New(crashguard.Config{Now: bootclock.Now, Daemons: d.members.limitCount, OnChange: d.logQuarantine})
	d.buildSpeeds()
	d.buildCoordination()
	d.buildRelay()
	return d
}

// minLeaseTTL is the minimum lease TTL that pkg/lease supports.
const minLeaseTTL = 3 * time.Second

func (d *Daemon) buildMirrors() {
	operator, fleetPrefix := d.platform.Reader.Prefixes()
	contact := mirror.NewContact()
	d.state.fleet = mirror.New(mirror.Config{
		Store: d.platform.Store, Log: d.log, Prefix: fleetPrefix, MaxPollWait: func() time.Duration { return fleetPollWait }, PollPause: d.currentFleetPollPause, Now: bootclock.Now,
		Contact: contact, DelayRemoval: d.state.mayExpireInOutage, OnChanges: d.state.apply, MaxValueBytes: maxFleetValueBytes,
		Newer: d.platform.Reader.Newer, Unreconciled: func(key string) bool { return key == dutyKey },
		OnFirstList: d.checkGeneration,
		Backoff:     d.storeBackoff, HoldOff: func() bool { return d.state.operator.Failing() },
	})
	d.state.operator = mirror.New(mirror.Config{
		Store: d.platform.Store, Log: d.log, Prefix: operator, MaxPollWait: d.currentConfigPollWait, PollPause: func() time.Duration { return configPollPause }, Now: bootclock.Now,
		Contact: contact, OnConnectivityChange: d.state.fleet.InterruptPoll, OnChanges: d.state.apply, Backoff: d.storeBackoff,
		PauseAfterList: true, Newer: d.platform.Reader.Newer,
	})
}

// currentConfigPollWait returns the maximum wait of a poll for the configuration. It is
// shorter at the coordinator and at readers, because other daemons rely on their proof
// and receive it with a delay.
func (d *Daemon) currentConfigPollWait() time.Duration {
	if d.reads() {
		return coordinatorConfigPollWait
	}
	return configPollWait
}

// currentFleetPollPause returns the pause between two polls for instances and daemons.
func (d *Daemon) currentFleetPollPause() time.Duration {
	if d.reads() {
		return coordinatorFleetPollPause
	}
	return fallbackFleetPollPause
}

func (d *Daemon) buildCoordination() {
	s := d.settings
	d.coordinator = coordination.NewCoordinator(coordination.CoordinatorConfig{
		Log: d.log, Token: d.holder.Token, Predecessor: d.holder.Predecessor, Table: d.state.Table, Now: bootclock.Now, Daemons: d.members.count,
		KnownDaemons:   d.members.limitCount,
		AddMirrorDelta: d.addMirrorDelta,
		Members:        d.members.reportIDs, Civil: d.civil.Now,
		Rollouts: d.rolloutStates, Crashes: d.crashGuard, Speeds: d.speeds,
		UsageWindows: usageWindows(s.Bounds),
		Slack:        func() float64 { return s.Bounds.QuotaSlack / 2 },
		Overdraft:    quotaOverdraft(s.Bounds), OverdraftAfter: s.Bounds.QuotaWindow, MaxInitialLevel: quotaMaxInitialLevel(s.Bounds),
	})
	d.link.local = coordinatorServer{d.coordinator, d}
	d.agent = coordination.NewAgent(coordination.AgentConfig{
		Daemon: reportID(d.members.self), Log: d.log, Link: d.link, Instances: d.instances,
		Daemons: d.members.limitCount, Civil: d.civil.Now, Now: bootclock.Now, UsageWindow: s.Bounds.UsageWindow,
		SlackShare: func() float64 { return s.Bounds.QuotaSlack / 2 / float64(d.members.limitCount()) },
		Speeds:     d.speeds, OnSpeeds: d.applySpeeds,
		Crashes: d.crashGuard, Demand: d.serviceDemand,
		Evidence:   d.versionEvidence,
		Rate:       func() float64 { return d.rate.update(bootclock.Now()) },
		Cursors:    d.mirrorCursors,
		OnResponse: d.applyResponse,
		OnLost:     d.coordinatorLost,
	})
	d.reporter = metering.New(metering.Config{
		Log: d.log, Store: d.platform.Store, Key: usagePlanKey, Cloud: d.platform.Cloud, Token: d.holder.Token,
		Predecessor: d.holder.Predecessor,
		Counts:      d.coordinator.Counts, Civil: d.civil.Now, Window: s.Bounds.UsageWindow, Lateness: s.Bounds.UsageLateness,
	})
	d.scaler = scaling.New(scaling.Config{
		Log: d.log, Cloud: d.platform.Cloud, Token: d.holder.Token, Table: d.state.Table, Instances: d.instances,
		Demands: d.coordinator.Demands, Now: bootclock.Now, Policy: scaling.DefaultPolicy(),
		Frozen: d.rollouts.InProgress, Evacuated: d.evacuations.evacuated,
	})
}

func (d *Daemon) buildRelay() {
	s := d.settings
	pool := d.buildPool()
	d.instances.OnRemove = pool.CloseIdle
	d.crashWatch = crashwatch.New(crashwatch.Config{
		Log: d.log, Now: bootclock.Now, Connect: pool.Reachable, Alive: pool.Alive, Serving: d.instances.Serving,
		Guard: d.crashGuard, OnCrash: d.instanceCrashed,
	})
	d.requestMemory, d.replyMemory = memoryBudget(s, requestMemoryShare), memoryBudget(s, replyMemoryShare)
	d.relay = relay.New(relay.Options{
		Clock: d.clock, Log: d.log, Headers: d.platform.Headers, Configuration: d.state, Instances: d.instances, Pool: pool,
		Quota: d.agent, Meter: d.agent, RetryBudget: newRetryBudgets(s.Bounds, d.clock, d.members.limitCount), Versions: d.splitter,
		Demand:        d.estimator,
		Crashes:       d.crashWatch,
		RequestMemory: d.requestMemory, ReplyMemory: d.replyMemory,
		Evacuated: d.evacuatedInFull, Regions: d.regions,
		DataCentre: s.DataCentre, DaemonCount: d.members.limitCount, LoadShare: d.loadShare, MaxKeyAge: s.Bounds.KeyRevocation - keyCheckMargin,
		OnRequest: func() { d.rate.count.Add(1) },
		Draining:  d.draining.Load, RefuseDuringShutdown: func(deadline time.Time) bool { return d.stopping.Load().refuses(time.Now(), deadline) },
	})
}

// memoryBudget returns a budget of a share of the machine's memory.
func memoryBudget(s *settings.Edge, share float64) *relay.MemoryBudget {
	return relay.NewMemoryBudget(int64(share * float64(s.MemoryMB) * (1 << 20)))
}

// serviceDemand returns this daemon's demand for the report to the coordinator.
func (d *Daemon) serviceDemand() []*coordinatorv1.ServiceDemand {
	var demand []*coordinatorv1.ServiceDemand
	for service, own := range d.estimator.Demands() {
		demand = append(demand, &coordinatorv1.ServiceDemand{
			Service: service, Busy: own.BusyInstances, DelaySeconds: own.ResidualPrefill.Seconds(),
		})
	}
	return demand
}

// reportID returns the identifier of a daemon's incarnation in its reports.
func reportID(m member) string { return coordination.DaemonID(m.Name, m.Incarnation) }

// coordinatorServer serves the calls of other daemons.
type coordinatorServer struct {
	*coordination.Coordinator
	daemon *Daemon
}

// Follow implements coordinatorv1.CoordinatorServer.
func (s coordinatorServer) Follow(_ context.Context, r *coordinatorv1.FollowRequest) (*coordinatorv1.FollowResponse, error) {
	return s.daemon.follow(r)
}

// applyResponse applies the coordinator's response to a report.
func (d *Daemon) applyResponse(r *coordinatorv1.ReportResponse, sent time.Duration) {
	if r.Fleet != nil {
		d.coordinatorRelay.Store(int64(sent))
	}
	d.members.setSilent(r.Silent)
	d.applyRolloutStates(r.Rollouts)
	d.applyMirrorDelta(r, sent)
	d.fleetRateBits.Store(math.Float64bits(max(r.RequestsPerSecond, 1)))
}

// Ready reports whether the daemon can serve requests.
func (d *Daemon) Ready() bool {
	_, proved := d.state.operator.Age()
	proved = proved && !d.state.operator.Provisional() && !d.state.fleet.Provisional()
	return proved && d.state.Table() != nil && d.state.fleet.Synced() && !d.draining.Load()
}

// Addresses returns the addresses that callers should use.
func (d *Daemon) Addresses(lookup homes.Lookup, limit int) []string {
	all := d.members.reachable()
	if d.Ready() {
		all = append(all, d.members.self)
	}
	var addresses []string
	for _, m := range selectListed(d.nearHomes(all, lookup), d.fleetRequestRate()) {
		addresses = append(addresses, m.Callers)
	}
	return addresses[:min(len(addresses), limit)]
}

// fleetRequestRate returns the requests per second of all daemons. It is
// infinite while it is unknown, so that all daemons are listed.
func (d *Daemon) fleetRequestRate() float64 {
	if bits := d.fleetRateBits.Load(); bits != 0 {
		return math.Float64frombits(bits)
	}
	return math.Inf(1)
}

// Run serves until ctx is done, and then stops gracefully.
func (d *Daemon) Run(ctx context.Context) error {
	s := d.settings
	d.log.Info("daemon started", "name", s.Name, "data_centre", s.DataCentre, "callers", s.CallersAddress,
		"coordinator", s.CoordinatorAddress, "store", s.StoreAddress)
	d.registerGauges()
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

// boundDuty is a duty and the context that ends it.
type boundDuty struct {
	ctx context.Context
	run duty.Duty
}

// startDuties starts all duties of the daemon. Duties bound to serving end when
// the daemon begins to stop: they announce it, or hold or need the lease of the
// coordinator duty.
// Duties bound to work continue while the requests in flight finish.
func (d *Daemon) startDuties(work, serving context.Context, runner *duty.Runner) error {
	duties := []boundDuty{
		{work, duty.Duty{Name: "operator mirror", Run: d.state.operator.Run}},
		{work, duty.Duty{Name: "fleet mirror", Run: d.state.fleet.Run}},
		{work, duty.Duty{Name: "agent", Run: d.agent.Run}},
		{work, duty.Duty{Name: "readers", Run: d.followReaders}},
		{work, duty.Duty{Name: "health", Run: d.evaluateHealth}},
		{serving, duty.Duty{Name: "announce", Run: d.announce}},
		{serving, duty.Duty{Name: "lease", Run: d.holder.Run}},
		{serving, duty.Duty{Name: "roll-outs", Run: d.rollouts.Run}},
		{serving, duty.Duty{Name: "crash record", Run: d.keepCrashes}},
		{serving, duty.Duty{Name: "fleet size", Run: d.keepFleetSize}},
		{serving, duty.Duty{Name: "store generation", Run: d.keepGeneration}},
	}
	if d.settings.CloudAddress != "" {
		if d.settings.HasDuty("metering") {
			persister := &coordination.UsagePersister{
				Coordinator: d.coordinator, Store: d.platform.Store, Key: usageCountsKey, Token: d.holder.Token, Log: d.log,
			}
			duties = append(duties, boundDuty{serving, duty.Duty{Name: "metering", Run: d.reporter.Run}},
				boundDuty{serving, duty.Duty{Name: "counts", Run: persister.Run}})
		}
		if d.settings.HasDuty("autoscaler") {
			duties = append(duties, boundDuty{serving, duty.Duty{Name: "scaling", Run: d.scaler.Run}})
		}
	}
	if d.evacuations != nil {
		duties = append(duties, boundDuty{work, duty.Duty{Name: "evacuations", Run: d.watchEvacuations}})
	}
	for _, each := range duties {
		if err := runner.Start(each.ctx, each.run); err != nil {
			return errors.WithMessage(err, "start daemon")
		}
	}
	return nil
}

// announce announces the daemon to the others once it can serve, and keeps the
// announcement until ctx is done.
func (d *Daemon) announce(ctx context.Context) error {
	for !d.Ready() && ctx.Err() == nil {
		duty.Sleep(ctx, readyCheckInterval)
	}
	return d.members.run(ctx)
}

// readyCheckInterval is the time between two checks whether the daemon can serve.
const readyCheckInterval = 50 * time.Millisecond

func (d *Daemon) evaluateHealth(ctx context.Context) error {
	return duty.Every(ctx, healthInterval, func(context.Context) {
		d.instances.Evaluate()
		d.warmup.Sweep()
	})
}
