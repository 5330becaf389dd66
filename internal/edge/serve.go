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
)

const (
	// headerTimeout and idleTimeout bound callers before the configuration is
	// known. The idle limit of the deployments is 15 s, and callers reuse
	// connections up to four fifths of it.
	headerTimeout  = 5 * time.Second
	idleTimeout    = 20 * time.Second
	maxHeaderBytes = 32 << 10
	// acceptShare is the part of the grace in which every new request is accepted
	// after SIGTERM: callers keep addresses for some seconds. Later ones are
	// accepted if they end before the grace does.
	acceptShare = 0.32
	// listenShare is the part of the grace in which any request is accepted.
	listenShare = 0.6
	// endMargin is left of the grace for the end of the process.
	endMargin = 400 * time.Millisecond
	drainPoll = 20 * time.Millisecond
)

// servers are the daemon's listeners.
type servers struct {
	callers     *http.Server
	others      []*http.Server
	coordinator *grpc.Server
}

// listen opens all listeners and serves on them.
func (d *Daemon) listen() (*servers, error) {
	s := &servers{callers: &http.Server{
		Handler: d.relay, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: nil,
	}}
	if err := d.serveHTTP(d.settings.CallersAddress, s.callers); err != nil {
		return nil, err
	}
	directory := d.platform.Directory(d.Addresses, d.settings.Bounds.LookupLifetime)
	for address, handler := range map[string]http.Handler{
		d.settings.ReadyAddress:     d.platform.Ready(d.Ready),
		d.settings.DirectoryAddress: directory,
		d.settings.MetricsAddress:   http.HandlerFunc(writeMetrics),
	} {
		if address == "" {
			continue
		}
		server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
		if err := d.serveHTTP(address, server); err != nil {
			return nil, err
		}
		s.others = append(s.others, server)
	}
	s.coordinator = grpc.NewServer(peer.ServerOptions()...)
	coordinatorv1.RegisterCoordinatorServer(s.coordinator, d.coordinator)
	listener, err := net.Listen("tcp", d.settings.CoordinatorAddress)
	if err != nil {
		return nil, errors.Wrap(err, "listen for daemons")
	}
	go func() { _ = s.coordinator.Serve(listener) }() // ends with Stop
	return s, nil
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
	_, _ = w.Write(buffer.Bytes()) // a reader that left needs no answer
}

// stopTimes bound which requests a stopping daemon accepts.
type stopTimes struct {
	acceptAll time.Time // until when every request is accepted
	end       time.Time // requests that end before are accepted; zero refuses all
}

// refuses reports whether a request that may last until deadline can't be
// finished by a daemon that stops.
func (t *stopTimes) refuses(now, deadline time.Time) bool {
	return t != nil && now.After(t.acceptAll) && deadline.After(t.end)
}

func share(d time.Duration, part float64) time.Duration { return time.Duration(float64(d) * part) }

// stop withdraws the daemon from the callers' addresses, finishes requests and
// ends before the grace does.
func (d *Daemon) stop(ctx context.Context, s *servers) {
	began := time.Now()
	grace := d.settings.Bounds.Grace - endMargin
	d.stopping.Store(&stopTimes{acceptAll: began.Add(share(grace, acceptShare)), end: began.Add(grace)})
	d.draining.Store(true)
	d.log.Info("daemon draining", "grace", grace)
	d.members.withdraw(ctx)
	duty.Sleep(ctx, share(grace, listenShare))
	d.stopping.Store(&stopTimes{})
	ctx, cancel := context.WithTimeout(ctx, grace-time.Since(began))
	defer cancel()
	// The listener stays open until the requests in flight are finished, so
	// that callers get a refusal instead of a reset connection.
	for ctx.Err() == nil && d.relay.Active() > 0 {
		duty.Sleep(ctx, drainPoll)
	}
	if err := d.agent.FlushUsage(ctx, d.platform.Store, countsKey); err != nil {
		d.log.Warn("usage counts not handed over", "error", err)
	}
	if err := s.callers.Shutdown(ctx); err != nil {
		d.log.Warn("requests cut at the end of the grace", "active", d.relay.Active())
		_ = s.callers.Close()
	}
	for _, server := range s.others {
		_ = server.Close()
	}
	s.coordinator.Stop()
}
