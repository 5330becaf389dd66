package duty_test

import (
	"context"
	"log/slog"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"

	"github.com/dogwoodrudder/dogwoodrudder/internal/duty"
)

// Guards against a panic in one duty that ends the process, another duty, or the duty
// itself for good.
func TestDutyThatPanicsIsRestarted(t *testing.T) {
	g := NewWithT(t)
	clock := clockwork.NewFakeClock()
	r, err := duty.NewRunner(2, clock, slog.New(slog.DiscardHandler))
	g.Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(t.Context())
	defer r.Wait()
	defer cancel()
	var starts atomic.Int64
	g.Expect(r.Start(ctx, duty.Duty{Name: "test", Run: func(ctx context.Context) error {
		if starts.Add(1) == 1 {
			panic("odd entry")
		}
		<-ctx.Done()
		return nil
	}})).To(Succeed())
	paused, stopWaiting := context.WithTimeout(ctx, 10*time.Second)
	defer stopWaiting()
	g.Expect(clock.BlockUntilContext(paused, 1)).To(Succeed())
	clock.Advance(2 * time.Second)
	g.Eventually(starts.Load).Should(Equal(int64(2)))
}
