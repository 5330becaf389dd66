package edge

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against accepting a request that can't finish before the daemon exits: in
// run hunt-7e03-3 of deployment rcb-compra, a report request accepted 3 s after
// SIGTERM was cut off after 4.6 s. Also guards against refusing short requests for
// which there is enough time.
func TestStopAcceptsWhatEndsInTime(t *testing.T) {
	g := NewWithT(t)
	term := time.Unix(1_800_000_000, 0)
	const grace = 7600 * time.Millisecond
	at := func(s float64) time.Time { return term.Add(time.Duration(s * float64(time.Second))) }
	times := &stopTimes{acceptAllUntil: at(0).Add(fraction(grace, acceptAllFraction)), finishBy: term.Add(grace)}
	g.Expect(times.refuses(at(2), at(17))).To(BeFalse(), "callers still use the address")
	g.Expect(times.refuses(at(2.9), at(18))).To(BeTrue())
	g.Expect(times.refuses(at(4), at(5.5))).To(BeFalse())
	g.Expect((&stopTimes{}).refuses(at(5), at(5.5))).To(BeTrue())
	var running *stopTimes
	g.Expect(running.refuses(at(5), at(60))).To(BeFalse())
}
