package uplink

import (
	"context"
	"log/slog"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/dogwoodrudder/dogwoodrudder/internal/exchange"
)

// newMonitor returns a monitor of instances that connect tells of.
func newMonitor(addresses []string, connect func(address string) error) *Monitor {
	return New(Config{
		Log: slog.New(slog.DiscardHandler), Sample: func(n int) []string { return addresses[:min(n, len(addresses))] },
		Connect: func(_ context.Context, address string) error { return connect(address) },
	})
}

// Guards against a daemon that takes crashed instances for its own lost links.
func TestLinksAreNotLostWhileAnInstanceIsReached(t *testing.T) {
	g := NewWithT(t)
	var tries atomic.Int64
	m := newMonitor([]string{"a", "b", "c"}, func(address string) error {
		tries.Add(1)
		if address == "b" {
			return nil
		}
		return exchange.ErrRefused
	})
	for range 20 {
		g.Expect(m.Confirm(t.Context(), "x", time.Now())).To(BeFalse())
	}
	g.Consistently(m.Lost, 100*time.Millisecond).Should(BeFalse())
	g.Expect(tries.Load()).To(BeNumerically("<=", 3), "one examination")
}

func TestLinksAreNotExaminedAfterALaterConnection(t *testing.T) {
	g := NewWithT(t)
	m := newMonitor([]string{"a"}, func(string) error { return exchange.ErrRefused })
	began := time.Now()
	m.Connected(time.Now())
	g.Expect(m.Confirm(t.Context(), "x", began)).To(BeFalse())
	g.Consistently(m.Lost, 50*time.Millisecond).Should(BeFalse())
}

func TestLinksAreLostAndRestored(t *testing.T) {
	for name, failure := range map[string]error{"refused": exchange.ErrRefused, "hanging": errors.New("timeout")} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			var restored atomic.Bool
			m := newMonitor([]string{"a", "b"}, func(string) error {
				if restored.Load() {
					return nil
				}
				return failure
			})
			g.Expect(m.Confirm(t.Context(), "x", time.Now())).To(BeTrue())
			g.Expect(m.Lost()).To(BeTrue())
			g.Expect(m.Hanging()).To(Equal(name == "hanging"))
			restored.Store(true)
			g.Eventually(m.Lost, 2*recheckInterval).Should(BeFalse())
		})
	}
}

// Guards against a daemon that takes the crash of its only instance for its own lost links.
func TestLinksAreNotLostWithTheOnlyInstance(t *testing.T) {
	g := NewWithT(t)
	m := newMonitor([]string{"a"}, func(string) error { return exchange.ErrRefused })
	g.Expect(m.Confirm(t.Context(), "a", time.Now())).To(BeFalse())
	g.Expect(m.Lost()).To(BeFalse())
}
