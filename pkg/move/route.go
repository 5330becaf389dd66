package move

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// Parameters of the tests of one route.
const (
	// recentRequests is the number of requests in which the share and the
	// failure rate of the old version in a data centre are measured.
	recentRequests = 200.0
	// sharePrior is the weight, in requests, of the ramp's share against the
	// measured one.
	sharePrior = 5.0
	minPlanned = 0.001
	// minExcess is the least excess rate for which a version is taken back; a
	// certain but smaller difference is left to the operator.
	minExcess = 0.02
	// minShared is the evidence that must remain when the strongest upstream
	// (or data centre) is left out. By chance the others reach it with a
	// probability of at most exp(-8) = 0.03% in each test. With 6, two of 200
	// versions with one bad instance were taken back at 100 requests a second.
	minShared = 8.0
	// suspension is how long a data centre whose requests fail alone is left
	// out of the tests.
	suspension = 2 * time.Minute
	// baselineShare is the share of the new version above which it is also
	// compared with the earlier rate of the old version, because too few
	// requests of the old version are left to compare with.
	baselineShare  = 0.5
	baselineExcess = 0.3
	// minHistory is the number of requests of the old version that its earlier
	// rate needs. A daemon that starts after the move has none: it assumes
	// unknownFailures and doesn't judge slow replies that way.
	minHistory      = 50
	unknownFailures = 0.1
	// minContrast is the evidence, as a logarithm, that slow replies must give
	// against a slowdown that both versions share: by chance it is reached with
	// a probability of about exp(-5) = 0.7%.
	minContrast = 5.0
	// maxUnwitnessed is the number of requests of the new version after which
	// its slow replies count although the old version got fewer than
	// minWitnesses requests meanwhile.
	maxUnwitnessed = 100
	minWitnesses   = 2
)

// relativeRisks are the alternatives of the concurrent test: how many times
// more likely a request of the new version fails.
var relativeRisks = [...]float64{3, 10, 40}

const (
	baselineTest   = len(relativeRisks)
	testsPerSignal = len(relativeRisks) + 1
)

type routeJudge struct {
	name     string
	limit    float64
	requests float64
	signals  map[Signal]*signalJudge
	known    int // upstreams of the new version, 0 if unknown
	// upstreams and dataCentres that served the new version.
	upstreams   map[string]bool
	dataCentres map[string]bool
	faulty      map[string]bool
	suspended   map[string]time.Time // by data centre, end
}

// signalJudge holds the tests of one signal on one route.
type signalJudge struct {
	signal Signal
	tests  [testsPerSignal]*cusum
	recent map[string]*recency // by data centre
	proof  *proof
	old    counts
}

type counts struct{ requests, bad float64 }

func (c *counts) add(more counts) {
	c.requests += more.requests
	c.bad += more.bad
}

// recency holds the last requests in a data centre. The share of the new
// version follows the ramp at once and the difference between the ramp and
// the requests slowly: measured over recentRequests alone it lagged behind a
// growing ramp, and in trials most good versions were taken back.
type recency struct {
	fresh, old counts
	// Requests of each version that the ramp would have given.
	expectedNew, expectedOld float64
	planned                  float64 // share by the ramp, 0 to 1
}

func (r *recency) add(planned float64, fresh, old counts) {
	r.planned = min(max(planned, minPlanned), 1-minPlanned)
	total := fresh.requests + old.requests
	r.expectedNew += r.planned * total
	r.expectedOld += (1 - r.planned) * total
	r.fresh.requests += fresh.requests
	r.fresh.bad += fresh.bad
	r.old.requests += old.requests
	r.old.bad += old.bad
	if total := r.fresh.requests + r.old.requests; total > recentRequests {
		scale := recentRequests / total
		for _, v := range []*float64{
			&r.fresh.requests, &r.fresh.bad, &r.old.requests, &r.old.bad, &r.expectedNew, &r.expectedOld,
		} {
			*v *= scale
		}
	}
}

// share is the probability that a request is one of the new version.
func (r *recency) share() float64 {
	odds := r.planned / (1 - r.planned) * (r.fresh.requests + sharePrior) * (r.expectedOld + sharePrior) /
		((r.old.requests + sharePrior) * (r.expectedNew + sharePrior))
	return odds / (1 + odds)
}

func newRouteJudge(name string, limit float64) *routeJudge {
	r := &routeJudge{
		name: name, limit: limit, signals: make(map[Signal]*signalJudge),
		upstreams: make(map[string]bool), dataCentres: make(map[string]bool),
		faulty: make(map[string]bool), suspended: make(map[string]time.Time),
	}
	for _, signal := range []Signal{Failures, Slow} {
		s := &signalJudge{signal: signal, recent: make(map[string]*recency), proof: newProof(signal)}
		for i := range s.tests {
			s.tests[i] = newCusum()
		}
		r.signals[signal] = s
	}
	return r
}

// add runs the tests over one interval and returns the evidence for taking
// the version back, or "".
func (r *routeJudge) add(now time.Time, share float64, samples []Sample) string {
	byDataCentre := make(map[string][]Sample)
	for _, s := range samples {
		r.requests += s.Requests
		if s.New {
			r.upstreams[s.Upstream] = true
			r.dataCentres[s.DataCentre] = true
		}
		byDataCentre[s.DataCentre] = append(byDataCentre[s.DataCentre], s)
	}
	for _, dataCentre := range sortedKeys(byDataCentre) {
		for _, signal := range []Signal{Failures, Slow} {
			r.signals[signal].addBatch(r, batch{now, share, dataCentre}, byDataCentre[dataCentre])
		}
	}
	for _, signal := range []Signal{Failures, Slow} {
		if evidence := r.decide(now, signal); evidence != "" {
			return evidence
		}
	}
	return ""
}

// batch identifies the samples of one data centre.
type batch struct {
	now        time.Time
	share      float64 // of the new version by the ramp, 0 to 1
	dataCentre string
}

// addBatch adds the samples of one data centre.
func (s *signalJudge) addBatch(r *routeJudge, b batch, samples []Sample) {
	var fresh, old counts
	byUpstream := make(map[string]counts)
	for _, one := range samples {
		bad := min(one.count(s.signal), one.Requests)
		switch {
		case !one.New:
			old.requests += one.Requests
			old.bad += bad
		case !r.faulty[one.Upstream]:
			c := byUpstream[one.Upstream]
			byUpstream[one.Upstream] = counts{c.requests + one.Requests, c.bad + bad}
			fresh.requests += one.Requests
			fresh.bad += bad
		}
	}
	recent := s.recent[b.dataCentre]
	if recent == nil {
		recent = &recency{}
		s.recent[b.dataCentre] = recent
	}
	recent.add(b.share, fresh, old)
	s.old.requests += old.requests
	s.old.bad += old.bad
	// The rate in the data centre covers an outage; the rate on the whole route
	// is the better estimate while there are few requests.
	baseline := max(rate(recent.old.bad, recent.old.requests), (s.old.bad+1)/(s.old.requests+20))
	for upstream, c := range byUpstream {
		s.proof.add(upstream, c.requests, c.bad, baseline)
	}
	if b.now.Before(r.suspended[b.dataCentre]) {
		return
	}
	s.compare(b.dataCentre, fresh, old, byUpstream, recent.share())
	if recent.share() > baselineShare {
		s.compareBaseline(b.dataCentre, fresh, old, byUpstream, recent)
	}
}

// compare is the concurrent test: if both versions are equally likely to fail,
// a failed request is one of the new version with a probability equal to its
// share of the requests around it, whatever the failure rate is. An outage
// that hits both versions therefore gives no evidence.
func (s *signalJudge) compare(dataCentre string, fresh, old counts, byUpstream map[string]counts, share float64) {
	for i, risk := range relativeRisks {
		test := s.tests[i]
		test.count(dataCentre, fresh, old)
		if fresh.bad+old.bad == 0 {
			continue
		}
		each := math.Log(1 - share + share*risk)
		test.record(dataCentre, byUpstream, fresh, math.Log(risk)-each)
		test.add(fresh.bad*math.Log(risk) - (fresh.bad+old.bad)*each)
	}
}

// compareBaseline compares the new version with the rate of the old one during
// the whole move, or in the data centre now if that is higher.
func (s *signalJudge) compareBaseline(dataCentre string, fresh, old counts, byUpstream map[string]counts, recent *recency) {
	const prior = 20 // requests at the lowest rate, for an old version without traffic
	if s.signal == Slow && s.old.requests < minHistory {
		return
	}
	p0 := 1.5 * (s.old.bad + prior*minBaseline) / (s.old.requests + prior)
	p0 = max(p0, rate(recent.old.bad, recent.old.requests))
	if s.old.requests < minHistory {
		p0 = max(p0, unknownFailures)
	}
	p0 = min(max(p0, minBaseline), maxBaseline)
	p1 := withExcess(p0, baselineExcess)
	test := s.tests[baselineTest]
	test.count(dataCentre, fresh, old)
	test.record(dataCentre, byUpstream, fresh, math.Log(p1/p0))
	test.add(bernoulli(fresh.requests, fresh.bad, p0, p1))
}

// decide returns the evidence if a test of a signal has reached its limit and
// the fault isn't confined to one instance or to one data centre.
func (r *routeJudge) decide(now time.Time, signal Signal) string {
	s := r.signals[signal]
	for i, test := range s.tests {
		if test.value < r.limit || test.excess() < minExcess {
			continue
		}
		if r.instanceFault(test) || r.dataCentreFault(now, test) {
			continue
		}
		if signal == Slow && i == baselineTest && s.sharedSlowdown(test) {
			continue
		}
		name := "old version before"
		if i < baselineTest {
			name = "old version at the same time"
		}
		return fmt.Sprintf("route %s: %s %.0f of %.0f, old version %.0f of %.0f, compared with the %s, log likelihood ratio %.1f (limit %.1f)",
			r.name, signal, test.newFailures, test.newRequests, test.oldFailures, test.oldRequests, name, test.value, r.limit)
	}
	return ""
}

// sharedSlowdown reports whether the replies of the old version in the same
// time don't rule out that both versions became slow together. An earlier rate
// can't tell the two apart: slow machines or links make replies of both slow.
func (s *signalJudge) sharedSlowdown(test *cusum) bool {
	if s.fullShare() || test.oldSince.requests < minWitnesses && test.freshSince.requests >= maxUnwitnessed {
		return false
	}
	return contrast(test.freshSince, test.oldSince) < minContrast
}

// fullShare reports whether the ramp leaves no requests to the old version.
func (s *signalJudge) fullShare() bool {
	for _, recent := range s.recent {
		if recent.planned < 1-minPlanned {
			return false
		}
	}
	return true
}

// contrast is the logarithm of the likelihood ratio of a rate for each version
// against one rate for both.
func contrast(a, b counts) float64 {
	both := counts{a.requests + b.requests, a.bad + b.bad}
	return likelihood(a) + likelihood(b) - likelihood(both)
}

// likelihood is the logarithm of the largest probability of c under any rate.
func likelihood(c counts) float64 {
	sum := 0.0
	for _, n := range [...]float64{c.bad, c.requests - c.bad} {
		if n > 0 {
			sum += n * math.Log(n/c.requests)
		}
	}
	return sum
}

// concentrated reports whether too little evidence remains without the
// strongest contributor.
func concentrated(test *cusum, contribution float64) bool {
	return test.gain()-contribution < minShared
}

// instanceFault sets aside the upstream that fails alone. A tenth of the
// upstreams, and at least one, may be set aside: if instances fail one after
// the other, the version is the likely cause.
func (r *routeJudge) instanceFault(test *cusum) bool {
	upstream, contribution := largest(test.upstreams)
	upstreams := r.known
	if upstreams == 0 {
		upstreams = len(r.upstreams)
	}
	if upstreams < 2 || upstream == "" || !concentrated(test, contribution) || len(r.faulty) >= max(1, upstreams/10) {
		return false
	}
	r.faulty[upstream] = true
	for _, signal := range r.signals {
		for _, other := range signal.tests {
			other.remove(other.upstreams, upstream)
		}
	}
	return true
}

// dataCentreFault leaves a data centre out for some time if the new version
// fails only there and the old version isn't seen to work there.
func (r *routeJudge) dataCentreFault(now time.Time, test *cusum) bool {
	dataCentre, contribution := largest(test.dataCentres)
	if len(r.dataCentres) < 2 || !concentrated(test, contribution) || test.oldWorks(dataCentre) {
		return false
	}
	suspended := 1
	for _, end := range r.suspended {
		if now.Before(end) {
			suspended++
		}
	}
	if suspended >= 2 && 2*suspended >= len(r.dataCentres) {
		return false
	}
	r.suspended[dataCentre] = now.Add(suspension)
	for _, signal := range r.signals {
		for _, other := range signal.tests {
			other.remove(other.dataCentres, dataCentre)
		}
	}
	return true
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
