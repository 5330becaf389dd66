package move

import "math"

// Parameters of the proof that a version is good so far. It is a sequential
// probability ratio test whose alternative is an excess of provedExcess.
const (
	// minProofRequests is the least evidence for a share above FirstPercent.
	minProofRequests = 25
	// provedExcess is the excess rate of failures or slow replies for which a
	// wrong proof has at most the probability exp(-proofRatio) = 1%.
	provedExcess = 0.2
	proofRatio   = 4.6
	// routeProofRatio is required from each route with a larger part of the
	// requests than rareRoute: a wrong proof of a single bad route has at most
	// the probability exp(-1.6) = 20% at provedExcess, and 1.3% for a route on
	// which half of the requests fail.
	routeProofRatio = 1.6
	rareRoute       = 0.1
	// minBaseline is the lowest failure rate assumed for the old version.
	minBaseline = 0.02
	maxBaseline = 0.95
)

// proof follows the log-likelihood ratio of "bad" against "good", by upstream,
// so that a faulty instance can be left out.
type proof struct {
	byUpstream map[string]float64
}

func newProof() *proof { return &proof{byUpstream: make(map[string]float64)} }

// add counts requests of the new version next to a baseline rate.
func (p *proof) add(upstream string, requests, failures, baseline float64) {
	baseline = min(max(baseline, minBaseline), maxBaseline)
	p.byUpstream[upstream] += bernoulli(requests, failures, baseline, withExcess(baseline, provedExcess))
}

func (p *proof) ratio(faulty map[string]bool) float64 {
	sum := 0.0
	for upstream, ratio := range p.byUpstream {
		if !faulty[upstream] {
			sum += ratio
		}
	}
	return sum
}

// withExcess raises a rate by a part of the room above it.
func withExcess(rate, excess float64) float64 { return rate + excess*(1-rate) }

// bernoulli is the log-likelihood ratio of rate p1 against p0.
func bernoulli(requests, failures, p0, p1 float64) float64 {
	return failures*math.Log(p1/p0) + (requests-failures)*math.Log((1-p1)/(1-p0))
}

// missing returns the number of clean requests that the proof still needs.
func (j *Judge) missing() float64 {
	total := j.state.newCount + j.state.oldCount
	if total == 0 {
		return minProofRequests
	}
	perRequest := -bernoulli(1, 0, minBaseline, withExcess(minBaseline, provedExcess))
	need := minProofRequests - j.state.newCount
	for _, signal := range []Signal{Failures, Slow} {
		pooled := 0.0
		for _, r := range j.routes {
			ratio := r.signals[signal].proof.ratio(r.faulty)
			pooled += ratio
			if part := r.requests / total; part > rareRoute {
				need = max(need, (ratio+routeProofRatio)/perRequest/part)
			}
		}
		need = max(need, (pooled+proofRatio)/perRequest)
	}
	return max(need, 0)
}
