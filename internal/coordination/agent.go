// Package coordination manages the state that all daemons share: account
// quotas, usage counts, the load of instances and what is known of their crashes.
// The Agent of each daemon reports to the Coordinator, which runs on the daemon that
// holds the coordinator duty. While there is no coordinator, each daemon uses only a
// fixed share of every quota, so that the daemons together stay within it.
package coordination

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	coordinatorv1 "github.com/dogwoodrudder/dogwoodrudder/api/coordinator/v1"
	"github.com/dogwoodrudder/dogwoodrudder/internal/fleet"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/crashguard"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/speed"
)

const (
	// minReportInterval is the minimum time between two reports. A daemon that
	// crashes loses the usage counts since its last report.
	minReportInterval = 125 * time.Millisecond
	// targetReportsPerSecond is the target rate of reports from all daemons
	// together. The coordinator spends about 2% of a core on 150 reports per
	// second.
	targetReportsPerSecond = 150.0
	// maxReportInterval is the maximum time between two reports. It bounds the age
	// of the shares, the loads and the list of leaving instances.
	maxReportInterval = 500 * time.Millisecond
	// reportTimeout bounds a report call. It is far above the round-trip time
	// between data centres.
	reportTimeout = 400 * time.Millisecond
	// borrowTimeout bounds how long a request waits for quota.
	borrowTimeout = 120 * time.Millisecond
	// creditHorizon is the time for which a daemon's local credit covers the
	// expected demand.
	creditHorizon = 600 * time.Millisecond
	// demandTimeConstant is the time constant of the smoothed demand.
	demandTimeConstant = 800 * time.Millisecond
	// coordinatorTimeout is the age of the coordinator's last response after
	// which it counts as unreachable.
	coordinatorTimeout = 1300 * time.Millisecond
	// useDeputyAfter is the age of the coordinator's last response after which
	// quota is borrowed from a deputy: the maximum report interval plus an
	// allowance for network delay.
	useDeputyAfter = 700 * time.Millisecond
	// fallbackShare is the fraction of its equal share of a quota that a daemon
	// uses without a coordinator.
	fallbackShare = 0.7
	// fallbackBurst bounds the unused fallback quota that accumulates, as a time
	// at the fallback rate.
	fallbackBurst = 2 * time.Second
	// quotaRetryAfter is the retry delay sent to a client whose account has no
	// quota left.
	quotaRetryAfter = 500 * time.Millisecond
	// reportedWindows is the number of recent usage windows included in every
	// report, so that a new coordinator receives their counts.
	reportedWindows = 4
)

// Link provides clients of the coordinator and of its deputy.
type Link interface {
	// Coordinator returns a client of the current coordinator, or false if no
	// coordinator is known.
	Coordinator() (coordinatorv1.CoordinatorClient, bool)
	// Deputy returns a client of the daemon that pools the quotas while there
	// is no coordinator, and its address. Daemons with the same membership list
	// choose the same deputy.
	Deputy() (client coordinatorv1.CoordinatorClient, address string, ok bool)
	// AvoidDeputy excludes the daemon at address from the choice of a deputy
	// for some time.
	AvoidDeputy(address string)
}

// AgentConfig holds the parameters of an Agent.
type AgentConfig struct {
	Daemon      string // as returned by DaemonID
	Log         *slog.Logger
	Link        Link
	Instances   *fleet.Set
	Daemons     func() int           // largest number of daemons known lately
	Civil       func() time.Time     // wall-clock time
	Now         func() time.Duration // monotonic, includes time in suspension
	UsageWindow time.Duration
	// SlackShare returns the part of the quota slack that this daemon may use
	// without a coordinator, in cost units.
	SlackShare func() float64
	// Crashes is what the daemon knows of instances that crashed.
	Crashes *crashguard.Guard
	// Speeds measures the instances; nil if nothing does.
	Speeds *speed.Learner
	// OnSpeeds is called when what is known of the speeds may have changed.
	OnSpeeds func()
	// Demand returns the service demand to report.
	Demand func() []*coordinatorv1.ServiceDemand
	// Rate returns the requests per second that the daemon receives.
	Rate func() float64
	// Evidence returns the request outcomes by version to report.
	Evidence func() []*coordinatorv1.VersionEvidence
	// Cursors returns this daemon's positions in the coordinator's mirrors.
	Cursors func() (fleet, operator *coordinatorv1.MirrorCursor)
	// OnResponse is called with each response and the time at which its report
	// was sent.
	OnResponse func(response *coordinatorv1.ReportResponse, sent time.Duration)
	// OnLost is called when the coordinator becomes unreachable.
	OnLost func()
}

// Agent is the client side of coordination in each daemon. It implements
// relay.Quota and relay.Meter.
type Agent struct {
	config  AgentConfig
	crashes crashExchange
	speeds  speedExchange

	mu                 sync.Mutex
	sequence           int64
	credits            map[string]*credit         // by account
	windows            map[int64]map[string]int64 // requests by usage window and account
	lastResponse       time.Duration              // time of the coordinator's last response; 0 if there was none
	lastDeputyResponse time.Duration              // time of the last response of a deputy
	loads              loadView
	usageAck           usageAck
	connected          bool          // the coordinator counts as reachable
	lastReport         time.Duration // time of the last report
	// rate and fleetRate are the requests per second that this daemon and all
	// daemons together receive.
	rate, fleetRate float64
}

// credit is the quota of one account that the daemon may use.
type credit struct {
	units      float64       // granted and not yet used, in cost units
	requested  float64       // cost units requested since the last report
	demand     float64       // smoothed cost units per second
	fallback   float64       // cost units available without a coordinator; negative is a debt
	accrued    float64       // cost units that fallback gained since settledAt
	lent       float64       // cost units taken from fallback that may still come back
	refilledAt time.Duration // when fallback was last updated
	settledAt  time.Duration // last response after which fallback started anew
	// short tells that the coordinator keeps what is left of the quota together, for the
	// requests for which daemons borrow.
	short bool
}

// observe adds the demand since the previous report to the smoothed demand.
func (c *credit) observe(elapsed time.Duration) {
	gain := min(elapsed.Seconds()/demandTimeConstant.Seconds(), 1)
	c.demand += gain * (c.requested/elapsed.Seconds() - c.demand)
	c.requested = 0
}

// NewAgent returns an agent without credit.
func NewAgent(config AgentConfig) *Agent {
	return &Agent{
		config: config, credits: map[string]*credit{}, windows: map[int64]map[string]int64{}, crashes: crashExchange{guard: config.Crashes},
		speeds: speedExchange{learner: config.Speeds, changed: config.OnSpeeds},
	}
}

// Run sends reports until ctx is done.
func (a *Agent) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		timer := time.NewTimer(a.interval())
		select {
		case <-ctx.Done():
		case <-timer.C:
			a.Report(ctx)
		}
		timer.Stop()
	}
	return ctx.Err()
}

// interval returns the time until the next report. Half of the target report
// rate is divided equally among the daemons and half in proportion to the
// requests that each receives: in a fleet of unequal machines, a few carry most
// of the usage, load and quota.
func (a *Agent) interval() time.Duration {
	share := 1 / float64(max(a.config.Daemons(), 1))
	a.mu.Lock()
	if a.fleetRate > 0 {
		share = (share + min(a.rate/a.fleetRate, 1)) / 2
	}
	a.mu.Unlock()
	interval := time.Duration(float64(time.Second) / (targetReportsPerSecond * share))
	return min(max(interval, minReportInterval), maxReportInterval)
}

// Report sends one report and returns whether the coordinator accepted it. Run
// calls it at each interval.
func (a *Agent) Report(ctx context.Context) bool {
	client, ok := a.config.Link.Coordinator()
	if !ok {
		a.recordFailure("no coordinator is known")
		a.shareWithDeputy(ctx)
		return false
	}
	request := a.makeReport()
	call, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	sent := a.config.Now()
	a.mu.Lock()
	request.Windows, request.UsageBase = a.usageAck.missing(request.Windows, sent-a.lastResponse)
	a.mu.Unlock()
	response, err := client.Report(call, request)
	if err != nil {
		if a.recordFailure(err.Error()) >= useDeputyAfter {
			a.shareWithDeputy(ctx)
		}
		return false
	}
	a.mu.Lock()
	a.usageAck.record(response.Token, request.Windows, request.UsageBase)
	a.mu.Unlock()
	a.applyResponse(request, response, sent)
	return true
}

// askDeputy calls the deputy. If the call fails, another deputy is chosen for the next
// one, unless ctx was cancelled, for example because the client disconnected.
func (a *Agent) askDeputy(ctx context.Context, timeout time.Duration, request *coordinatorv1.BorrowRequest) (*coordinatorv1.BorrowResponse, bool) {
	client, address, ok := a.config.Link.Deputy()
	if !ok {
		return nil, false
	}
	call, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	response, err := client.BorrowPooled(call, request)
	if err == nil {
		return response, true
	}
	if ctx.Err() == nil {
		a.config.Link.AvoidDeputy(address)
		a.config.Log.Debug("deputy did not answer, choosing another", "address", address, "error", err)
	}
	return nil, false
}

// Connected reports whether the coordinator counts as reachable, or none was known yet.
func (a *Agent) Connected() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.connected || a.lastResponse == 0
}

// recordFailure records a failed report. It logs and calls OnLost once per
// outage, and returns the time since the coordinator's last response.
func (a *Agent) recordFailure(reason string) time.Duration {
	metrics.GetOrCreateCounter("rudder_coordination_reports_failed_total").Inc()
	a.mu.Lock()
	defer a.mu.Unlock()
	sinceResponse := a.config.Now() - a.lastResponse
	if a.connected && sinceResponse > coordinatorTimeout {
		a.connected = false
		for _, c := range a.credits {
			c.short = false
		}
		a.config.Log.Warn("dependency lost", "dependency", "coordinator", "reason", reason)
		a.loads.reset()
		a.config.Instances.SetRemoteLoads(nil)
		a.config.OnLost()
	}
	return sinceResponse
}

// makeReport returns the next report. For each account it requests the credit
// that is missing for creditHorizon, or gives back the surplus if there is more
// than twice as much. It gives back all credit of an account that is short.
func (a *Agent) makeReport() *coordinatorv1.ReportRequest {
	a.mu.Lock()
	now := a.config.Now()
	elapsed := max(now-a.lastReport, time.Millisecond)
	a.lastReport = now
	a.sequence++
	request := &coordinatorv1.ReportRequest{Daemon: a.config.Daemon, Sequence: a.sequence}
	for name, c := range a.credits {
		c.observe(elapsed)
		d := &coordinatorv1.AccountDemand{Account: name, DemandPerSecond: c.demand}
		target := c.demand*creditHorizon.Seconds() - min(c.fallback, 0)
		switch {
		case c.short:
			d.Returned = max(c.units, 0)
			c.units -= d.Returned
		case c.units < target:
			d.Wanted = target - c.units
		case c.units > 2*target:
			d.Returned = c.units - target
			c.units = target
		}
		request.Accounts = append(request.Accounts, d)
	}
	for window, counts := range a.windows {
		for account, count := range counts {
			request.Windows = append(request.Windows, &coordinatorv1.WindowCount{Window: window, Account: account, Count: count})
		}
	}
	a.mu.Unlock()
	for id, load := range a.config.Instances.LocalLoads() {
		request.Loads = append(request.Loads, &coordinatorv1.InstanceLoad{
			Instance: id, Inflight: int32(load.Inflight), PrefillTokens: int32(load.PrefillTokens),
		})
	}
	request.Services = a.config.Demand()
	request.RequestsPerSecond = a.config.Rate()
	a.mu.Lock()
	a.rate = request.RequestsPerSecond
	request.LoadsCursor = a.loads.position()
	a.mu.Unlock()
	request.Evidence = a.config.Evidence()
	request.Fleet, request.Operator = a.config.Cursors()
	request.Crashes = a.crashes.request()
	a.speeds.addTo(request)
	return request
}

func (a *Agent) applyResponse(request *coordinatorv1.ReportRequest, response *coordinatorv1.ReportResponse, sent time.Duration) {
	a.mu.Lock()
	a.lastResponse = a.config.Now()
	a.fleetRate = response.RequestsPerSecond
	if !a.connected {
		a.connected = true
		a.config.Log.Info("dependency regained", "dependency", "coordinator", "token", response.Token)
	}
	for _, c := range a.credits {
		c.short = false
		c.settle(a.lastResponse)
	}
	for _, grant := range response.Grants {
		c := a.creditOf(grant.Account)
		c.receive(grant.Units)
		c.short = grant.Short
	}
	a.mu.Unlock()
	a.applyLoads(request, response)
	a.crashes.apply(response.Crashes)
	a.speeds.apply(response)
	a.config.OnResponse(response, sent)
}

func (a *Agent) creditOf(account string) *credit {
	c := a.credits[account]
	if c == nil {
		c = &credit{refilledAt: a.config.Now(), settledAt: max(a.lastResponse, a.lastDeputyResponse)}
		a.credits[account] = c
	}
	return c
}

// RequestStarted implements relay.Meter.
func (a *Agent) RequestStarted(account string) {
	window := a.config.Civil().UnixNano() / int64(a.config.UsageWindow)
	a.mu.Lock()
	defer a.mu.Unlock()
	counts := a.windows[window]
	if counts == nil {
		counts = map[string]int64{}
		a.windows[window] = counts
		for old := range a.windows {
			if old <= window-reportedWindows {
				delete(a.windows, old)
			}
		}
	}
	counts[account]++
}
