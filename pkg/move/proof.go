package move

import "math"

// Parameters of the proof that a version is good so far. It is a sequential
// probability ratio test. Its alternative hypothesis is that the rate of failed
// (or slow) replies exceeds the baseline by failureExcess (or slowExcess).
const (
	// minProofRequests is the minimum number of requests of the new version for
	// the proof.
	minProofRequests = 25
	// failureExcess and slowExcess are the excess rates, as parts of the distance
	// from the baseline to 1, for which a wrong proof has at most the probability
	// exp(-proofLogRatio) = 1%. Slow replies are common in good versions too, so
	// with a smaller slowExcess the proof would take too long.
	failureExcess = 0.2
	slowExcess    = 0.3
	proofLogRatio = 4.6
	// routeExcess and routeProofLogRatio apply to each route that has a larger
	// part of the requests than rareRoutePart. A wrong proof of a version for
	// which 60% of the requests of one route fail has at most the probability
	// exp(-2.3) = 10%. Stricter bounds made 3% of the good moves late at 1 request
	// per second.
	routeExcess        = 0.6
	routeProofLogRatio = 2.3
	rareRoutePart      = 0.1
	// If the pooled log-likelihood ratio of all routes falls to
	// -pooledProofFactor*proofLogRatio, a single route only has to show no excess,
	// because the mean excess is then closely bounded.
	pooledProofFactor = 2.0
	// minUpstreamsToExcludeWorst is the minimum number of upstreams for the worst
	// one to be excluded, because a faulty instance is no fault of the version.
	minUpstreamsToExcludeWorst = 3
	// minBaseline and maxBaseline bound the rate of failed or slow replies that
	// is assumed for the old version.
	minBaseline = 0.02
	maxBaseline = 0.95
)

// proof holds the log-likelihood ratios of "bad" against "good" by upstream, so
// that a faulty instance can be excluded.
type proof struct {
	excess     float64
	byUpstream map[string]logRatios
}

type logRatios struct {
	pooled float64 // for the test over all routes
	route  float64 // for the test of the single route
}

func newProof(signal Signal) *proof {
	excess := failureExcess
	if signal == Slow {
		excess = slowExcess
	}
	return &proof{excess: excess, byUpstream: make(map[string]logRatios)}
}

// add updates the ratios of an upstream with requests of the new version,
// given the baseline rate of bad replies.
func (p *proof) add(upstream string, requests, failures, baseline float64) {
	baseline = min(max(baseline, minBaseline), maxBaseline)
	r := p.byUpstream[upstream]
	r.pooled += bernoulliLogRatio(requests, failures, baseline, withExcess(baseline, p.excess))
	r.route += bernoulliLogRatio(requests, failures, baseline, withExcess(baseline, routeExcess))
	p.byUpstream[upstream] = r
}

// sum adds up the ratios of all upstreams but the faulty ones and, if
// excludeWorst is set, the worst one of the others.
func (p *proof) sum(faulty map[string]bool, excludeWorst bool) logRatios {
	var sum, worst logRatios
	for upstream, r := range p.byUpstream {
		if faulty[upstream] {
			continue
		}
		sum.pooled += r.pooled
		sum.route += r.route
		if upstream != "" {
			worst.pooled = max(worst.pooled, r.pooled)
			worst.route = max(worst.route, r.route)
		}
	}
	if excludeWorst {
		sum.pooled -= worst.pooled
		sum.route -= worst.route
	}
	return sum
}

// goodRequests is the number of requests, neither failed nor slow, that lower
// a log-likelihood ratio by amount.
func goodRequests(amount, excess float64) float64 {
	return amount / -bernoulliLogRatio(1, 0, minBaseline, withExcess(minBaseline, excess))
}

// withExcess raises a rate by the part excess of its distance from 1.
func withExcess(rate, excess float64) float64 { return rate + excess*(1-rate) }

// bernoulliLogRatio is the log-likelihood ratio of rate p1 against p0.
func bernoulliLogRatio(requests, failures, p0, p1 float64) float64 {
	return failures*math.Log(p1/p0) + (requests-failures)*math.Log((1-p1)/(1-p0))
}

// remainingRequests returns the number of good requests of the new version
// that the proof still needs.
func (j *Judge) remainingRequests() float64 {
	total := j.state.newRequests + j.state.oldRequests
	if total == 0 {
		return minProofRequests
	}
	remaining := minProofRequests - j.state.newRequests
	for _, signal := range []Signal{Failures, Slow} {
		remaining = max(remaining, j.remainingForSignal(signal, total))
	}
	return max(remaining, 0)
}

func (j *Judge) remainingForSignal(signal Signal, total float64) float64 {
	pooled, excess := 0.0, 0.0
	for _, r := range j.routes {
		p := r.signals[signal].proof
		excess = p.excess
		pooled += p.sum(r.faulty, j.upstreams >= minUpstreamsToExcludeWorst).pooled
	}
	remaining := goodRequests(pooled+proofLogRatio, excess)
	required := routeProofLogRatio
	if pooled <= -pooledProofFactor*proofLogRatio {
		required = 0
	}
	for _, r := range j.routes {
		if part := r.requests / total; part > rareRoutePart {
			ratio := r.signals[signal].proof.sum(r.faulty, j.upstreams >= minUpstreamsToExcludeWorst).route
			remaining = max(remaining, goodRequests(ratio+required, routeExcess)/part)
		}
	}
	return remaining
}
