package routing

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/dogwoodrudder/dogwoodrudder/pkg/result"
)

// Filter removes candidates that must not be used.
type Filter interface {
	// Name identifies the filter in errors.
	Name() string
	// Keep reports whether the candidate may be used for the request.
	Keep(r *Request, c *Candidate) bool
}

// Scorer estimates one part of the cost of using a candidate, in seconds.
type Scorer interface {
	Score(v *View, c *Candidate) float64
}

// Picker chooses one of the eligible candidates of a view. The view has at
// least one.
type Picker interface {
	Pick(v *View) Decision
}

// WeightedScorer multiplies a scorer's result by a weight.
type WeightedScorer struct {
	Scorer Scorer
	Weight float64
}

// Reason is the rule of a picker that led to a decision.
type Reason string

// Reasons.
const (
	// ReasonCached means that the upstream probably holds a prefix.
	ReasonCached Reason = "cached"
	// ReasonPreferred means that the prefix is hashed to the upstream.
	ReasonPreferred Reason = "home"
	// ReasonSpread means that the request has no affinity or that the load bound
	// overrode it.
	ReasonSpread Reason = "spread"
	// ReasonBaseline marks the decisions of the baseline pickers.
	ReasonBaseline Reason = "baseline"
)

// Decision is the result of a pick.
type Decision struct {
	Candidate *Candidate
	Reason    Reason
	// CachedBlocks is the number of prompt blocks that the candidate probably
	// has in its cache.
	CachedBlocks int
	// Work is the expected work without the cached blocks, in work units; pass
	// it to Candidate.Begin.
	Work float64
	// Eligible is the number of candidates that passed the filters.
	Eligible int
}

// DefaultRate is used for candidates without a measured or nominal rate, in
// work units per second.
const DefaultRate = 8000

// Config configures a Scheduler.
type Config struct {
	Clock   clockwork.Clock
	Filters []Filter
	Scorers []WeightedScorer
	Picker  Picker
	// Index supplies the upstreams that probably hold a prefix, and is updated
	// with each pick; may be nil.
	Index *PrefixIndex
	// Rate replaces DefaultRate if positive, in work units per second.
	Rate float64
}

// Scheduler picks upstreams.
type Scheduler struct {
	config Config
	views  sync.Pool
}

// New returns a scheduler. A nil clock means the real one.
func New(config Config) *Scheduler {
	if config.Clock == nil {
		config.Clock = clockwork.NewRealClock()
	}
	if config.Rate <= 0 {
		config.Rate = DefaultRate
	}
	return &Scheduler{config: config, views: sync.Pool{New: func() any { return new(View) }}}
}

// NewDefault returns a scheduler with the standard filters, scorers and the
// affinity picker for a daemon with the given index.
func NewDefault(clock clockwork.Clock, index *PrefixIndex) *Scheduler {
	return New(Config{
		Clock: clock, Index: index,
		Filters: StandardFilters(), Scorers: StandardScorers(), Picker: NewAffinity(AffinityConfig{}),
	})
}

// retryAfterSeconds is the retry hint of refusals. Load reports are at most 5 s
// old in normal operation, but the numbers of attempts in flight change within
// a second.
const retryAfterSeconds = 1

// Pick chooses an upstream for r. It returns result.NoUpstream if no candidate
// passes the filters, result.Overloaded if only the concurrency limits prevent
// a pick, and result.DeadlineExceeded if the context is done or the deadline
// has passed.
func (s *Scheduler) Pick(ctx context.Context, r Request, candidates []*Candidate) (Decision, error) {
	now := s.config.Clock.Now()
	if ctx.Err() != nil || (!r.Deadline.IsZero() && !now.Before(r.Deadline)) {
		return Decision{}, result.New(result.DeadlineExceeded, result.NotRun,
			"the deadline of the request to service %q passed before an upstream was picked", r.Service)
	}
	v := s.views.Get().(*View)
	defer func() {
		v.release()
		s.views.Put(v)
	}()
	v.request = r
	limited := s.prepare(v, &v.request, now, candidates)
	if len(v.Eligible) == 0 {
		return Decision{}, noEligibleError(&v.request, limited)
	}
	d := s.config.Picker.Pick(v)
	d.Eligible = len(v.Eligible)
	d.CachedBlocks = v.CachedBlocks(d.Candidate)
	d.Work = v.uncachedWork(d.Candidate)
	if s.config.Index != nil {
		s.config.Index.add(d.Candidate.hash, r.Blocks, now)
	}
	return d, nil
}

// prepare fills the view and reports whether a concurrency limit removed a
// candidate that all other filters had kept.
func (s *Scheduler) prepare(v *View, r *Request, now time.Time, candidates []*Candidate) bool {
	v.Request, v.Now, v.rate, v.scorers = r, now, s.config.Rate, s.config.Scorers
	limited := false
	for _, c := range candidates {
		keep, byLimit := s.passesFilters(r, c)
		limited = limited || byLimit
		if keep {
			v.Eligible = append(v.Eligible, c)
		}
	}
	v.computeWaits()
	if s.config.Index != nil {
		v.holders = s.config.Index.match(r.Blocks, now, v.holders[:0])
	}
	return limited
}

// passesFilters reports whether all filters keep the candidate, and whether only
// LimitFilter removed it.
func (s *Scheduler) passesFilters(r *Request, c *Candidate) (keep, byLimit bool) {
	for _, f := range s.config.Filters {
		if f.Keep(r, c) {
			continue
		}
		if _, ok := f.(LimitFilter); !ok {
			return false, false
		}
		byLimit = true
	}
	return !byLimit, byLimit
}

// noEligibleError returns the error of a pick without an eligible candidate.
func noEligibleError(r *Request, limited bool) error {
	if limited {
		return result.New(result.Overloaded, result.NotRun,
			"all upstreams of service %q version %q are at their concurrency limit", r.Service, r.Version).
			WithRetryAfter(retryAfterSeconds)
	}
	return result.New(result.NoUpstream, result.NotRun,
		"no upstream of service %q version %q is available", r.Service, r.Version).
		WithRetryAfter(retryAfterSeconds)
}
