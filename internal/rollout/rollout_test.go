package rollout_test

import (
	"fmt"
	"log/slog"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"

	"github.com/dogwoodrudder/dogwoodrudder/internal/rollout"
	"github.com/dogwoodrudder/dogwoodrudder/internal/store/storetest"
)

// scenario is a service with two versions under load, on a fake clock. Its one
// daemon is the coordinator.
type scenario struct {
	clock    *clockwork.FakeClock
	store    *storetest.Memory
	splitter *rollout.Splitter
	duty     *rollout.Duty
	token    int64
	order    rollout.Order
	// failing returns the fraction of the new version's answers that fail,
	// given the time since the start and the version's share of the requests.
	// latencyFactor is the factor by which its latency is higher than the old
	// version's.
	failing       func(since time.Duration, share float64) float64
	latencyFactor float64
	// durationFactor is the same for the time to the end of an answer, and sigma the spread
	// of these times, as that of a log-normal distribution.
	durationFactor, sigma float64
	start                 time.Time
	// evidence returns the counters of all daemons.
	evidence func() map[rollout.Key]rollout.Counters

	random            *rand.Rand
	requests          int
	exposed           int // requests to the new version
	badAnswers        int // failed or slow answers of the new version
	exposedAfter50Bad int // requests to the new version after more than 50 of these
}

func newScenario(seed uint64) *scenario {
	d := &scenario{
		clock: clockwork.NewFakeClock(), store: storetest.NewMemory(), splitter: rollout.NewSplitter(), token: 1,
		order:   rollout.Order{Service: "s", Target: "v2", Within: 15 * time.Second, Revision: 3},
		failing: func(time.Duration, float64) float64 { return 0 }, latencyFactor: 1, durationFactor: 1, sigma: 0.5, random: rand.New(rand.NewPCG(seed, 9)),
	}
	d.evidence = d.splitter.Counters
	d.duty = d.newDuty()
	d.start = d.clock.Now()
	d.splitter.SetOrder(d.order)
	return d
}

func (d *scenario) newDuty() *rollout.Duty {
	duty := rollout.New(d.config(nil))
	duty.SetOrder(d.order)
	return duty
}

// config returns the configuration of a duty. serving returns the versions of a service.
func (d *scenario) config(serving func(string) []string) rollout.Config {
	return rollout.Config{
		Log: slog.New(slog.DiscardHandler), Store: d.store, Token: func() int64 { return d.token }, Civil: d.clock.Now,
		Policy: rollout.DefaultPolicy(), Evidence: func() map[rollout.Key]rollout.Counters { return d.evidence() },
		Unproven: func(service string) []string { return d.splitter.Unproven(service) }, Serving: serving,
		Status: func(o rollout.Order, outcome rollout.Outcome) (string, []byte, error) {
			return "status/" + o.Service, []byte(outcome), nil
		},
	}
}

func (d *scenario) status() string { return string(d.store.Value("status/s")) }

func (d *scenario) share() float64 {
	for _, s := range d.duty.States() {
		return s.Share
	}
	return 0
}

// step sends perSecond requests per second for 150 ms and then makes one round
// of decisions.
func (d *scenario) step(t *testing.T, perSecond float64) {
	for range int(perSecond * 0.15) {
		d.requests++
		accept := d.splitter.Accept("s", fmt.Sprint(d.requests))
		version, failed, latency, factor := "v1", d.random.Float64() < 0.004, 60*time.Millisecond, 1.0
		if accept("v2") {
			d.exposed++
			version = "v2"
			failed = d.random.Float64() < d.failing(d.clock.Since(d.start), d.share())
			latency = time.Duration(float64(latency) * d.latencyFactor)
			factor = d.durationFactor
			if failed || d.latencyFactor > 1 || factor > 1 {
				d.badAnswers++
			}
			if d.badAnswers > 50 {
				d.exposedAfter50Bad++
			}
		}
		d.splitter.Observe("s", "r", version, failed, time.Duration(float64(latency)*(0.5+d.random.Float64())))
		if !failed {
			d.splitter.Completed("s", "r", version, time.Duration(factor*math.Exp(d.sigma*d.random.NormFloat64())*float64(300*time.Millisecond)))
		}
	}
	d.clock.Advance(150 * time.Millisecond)
	_ = d.duty.Step(t.Context()) // some tests provoke errors of the store
	for _, s := range d.duty.States() {
		d.splitter.SetState(s)
	}
}

// Guards against a good version that misses its deadline, and against reporting
// it complete while requests are still in flight on the old version.
func TestGoodVersionIsCompleteInTime(t *testing.T) {
	for seed := range uint64(30) {
		g := NewWithT(t)
		d := newScenario(seed)
		full := time.Duration(0)
		for range 99 {
			d.step(t, 150)
			if d.share() == 1 && full == 0 {
				full = d.clock.Since(d.start)
			}
			if d.status() == "complete" {
				break
			}
		}
		g.Expect(d.status()).To(Equal("complete"))
		g.Expect(d.clock.Since(d.start)).To(BeNumerically("<", 15*time.Second))
		g.Expect(d.clock.Since(d.start) - full).To(BeNumerically(">", 3*time.Second))
	}
}

// Guards against taking a good version back because durations spread widely, or because
// its caches are cold and its answers take a little longer.
func TestWideDurationsAreNoRegression(t *testing.T) {
	reverted := 0
	for seed := range uint64(200) {
		d := newScenario(seed)
		d.sigma, d.durationFactor = 0.8, 1.1
		for range 105 {
			d.step(t, 150)
		}
		if d.status() != "complete" {
			reverted++
		}
	}
	NewWithT(t).Expect(reverted).To(BeNumerically("<=", 1))
}

// The new version fails from the start, fails later, fails only under load, or is
// slow. Guards against sending it more than a tenth of all requests plus 50.
func TestBadVersionsAreReverted(t *testing.T) {
	for name, prepare := range map[string]func(*scenario){
		"fails at once": func(d *scenario) { d.failing = func(time.Duration, float64) float64 { return 0.3 } },
		"fails later": func(d *scenario) {
			d.failing = func(since time.Duration, _ float64) float64 {
				if since > 6*time.Second {
					return 0.3
				}
				return 0
			}
		},
		"fails under load": func(d *scenario) {
			d.failing = func(_ time.Duration, share float64) float64 {
				if share > 0.5 {
					return 0.3
				}
				return 0
			}
		},
		"slow":               func(d *scenario) { d.latencyFactor = 4 },
		"slow to complete":   func(d *scenario) { d.durationFactor = 1.9 },
		"slower to complete": func(d *scenario) { d.durationFactor, d.sigma = 3, 0.8 },
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(20) {
				g := NewWithT(t)
				d := newScenario(seed)
				prepare(d)
				for range 105 {
					d.step(t, 150)
				}
				g.Expect(d.status()).To(Equal("reverted"))
				g.Expect(float64(d.exposed)).To(BeNumerically("<=", 0.1*float64(d.requests)+50))
			}
		})
	}
}

// A daemon that has served the old version for long restarts during a roll-out. Guards
// against comparing a good version with the difference of the counters before and after.
func TestRestartOfADaemonIsNoRegression(t *testing.T) {
	for seed := range uint64(50) {
		d := newScenario(seed)
		// The counters of the daemon that restarts, with longer answers long ago.
		key := rollout.Key{Service: "s", Version: "v1", Route: "r"}
		earlier := rollout.Counters{Requests: 1000, Latency: 60, Completed: 1000, LogDuration: 0, LogDurationSquares: 250}
		restarted := false
		d.evidence = func() map[rollout.Key]rollout.Counters {
			counters := d.splitter.Counters()
			if !restarted {
				counters[key] = counters[key].Add(earlier)
			}
			return counters
		}
		for i := range 105 {
			restarted = i >= 40
			d.step(t, 150)
		}
		NewWithT(t).Expect(d.status()).To(Equal("complete"), "seed %d", seed)
	}
}

// Guards against a new coordinator that changes the outcome of a roll-out or
// starts the roll-out again.
func TestOutcomeSurvivesChangeOfCoordinator(t *testing.T) {
	g := NewWithT(t)
	d := newScenario(1)
	d.failing = func(time.Duration, float64) float64 { return 0.5 }
	for range 40 {
		d.step(t, 200)
	}
	g.Expect(d.status()).To(Equal("reverted"))
	exposed := d.exposed
	d.token = 2
	d.duty = d.newDuty()
	for range 80 {
		d.step(t, 200)
	}
	g.Expect(d.status()).To(Equal("reverted"))
	g.Expect(d.exposed).To(Equal(exposed))
}

// Guards against a new coordinator that sends requests of a complete roll-out
// back to the old version, whose instances no longer run.
func TestCompletionSurvivesChangeOfCoordinator(t *testing.T) {
	g := NewWithT(t)
	d := newScenario(1)
	for range 98 {
		d.step(t, 150)
	}
	g.Expect(d.status()).To(Equal("complete"))
	d.token = 2
	d.duty = d.newDuty()
	d.splitter = rollout.NewSplitter() // the daemon starts together with the coordinator
	d.splitter.SetOrder(d.order)
	d.step(t, 0)
	exposed, requests := d.exposed, d.requests
	d.step(t, 200)
	g.Expect(d.exposed - exposed).To(Equal(d.requests - requests))
}

// Guards against a daemon that starts while there is no coordinator and sends the
// requests of an ended roll-out to the wrong version.
func TestOutcomeIsKnownWithoutCoordinator(t *testing.T) {
	for name, failing := range map[string]float64{"complete": 0, "reverted": 0.5} {
		g := NewWithT(t)
		d := newScenario(1)
		d.failing = func(time.Duration, float64) float64 { return failing }
		for range 98 {
			d.step(t, 150)
		}
		g.Expect(d.status()).To(Equal(name))
		state, err := rollout.DecodeRecord(d.store.Value(rollout.KeyPrefix + "s"))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(state.Outcome).NotTo(Equal(rollout.Active))
		splitter := rollout.NewSplitter()
		splitter.SetState(state)
		splitter.SetOrder(d.order)
		accept := splitter.Accept("s", "r")
		g.Expect(accept("v2")).To(Equal(name == "complete"))
		g.Expect(accept("v1")).To(Equal(name == "reverted"))
	}
	_, err := rollout.DecodeRecord([]byte("{"))
	NewWithT(t).Expect(err).To(HaveOccurred())
}

// Guards against a roll-out that is not completed after the store applied the
// write of its record but the answer was lost.
func TestLostAnswerToRecordWrite(t *testing.T) {
	g := NewWithT(t)
	d := newScenario(2)
	d.store.LoseNextReply()
	for range 98 {
		d.step(t, 150)
	}
	g.Expect(d.status()).To(Equal("complete"))
}
