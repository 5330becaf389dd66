package exchange_test

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/dogwoodrudder/dogwoodrudder/internal/exchange"
)

// settableLinks are links in a state that a test sets.
type settableLinks struct{ lost atomic.Bool }

func (l *settableLinks) Lost() bool                                      { return l.lost.Load() }
func (l *settableLinks) Hanging() bool                                   { return l.lost.Load() }
func (l *settableLinks) Connected(time.Time)                             {}
func (l *settableLinks) Confirm(context.Context, string, time.Time) bool { return l.lost.Load() }

// detourConn is a connection that holds nothing back.
type detourConn struct{ *net.TCPConn }

func (detourConn) Readable() bool { return false }

// Guards against giving up an attempt to connect directly that was in progress when the loss
// of the links was found out.
func TestAttemptInProgressTakesTheDetour(t *testing.T) {
	for name, c := range map[string]struct {
		lostBefore bool
		detour     error
		detours    int64
		want       error
	}{
		"lost meanwhile":              {false, nil, 1, nil},
		"lost before, no daemon":      {true, exchange.ErrLinksLost, 1, exchange.ErrLinksLost},
		"lost before":                 {true, nil, 1, nil},
		"lost meanwhile, no daemon":   {false, exchange.ErrLinksLost, 1, exchange.ErrLinksLost},
		"instance refused the detour": {true, exchange.ErrRefused, 1, exchange.ErrRefused},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			g.Expect(err).NotTo(HaveOccurred())
			defer func() { _ = listener.Close() }()
			links, detours := &settableLinks{}, atomic.Int64{}
			links.lost.Store(c.lostBefore)
			pool := exchange.NewPool(exchange.Config{
				Links: links,
				Dial: func(context.Context, string) (net.Conn, error) {
					links.lost.Store(true)
					return nil, exchange.ErrNotSent
				},
				Detour: func(ctx context.Context, address string) (exchange.DetourConn, error) {
					detours.Add(1)
					if c.detour != nil {
						return nil, c.detour
					}
					conn, err := exchange.Dial(ctx, address, exchange.Config{DialTimeout: time.Second, AckTimeout: time.Second})
					return detourConn{conn}, err
				},
			})
			err = pool.Reachable(t.Context(), listener.Addr().String())
			if c.want == nil {
				g.Expect(err).NotTo(HaveOccurred())
			} else {
				g.Expect(errors.Is(err, c.want)).To(BeTrue(), "%v", err)
			}
			g.Expect(detours.Load()).To(Equal(c.detours))
		})
	}
}
