package exchange_test

import (
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/dogwoodrudder/dogwoodrudder/internal/exchange"
)

// Guards against taking a connection for a proof of life that only the system has accepted, as
// the listener of a process that is being killed does, and against missing the proof of a
// process that runs.
func TestOnlyARunningProcessIsProvedAlive(t *testing.T) {
	g := NewWithT(t)
	listen := func() net.Listener {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		g.Expect(err).NotTo(HaveOccurred())
		t.Cleanup(func() { _ = listener.Close() })
		return listener
	}
	running, hung, dying := listen(), listen(), listen()
	go func() {
		for {
			c, err := running.Accept()
			if err != nil {
				return
			}
			_, _ = c.Read(make([]byte, 1))
			_ = c.Close()
		}
	}()
	time.AfterFunc(20*time.Millisecond, func() { _ = dying.Close() })
	p := newPool()
	for listener, want := range map[net.Listener]bool{running: true, hung: false, dying: false} {
		proved, err := p.Alive(t.Context(), listener.Addr().String())
		switch {
		case listener != dying:
			g.Expect(err).NotTo(HaveOccurred())
		case !errors.Is(err, exchange.ErrRefused):
			g.Expect(errors.Is(err, exchange.ErrReset)).To(BeTrue(), "%v", err)
		}
		g.Expect(proved).To(Equal(want))
	}
	_, err := p.Alive(t.Context(), dying.Addr().String())
	g.Expect(errors.Is(err, exchange.ErrRefused)).To(BeTrue(), "%v", err)
}
