package move

import "math"

// restartSlack keeps the statistic from restarting on each small dip, because
// every restart raises the evidence that an alarm needs.
const restartSlack = 2.0

// cusum is a sequential probability ratio test that may start anew at any
// time, so that a version that was good for long can still be found bad soon.
//
// It follows the maximum over all starting points k of ln(w_k) plus the
// log-likelihood ratio since k, with weights w_k = 1/(k(k+1)) that add up to 1.
// exp of it is at most a weighted mean of likelihood ratios, which is a
// supermartingale under the hypothesis that the version is good. By Ville's
// inequality the probability that the statistic ever reaches ln(1/alpha) is at
// most alpha, however long the move lasts.
type cusum struct {
	value    float64
	restarts int
	// Contributions of failed requests of the new version since the restart.
	upstreams   map[string]float64
	dataCentres map[string]float64
	// witnesses are requests of the old version in a data centre after the
	// first failed one of the new version there.
	witnesses map[string]counts
	// Requests and failures of both versions since the restart.
	newRequests, newFailures, oldRequests, oldFailures float64
	// Requests of both versions since the first failed one of the new version
	// after the restart. Requests before it may have had another share.
	freshSince, oldSince counts
}

func newCusum() *cusum {
	c := &cusum{upstreams: make(map[string]float64), dataCentres: make(map[string]float64), witnesses: make(map[string]counts)}
	c.restart()
	return c
}

func (c *cusum) restart() {
	c.restarts++
	c.value = c.floor()
	clear(c.upstreams)
	clear(c.dataCentres)
	clear(c.witnesses)
	c.newRequests, c.newFailures, c.oldRequests, c.oldFailures = 0, 0, 0, 0
	c.freshSince, c.oldSince = counts{}, counts{}
}

// count adds the requests of an interval.
func (c *cusum) count(dataCentre string, fresh, old counts) {
	if c.dataCentres[dataCentre] > 0 {
		w := c.witnesses[dataCentre]
		c.witnesses[dataCentre] = counts{w.requests + old.requests, w.bad + old.bad}
	}
	c.newRequests += fresh.requests
	c.newFailures += fresh.bad
	c.oldRequests += old.requests
	c.oldFailures += old.bad
	if c.newFailures > 0 {
		c.freshSince.add(fresh)
		c.oldSince.add(old)
	}
}

// record notes who contributed evidence, each failed request with weight.
func (c *cusum) record(dataCentre string, byUpstream map[string]counts, fresh counts, weight float64) {
	if fresh.bad == 0 {
		return
	}
	for upstream, one := range byUpstream {
		if one.bad > 0 {
			c.upstreams[upstream] += one.bad * weight
		}
	}
	c.dataCentres[dataCentre] += fresh.bad * weight
}

// floor is the logarithm of the weight of the current starting point.
func (c *cusum) floor() float64 {
	k := float64(c.restarts)
	return -math.Log(k * (k + 1))
}

// add adds the log-likelihood ratio of a batch.
func (c *cusum) add(ratio float64) {
	c.value += ratio
	if c.value < c.floor()-restartSlack {
		c.restart()
	}
}

// gain is the evidence since the restart.
func (c *cusum) gain() float64 { return c.value - c.floor() }

// remove takes back the contribution of one upstream or data centre.
func (c *cusum) remove(groups map[string]float64, key string) {
	contribution := groups[key]
	delete(groups, key)
	c.add(-contribution)
}

// oldWorks reports whether the old version serves the requests of a data
// centre well in which the new version fails.
func (c *cusum) oldWorks(dataCentre string) bool {
	const enough = 10
	w := c.witnesses[dataCentre]
	return w.requests >= enough && rate(w.bad, w.requests) < rate(c.newFailures, c.newRequests)/3
}

// excess is the difference of the failure rates of both versions since the
// restart.
func (c *cusum) excess() float64 {
	return rate(c.newFailures, c.newRequests) - rate(c.oldFailures, c.oldRequests)
}

func rate(part, whole float64) float64 {
	if whole == 0 {
		return 0
	}
	return part / whole
}

// largest returns the key with the largest value.
func largest(groups map[string]float64) (string, float64) {
	best, value := "", 0.0
	for key, v := range groups {
		if v > value || v == value && key < best {
			best, value = key, v
		}
	}
	return best, value
}
