package fleet

import (
	"time"

	"github.com/dogwoodrudder/dogwoodrudder/pkg/speed"
)

const (
	// slackShare is the share of its latency objective within which a request that isn't
	// urgent leaves the faster instances to others: the rest is for errors of the
	// prediction.
	slackShare = 0.5
	// minReserveSpeed bounds what slow instances gain from being left by others: the speed
	// of one that gets only short requests is known badly.
	minReserveSpeed = 0.4
	// urgentPriority is the priority whose requests leave no instance to others.
	urgentPriority = 0
)

// predictor scores instances by the predicted time of one request.
type predictor struct {
	model      *speed.Model
	prediction speed.Prediction
	means      *means
	query      Query
	// cached is the time for which reading the shared part of the prompt again would keep an
	// instance of speed 1 from other requests, in seconds. The speed of the instance that has
	// it doesn't count: it would make slow ones cheaper.
	cached float64
	// unit is the time that a running request counts in the penalties, in seconds.
	unit float64
	// longer is the prefill time of the requests that compete for the fast instances, in
	// seconds: the mean of the service, weighted by prefill time. 0 if there are none.
	longer float64
}

// predictor returns nil if the speeds of the service don't differ. The caller holds the
// lock.
func (s *Set) predictor(q Query) *predictor {
	view := s.times.views[q.Service]
	if view == nil {
		return nil
	}
	p := &predictor{
		model: &view.Model, prediction: view.Model.Predict(requestWork(q)), means: s.meansOf(q.Service), query: q,
		cached: view.Model.PrefillTime(q.SharedTokens), unit: view.Model.TokenTime(prefillTokensPerRequest),
	}
	if p.means.own > 0 {
		p.longer = p.means.ownSquares / p.means.own
	}
	return p
}

// requestWork returns the work of the request itself.
func requestWork(q Query) speed.Work {
	shared := min(q.SharedTokens, q.PromptTokens)
	return speed.Work{Whole: q.Whole, OwnTokens: q.PromptTokens - shared, SharedTokens: shared}
}

// workAt returns the work of the request at an instance with its present load.
func workAt(i *Instance, q Query, home bool) speed.Work {
	load, work := i.load(), requestWork(q)
	work.Home, work.WaitingTokens = home, load.PrefillTokens
	work.Utilisation = float64(load.Inflight) / float64(max(i.Slots, 1))
	return work
}

// score returns the cost of sending the request to the instance, in seconds, and the
// predicted time of the request.
func (p *predictor) score(s *Set, i *Instance, ranking *affinityRanking) (cost, predicted float64) {
	load, slots, relative := i.load(), float64(max(i.Slots, 1)), i.relativeSpeed()
	times := p.prediction.At(i == ranking.targets.first, load.PrefillTokens, float64(load.Inflight)/slots)
	if over := load.Inflight - i.Slots; over >= 0 {
		// One slot after the other becomes free.
		times.Queue += float64(over+1) / slots * p.means.duration
	}
	predicted = times.Total(relative)
	cost = predicted + s.penalties(i, &p.query)*p.unit
	// The prompts that wait at the instance wait for this one, too.
	if p.means.promptTokens > 0 {
		cost += times.Own / relative * float64(load.PrefillTokens) / p.means.promptTokens
	}
	switch i {
	case ranking.targets.first:
		cost -= p.cached
	case ranking.targets.second:
		cost -= p.cached * secondRankFactor
	}
	return cost + p.reserve(times, relative, predicted), predicted
}

// reserve returns the cost of using a fast instance for a request that will be in time at a
// slower one: what a longer request would gain more from it. It is negative for slow
// instances.
func (p *predictor) reserve(times speed.Times, relative, predicted float64) float64 {
	q := &p.query
	if q.Priority == urgentPriority || predicted > slackShare*q.Objective.Seconds() || times.Own >= p.longer {
		return 0
	}
	return (p.longer - times.Own) * (1 - 1/max(relative, minReserveSpeed))
}

// reserved records the request in the means of its service, and its prediction.
func (p *predictor) reserved(r *Reservation, predicted, alternative float64) {
	own := p.model.Times(r.work).Own
	smooth(&p.means.own, own)
	smooth(&p.means.ownSquares, own*own)
	smooth(&p.means.promptTokens, float64(p.query.PromptTokens))
	r.Predicted = time.Duration(predicted * float64(time.Second))
	r.Alternative = time.Duration(alternative * float64(time.Second))
}
