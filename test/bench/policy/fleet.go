package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/dogwoodrudder/dogwoodrudder/pkg/object"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/routing"
)

const (
	engines = 20
	daemons = 6
	// reportAge is the age of a load report when daemons receive it.
	reportAge      = 5 * time.Second
	reportInterval = time.Second
	// eventDelay is the delay of cache events, and eventLoss the probability that
	// a daemon does not receive one.
	eventDelay = 2 * time.Second
	eventLoss  = 0.2
	// crossDCDelay is the one-way delay between data centres; the delay within a
	// data centre is not modelled.
	crossDCDelay = 2 * time.Millisecond
)

var (
	dataCentres = [...]string{"dc1", "dc2", "dc3"}
	// dcPrice is the price factor of each data centre.
	dcPrice = [...]float64{1, 1.2, 0.8}
	// Machine classes: prompt tokens per second, price per hour, cache tokens.
	classSpeed = [...]float64{6000, 9000, 14000}
	classPrice = [...]float64{1, 1.4, 2.2}
	classCache = [...]int{120_000, 160_000, 240_000}
	// classOf repeats for every five engines: 8, 8 and 4 of the 20 engines are of
	// the three classes.
	classOf = [...]int{0, 1, 0, 1, 2}
)

// policy builds the scheduler of one daemon.
type policy struct {
	name string
	make func(f *fleet, r *rand.Rand) (*routing.Scheduler, *routing.PrefixIndex)
}

// fleet is the model of engines and daemons.
type fleet struct {
	sim     *simulation
	r       *rand.Rand // for lost cache events and the choice of daemons
	engines map[string]*engine
	order   []*engine
	daemons []*daemon
	metrics *metrics
}

// daemon has its own candidates, index and scheduler.
type daemon struct {
	f          *fleet
	dc         string
	scheduler  *routing.Scheduler
	index      *routing.PrefixIndex
	candidates []*routing.Candidate
}

func newFleet(p policy, m mix, seed uint64) *fleet {
	f := &fleet{
		sim: newSimulation(), r: rand.New(rand.NewPCG(seed, 2)),
		engines: make(map[string]*engine), metrics: newMetrics(),
	}
	for i := range engines {
		dc, class := i%len(dataCentres), classOf[i%len(classOf)]
		e := newEngine(f.sim, routing.Upstream{
			Name: fmt.Sprintf("engine-%02d", i), Service: "model", Version: "v1",
			DataCentre:   dataCentres[dc],
			MachineClass: fmt.Sprintf("class-%d", class),
			PricePerHour: dcPrice[dc] * classPrice[class],
			Labels:       labels(m, class),
		}, classSpeed[class], classCache[class])
		e.onCacheChange, e.onPromptStart = f.cacheEvent, f.metrics.prompt
		f.engines[e.Name] = e
		f.order = append(f.order, e)
	}
	for i := range daemons {
		d := &daemon{f: f, dc: dataCentres[i%len(dataCentres)]}
		d.scheduler, d.index = p.make(f, rand.New(rand.NewPCG(seed, 100+uint64(i))))
		for _, e := range f.order {
			d.candidates = append(d.candidates, routing.NewCandidate(e.Upstream))
		}
		f.daemons = append(f.daemons, d)
	}
	f.sim.every(reportInterval, f.report)
	return f
}

// labels marks the fastest machine class for short requests if the mix is
// labelled. The baseline policies ignore the label.
func labels(m mix, class int) map[string]string {
	if m.labelled && class == len(classSpeed)-1 {
		return map[string]string{routing.LabelClass: string(object.ClassShort)}
	}
	return nil
}

// report sends every engine's load to all daemons, reportAge late.
func (f *fleet) report() {
	loads := make([]routing.Load, len(f.order))
	for i, e := range f.order {
		loads[i] = e.load()
	}
	f.sim.after(reportAge, func() {
		for _, d := range f.daemons {
			for i, c := range d.candidates {
				c.SetReportedLoad(loads[i])
			}
		}
	})
}

func (f *fleet) cacheEvent(e *engine, stored, evicted []uint64) {
	for _, d := range f.daemons {
		if d.index == nil || f.r.Float64() < eventLoss {
			continue
		}
		f.sim.after(eventDelay, func() {
			d.index.Add(e.Name, stored, f.sim.clock.Now())
			d.index.Remove(e.Name, evicted)
		})
	}
}

func (d *daemon) request(j *job) routing.Request {
	return routing.Request{
		Service: "model", Version: "v1", Class: j.class, Account: j.account,
		Blocks: j.blocks, BlockWork: blockTokens, Work: float64(j.prompt), DataCentre: d.dc,
	}
}

// send picks an engine for j and runs it there. The returned candidate is nil
// if no pick was possible. firstToken and finished may be nil.
func (d *daemon) send(j *job, firstToken, finished func(c *routing.Candidate)) *routing.Candidate {
	decision, err := d.scheduler.Pick(context.Background(), d.request(j), d.candidates)
	if err != nil {
		return nil
	}
	c := decision.Candidate
	attempt := c.Begin(j.class, decision.Work)
	e := d.f.engines[c.Name]
	var delay time.Duration
	if c.DataCentre != d.dc {
		delay = crossDCDelay
	}
	sent := d.f.sim.now
	d.f.metrics.picked(e, sent)
	j.firstToken = func() {
		load := e.load()
		d.f.sim.after(delay, func() {
			attempt.FirstByte()
			c.SetReplyLoad(load)
			c.ObserveRate(float64(j.prompt-j.cached), d.f.sim.now-sent)
			d.f.metrics.firstToken(j, d.f.sim.now)
			if firstToken != nil {
				firstToken(c)
			}
		})
	}
	j.release = attempt.End
	j.finished = func() {
		d.f.sim.after(delay, func() {
			attempt.End()
			if finished != nil {
				finished(c)
			}
		})
	}
	d.f.sim.after(delay, func() { e.submit(j) })
	return c
}

// arrivals passes the generator's requests to random daemons.
func (f *fleet) arrivals(g *generator, handle func(d *daemon, j *job)) {
	f.sim.after(g.interarrivalTime(f.sim.now), func() {
		j := g.mix.next(g)
		j.arrival = f.sim.now
		handle(f.daemons[f.r.IntN(len(f.daemons))], j)
		f.arrivals(g, handle)
	})
}
