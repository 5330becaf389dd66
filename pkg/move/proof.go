package move

import "math"

// Parameters of the proof that a version is good so far. It is a sequential
// probability ratio test whose alternative is an excess of provedExcess.
const (
	// minProofRequests is the least evidence for a share above FirstPercent.
	minProofRequests = 25
	// failureExcess and slowExcess are the excess rates for which a wrong proof
	// has at most the probability exp(-proofRatio) = 1%. Slow replies are
	// common in good versions too, so a smaller excess would take too long.
	failureExcess = 0.2
	slowExcess    = 0.3
	proofRatio    = 4.6
	// routeExcess and routeProofRatio apply to each route with a larger part of
	// the requests than rareRoute: a wrong proof of a version for which 60% of
	// the requests of one route fail has at most the probability exp(-2.3) =
	// 10%. Stricter bounds made 3% of the good moves late at 1 request a second.
	routeExcess     = 0.6
	routeProofRatio = 2.3
	rareRoute       = 0.1
	// amplePart times proofRatio over all routes is enough for routes that only
	// have to show no excess, because it bounds the mean excess closely.
	amplePart = 2.0
	// leaveOneOut is the number of upstreams from which the worst one is left
	// out, because a faulty instance is no fault of the version.
	leaveOneOut = 3
	// minBaseline is the lowest failure rate assumed for the old version.
	minBaseline = 0.02
	maxBaseline = 0.95
)

// proof follows the log-likelihood ratios of "bad" against "good", by
// upstream, so that a faulty instance can be left out.
type proof struct {
	excess     float64
	byUpstream map[string]ratios
}

type ratios struct {
	pooled float64 // for the test over all routes
	route  float64 // for the test of the single route
}

func newProof(signal Signal) *proof {
	excess := failureExcess
	if signal == Slow {
		excess = slowExcess
	}
	return &proof{excess: excess, byUpstream: make(map[string]ratios)}
}

// add counts requests of the new version next to a baseline rate.
func (p *proof) add(upstream string, requests, failures, baseline float64) {
	baseline = min(max(baseline, minBaseline), maxBaseline)
	r := p.byUpstream[upstream]
	r.pooled += bernoulli(requests, failures, baseline, withExcess(baseline, p.excess))
	r.route += bernoulli(requests, failures, baseline, withExcess(baseline, routeExcess))
	p.byUpstream[upstream] = r
}

// ratios returns the sums without the faulty upstreams and, if spare, without
// the worst one of the others.
func (p *proof) ratios(faulty map[string]bool, spare bool) ratios {
	var sum, worst ratios
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
	if spare {
		sum.pooled -= worst.pooled
		sum.route -= worst.route
	}
	return sum
}

// cleanRequests is the number of clean requests that lower a ratio by amount.
func cleanRequests(amount, excess float64) float64 {
	return amount / -bernoulli(1, 0, minBaseline, withExcess(minBaseline, excess))
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
	need := minProofRequests - j.state.newCount
	for _, signal := range []Signal{Failures, Slow} {
		need = max(need, j.missingFor(signal, total))
	}
	return max(need, 0)
}

func (j *Judge) missingFor(signal Signal, total float64) float64 {
	pooled, excess := 0.0, 0.0
	for _, r := range j.routes {
		p := r.signals[signal].proof
		excess = p.excess
		pooled += p.ratios(r.faulty, j.upstreams >= leaveOneOut).pooled
	}
	need := cleanRequests(pooled+proofRatio, excess)
	required := routeProofRatio
	if pooled <= -amplePart*proofRatio {
		required = 0
	}
	for _, r := range j.routes {
		if part := r.requests / total; part > rareRoute {
			ratio := r.signals[signal].proof.ratios(r.faulty, j.upstreams >= leaveOneOut).route
			need = max(need, cleanRequests(ratio+required, routeExcess)/part)
		}
	}
	return need
}
