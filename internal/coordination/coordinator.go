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
	"github.com/dogwoodrudder/dogwoodrudder/pkg/crashguard"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/speed"
)

const (
	// initialBucketFraction is the fraction of the burst in a new bucket where
	// MaxInitialLevel is nil: the previous coordinator may have granted the rest.
	initialBucketFraction = 0.5
	// largeRequestFraction is the fraction of the burst that the bucket must
	// hold to admit a request that costs more than this fraction. It equals
	// initialBucketFraction, so that a new bucket that holds as much admits such a request.
	largeRequestFraction = initialBucketFraction
	// shortFraction is the fraction of the burst below which a bucket grants no credit
	// ahead and the daemons give theirs back: in parts at many daemons, it covers no long
	// prompt at any.
	shortFraction = 0.5
	// yieldingShare is the part of the overdraft that requests which yield may use. The rest
	// is for the urgent ones of their account: it comes first while the quota is short.
	yieldingShare = 0.5
	// silentAfter is the age of a daemon's last report after which the daemon
	// counts as silent.
	silentAfter = 1200 * time.Millisecond
	// firstReportTime is the time after a daemon acquired the duty within which all
	// others report to it. Those that have not are silent.
	firstReportTime = 1500 * time.Millisecond
	// summaryInterval is how long the silent daemons and the request rate are kept
	// that are sent in each response. To collect them takes time in proportion to the
	// number of daemons.
	summaryInterval = 200 * time.Millisecond
	// reportRetention is the age of a daemon's last report after which the
	// report and its usage counts are dropped.
	reportRetention = 60 * time.Second
)

// CoordinatorConfig holds the parameters of a Coordinator.
type CoordinatorConfig struct {
	Log *slog.Logger
	// Token returns the fencing token of the coordinator duty, 0 while this
	// daemon doesn't hold the duty.
	Token func() int64
	// Predecessor returns the token that this daemon had when the store was restored from an
	// older copy, if nobody else has had the duty since, and 0 otherwise; nil means that the
	// store isn't restored.
	Predecessor func() int64
	Table       func() *traffic.Table // nil until there is a configuration
	Now         func() time.Duration  // monotonic, includes time in suspension
	// Daemons returns the number of live daemons.
	Daemons func() int
	// KnownDaemons returns the largest number of daemons known lately. What daemons may use
	// of a quota without a coordinator follows from it.
	KnownDaemons func() int
	// Members returns the DaemonID of each announced daemon.
	Members func() []string
	Civil   func() time.Time // wall-clock time
	// UsageWindows is the number of usage windows whose counts may still be asked for; with
	// less than minKeptWindows, that number are kept.
	UsageWindows int64
	// AddMirrorDelta adds the state of this daemon's mirrors to the response: the
	// entries that the reporting daemon lacks, and the age of the configuration.
	AddMirrorDelta func(*coordinatorv1.ReportRequest, *coordinatorv1.ReportResponse)
	// Slack returns how much of each quota all daemons together may use without
	// a coordinator, in addition to a share of the rate, in cost units.
	Slack func() float64
	// Overdraft returns the cost units by which the bucket of an account may fall below
	// zero for requests that daemons borrow for. It makes up for credit that lies unused at
	// daemons; nil means none.
	Overdraft func(*traffic.Account) float64
	// OverdraftAfter is how long a daemon must have held the duty to let buckets fall below
	// zero: the window in which quotas hold, so that no window has two overdrafts.
	OverdraftAfter time.Duration
	// MaxInitialLevel returns the most cost units that the bucket of an account may hold when
	// the duty is acquired: what each of the holders that follow one another in a window may
	// grant beyond the rate; nil means a fraction of the burst.
	MaxInitialLevel func(*traffic.Account) float64
	// Crashes is what this daemon knows of instances that crashed.
	Crashes *crashguard.Guard
	// Speeds is what this daemon knows of the instances' speeds; nil if nothing measures.
	Speeds *speed.Learner
	// Rollouts returns the state of each roll-out.
	Rollouts func() []*coordinatorv1.RolloutState
}

// Coordinator answers the agents while this daemon holds the coordinator duty.
type Coordinator struct {
	coordinatorv1.UnimplementedCoordinatorServer
	config CoordinatorConfig
	pool   *pool

	mu       sync.Mutex
	token    int64                    // fencing token under which the state below was collected
	acquired time.Duration            // when the duty was acquired
	buckets  map[string]*bucket       // by account
	reports  map[string]*daemonReport // by DaemonID
	recent   *recency                 // daemons that aren't silent
	loads    *loadTotals              // from these
	summary  summary
	speeds   *speed.Book // what the daemons have measured; nil if nothing does
	// restored is set once the usage counts of the previous holder were read.
	restored bool
}

// summary is what all responses tell about the daemons.
type summary struct {
	takenAt time.Duration // 0 if it was never taken
	silent  []string      // DaemonIDs
	rate    float64       // requests per second
}

// bucket is the quota of an account that has not been granted yet.
type bucket struct {
	level    float64       // cost units
	refilled time.Duration // when level was last updated
}

// DaemonID identifies one incarnation of a daemon in its reports.
func DaemonID(name string, incarnation int64) string {
	return name + "/" + strconv.FormatInt(incarnation, 10)
}

// latestIncarnations returns the announced incarnation of each daemon by name.
func latestIncarnations(members []string) map[string]int64 {
	latest := make(map[string]int64, len(members))
	for _, id := range members {
		if name, incarnation, ok := parseDaemonID(id); ok {
			latest[name] = incarnation
		}
	}
	return latest
}

func parseDaemonID(id string) (name string, incarnation int64, ok bool) {
	name, text, _ := strings.Cut(id, "/")
	incarnation, err := strconv.ParseInt(text, 10, 64)
	return name, incarnation, err == nil
}

// superseded reports whether a later incarnation of the daemon is announced, so
// that this one can't send any more reports.
func superseded(id string, latest map[string]int64) bool {
	name, incarnation, ok := parseDaemonID(id)
	return ok && latest[name] > incarnation
}

// daemonReport is the latest report of a daemon.
type daemonReport struct {
	sequence     int64
	received     time.Duration // when it was received
	countedCivil time.Time     // when the last report was received after which no counts are missing
	services     []*coordinatorv1.ServiceDemand
	evidence     []*coordinatorv1.VersionEvidence
	windows      map[int64]map[string]int64 // requests by usage window and account
	rate         float64                    // requests per second
	listsLoads   bool                       // the daemon is of a version that can't read differences of loads
}

// NewCoordinator returns a coordinator that refuses Report and Borrow while
// Token returns 0.
func NewCoordinator(config CoordinatorConfig) *Coordinator {
	return &Coordinator{
		config: config, buckets: map[string]*bucket{}, reports: map[string]*daemonReport{}, recent: newRecency(), loads: newLoadTotals(config.Now, 0),
		pool: newPool(poolConfig{now: config.Now, daemons: config.KnownDaemons, slack: config.Slack}),
	}
}

// checkDuty checks that this daemon holds the duty, and discards the collected
// state when the fencing token has changed. The caller holds the lock.
func (c *Coordinator) checkDuty() error {
	token := c.config.Token()
	if token == 0 {
		return status.Error(codes.FailedPrecondition, "this daemon is not the coordinator")
	}
	if token != c.token && c.continues() {
		c.token, c.loads.token = token, token
		for _, b := range c.buckets { // without the duty, daemons use their fallback quota
			b.refilled = c.config.Now()
		}
	}
	if token != c.token {
		c.token = token
		c.acquired = c.config.Now()
		c.buckets = map[string]*bucket{}
		c.reports = map[string]*daemonReport{}
		c.recent = newRecency()
		c.loads = newLoadTotals(c.config.Now, token)
		c.summary = summary{}
		c.speeds = newSpeedBook(c.config.Speeds, c.config.Now)
		c.restored = false
	}
	return nil
}

// continues reports whether the state was collected under the last token before a restore of
// the store, and nobody else has had the duty since. The caller holds the lock.
func (c *Coordinator) continues() bool {
	return c.token != 0 && c.config.Predecessor != nil && c.config.Predecessor() == c.token
}

// Report implements coordinatorv1.CoordinatorServer.
func (c *Coordinator) Report(_ context.Context, r *coordinatorv1.ReportRequest) (*coordinatorv1.ReportResponse, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.checkDuty(); err != nil {
		return nil, err
	}
	if c.storeReport(r) {
		mergeSpeeds(c.speeds, r)
	}
	response := &coordinatorv1.ReportResponse{Token: c.token, Rollouts: c.config.Rollouts()}
	if r.LoadsCursor != nil {
		response.LoadsDelta = c.loads.since(r.LoadsCursor)
	} else {
		response.Loads = c.loads.without(r.Daemon)
	}
	if now := c.config.Now(); c.summary.takenAt == 0 || now-c.summary.takenAt > summaryInterval {
		c.dropOldReports(now)
		c.summary = summary{takenAt: now, silent: c.silentDaemons(), rate: c.requestRate()}
	}
	response.Silent, response.RequestsPerSecond = c.summary.silent, c.summary.rate
	response.Crashes = answerCrashes(c.config.Crashes, r.Crashes)
	answerSpeeds(c.speeds, r, response)
	c.config.AddMirrorDelta(r, response)
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
		spare := b.level - account.Burst*shortFraction
		if spare < 0 {
			response.Grants = append(response.Grants, &coordinatorv1.Grant{Account: d.Account, Short: true})
			continue
		}
		units := max(min(d.Wanted, spare/2), 0)
		if units > 0 {
			b.level -= units
			response.Grants = append(response.Grants, &coordinatorv1.Grant{Account: d.Account, Units: units})
		}
	}
	return response, nil
}

// Borrow implements coordinatorv1.CoordinatorServer. A request is admitted if
// the bucket covers it. No quota is reserved for larger requests, so an account
// over its quota still gets its short requests admitted. A request that costs
// more than half of the burst needs only half of the burst in the bucket, whose
// level then drops below zero.
func (c *Coordinator) Borrow(_ context.Context, r *coordinatorv1.BorrowRequest) (*coordinatorv1.BorrowResponse, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.checkDuty(); err != nil {
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
	enough := min(r.Units, account.Burst*largeRequestFraction)
	if c.config.Overdraft != nil && c.config.Now()-c.acquired >= c.config.OverdraftAfter {
		overdraft := c.config.Overdraft(account)
		if r.Yields {
			overdraft *= yieldingShare
		}
		enough -= overdraft
	}
	if b.level >= enough {
		b.level -= r.Units
		return &coordinatorv1.BorrowResponse{Units: r.Units}, nil
	}
	wait := time.Duration((enough - b.level) / account.Rate * float64(time.Second))
	return &coordinatorv1.BorrowResponse{WaitMs: max(wait, quotaRetryAfter/5).Milliseconds()}, nil
}

// BorrowPooled implements coordinatorv1.CoordinatorServer. The daemon need not
// hold the duty. A request without an account only registers the calling daemon
// as a member of the pool and exchanges what is known of crashes.
func (c *Coordinator) BorrowPooled(_ context.Context, r *coordinatorv1.BorrowRequest) (*coordinatorv1.BorrowResponse, error) {
	table := c.config.Table()
	if table == nil {
		return nil, status.Error(codes.Unavailable, "no configuration")
	}
	account := table.Accounts[r.Account]
	if account == nil || account.Rate <= 0 {
		c.pool.register(r.Daemon)
		response := &coordinatorv1.BorrowResponse{Units: r.Units}
		if r.Crashes != nil {
			response.Crashes = answerCrashes(c.config.Crashes, r.Crashes)
		}
		return response, nil
	}
	return c.pool.borrow(account, r.Daemon, r.Units), nil
}

// storeReport stores a report if it is newer than the last one of its daemon. It
// returns whether it is.
func (c *Coordinator) storeReport(r *coordinatorv1.ReportRequest) bool {
	report := c.reports[r.Daemon]
	if report == nil {
		report = &daemonReport{windows: map[int64]map[string]int64{}}
		c.reports[r.Daemon] = report
	}
	if r.Sequence <= report.sequence {
		return false
	}
	report.sequence, report.received = r.Sequence, c.config.Now()
	if r.UsageBase == 0 || r.UsageBase == c.token {
		report.countedCivil = c.config.Civil()
	}
	report.services, report.evidence = r.Services, r.Evidence
	c.loads.set(r.Daemon, r.Loads)
	report.rate, report.listsLoads = r.RequestsPerSecond, r.LoadsCursor == nil
	report.addWindows(r.Windows, c.keptWindows())
	c.recent.touch(r.Daemon, report.received)
	c.expireSilent()
	return true
}

// expireSilent drops the loads of daemons that have become silent.
func (c *Coordinator) expireSilent() {
	for _, daemon := range c.recent.expire(c.config.Now(), silentAfter) {
		c.loads.set(daemon, nil)
	}
}

// dropOldReports drops reports and their usage counts after reportRetention.
func (c *Coordinator) dropOldReports(now time.Duration) {
	for name, old := range c.reports {
		if now-old.received > reportRetention {
			delete(c.reports, name)
		}
	}
}

// bucketOf returns the bucket of an account, refilled with a share of the
// account's rate. It returns nil if the account has no limit.
func (c *Coordinator) bucketOf(table *traffic.Table, name string, share float64) (*bucket, *traffic.Account) {
	account := table.Accounts[name]
	if account == nil || account.Rate <= 0 {
		return nil, nil
	}
	now := c.config.Now()
	b := c.buckets[name]
	if b == nil {
		// No other daemon has granted quota since this one acquired the duty.
		b = &bucket{level: c.initialLevel(account), refilled: c.acquired}
		c.buckets[name] = b
	}
	b.level = min(b.level+account.Rate*share*(now-b.refilled).Seconds(), account.Burst)
	b.refilled = now
	return b, account
}

// initialLevel returns the cost units in a new bucket.
func (c *Coordinator) initialLevel(account *traffic.Account) float64 {
	if c.config.MaxInitialLevel != nil {
		return min(account.Burst, c.config.MaxInitialLevel(account))
	}
	return account.Burst * initialBucketFraction
}

// refillShare returns the fraction of each rate that buckets are refilled with:
// all but what silent daemons may use as their fallback quota.
func (c *Coordinator) refillShare() float64 {
	daemons := max(c.config.Daemons(), 1)
	c.expireSilent()
	silent := max(daemons-c.recent.count(), 0)
	return 1 - fallbackShare*float64(silent)/float64(daemons)
}

// Counts returns the usage of a window by account, summed over all daemons.
// known is false until the counts of the previous holder are restored. complete
// is true if every daemon that can still report has done so since the window
// ended.
func (c *Coordinator) Counts(window int64, end time.Time) (total map[string]int64, known, complete bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.checkDuty() != nil || !c.restored {
		return nil, false, false
	}
	total = map[string]int64{}
	complete = true
	members := c.config.Members()
	latest := latestIncarnations(members)
	for id, report := range c.reports {
		for account, count := range report.windows[window] {
			total[account] += count
		}
		counted := report.windows[window] != nil || report.windows[window-1] != nil
		if counted && report.countedCivil.Before(end) && !superseded(id, latest) {
			complete = false
		}
	}
	for _, name := range members {
		if report := c.reports[name]; report == nil || report.countedCivil.Before(end) {
			complete = false
		}
	}
	return total, true, complete
}

// Demands sums the busy instances of each service over the daemons that report.
// It averages their residual prefill times, weighted by the busy instances.
func (c *Coordinator) Demands() map[string]scaling.Demand {
	c.mu.Lock()
	defer c.mu.Unlock()
	busy, delays := map[string]float64{}, map[string]float64{}
	for _, report := range c.reports {
		if c.config.Now()-report.received > silentAfter {
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

// silentDaemons returns the daemons that have stopped reporting but are not yet
// forgotten, and the announced ones that never reported to this holder of the duty.
func (c *Coordinator) silentDaemons() []string {
	var names []string
	if c.config.Now()-c.acquired > firstReportTime {
		for _, id := range c.config.Members() {
			if report := c.reports[id]; report == nil || report.sequence == 0 {
				names = append(names, id)
			}
		}
	}
	for name, report := range c.reports {
		if age := c.config.Now() - report.received; age > silentAfter && report.sequence > 0 {
			names = append(names, name)
		}
	}
	return names
}

// Evidence returns the request outcomes by version that the daemons reported.
func (c *Coordinator) Evidence() []*coordinatorv1.VersionEvidence {
	c.mu.Lock()
	defer c.mu.Unlock()
	var evidence []*coordinatorv1.VersionEvidence
	for _, report := range c.reports {
		evidence = append(evidence, report.evidence...)
	}
	return evidence
}

// requestRate returns the requests per second of all daemons that report.
func (c *Coordinator) requestRate() float64 {
	sum := 0.0
	for _, report := range c.reports {
		if c.config.Now()-report.received <= silentAfter {
			sum += report.rate
		}
	}
	return sum
}
