package routing

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dogwoodrudder/dogwoodrudder/pkg/object"
)

// Load is the load of an upstream, as stated in a reply or in a load report.
type Load struct {
	// Work is the outstanding work from all daemons, in work units.
	Work float64
	// Running and Waiting are numbers of requests.
	Running, Waiting int
	// Slots is the maximum number of running requests; 0 means unknown.
	Slots int
	// At is when the upstream measured the load.
	At time.Time
}

// Upstream is the fixed description of a candidate.
type Upstream struct {
	Name         string
	Address      string // ip:port
	Service      string
	Version      string
	DataCentre   string
	MachineClass string
	PricePerHour float64
	Labels       map[string]string
	// NominalRate is the expected rate in work units per second until replies
	// have been measured; 0 means the scheduler's default.
	NominalRate float64
}

// Candidate is an upstream with the state that this daemon knows about it.
// The state is updated concurrently with picks.
type Candidate struct {
	Upstream
	hash     uint64
	class    object.RequestClass // label LabelClass
	inFlight atomic.Int64
	work     atomic.Int64 // this daemon's outstanding work in work units
	limit    atomic.Int64 // maximum of inFlight; 0 means none
	// longInFlight counts the attempts of class long, longLimit bounds it; a
	// limit of 0 means none.
	longInFlight atomic.Int64
	longLimit    atomic.Int64
	leaving      atomic.Bool
	healthWeight atomic.Uint64 // bits of a float64
	// measuredRate holds the bits of a float64, in work units per second; 0
	// means not measured.
	measuredRate atomic.Uint64
	replyLoad    atomic.Pointer[loadSample]
	reportedLoad atomic.Pointer[loadSample]
}

// loadSample is a load with this daemon's own part of it.
type loadSample struct {
	Load
	// ownWork and ownInFlight are this daemon's outstanding work in work units
	// and its attempts in flight when the sample arrived.
	ownWork     float64
	ownInFlight int
	at          int64 // At in Unix nanoseconds
}

// NewCandidate returns a candidate without load or limit that isn't leaving and
// has health weight 1.
func NewCandidate(u Upstream) *Candidate {
	c := &Candidate{
		Upstream: u, hash: xxhash.Sum64String(u.Name),
		class: object.RequestClass(u.Labels[LabelClass]),
	}
	c.SetHealthWeight(1)
	return c
}

// InFlight returns the number of this daemon's unfinished attempts.
func (c *Candidate) InFlight() int { return int(c.inFlight.Load()) }

// InFlightOf returns the number of unfinished attempts of a class.
func (c *Candidate) InFlightOf(class object.RequestClass) int {
	if class == object.ClassLong {
		return int(c.longInFlight.Load())
	}
	return c.InFlight() - int(c.longInFlight.Load())
}

// OwnWork returns this daemon's outstanding work in work units.
func (c *Candidate) OwnWork() float64 { return float64(c.work.Load()) }

// SetLimit sets the concurrency limit for this daemon; 0 means none.
func (c *Candidate) SetLimit(limit int) { c.limit.Store(int64(limit)) }

// Limit returns the concurrency limit; 0 means none.
func (c *Candidate) Limit() int { return int(c.limit.Load()) }

// SetLongLimit bounds the attempts of class long within the limit; 0 means no
// separate bound.
func (c *Candidate) SetLongLimit(limit int) { c.longLimit.Store(int64(limit)) }

// SetLeaving records whether the upstream has announced that it is leaving.
func (c *Candidate) SetLeaving(leaving bool) { c.leaving.Store(leaving) }

// Leaving reports whether the upstream has announced that it is leaving.
func (c *Candidate) Leaving() bool { return c.leaving.Load() }

// SetHealthWeight sets the share of its normal traffic that the upstream
// should get, from 0 (ejected) to 1.
func (c *Candidate) SetHealthWeight(weight float64) {
	c.healthWeight.Store(math.Float64bits(max(0, min(1, weight))))
}

// HealthWeight returns the weight set by SetHealthWeight.
func (c *Candidate) HealthWeight() float64 { return math.Float64frombits(c.healthWeight.Load()) }

// SetReplyLoad records the load carried on a reply. Older samples are ignored.
func (c *Candidate) SetReplyLoad(l Load) { c.storeNewer(&c.replyLoad, l) }

// SetReportedLoad records a load report. Older samples are ignored.
func (c *Candidate) SetReportedLoad(l Load) { c.storeNewer(&c.reportedLoad, l) }

// storeNewer stores l unless the stored sample is newer.
func (c *Candidate) storeNewer(p *atomic.Pointer[loadSample], l Load) {
	next := &loadSample{Load: l, ownWork: c.OwnWork(), ownInFlight: c.InFlight(), at: l.At.UnixNano()}
	for {
		old := p.Load()
		if old != nil && next.at < old.at {
			return
		}
		if p.CompareAndSwap(old, next) {
			return
		}
	}
}

// latestLoad returns the newer of the last reply's load and the last load
// report, or nil if there is neither.
func (c *Candidate) latestLoad() *loadSample {
	reply, report := c.replyLoad.Load(), c.reportedLoad.Load()
	if reply == nil || (report != nil && report.at > reply.at) {
		return report
	}
	return reply
}

// ReportedLoad returns the newest load from a reply or report, or false if
// there is none.
func (c *Candidate) ReportedLoad() (Load, bool) {
	if sample := c.latestLoad(); sample != nil {
		return sample.Load, true
	}
	return Load{}, false
}

// rateDecay is the factor by which each sample lowers the kept maximum, so that
// an upstream that has become slower is noticed after a few dozen replies.
const rateDecay = 0.98

// ObserveRate records that work units took elapsed until the first byte. The
// candidate keeps a decaying maximum, because time spent in the upstream's
// queue can only make a sample too low.
func (c *Candidate) ObserveRate(work float64, elapsed time.Duration) {
	if work <= 0 || elapsed <= 0 {
		return
	}
	sample := work / elapsed.Seconds()
	for {
		old := c.measuredRate.Load()
		next := math.Max(sample, math.Float64frombits(old)*rateDecay)
		if c.measuredRate.CompareAndSwap(old, math.Float64bits(next)) {
			return
		}
	}
}

// Rate returns the measured rate, else the nominal rate, else fallback, in work
// units per second.
func (c *Candidate) Rate(fallback float64) float64 {
	if r := math.Float64frombits(c.measuredRate.Load()); r > 0 {
		return r
	}
	if c.NominalRate > 0 {
		return c.NominalRate
	}
	return fallback
}

// Attempt counts one attempt in its candidate's outstanding work and attempts
// in flight.
type Attempt struct {
	candidate     *Candidate
	class         object.RequestClass
	work          int64
	firstByteSeen atomic.Bool
	ended         atomic.Bool
}

// Begin counts an attempt with the given class and work. Call it directly
// after the pick, so that the next pick sees it.
func (c *Candidate) Begin(class object.RequestClass, work float64) *Attempt {
	a := &Attempt{candidate: c, class: class, work: int64(math.Max(1, math.Ceil(work)))}
	c.inFlight.Add(1)
	if class == object.ClassLong {
		c.longInFlight.Add(1)
	}
	c.work.Add(a.work)
	return a
}

// FirstByte marks the work as done; the attempt stays in flight until End.
func (a *Attempt) FirstByte() {
	if a.firstByteSeen.CompareAndSwap(false, true) {
		a.candidate.work.Add(-a.work)
	}
}

// End finishes the attempt, also without a first byte. Further calls have no
// effect.
func (a *Attempt) End() {
	if a.ended.CompareAndSwap(false, true) {
		a.FirstByte()
		a.candidate.inFlight.Add(-1)
		if a.class == object.ClassLong {
			a.candidate.longInFlight.Add(-1)
		}
	}
}
