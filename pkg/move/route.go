package move

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// Parameters of the tests of one route.
const (
	// recentRequests is the number of requests over which the share of the new
	// version and the failure rate of the old one in a data centre are measured.
	recentRequests = 200.0
	// sharePrior is the weight, in requests, of the ramp's share relative to the
	// measured one.
	sharePrior = 5.0
	// minPlannedShare bounds the ramp's share away from 0 and 1, where its odds
	// are undefined.
	minPlannedShare = 0.001
	// minExcess is the minimum excess rate for which a version is taken back. A
	// smaller difference, even if significant, is left to the operator.
	minExcess = 0.02
	// minRemainingEvidence is the log-likelihood ratio that must remain when the
	// upstream (or data centre) that contributes most is excluded. The others
	// reach it by chance with a probability of at most exp(-8) = 0.03% in each
	// test. With 6, two of 200 versions with one bad instance were taken back at
	// 100 requests per second.
	minRemainingEvidence = 8.0
	// suspensionTime is how long a data centre is excluded from the tests if the
	// requests fail in no other data centre.
	suspensionTime = 2 * time.Minute
	// minBaselineTestShare is the share of the new version above which the
	// baseline test also runs. It compares the new version with the earlier rate
	// of the old one, because too few current requests of the old one are left.
	minBaselineTestShare = 0.5
	// baselineExcess is the excess rate of the baseline test's alternative.
	baselineExcess = 0.3
	// minBaselineRequests is the minimum number of requests of the old version
	// for its earlier rate to be used. A daemon that starts after the move has
	// none: it uses at least assumedFailureRate for failures, and doesn't run
	// the baseline test on slow replies.
	minBaselineRequests = 50
	assumedFailureRate  = 0.1
	// minSeparateRatesRatio is the minimum log-likelihood ratio against a slowdown
	// that both versions share. It is reached by chance with a probability of
	// about exp(-5) = 0.7%.
	minSeparateRatesRatio = 5.0
	// After maxUncomparedRequests requests, slow replies of the new version count
	// even if the old version got fewer than minComparedRequests requests in the
	// same time.
	maxUncomparedRequests = 100
	minComparedRequests   = 2
)

// relativeRisks are the alternatives of the concurrent test: how many times
// more likely a request of the new version fails.
var relativeRisks = [...]float64{3, 10, 40}

const (
	// baselineTest is the index of the baseline test in signalJudge.tests, after
	// one concurrent test for each of relativeRisks.
	baselineTest   = len(relativeRisks)
	testsPerSignal = len(relativeRisks) + 1
)

type routeJudge struct {
	name     string
	limit    float64
	requests float64
	signals  map[Signal]*signalJudge
	// knownUpstreams is the number of upstreams of the new version, 0 if unknown.
	knownUpstreams int
	// upstreams and dataCentres have served the new version.
	upstreams   map[string]bool
	dataCentres map[string]bool
	faulty      map[string]bool      // upstreams excluded from the tests
	suspended   map[string]time.Time // end of the suspension by data centre
}

// signalJudge holds the tests of one signal on one route.
type signalJudge struct {
	signal Signal
	tests  [testsPerSignal]*cusum
	recent map[string]*recentCounts // by data centre
	proof  *proof
	old    counts // of the old version during the whole move
}

// counts holds the number of requests and of bad (failed or slow) ones.
type counts struct{ requests, bad float64 }

func (c *counts) add(more counts) {
	c.requests += more.requests
	c.bad += more.bad
}

// recentCounts holds the recent requests in a data centre. Its estimate of the
// share of the new version follows changes of the ramp at once, and the
// difference between the ramp and the actual requests slowly. An estimate from
// the last recentRequests alone lagged behind a growing ramp, so that most good
// versions were taken back.
type recentCounts struct {
	newer, old counts
	// Requests of each version that the ramp would have given.
	expectedNew, expectedOld float64
	planned                  float64 // share by the ramp, 0 to 1
}

func (r *recentCounts) add(planned float64, newer, old counts) {
	r.planned = min(max(planned, minPlannedShare), 1-minPlannedShare)
	total := newer.requests + old.requests
	r.expectedNew += r.planned * total
	r.expectedOld += (1 - r.planned) * total
	r.newer.requests += newer.requests
	r.newer.bad += newer.bad
	r.old.requests += old.requests
	r.old.bad += old.bad
	if total := r.newer.requests + r.old.requests; total > recentRequests {
		scale := recentRequests / total
		for _, v := range []*float64{
			&r.newer.requests, &r.newer.bad, &r.old.requests, &r.old.bad, &r.expectedNew, &r.expectedOld,
		} {
			*v *= scale
		}
	}
}

// share is the estimated probability that a request goes to the new version.
func (r *recentCounts) share() float64 {
	odds := r.planned / (1 - r.planned) * (r.newer.requests + sharePrior) * (r.expectedOld + sharePrior) /
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
		s := &signalJudge{signal: signal, recent: make(map[string]*recentCounts), proof: newProof(signal)}
		for i := range s.tests {
			s.tests[i] = newCusum()
		}
		r.signals[signal] = s
	}
	return r
}

// add runs the tests on one interval and returns the evidence for taking the
// version back, or "".
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

// batch describes the samples of one data centre in one interval.
type batch struct {
	now        time.Time
	share      float64 // of the new version by the ramp, 0 to 1
	dataCentre string
}

// addBatch adds the samples of one data centre to the proof and to the tests.
func (s *signalJudge) addBatch(r *routeJudge, b batch, samples []Sample) {
	var newer, old counts
	byUpstream := make(map[string]counts)
	for _, sample := range samples {
		bad := min(sample.count(s.signal), sample.Requests)
		switch {
		case !sample.New:
			old.requests += sample.Requests
			old.bad += bad
		case !r.faulty[sample.Upstream]:
			c := byUpstream[sample.Upstream]
			byUpstream[sample.Upstream] = counts{c.requests + sample.Requests, c.bad + bad}
			newer.requests += sample.Requests
			newer.bad += bad
		}
	}
	recent := s.recent[b.dataCentre]
	if recent == nil {
		recent = &recentCounts{}
		s.recent[b.dataCentre] = recent
	}
	recent.add(b.share, newer, old)
	s.old.requests += old.requests
	s.old.bad += old.bad
	// The rate in the data centre reflects an outage there; the rate on the
	// whole route is the better estimate while there are few requests.
	baseline := max(rate(recent.old.bad, recent.old.requests), (s.old.bad+1)/(s.old.requests+20))
	for upstream, c := range byUpstream {
		s.proof.add(upstream, c.requests, c.bad, baseline)
	}
	if b.now.Before(r.suspended[b.dataCentre]) {
		return
	}
	s.compare(b.dataCentre, newer, old, byUpstream, recent.share())
	if recent.share() > minBaselineTestShare {
		s.compareBaseline(b.dataCentre, newer, old, byUpstream, recent)
	}
}

// compare runs the concurrent test. If both versions are equally likely to
// fail, a failed request belongs to the new version with a probability equal to
// that version's share of the requests at the time, whatever the failure rate
// is. An outage that affects both versions therefore gives no evidence.
func (s *signalJudge) compare(dataCentre string, newer, old counts, byUpstream map[string]counts, share float64) {
	for i, risk := range relativeRisks {
		test := s.tests[i]
		test.count(dataCentre, newer, old)
		if newer.bad+old.bad == 0 {
			continue
		}
		perFailure := math.Log(1 - share + share*risk)
		test.record(dataCentre, byUpstream, newer, math.Log(risk)-perFailure)
		test.add(newer.bad*math.Log(risk) - (newer.bad+old.bad)*perFailure)
	}
}

// compareBaseline runs the baseline test. It compares the new version with 1.5
// times the rate of the old one during the whole move, or with its recent rate in
// the data centre if that is higher.
func (s *signalJudge) compareBaseline(dataCentre string, newer, old counts, byUpstream map[string]counts, recent *recentCounts) {
	// prior is a number of assumed requests at the rate minBaseline, for an old
	// version without traffic.
	const prior = 20
	if s.signal == Slow && s.old.requests < minBaselineRequests {
		return
	}
	p0 := 1.5 * (s.old.bad + prior*minBaseline) / (s.old.requests + prior)
	p0 = max(p0, rate(recent.old.bad, recent.old.requests))
	if s.old.requests < minBaselineRequests {
		p0 = max(p0, assumedFailureRate)
	}
	p0 = min(max(p0, minBaseline), maxBaseline)
	p1 := withExcess(p0, baselineExcess)
	test := s.tests[baselineTest]
	test.count(dataCentre, newer, old)
	test.record(dataCentre, byUpstream, newer, math.Log(p1/p0))
	test.add(bernoulliLogRatio(newer.requests, newer.bad, p0, p1))
}

// decide returns the evidence if a test of a signal has reached its limit and
// the fault isn't confined to one instance or to one data centre, otherwise "".
func (r *routeJudge) decide(now time.Time, signal Signal) string {
	s := r.signals[signal]
	for i, test := range s.tests {
		if test.value < r.limit || test.excessRate() < minExcess {
			continue
		}
		if r.excludeFaultyInstance(test) || r.suspendFaultyDataCentre(now, test) {
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

// sharedSlowdown reports whether both versions may have become slow together,
// judging by the replies of the old version in the same time. The baseline test
// can't tell this from a fault of the new version, because slow machines or links
// make replies of both versions slow. The result is false if the old version
// gets too few requests to judge by.
func (s *signalJudge) sharedSlowdown(test *cusum) bool {
	if s.allTrafficToNew() || test.oldSinceFailure.requests < minComparedRequests && test.newSinceFailure.requests >= maxUncomparedRequests {
		return false
	}
	return separateRatesRatio(test.newSinceFailure, test.oldSinceFailure) < minSeparateRatesRatio
}

// allTrafficToNew reports whether the ramp leaves no requests to the old version
// in any data centre.
func (s *signalJudge) allTrafficToNew() bool {
	for _, recent := range s.recent {
		if recent.planned < 1-minPlannedShare {
			return false
		}
	}
	return true
}

// separateRatesRatio is the log-likelihood ratio of a separate rate for each
// version against one rate for both.
func separateRatesRatio(a, b counts) float64 {
	both := counts{a.requests + b.requests, a.bad + b.bad}
	return maxLogLikelihood(a) + maxLogLikelihood(b) - maxLogLikelihood(both)
}

// maxLogLikelihood is the logarithm of the maximum probability of c over all
// rates.
func maxLogLikelihood(c counts) float64 {
	sum := 0.0
	for _, n := range [...]float64{c.bad, c.requests - c.bad} {
		if n > 0 {
			sum += n * math.Log(n/c.requests)
		}
	}
	return sum
}

// concentrated reports whether too little evidence remains without that of the
// largest contributor.
func concentrated(test *cusum, largestContribution float64) bool {
	return test.evidenceSinceRestart()-largestContribution < minRemainingEvidence
}

// excludeFaultyInstance excludes an upstream from the tests if it fails while
// the others don't, and reports whether it did. At most a tenth of the
// upstreams, but at least one, can be excluded: if more instances fail, the
// version is the likely cause.
func (r *routeJudge) excludeFaultyInstance(test *cusum) bool {
	upstream, contribution := largest(test.upstreams)
	upstreams := r.knownUpstreams
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

// suspendFaultyDataCentre excludes a data centre from the tests for
// suspensionTime if the new version fails only there and the old version isn't
// known to be healthy there. It reports whether it did. More than one data centre
// can be suspended at a time only if they are less than half of those that have
// served the new version.
func (r *routeJudge) suspendFaultyDataCentre(now time.Time, test *cusum) bool {
	dataCentre, contribution := largest(test.dataCentres)
	if len(r.dataCentres) < 2 || !concentrated(test, contribution) || test.oldVersionHealthy(dataCentre) {
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
	r.suspended[dataCentre] = now.Add(suspensionTime)
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
