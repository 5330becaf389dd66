package edge

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"

	"github.com/dogwoodrudder/dogwoodrudder/internal/settings"
)

// All daemons restart while no daemon is announced. Guards against parts of the retries of
// a service that are fixed for good when each daemon knows itself only.
func TestRetryBudgetsFollowTheNumberOfDaemons(t *testing.T) {
	g := NewWithT(t)
	const daemons, perSecond = 7, 20
	clock := clockwork.NewFakeClock()
	bounds := settings.Bounds{RetryRatio: 0.2, RetryExtra: 54, RetryWindow: 10 * time.Second}
	known := 1
	var fleet []*retryBudgets
	for range daemons {
		fleet = append(fleet, newRetryBudgets(bounds, clock, func() int { return known }))
	}
	requests, retries := 0, 0
	play := func(d time.Duration) {
		requests, retries = 0, 0
		for range int(d.Seconds() * perSecond) {
			for _, b := range fleet {
				b.AddRequest("s")
				requests++
				if b.Take("s") {
					retries++
				}
			}
			clock.Advance(time.Second / perSecond)
		}
	}
	play(time.Second)
	known = daemons
	play(5 * time.Second)
	play(bounds.RetryWindow)
	g.Expect(float64(retries)).To(BeNumerically("<=", bounds.RetryRatio*float64(requests)+bounds.RetryExtra))
	g.Expect(float64(retries)).To(BeNumerically(">", 0.1*float64(requests)))
}

// Guards against parts of limits that grow while the announcements of other daemons have
// lapsed, and against parts that stay small after the fleet has shrunk.
func TestFleetSizeIsRemembered(t *testing.T) {
	g := NewWithT(t)
	var f fleetSize
	g.Expect(f.observeAt(1, 0)).To(Equal(1))
	g.Expect(f.observeAt(7, time.Second)).To(Equal(7))
	g.Expect(f.observeAt(2, 2*time.Second)).To(Equal(7))
	g.Expect(f.observeAt(7, 10*time.Second)).To(Equal(7))
	g.Expect(f.observeAt(3, 29*time.Second)).To(Equal(7))
	g.Expect(f.observeAt(3, 31*time.Second)).To(Equal(3))
}
