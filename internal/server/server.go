// Package server serves a daemon's HTTP endpoints with hertz: the APIs for callers
// and operators, the metrics and the health checks.
package server

import (
	"bytes"
	"context"
	"log/slog"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cloudwego/hertz/pkg/app"
	hertz "github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"

	"github.com/dogwoodrudder/dogwoodrudder/internal/audit"
	"github.com/dogwoodrudder/dogwoodrudder/internal/config"
	"github.com/dogwoodrudder/dogwoodrudder/internal/operatorapi"
	"github.com/dogwoodrudder/dogwoodrudder/internal/proxy"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/result"
)

// Header names of the API.
const (
	headerRequestID = "X-Request-Id"
	headerSession   = "X-Session-Id"
	headerDeadline  = "X-Request-Deadline"
	headerOrderKey  = "Idempotency-Key"
	headerLastEvent = "Last-Event-ID"
	headerReplayed  = "Idempotent-Replayed"
)

// Daemon is the part of the daemon that the server uses.
type Daemon interface {
	// Addresses lists daemon addresses for callers in order of preference.
	Addresses() []string
	// OrderToken returns a token for orders and its expiry. The token is
	// empty while the daemon does not accept orders.
	OrderToken() (string, time.Time)
	// Status describes the daemon for operators.
	Status() operatorapi.Status
	// MoveProgress adds the measurements of a move to its status.
	MoveProgress(config.MoveStatus) operatorapi.MoveStatus
	// Drain starts a graceful stop of the daemon that ends within the notice
	// period.
	Drain(notice time.Duration)
	// DrainUpstream announces that an upstream leaves within the notice period.
	DrainUpstream(name string, notice time.Duration) error
	// Ready returns nil when the daemon can serve requests.
	Ready() error
}

// Options configure a Server.
type Options struct {
	Address        string // ip:port
	Clock          clockwork.Clock
	Log            *slog.Logger
	Proxy          *proxy.Proxy
	Config         *config.Manager
	Operator       *config.OperatorService
	Trail          *audit.Trail
	Daemon         Daemon
	MaxBodyBytes   int
	MaxHeaderBytes int
	AddressTTL     time.Duration // how long callers may cache daemon addresses
	// BootstrapKeyHash is the hash of an operator key that belongs to no client
	// account.
	BootstrapKeyHash string
}

// Server serves a daemon's HTTP endpoints.
type Server struct {
	options Options
	hertz   *hertz.Hertz
}

// New returns a server that does not listen yet.
func New(options Options) *Server {
	hlog.SetLevel(hlog.LevelError)
	s := &Server{options: options}
	s.hertz = hertz.New(
		hertz.WithHostPorts(options.Address),
		hertz.WithMaxRequestBodySize(options.MaxBodyBytes),
		hertz.WithMaxHeaderBytes(options.MaxHeaderBytes),
		hertz.WithSenseClientDisconnection(true),
		hertz.WithDisablePrintRoute(true),
		hertz.WithExitWaitTime(time.Second),
		hertz.WithUseRawPath(true),
	)
	s.routes()
	return s
}

// routes registers the handlers.
func (s *Server) routes() {
	s.hertz.Use(s.requestID)
	s.hertz.GET("/healthz", func(_ context.Context, c *app.RequestContext) { c.String(200, "ok\n") })
	s.hertz.GET("/readyz", s.wrap(s.ready))
	s.hertz.GET("/metrics", s.metrics)
	s.hertz.GET(operatorapi.PathAddress, s.wrap(s.requireAccount(s.address)))
	s.hertz.POST("/v1/chat/completions", s.wrap(s.requireAccount(s.chat)))
	s.hertz.GET("/v1/requests/:id", s.wrap(s.requireAccount(s.resume)))
	s.hertz.Any("/app/:service/*path", s.wrap(s.requireAccount(s.app)))
	s.operatorRoutes()
	s.hertz.NoRoute(s.wrap(func(_ context.Context, c *app.RequestContext) error {
		return result.New(result.NotFound, result.NotRun, "path %s does not exist", c.Path())
	}))
}

// operatorRoutes registers the handlers of the operator API.
func (s *Server) operatorRoutes() {
	operator := func(h accountHandler) app.HandlerFunc { return s.wrap(s.requireOperator(h)) }
	s.hertz.POST(operatorapi.PathApply, operator(s.apply))
	s.hertz.GET(operatorapi.PathObjects+"/:kind", operator(s.listObjects))
	s.hertz.GET(operatorapi.PathObjects+"/:kind/:name", operator(s.getObject))
	s.hertz.DELETE(operatorapi.PathObjects+"/:kind/:name", operator(s.deleteObject))
	s.hertz.POST(operatorapi.PathMoves+"/:name/start", operator(s.startMove))
	s.hertz.POST(operatorapi.PathMoves+"/:name/cancel", operator(s.cancelMove))
	s.hertz.GET(operatorapi.PathMoves+"/:name", operator(s.moveStatus))
	s.hertz.GET(operatorapi.PathAudit, operator(s.audit))
	s.hertz.GET(operatorapi.PathStatus, operator(s.status))
	s.hertz.POST(operatorapi.PathDrain, operator(s.drain))
	s.hertz.POST(operatorapi.PathUpstream+"/:name/drain", operator(s.drainUpstream))
}

// Run serves until Shutdown is called.
func (s *Server) Run() error { return s.hertz.Run() }

// Shutdown stops accepting connections and waits for handlers until ctx ends.
func (s *Server) Shutdown(ctx context.Context) error { return s.hertz.Shutdown(ctx) }

// maxRequestIDBytes is the maximum length of a request ID that a caller sets.
const maxRequestIDBytes = 128

// requestID sets the response's request ID: that of the caller, or a new one if it
// is missing or too long.
func (s *Server) requestID(ctx context.Context, c *app.RequestContext) {
	id := string(c.GetHeader(headerRequestID))
	if id == "" || len(id) > maxRequestIDBytes {
		id = uuid.NewString()
	}
	c.Response.Header.Set(headerRequestID, id)
	c.Next(ctx)
}

// requestIDOf returns the ID that the handler requestID set.
func requestIDOf(c *app.RequestContext) string { return c.Response.Header.Get(headerRequestID) }

func (s *Server) ready(_ context.Context, c *app.RequestContext) error {
	if err := s.options.Daemon.Ready(); err != nil {
		return err
	}
	status := s.options.Daemon.Status()
	writeJSON(c, map[string]any{
		"state": status.State, "revision": status.Revision,
		"storeContactAgeSeconds": status.StoreContactAgeSeconds, "storeFault": status.StoreFault,
	})
	return nil
}

func (s *Server) metrics(_ context.Context, c *app.RequestContext) {
	var buf bytes.Buffer
	metrics.WritePrometheus(&buf, true)
	c.Data(200, "text/plain; version=0.0.4", buf.Bytes())
}

// countProblem counts and logs an error that is written as a problem document.
func (s *Server) countProblem(c *app.RequestContext, err error) {
	e := result.From(err)
	metrics.GetOrCreateCounter(problemMetric(e)).Inc()
	s.options.Log.Debug("request refused", "request", requestIDOf(c), "path", string(c.Path()),
		"code", int(e.Code), "execution", string(e.Execution), "error", e.Error())
}
