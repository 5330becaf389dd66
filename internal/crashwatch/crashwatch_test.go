package crashwatch_test

import (
	"context"
	"log/slog"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/dogwoodrudder/dogwoodrudder/internal/crashwatch"
	"github.com/dogwoodrudder/dogwoodrudder/internal/fleet"
)

// Guards against failed requests, and the planned end of an instance, being taken for a
// crash, and against requests of a crash that are left out.
func TestOnlyInstancesThatAcceptNoConnectionCrashed(t *testing.T) {
	for name, c := range map[string]struct {
		connect error
		serving bool
		want    int // requests that broke off in a crash
	}{
		"alive":   {nil, true, 0},
		"crashed": {errors.New("connection refused"), true, 3},
		"leaving": {errors.New("connection refused"), false, 0},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			broken := 0
			began := time.Now()
			release := make(chan struct{})
			w := crashwatch.New(crashwatch.Config{
				Log: slog.New(slog.DiscardHandler), Now: func() time.Duration { return time.Since(began) },
				Connect: func(context.Context, string) error {
					<-release
					return c.connect
				},
				Serving: func(fleet.Description) bool { return c.serving },
				OnCrash: func(crash crashwatch.Crash) { broken += len(crash.Requests) },
			})
			instance := fleet.Description{ID: "i", Address: "10.0.0.1:80"}
			w.Broke(instance, crashwatch.Request{ID: "1", Parts: []string{"a"}})
			done := w.Broke(instance, crashwatch.Request{ID: "2", Parts: []string{"a", "b"}})
			close(release)
			g.Eventually(done).Should(BeClosed())
			g.Eventually(w.Broke(instance, crashwatch.Request{ID: "3"})).Should(BeClosed())
			g.Expect(broken).To(Equal(c.want))
		})
	}
}
