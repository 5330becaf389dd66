package edge

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a stop that cuts a report which was taken 3 s after SIGTERM
// (hunt-7e03-3 of rcb-compra: cut in the middle after 4.6 s), and against short
// requests being turned away though there is time for them.
func TestStopAcceptsWhatEndsInTime(t *testing.T) {
	g := NewWithT(t)
	term := time.Unix(1_800_000_000, 0)
	const grace = 7600 * time.Millisecond
	at := func(s float64) time.Time { return term.Add(time.Duration(s * float64(time.Second))) }
	times := &stopTimes{acceptAll: at(0).Add(share(grace, acceptShare)), end: term.Add(grace)}
	g.Expect(times.refuses(at(2), at(17))).To(BeFalse(), "callers still hold the address")
	g.Expect(times.refuses(at(2.9), at(18))).To(BeTrue())
	g.Expect(times.refuses(at(4), at(5.5))).To(BeFalse())
	g.Expect((&stopTimes{}).refuses(at(5), at(5.5))).To(BeTrue())
	var running *stopTimes
	g.Expect(running.refuses(at(5), at(60))).To(BeFalse())
}
