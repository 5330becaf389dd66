package edge

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"
	"google.golang.org/grpc"

	coordinatorv1 "github.com/dogwoodrudder/dogwoodrudder/api/coordinator/v1"
	"github.com/dogwoodrudder/dogwoodrudder/internal/duty"
	"github.com/dogwoodrudder/dogwoodrudder/internal/peer"
	"github.com/dogwoodrudder/dogwoodrudder/internal/relay"
)

const (
	// headerTimeout and idleTimeout apply to callers' connections until the
	// configuration is known. The deployments configure an idle limit of 15 s, and
	// callers reuse connections for up to four fifths of it.
	headerTimeout  = 5 * time.Second
	idleTimeout    = 20 * time.Second
	maxHeaderBytes = 32 << 10
	// acceptAllFraction is the fraction of the grace period after SIGTERM in
	// which every new request is accepted, because callers keep addresses for
	// some seconds. Later requests are accepted if their deadline is before the
	// end of the grace period.
	acceptAllFraction = 0.32
	// acceptFraction is the fraction of the grace period in which new requests
	// are accepted at all. Later ones are refused.
	acceptFraction = 0.6
	// exitMargin is the part of the grace period reserved for the exit of the
	// process.
	exitMargin = 400 * time.Millisecond
	// answerMargin is the part of the grace period, before exitMargin, in which requests
	// are answered that have no response yet.
	answerMargin = 200 * time.Millisecond
	// drainPollInterval is the time between two checks whether requests are in
	// flight.
	drainPollInterval = 20 * time.Millisecond
)

// servers are the daemon's listeners.
type servers struct {
	callers     *http.Server
	auxiliary   []*http.Server // readiness, directory and metrics
	coordinator *grpc.Server
}

// listen opens all listeners and serves on them.
func (d *Daemon) listen() (*servers, error) {
	s := &servers{callers: d.callersServer()}
	if err := d.serveHTTP(d.settings.CallersAddress, s.callers); err != nil {
		return nil, err
	}
	directory := d.platform.Directory(d.Addresses, d.settings.Bounds.LookupLifetime)
	for address, handler := range map[string]http.Handler{
		d.settings.ReadyAddress:     d.platform.Ready(d.Ready),
		d.settings.DirectoryAddress: directory,
	} {
		if address == "" {
			continue
		}
		server := auxiliaryServer(handler)
		if err := d.serveHTTP(address, server); err != nil {
			return nil, err
		}
		s.auxiliary = append(s.auxiliary, server)
	}
	if address := d.settings.MetricsAddress; address != "" {
		server := auxiliaryServer(http.HandlerFunc(writeMetrics))
		if err := d.serveHTTP(address, server); err != nil {
			// The port is the same in all deployments, so another listener may have it.
			d.log.Error("metrics not served", "address", address, "error", err)
		} else {
			s.auxiliary = append(s.auxiliary, server)
		}
	}
	if err := d.listenForTunnels(); err != nil {
		return nil, err
	}
	s.coordinator = grpc.NewServer(peer.ServerOptions()...)
	coordinatorv1.RegisterCoordinatorServer(s.coordinator, coordinatorServer{d.coordinator, d})
	listener, err := net.Listen("tcp", d.settings.CoordinatorAddress)
	if err != nil {
		return nil, errors.Wrap(err, "listen for calls of other daemons")
	}
	go func() { _ = s.coordinator.Serve(listener) }() // returns after Stop
	return s, nil
}

func (d *Daemon) callersServer() *http.Server {
	return &http.Server{
		Handler: d.relay, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ConnContext: relay.ConnContext,
	}
}

func auxiliaryServer(handler http.Handler) *http.Server {
	return &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
}

func (d *Daemon) serveHTTP(address string, server *http.Server) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			d.log.Error("listener failed", "address", address, "error", err)
		}
	}()
	return nil
}

func writeMetrics(w http.ResponseWriter, _ *http.Request) {
	var buffer bytes.Buffer
	metrics.WritePrometheus(&buffer, true)
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	_, _ = w.Write(buffer.Bytes()) // fails only if the client has disconnected
}

// stopTimes determines which requests a stopping daemon accepts.
type stopTimes struct {
	// acceptAllUntil is the time until which every request is accepted.
	acceptAllUntil time.Time
	// finishBy is the latest deadline of the requests that are accepted after
	// acceptAllUntil. If both times are zero, every request is refused.
	finishBy time.Time
}

// refuses reports whether a request that arrives now is refused because the
// daemon is stopping. A nil t, before the stop, refuses none.
func (t *stopTimes) refuses(now, deadline time.Time) bool {
	return t != nil && now.After(t.acceptAllUntil) && deadline.After(t.finishBy)
}

func fraction(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}

// stop withdraws the daemon's announcement, lets requests in flight finish, and
// returns before the end of the grace period.
func (d *Daemon) stop(ctx context.Context, s *servers) {
	start := time.Now()
	grace := d.settings.Bounds.Grace - exitMargin
	answerBy := start.Add(grace - answerMargin)
	d.stopping.Store(&stopTimes{acceptAllUntil: start.Add(fraction(grace, acceptAllFraction)), finishBy: answerBy})
	d.draining.Store(true)
	d.log.Info("daemon draining", "grace", grace)
	d.members.withdraw(ctx)
	duty.Sleep(ctx, fraction(grace, acceptFraction))
	d.stopping.Store(&stopTimes{})
	ctx, cancel := context.WithTimeout(ctx, grace-time.Since(start))
	defer cancel()
	// The listener stays open until the requests in flight have finished, so that
	// new requests get a refusal instead of a connection error.
	for ctx.Err() == nil && d.relay.Active() > 0 {
		if time.Now().After(answerBy) {
			d.relay.EndUnanswered()
		}
		duty.Sleep(ctx, drainPollInterval)
	}
	if err := d.agent.FlushUsage(ctx, d.platform.Store, usageCountsKey); err != nil {
		d.log.Warn("usage counts not handed over", "error", err)
	}
	if err := s.callers.Shutdown(ctx); err != nil {
		d.log.Warn("requests cut at the end of the grace", "active", d.relay.Active())
		_ = s.callers.Close()
	}
	for ctx.Err() == nil && d.tunnels.Active() > 0 {
		duty.Sleep(ctx, drainPollInterval)
	}
	for _, server := range s.auxiliary {
		_ = server.Close()
	}
	if d.tunnelListener != nil {
		_ = d.tunnelListener.Close()
	}
	s.coordinator.Stop()
}
