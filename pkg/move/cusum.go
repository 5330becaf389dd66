package move

import "math"

// restartMargin is how far, in natural-log units, the statistic falls below its
// starting value before it restarts. Without the margin it would restart on
// each small decrease, and every restart raises the evidence that an alarm
// needs.
const restartMargin = 2.0

// cusum is a sequential probability ratio test that may restart at any time,
// so that it detects a fault soon even in a version that was good for long.
//
// Its value is the maximum over all starting points k of ln(w_k) plus the
// log-likelihood ratio since k, with weights w_k = 1/(k(k+1)) that add up to 1.
// exp(value) is at most a weighted mean of likelihood ratios, which is a
// supermartingale under the hypothesis that the version is good. By Ville's
// inequality the probability that the statistic ever reaches ln(1/alpha) is at
// most alpha, however long the move lasts.
type cusum struct {
	value    float64
	restarts int
	// Evidence (log-likelihood ratio) from failed requests of the new version
	// since the restart, by upstream and by data centre.
	upstreams   map[string]float64
	dataCentres map[string]float64
	// oldByDataCentre counts the requests of the old version in a data centre
	// since the first failed request of the new version there.
	oldByDataCentre map[string]counts
	// Requests and failures of both versions since the restart.
	newRequests, newFailures, oldRequests, oldFailures float64
	// Requests of both versions since the first failed request of the new
	// version after the restart. The new version may have had another share of
	// the requests before it.
	newSinceFailure, oldSinceFailure counts
}

func newCusum() *cusum {
	c := &cusum{upstreams: make(map[string]float64), dataCentres: make(map[string]float64), oldByDataCentre: make(map[string]counts)}
	c.restart()
	return c
}

func (c *cusum) restart() {
	c.restarts++
	c.value = c.initialValue()
	clear(c.upstreams)
	clear(c.dataCentres)
	clear(c.oldByDataCentre)
	c.newRequests, c.newFailures, c.oldRequests, c.oldFailures = 0, 0, 0, 0
	c.newSinceFailure, c.oldSinceFailure = counts{}, counts{}
}

// count adds the requests of one interval to the counters.
func (c *cusum) count(dataCentre string, newer, old counts) {
	if c.dataCentres[dataCentre] > 0 {
		sum := c.oldByDataCentre[dataCentre]
		c.oldByDataCentre[dataCentre] = counts{sum.requests + old.requests, sum.bad + old.bad}
	}
	c.newRequests += newer.requests
	c.newFailures += newer.bad
	c.oldRequests += old.requests
	c.oldFailures += old.bad
	if c.newFailures > 0 {
		c.newSinceFailure.add(newer)
		c.oldSinceFailure.add(old)
	}
}

// record adds weight for each failed request to the evidence from its upstream
// and its data centre.
func (c *cusum) record(dataCentre string, byUpstream map[string]counts, newer counts, weight float64) {
	if newer.bad == 0 {
		return
	}
	for upstream, n := range byUpstream {
		if n.bad > 0 {
			c.upstreams[upstream] += n.bad * weight
		}
	}
	c.dataCentres[dataCentre] += newer.bad * weight
}

// initialValue is the logarithm of the weight of the current starting point.
func (c *cusum) initialValue() float64 {
	k := float64(c.restarts)
	return -math.Log(k * (k + 1))
}

// add adds the log-likelihood ratio of a batch.
func (c *cusum) add(ratio float64) {
	c.value += ratio
	if c.value < c.initialValue()-restartMargin {
		c.restart()
	}
}

// evidenceSinceRestart is the log-likelihood ratio since the restart.
func (c *cusum) evidenceSinceRestart() float64 { return c.value - c.initialValue() }

// remove subtracts the evidence from one upstream or data centre.
func (c *cusum) remove(groups map[string]float64, key string) {
	contribution := groups[key]
	delete(groups, key)
	c.add(-contribution)
}

// oldVersionHealthy reports whether, in a data centre where the new version
// fails, the failure rate of the old version is below a third of that of the
// new version.
func (c *cusum) oldVersionHealthy(dataCentre string) bool {
	const minRequests = 10
	old := c.oldByDataCentre[dataCentre]
	return old.requests >= minRequests && rate(old.bad, old.requests) < rate(c.newFailures, c.newRequests)/3
}

// excessRate is the failure rate of the new version minus that of the old one
// since the restart.
func (c *cusum) excessRate() float64 {
	return rate(c.newFailures, c.newRequests) - rate(c.oldFailures, c.oldRequests)
}

func rate(part, whole float64) float64 {
	if whole == 0 {
		return 0
	}
	return part / whole
}

// largest returns the key with the largest value; of equal ones, the first in
// alphabetical order.
func largest(groups map[string]float64) (string, float64) {
	best, value := "", 0.0
	for key, v := range groups {
		if v > value || v == value && key < best {
			best, value = key, v
		}
	}
	return best, value
}
