package coordination

import (
	"context"
	"log/slog"
	"strconv"
	"strings"
	"sync"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	coordinatorv1 "github.com/dogwoodrudder/dogwoodrudder/api/coordinator/v1"
	"github.com/dogwoodrudder/dogwoodrudder/internal/scaling"
	"github.com/dogwoodrudder/dogwoodrudder/internal/traffic"
)

const (
	// startLevel is the part of the burst with which a bucket starts: the
	// coordinator before may have granted the rest.
	startLevel = 0.5
	// largeLevel is the part of the burst that lets a larger request pass. A
	// bucket starts with as much.
	largeLevel = startLevel
	// silentAfter is the age of a report after which its daemon counts as silent.
	silentAfter = 1200 * time.Millisecond
	// forgetAfter is the age of a report after which its usage counts are dropped.
	forgetAfter = 60 * time.Second
)

// CoordinatorConfig holds the parameters of a Coordinator.
type CoordinatorConfig struct {
	Log *slog.Logger
	// Token returns the fencing token of the duty, 0 while it isn't held.
	Token func() int64
	Table func() *traffic.Table
	Now   func() time.Duration // suspensions included
	// Daemons returns the number of live daemons.
	Daemons func() int
	// Members returns the DaemonID of each announced daemon.
	Members func() []string
	Civil   func() time.Time
	// Complete adds what the coordinator's mirrors have beyond the daemon's.
	Complete func(*coordinatorv1.ReportRequest, *coordinatorv1.ReportResponse)
	// Slack is the part of each quota that all daemons together may use
	// without a coordinator, beside a share of the rate, in cost units.
	Slack func() float64
	// Rollouts returns the state of moves between versions.
	Rollouts func() []*coordinatorv1.RolloutState
}

// Coordinator answers the agents while the daemon holds the duty.
type Coordinator struct {
	coordinatorv1.UnimplementedCoordinatorServer
	config CoordinatorConfig
	pool   *pool

	mu      sync.Mutex
	token   int64         // for which the state below was gathered
	since   time.Duration // when the duty was taken
	buckets map[string]*bucket
	reports map[string]*daemonReport
	loads   *loadSums // of the reports that aren't silent
	// restored tells that the usage counts of the holder before were read.
	restored bool
}

// bucket is the quota of an account that isn't granted yet.
type bucket struct {
	level  float64
	filled time.Duration
}

// DaemonID names one incarnation of a daemon in its reports.
func DaemonID(name string, incarnation int64) string {
	return name + "/" + strconv.FormatInt(incarnation, 10)
}

// successors returns the incarnation of each announced daemon by name.
func successors(members []string) map[string]int64 {
	newest := make(map[string]int64, len(members))
	for _, id := range members {
		if name, incarnation, ok := parseDaemonID(id); ok {
			newest[name] = incarnation
		}
	}
	return newest
}

func parseDaemonID(id string) (name string, incarnation int64, ok bool) {
	name, text, _ := strings.Cut(id, "/")
	incarnation, err := strconv.ParseInt(text, 10, 64)
	return name, incarnation, err == nil
}

// superseded reports whether a later incarnation of the daemon is announced, so
// that no further report can come.
func superseded(id string, newest map[string]int64) bool {
	name, incarnation, ok := parseDaemonID(id)
	return ok && newest[name] > incarnation
}

// daemonReport is the latest report of a daemon.
type daemonReport struct {
	sequence int64
	at       time.Duration
	heard    time.Time // civil time of at
	services []*coordinatorv1.ServiceDemand
	evidence []*coordinatorv1.VersionEvidence
	windows  map[int64]map[string]int64
	rate     float64 // requests a second
}

// NewCoordinator returns a coordinator that refuses calls until Token is set.
func NewCoordinator(config CoordinatorConfig) *Coordinator {
	return &Coordinator{
		config: config, buckets: map[string]*bucket{}, reports: map[string]*daemonReport{}, loads: newLoadSums(),
		pool: newPool(poolConfig{now: config.Now, daemons: config.Daemons, slack: config.Slack}),
	}
}

// hold checks the duty and starts afresh after it changed hands. The caller
// holds the lock.
func (c *Coordinator) hold() error {
	token := c.config.Token()
	if token == 0 {
		return status.Error(codes.FailedPrecondition, "this daemon is not the coordinator")
	}
	if token != c.token {
		c.token = token
		c.since = c.config.Now()
		c.buckets = map[string]*bucket{}
		c.reports = map[string]*daemonReport{}
		c.loads = newLoadSums()
		c.restored = false
	}
	return nil
}

// Report implements coordinatorv1.CoordinatorServer.
func (c *Coordinator) Report(_ context.Context, r *coordinatorv1.ReportRequest) (*coordinatorv1.ReportResponse, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.hold(); err != nil {
		return nil, err
	}
	c.keep(r)
	response := &coordinatorv1.ReportResponse{Token: c.token, Loads: c.loads.without(r.Daemon), Rollouts: c.config.Rollouts()}
	response.Silent = c.silent()
	response.RequestsPerSecond = c.requestRate()
	c.config.Complete(r, response)
	table := c.config.Table()
	if table == nil {
		return response, nil
	}
	share := c.refillShare()
	for _, d := range r.Accounts {
		b, account := c.bucketOf(table, d.Account, share)
		if b == nil {
			continue
		}
		b.level = min(b.level+d.Returned, account.Burst)
		units := max(min(d.Wanted, b.level/2), 0)
		if units > 0 {
			b.level -= units
			response.Grants = append(response.Grants, &coordinatorv1.Grant{Account: d.Account, Units: units})
		}
	}
	return response, nil
}

// Borrow implements coordinatorv1.CoordinatorServer. A request passes if the
// level covers it, so that an account over its quota still gets what fits: its
// short requests aren't refused for the sake of long ones. One that is larger
// than half of the burst needs only that, and the bucket falls below zero.
func (c *Coordinator) Borrow(_ context.Context, r *coordinatorv1.BorrowRequest) (*coordinatorv1.BorrowResponse, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.hold(); err != nil {
		return nil, err
	}
	table := c.config.Table()
	if table == nil {
		return nil, status.Error(codes.Unavailable, "no configuration")
	}
	b, account := c.bucketOf(table, r.Account, c.refillShare())
	if b == nil {
		return &coordinatorv1.BorrowResponse{Units: r.Units}, nil
	}
	enough := min(r.Units, account.Burst*largeLevel)
	if b.level >= enough {
		b.level -= r.Units
		return &coordinatorv1.BorrowResponse{Units: r.Units}, nil
	}
	wait := time.Duration((enough - b.level) / account.Rate * float64(time.Second))
	return &coordinatorv1.BorrowResponse{WaitMs: max(wait, quotaRetry/5).Milliseconds()}, nil
}

// BorrowPooled implements coordinatorv1.CoordinatorServer. It needs no duty. A
// request without an account only tells that the daemon uses the pool.
func (c *Coordinator) BorrowPooled(_ context.Context, r *coordinatorv1.BorrowRequest) (*coordinatorv1.BorrowResponse, error) {
	table := c.config.Table()
	if table == nil {
		return nil, status.Error(codes.Unavailable, "no configuration")
	}
	account := table.Accounts[r.Account]
	if account == nil || account.Rate <= 0 {
		c.pool.announce(r.Daemon)
		return &coordinatorv1.BorrowResponse{Units: r.Units}, nil
	}
	return c.pool.borrow(account, r.Daemon, r.Units), nil
}

// keep stores the newest report of a daemon.
func (c *Coordinator) keep(r *coordinatorv1.ReportRequest) {
	report := c.reports[r.Daemon]
	if report == nil {
		report = &daemonReport{windows: map[int64]map[string]int64{}}
		c.reports[r.Daemon] = report
	}
	if r.Sequence <= report.sequence {
		return
	}
	report.sequence, report.at, report.heard = r.Sequence, c.config.Now(), c.config.Civil()
	report.services, report.evidence = r.Services, r.Evidence
	c.loads.set(r.Daemon, r.Loads)
	report.rate = r.RequestsPerSecond
	report.addWindows(r.Windows)
	for name, old := range c.reports {
		age := c.config.Now() - old.at
		if age > silentAfter {
			c.loads.set(name, nil)
		}
		if age > forgetAfter {
			delete(c.reports, name)
		}
	}
}

// bucketOf refills the bucket of an account with a share of its rate. It
// returns nil if the account has no limit.
func (c *Coordinator) bucketOf(table *traffic.Table, name string, share float64) (*bucket, *traffic.Account) {
	account := table.Accounts[name]
	if account == nil || account.Rate <= 0 {
		return nil, nil
	}
	now := c.config.Now()
	b := c.buckets[name]
	if b == nil {
		// Nobody else has granted anything since the duty was taken.
		b = &bucket{level: account.Burst * startLevel, filled: c.since}
		c.buckets[name] = b
	}
	b.level = min(b.level+account.Rate*share*(now-b.filled).Seconds(), account.Burst)
	b.filled = now
	return b, account
}

// refillShare leaves out what silent daemons may use by themselves.
func (c *Coordinator) refillShare() float64 {
	daemons := max(c.config.Daemons(), 1)
	reporting := 0
	for _, report := range c.reports {
		if c.config.Now()-report.at < silentAfter {
			reporting++
		}
	}
	silent := max(daemons-reporting, 0)
	return 1 - fallbackShare*float64(silent)/float64(daemons)
}

// Counts returns the usage of a window by account, summed over all daemons.
// known is false until the counts of the holder before are restored; complete
// tells that every daemon that still can has reported since the window's end.
func (c *Coordinator) Counts(window int64, end time.Time) (total map[string]int64, known, complete bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.hold() != nil || !c.restored {
		return nil, false, false
	}
	total = map[string]int64{}
	complete = true
	members := c.config.Members()
	newest := successors(members)
	for id, report := range c.reports {
		for account, count := range report.windows[window] {
			total[account] += count
		}
		counted := report.windows[window] != nil || report.windows[window-1] != nil
		if counted && report.heard.Before(end) && !superseded(id, newest) {
			complete = false
		}
	}
	for _, name := range members {
		if report := c.reports[name]; report == nil || report.heard.Before(end) {
			complete = false
		}
	}
	return total, true, complete
}

// Demands sums up what clients ask of each service by the daemons' reports. The
// delays are averaged by the work that they belong to.
func (c *Coordinator) Demands() map[string]scaling.Demand {
	c.mu.Lock()
	defer c.mu.Unlock()
	busy, delays := map[string]float64{}, map[string]float64{}
	for _, report := range c.reports {
		if c.config.Now()-report.at > silentAfter {
			continue
		}
		for _, s := range report.services {
			busy[s.Service] += s.Busy
			delays[s.Service] += s.Busy * s.DelaySeconds
		}
	}
	demands := make(map[string]scaling.Demand, len(busy))
	for service, sum := range busy {
		d := scaling.Demand{BusyInstances: sum}
		if sum > 0 {
			d.ResidualPrefill = time.Duration(delays[service] / sum * float64(time.Second))
		}
		demands[service] = d
	}
	return demands
}

// silent returns the daemons that stopped reporting shortly ago.
func (c *Coordinator) silent() []string {
	var names []string
	for name, report := range c.reports {
		if age := c.config.Now() - report.at; age > silentAfter && report.sequence > 0 {
			names = append(names, name)
		}
	}
	return names
}

// Evidence returns the outcomes by version that the daemons have reported.
func (c *Coordinator) Evidence() []*coordinatorv1.VersionEvidence {
	c.mu.Lock()
	defer c.mu.Unlock()
	var evidence []*coordinatorv1.VersionEvidence
	for _, report := range c.reports {
		evidence = append(evidence, report.evidence...)
	}
	return evidence
}

// requestRate sums the requests a second of all daemons that report.
func (c *Coordinator) requestRate() float64 {
	sum := 0.0
	for _, report := range c.reports {
		if c.config.Now()-report.at <= silentAfter {
			sum += report.rate
		}
	}
	return sum
}
