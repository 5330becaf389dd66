// Package coordination divides what holds for all daemons together: account
// quotas, usage counts and the load of instances. Each daemon's Agent reports
// to the Coordinator of the current holder, and works on with safe shares while
// there is none.
package coordination

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	coordinatorv1 "github.com/dogwoodrudder/dogwoodrudder/api/coordinator/v1"
	"github.com/dogwoodrudder/dogwoodrudder/internal/fleet"
	"github.com/dogwoodrudder/dogwoodrudder/internal/traffic"
)

const (
	// reportInterval is the least time between two reports. A daemon that dies
	// loses the usage counts since its last report.
	reportInterval = 125 * time.Millisecond
	// reportsPerSecond is the aim for the reports of all daemons together: 150
	// a second take about 2% of a core.
	reportsPerSecond = 150.0
	// reportLongest keeps shares, loads and leaving instances current.
	reportLongest = 500 * time.Millisecond
	// reportTimeout bounds a report; it is far above a round trip between data centres.
	reportTimeout = 400 * time.Millisecond
	// borrowTimeout bounds how long a request waits for quota.
	borrowTimeout = 120 * time.Millisecond
	// creditHorizon is the demand for which credit is kept at the daemon.
	creditHorizon = 600 * time.Millisecond
	// demandTime is the time over which demand is smoothed.
	demandTime = 800 * time.Millisecond
	// contactLimit is the age of the last answer after which the coordinator
	// counts as unreachable.
	contactLimit = 1300 * time.Millisecond
	// pooledAfter is the age of the last answer after which quota is borrowed
	// from a deputy: the longest interval of reports and some delay.
	pooledAfter = 700 * time.Millisecond
	// fallbackShare is the part of a daemon's equal share of a quota that it
	// uses without a coordinator.
	fallbackShare = 0.7
	// fallbackDepth is the time for which unused fallback share is saved up.
	fallbackDepth = 2 * time.Second
	// quotaRetry is the advice to a client whose account has no quota left.
	quotaRetry = 500 * time.Millisecond
	// keptWindows is the number of usage windows that are reported again and
	// again, so that a new coordinator learns them.
	keptWindows = 4
)

// Link reaches the coordinator.
type Link interface {
	// Coordinator returns a client of the current coordinator, or false.
	Coordinator() (coordinatorv1.CoordinatorClient, bool)
	// Deputy returns a client of the daemon that pools the quotas while there
	// is no coordinator, and its address. All daemons that know the same
	// daemons choose the same one.
	Deputy() (client coordinatorv1.CoordinatorClient, address string, ok bool)
	// Doubt has another deputy chosen for some time.
	Doubt(address string)
}

// AgentConfig holds the parameters of an Agent.
type AgentConfig struct {
	Daemon      string // DaemonID
	Log         *slog.Logger
	Link        Link
	Instances   *fleet.Set
	Daemons     func() int // number of live daemons
	Civil       func() time.Time
	Now         func() time.Duration // suspensions included
	UsageWindow time.Duration
	// SlackShare is the part of the quota slack that this daemon may use
	// without a coordinator, in cost units.
	SlackShare func() float64
	// Demand returns the service demand to report.
	Demand func() []*coordinatorv1.ServiceDemand
	// Rate returns the requests a second that reach the daemon.
	Rate func() float64
	// Evidence returns the outcomes by version to report.
	Evidence func() []*coordinatorv1.VersionEvidence
	// Cursor returns how far the daemon follows the coordinator's mirror.
	Cursor func() *coordinatorv1.MirrorCursor
	// OnResponse is called with each answer and the time at which its request
	// was sent.
	OnResponse func(response *coordinatorv1.ReportResponse, sent time.Duration)
	// OnLost is called when the coordinator doesn't answer any more.
	OnLost func()
}

// Agent is a daemon's side. It implements relay.Quota and relay.Meter.
type Agent struct {
	config AgentConfig

	mu       sync.Mutex
	sequence int64
	credits  map[string]*credit
	windows  map[int64]map[string]int64
	contact  time.Duration // of the last answer; 0 means never
	pooled   time.Duration // of the last answer of a deputy
	linked   bool
	reported time.Duration // of the latest report
	// rate and fleetRate are the requests a second that reach this daemon and all.
	rate, fleetRate float64
}

// credit is the quota of one account that the daemon may use.
type credit struct {
	units    float64
	asked    float64 // demand since the last report
	demand   float64 // per second
	fallback float64
	refilled time.Duration
}

// observe smooths the demand since the report before.
func (c *credit) observe(elapsed time.Duration) {
	gain := min(elapsed.Seconds()/demandTime.Seconds(), 1)
	c.demand += gain * (c.asked/elapsed.Seconds() - c.demand)
	c.asked = 0
}

// NewAgent returns an agent without credit.
func NewAgent(config AgentConfig) *Agent {
	return &Agent{config: config, credits: map[string]*credit{}, windows: map[int64]map[string]int64{}}
}

// Run reports until ctx ends.
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

// interval returns the time until the next report. Half of all reports are
// shared equally and half by the requests that reach a daemon: in a fleet of
// unequal machines few of them carry most of the usage, load and quota.
func (a *Agent) interval() time.Duration {
	share := 1 / float64(max(a.config.Daemons(), 1))
	a.mu.Lock()
	if a.fleetRate > 0 {
		share = (share + min(a.rate/a.fleetRate, 1)) / 2
	}
	a.mu.Unlock()
	interval := time.Duration(float64(time.Second) / (reportsPerSecond * share))
	return min(max(interval, reportInterval), reportLongest)
}

// Report makes one report and tells whether the coordinator took it. Run calls
// it at each interval.
func (a *Agent) Report(ctx context.Context) bool {
	request := a.makeReport()
	client, ok := a.config.Link.Coordinator()
	if !ok {
		a.lost("no coordinator is known")
		a.joinPool(ctx)
		return false
	}
	call, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	sent := a.config.Now()
	response, err := client.Report(call, request)
	if err != nil {
		if a.lost(err.Error()) >= pooledAfter {
			a.joinPool(ctx)
		}
		return false
	}
	a.accept(response, sent)
	return true
}

// joinPool brings this daemon's share into the deputy's pool before a request
// needs it.
func (a *Agent) joinPool(ctx context.Context) {
	a.askDeputy(ctx, reportTimeout, "", 0)
}

// askDeputy asks the deputy for units of an account's quota. Another deputy is
// chosen after a call failed, unless its caller ended it, such as a client that
// left.
func (a *Agent) askDeputy(ctx context.Context, timeout time.Duration, account string, units float64) (*coordinatorv1.BorrowResponse, bool) {
	client, address, ok := a.config.Link.Deputy()
	if !ok {
		return nil, false
	}
	call, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	response, err := client.BorrowPooled(call, &coordinatorv1.BorrowRequest{Daemon: a.config.Daemon, Account: account, Units: units})
	if err == nil {
		return response, true
	}
	if ctx.Err() == nil {
		a.config.Link.Doubt(address)
		a.config.Log.Debug("deputy does not answer", "address", address, "error", err)
	}
	return nil, false
}

// lost notes that the coordinator doesn't answer, once an outage. It returns
// the time since its last answer.
func (a *Agent) lost(reason string) time.Duration {
	metrics.GetOrCreateCounter("rudder_coordination_reports_failed_total").Inc()
	a.mu.Lock()
	defer a.mu.Unlock()
	silent := a.config.Now() - a.contact
	if a.linked && silent > contactLimit {
		a.linked = false
		a.config.Log.Warn("dependency lost", "dependency", "coordinator", "reason", reason)
		a.config.Instances.SetElsewhere(nil)
		a.config.OnLost()
	}
	return silent
}

func (a *Agent) makeReport() *coordinatorv1.ReportRequest {
	a.mu.Lock()
	now := a.config.Now()
	elapsed := max(now-a.reported, time.Millisecond)
	a.reported = now
	a.sequence++
	request := &coordinatorv1.ReportRequest{Daemon: a.config.Daemon, Sequence: a.sequence}
	for name, c := range a.credits {
		c.observe(elapsed)
		d := &coordinatorv1.AccountDemand{Account: name, DemandPerSecond: c.demand}
		target := c.demand * creditHorizon.Seconds()
		switch {
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
	for id, load := range a.config.Instances.Loads() {
		request.Loads = append(request.Loads, &coordinatorv1.InstanceLoad{
			Instance: id, Inflight: int32(load.Inflight), PrefillTokens: int32(load.Prefill),
		})
	}
	request.Services = a.config.Demand()
	request.RequestsPerSecond = a.config.Rate()
	a.mu.Lock()
	a.rate = request.RequestsPerSecond
	a.mu.Unlock()
	request.Evidence = a.config.Evidence()
	request.Fleet = a.config.Cursor()
	return request
}

func (a *Agent) accept(response *coordinatorv1.ReportResponse, sent time.Duration) {
	a.mu.Lock()
	a.contact = a.config.Now()
	a.fleetRate = response.RequestsPerSecond
	if !a.linked {
		a.linked = true
		a.config.Log.Info("dependency regained", "dependency", "coordinator", "token", response.Token)
	}
	for _, grant := range response.Grants {
		a.creditOf(grant.Account).units += grant.Units
	}
	a.mu.Unlock()
	loads := make(map[string]fleet.Load, len(response.Loads))
	for _, l := range response.Loads {
		loads[l.Instance] = fleet.Load{Inflight: int(l.Inflight), Prefill: int(l.PrefillTokens)}
	}
	a.config.Instances.SetElsewhere(loads)
	a.config.OnResponse(response, sent)
}

func (a *Agent) creditOf(account string) *credit {
	c := a.credits[account]
	if c == nil {
		c = &credit{refilled: a.config.Now()}
		a.credits[account] = c
	}
	return c
}

// Take implements relay.Quota.
func (a *Agent) Take(ctx context.Context, account *traffic.Account, cost float64) (bool, time.Duration) {
	a.mu.Lock()
	c := a.creditOf(account.Name)
	c.asked += cost
	if c.units >= cost {
		c.units -= cost
		a.mu.Unlock()
		return true, 0
	}
	missing := cost - c.units
	silent := a.config.Now() - a.contact
	linked := a.linked && silent < contactLimit
	a.mu.Unlock()
	borrow := a.borrowPooled
	if linked && silent < pooledAfter {
		borrow = a.borrow
	}
	if answered, granted, wait := borrow(ctx, account, cost, missing); answered {
		return granted, wait
	}
	return a.takeFallback(account, cost)
}

// borrow asks the coordinator for what is missing.
func (a *Agent) borrow(ctx context.Context, account *traffic.Account, cost, missing float64) (answered, granted bool, wait time.Duration) {
	client, ok := a.config.Link.Coordinator()
	if !ok {
		return a.borrowPooled(ctx, account, cost, missing)
	}
	ctx, cancel := context.WithTimeout(ctx, borrowTimeout)
	defer cancel()
	response, err := client.Borrow(ctx, &coordinatorv1.BorrowRequest{Daemon: a.config.Daemon, Account: account.Name, Units: missing})
	if err != nil {
		return false, false, 0
	}
	granted, wait = a.spend(account, cost, response)
	return true, granted, wait
}

// borrowPooled asks the deputy for what is missing.
func (a *Agent) borrowPooled(ctx context.Context, account *traffic.Account, cost, missing float64) (answered, granted bool, wait time.Duration) {
	response, ok := a.askDeputy(ctx, borrowTimeout, account.Name, missing)
	if !ok {
		return false, false, 0
	}
	a.mu.Lock()
	a.pooled = a.config.Now()
	a.mu.Unlock()
	granted, wait = a.spend(account, cost, response)
	return true, granted, wait
}

// spend takes the cost from the credit and what was borrowed.
func (a *Agent) spend(account *traffic.Account, cost float64, response *coordinatorv1.BorrowResponse) (granted bool, wait time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	c := a.creditOf(account.Name)
	c.units += response.Units
	if c.units >= cost {
		c.units -= cost
		return true, 0
	}
	return false, max(time.Duration(response.WaitMs)*time.Millisecond, quotaRetry/5)
}

// takeFallback uses the daemon's equal share, saved up since the coordinator
// or a deputy last answered. A share saved up before would be granted twice:
// the one that answered has granted it meanwhile.
func (a *Agent) takeFallback(account *traffic.Account, cost float64) (bool, time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	c := a.creditOf(account.Name)
	if answered := max(a.contact, a.pooled); answered > c.refilled {
		c.refilled, c.fallback = answered, 0
	}
	rate := account.Rate * fallbackShare / float64(max(a.config.Daemons(), 1))
	now := a.config.Now()
	c.fallback += rate * (now - c.refilled).Seconds()
	c.refilled = now
	c.fallback = min(c.fallback, max(rate*fallbackDepth.Seconds(), cost))
	if c.fallback+c.units+a.config.SlackShare() < cost {
		return false, quotaRetry
	}
	c.fallback -= cost - c.units
	c.units = 0
	return true, 0
}

// Return implements relay.Quota.
func (a *Agent) Return(account *traffic.Account, cost float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.creditOf(account.Name).units += cost
}

// Began implements relay.Meter.
func (a *Agent) Began(account string) {
	window := a.config.Civil().UnixNano() / int64(a.config.UsageWindow)
	a.mu.Lock()
	defer a.mu.Unlock()
	counts := a.windows[window]
	if counts == nil {
		counts = map[string]int64{}
		a.windows[window] = counts
		for old := range a.windows {
			if old <= window-keptWindows {
				delete(a.windows, old)
			}
		}
	}
	counts[account]++
}
