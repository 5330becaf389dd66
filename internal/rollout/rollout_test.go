package rollout_test

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"

	"github.com/dogwoodrudder/dogwoodrudder/internal/rollout"
	"github.com/dogwoodrudder/dogwoodrudder/internal/store/storetest"
)

// day is a service with two versions under load.
type day struct {
	clock *clockwork.FakeClock
	store *storetest.Memory
	gate  *rollout.Gate
	duty  *rollout.Duty
	token int64
	order rollout.Order
	// failing returns the share of the new version's answers that fail, slow
	// the factor of its latency.
	failing func(since time.Duration, share float64) float64
	slow    float64
	began   time.Time

	random   *rand.Rand
	requests int
	exposed  int
	badSeen  int
	after50  int
}

func newDay(seed uint64) *day {
	d := &day{
		clock: clockwork.NewFakeClock(), store: storetest.NewMemory(), gate: rollout.NewGate(), token: 1,
		order:   rollout.Order{Service: "s", Target: "v2", Within: 15 * time.Second, Revision: 3},
		failing: func(time.Duration, float64) float64 { return 0 }, slow: 1, random: rand.New(rand.NewPCG(seed, 9)),
	}
	d.duty = d.newDuty()
	d.began = d.clock.Now()
	d.gate.SetOrder(d.order)
	return d
}

func (d *day) newDuty() *rollout.Duty {
	duty := rollout.New(rollout.Config{
		Log: slog.New(slog.DiscardHandler), Store: d.store, Token: func() int64 { return d.token }, Civil: d.clock.Now,
		Policy: rollout.DefaultPolicy(), Evidence: d.gate.Counters,
		Status: func(o rollout.Order, outcome rollout.Outcome) (string, []byte, error) {
			return "status/" + o.Service, []byte(outcome), nil
		},
	})
	duty.SetOrder(d.order)
	return duty
}

func (d *day) status() string { return string(d.store.Value("status/s")) }

func (d *day) share() float64 {
	for _, s := range d.duty.States() {
		return s.Share
	}
	return 0
}

// step lets 150 ms pass with a rate of requests.
func (d *day) step(t *testing.T, perSecond float64) {
	for range int(perSecond * 0.15) {
		d.requests++
		accept := d.gate.Accept("s", fmt.Sprint(d.requests))
		version, failed, latency := "v1", d.random.Float64() < 0.004, 60*time.Millisecond
		if accept("v2") {
			d.exposed++
			version = "v2"
			failed = d.random.Float64() < d.failing(d.clock.Since(d.began), d.share())
			latency = time.Duration(float64(latency) * d.slow)
			if failed || d.slow > 1 {
				d.badSeen++
			}
			if d.badSeen > 50 {
				d.after50++
			}
		}
		d.gate.Observe("s", "r", version, failed, time.Duration(float64(latency)*(0.5+d.random.Float64())))
	}
	d.clock.Advance(150 * time.Millisecond)
	_ = d.duty.Step(t.Context()) // errors are what a test provokes
	for _, s := range d.duty.States() {
		d.gate.SetState(s)
	}
}

// Guards against a good version that misses its deadline, or requests
// in flight on the old one when it is reported complete.
func TestGoodVersionIsCompleteInTime(t *testing.T) {
	for seed := range uint64(30) {
		g := NewWithT(t)
		d := newDay(seed)
		full := time.Duration(0)
		for range 99 {
			d.step(t, 150)
			if d.share() == 1 && full == 0 {
				full = d.clock.Since(d.began)
			}
			if d.status() == "complete" {
				break
			}
		}
		g.Expect(d.status()).To(Equal("complete"))
		g.Expect(d.clock.Since(d.began)).To(BeNumerically("<", 15*time.Second))
		g.Expect(d.clock.Since(d.began) - full).To(BeNumerically(">", 3*time.Second))
	}
}

// Patterns of bad versions: at once, later, only under load, slow. Guards
// against more requests for them than a tenth and 50.
func TestBadVersionsAreTakenBack(t *testing.T) {
	for name, prepare := range map[string]func(*day){
		"fails at once": func(d *day) { d.failing = func(time.Duration, float64) float64 { return 0.3 } },
		"fails later": func(d *day) {
			d.failing = func(since time.Duration, _ float64) float64 {
				if since > 6*time.Second {
					return 0.3
				}
				return 0
			}
		},
		"fails under load": func(d *day) {
			d.failing = func(_ time.Duration, share float64) float64 {
				if share > 0.5 {
					return 0.3
				}
				return 0
			}
		},
		"slow": func(d *day) { d.slow = 4 },
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(20) {
				g := NewWithT(t)
				d := newDay(seed)
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

// Guards against a verdict that a change of the coordinator takes back, and
// against a roll-out that begins again with it.
func TestVerdictOutlivesTheCoordinator(t *testing.T) {
	g := NewWithT(t)
	d := newDay(1)
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

// Guards against a coordinator that takes the requests of a complete roll-out
// away from the only version whose instances still run.
func TestCompletionOutlivesTheCoordinator(t *testing.T) {
	g := NewWithT(t)
	d := newDay(1)
	for range 98 {
		d.step(t, 150)
	}
	g.Expect(d.status()).To(Equal("complete"))
	d.token = 2
	d.duty = d.newDuty()
	d.gate = rollout.NewGate() // a daemon that starts with the coordinator
	d.gate.SetOrder(d.order)
	d.step(t, 0)
	exposed, requests := d.exposed, d.requests
	d.step(t, 200)
	g.Expect(d.exposed - exposed).To(Equal(d.requests - requests))
}

// Guards against a daemon that starts while nobody coordinates, and sends the
// requests of an ended roll-out to the wrong version.
func TestVerdictIsKnownWithoutCoordinator(t *testing.T) {
	for name, failing := range map[string]float64{"complete": 0, "reverted": 0.5} {
		g := NewWithT(t)
		d := newDay(1)
		d.failing = func(time.Duration, float64) float64 { return failing }
		for range 98 {
			d.step(t, 150)
		}
		g.Expect(d.status()).To(Equal(name))
		state, ended, err := rollout.Verdict(d.store.Value(rollout.KeyPrefix + "s"))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(ended).To(BeTrue())
		gate := rollout.NewGate()
		gate.SetState(state)
		gate.SetOrder(d.order)
		accept := gate.Accept("s", "r")
		g.Expect(accept("v2")).To(Equal(name == "complete"))
		g.Expect(accept("v1")).To(Equal(name == "reverted"))
	}
	_, _, err := rollout.Verdict([]byte("{"))
	NewWithT(t).Expect(err).To(HaveOccurred())
}

// Guards against a lost answer of the store losing the roll-out.
func TestLostAnswerOfTheRecord(t *testing.T) {
	g := NewWithT(t)
	d := newDay(2)
	d.store.LoseNext()
	for range 98 {
		d.step(t, 150)
	}
	g.Expect(d.status()).To(Equal("complete"))
}
