package lease_test

import (
	"context"
	"log/slog"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/dogwoodrudder/dogwoodrudder/pkg/lease"
)

// jumpingClock is a clock whose time of day can be set.
type jumpingClock struct {
	*clockwork.FakeClock
	offset atomic.Int64
}

func (c *jumpingClock) Now() time.Time {
	return c.FakeClock.Now().Add(time.Duration(c.offset.Load()))
}

// Guards against a duty that is given up, and acquired again under another token, because the
// time of day of the machine was set.
func TestJumpOfTheTimeOfDayKeepsTheDuty(t *testing.T) {
	for name, jump := range map[string]time.Duration{"forward": time.Minute, "backward": -time.Minute} {
		t.Run(name, func(t *testing.T) {
			clock := &jumpingClock{FakeClock: clockwork.NewFakeClock()}
			start := clock.FakeClock.Now()
			holder := lease.New(lease.Config{
				Backend: &client{fakeStore: newFakeStore(clock.FakeClock)}, Clock: clock, Duty: "placement", Key: "k", DaemonID: "a",
				Logger:   slog.New(slog.DiscardHandler),
				BootTime: func() time.Duration { return clock.FakeClock.Now().Sub(start) },
			})
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan struct{})
			go func() {
				defer close(done)
				_ = holder.Run(ctx)
			}()
			advance := func(d time.Duration) {
				for range d / (100 * time.Millisecond) {
					clock.Advance(100 * time.Millisecond)
					time.Sleep(200 * time.Microsecond) // lets the holder run
				}
			}
			for !holder.Valid() {
				advance(time.Second)
			}
			token := holder.Token()
			for _, offset := range []time.Duration{jump, 0} {
				clock.offset.Store(int64(offset))
				if now := holder.Token(); now != token {
					t.Errorf("token %d after the jump, %d before", now, token)
				}
				advance(20 * time.Second)
				if now := holder.Token(); now != token {
					t.Errorf("token %d 20 s after the jump, %d before", now, token)
				}
			}
			// A suspension of the machine still ends the validity.
			clock.Advance(lease.DefaultTTL)
			if holder.Token() == token {
				t.Error("the token is valid after the lease has ended")
			}
			cancel()
			<-done
		})
	}
}
