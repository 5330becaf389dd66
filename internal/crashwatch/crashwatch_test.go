package crashwatch_test

import (
	"context"
	"log/slog"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/dogwoodrudder/dogwoodrudder/internal/crashwatch"
	"github.com/dogwoodrudder/dogwoodrudder/internal/exchange"
	"github.com/dogwoodrudder/dogwoodrudder/internal/fleet"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/crashguard"
)

// Guards against failed requests, the planned end of an instance, and lost links of the
// daemon being taken for a crash, and against requests of a crash that are left out.
func TestOnlyInstancesThatAcceptNoConnectionCrashed(t *testing.T) {
	for name, c := range map[string]struct {
		connect error
		serving bool
		want    int // parts that were there at a crash
	}{
		"alive":   {nil, true, 0},
		"crashed": {errors.New("connection refused"), true, 3},
		"leaving": {errors.New("connection refused"), false, 0},
		// The daemon's links to all instances are lost.
		"out of reach": {errors.Wrap(exchange.ErrLinksLost, "connect"), true, 0},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			now := func() time.Duration { return time.Minute }
			guard := crashguard.New(crashguard.Config{
				Now: now, Daemons: func() int { return 1 }, OnChange: func(string, bool, int, []string) {},
			})
			release := make(chan struct{})
			w := crashwatch.New(crashwatch.Config{
				Log: slog.New(slog.DiscardHandler), Now: now, Guard: guard,
				Connect: func(context.Context, string) error {
					<-release
					return c.connect
				},
				Serving: func(fleet.Description) bool { return c.serving },
			})
			instance := fleet.Description{ID: "i", Address: "10.0.0.1:80"}
			w.Broke(instance, crashguard.Request{Parts: []string{"a"}})
			search := w.Broke(instance, crashguard.Request{Parts: []string{"a", "b"}})
			close(release)
			search.Wait(t.Context())
			w.Broke(instance, crashguard.Request{Parts: []string{"c"}}).Wait(t.Context())
			state, _ := guard.Export()
			g.Expect(state).To(HaveLen(c.want))
		})
	}
}

// A reply without a length ends with its connection, also when the instance crashes.
// Guards against taking such an end for a completed request, which would acquit the part
// that crashed the instance.
func TestEndOfConnectionIsNoCompletionIfTheInstanceCrashed(t *testing.T) {
	g := NewWithT(t)
	now := func() time.Duration { return time.Minute }
	guard := crashguard.New(crashguard.Config{
		Now: now, Daemons: func() int { return 1 }, OnChange: func(string, bool, int, []string) {},
	})
	w := crashwatch.New(crashwatch.Config{
		Log: slog.New(slog.DiscardHandler), Now: now, Guard: guard,
		Connect: func(context.Context, string) error { return errors.New("connection refused") },
		Serving: func(fleet.Description) bool { return true },
	})
	w.Completed(fleet.Description{ID: "i"}, crashguard.Request{Parts: []string{"a"}}, false)
	g.Eventually(func() int {
		state, _ := guard.Export()
		return len(state)
	}).Should(Equal(1))
}

// The system of a killed process ends its connections first and then its listener, which
// accepts connections until then. Guards against taking the instance for alive.
func TestListenerThatEndsShortlyAfterwardsIsNoProofOfLife(t *testing.T) {
	g := NewWithT(t)
	now := func() time.Duration { return time.Minute }
	guard := crashguard.New(crashguard.Config{
		Now: now, Daemons: func() int { return 1 }, OnChange: func(string, bool, int, []string) {},
	})
	var ended atomic.Bool
	w := crashwatch.New(crashwatch.Config{
		Log: slog.New(slog.DiscardHandler), Now: now, Guard: guard,
		Connect: func(context.Context, string) error {
			if ended.Swap(true) {
				return errors.New("connection refused")
			}
			return nil
		},
		Serving: func(fleet.Description) bool { return true },
	})
	search := w.Broke(fleet.Description{ID: "i"}, crashguard.Request{Parts: []string{"a"}})
	g.Expect(search.Wait(t.Context())).To(Equal(crashwatch.Crashed))
}
