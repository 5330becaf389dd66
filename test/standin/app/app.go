// Package app is a stand-in of an application service: plain HTTP with
// operations that must not be executed twice. It does not deduplicate requests,
// so that its counts show every duplicate execution.
package app

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"

	"github.com/dogwoodrudder/dogwoodrudder/test/standin/fault"
	"github.com/dogwoodrudder/dogwoodrudder/test/standin/internal/httpserver"
)

const (
	defaultServiceTime = 5 * time.Millisecond
	idleCheckInterval  = 5 * time.Millisecond
	maxStock           = 100 // exclusive bound of the count of an item
)

// Options configure a Server. Zero values mean the defaults.
type Options struct {
	// ServiceTime is the time of one execution; 0 means 5 ms.
	ServiceTime time.Duration
	// MaxInFlight is the maximum number of requests in flight; further ones are
	// refused with "overload". 0 means no limit.
	MaxInFlight int
	// Version is reported by GET /health and in every response of an operation.
	Version string
	// Seed determines the random choices of the faults.
	Seed uint64
}

// Server is a stand-in of an application service.
type Server struct {
	options  Options
	http     *httpserver.Server
	faults   *fault.Set
	replies  fault.Replies
	inFlight atomic.Int64
	stop     chan struct{}
	stopOnce sync.Once

	mu          sync.Mutex // guards the fields below
	stats       Stats
	leaving     bool
	noticeEnded chan struct{} // closed at the end of the notice period
}

// Stats are the counts since the start.
type Stats struct {
	// Executions counts by Idempotency-Key; calls without one are under "".
	Executions map[string]int `json:"executions"`
	// Operations counts executions by path.
	Operations map[string]int `json:"operations"`
	Refused    map[string]int `json:"refused"` // by reason
	Failed     int            `json:"failed"`  // injected failures before the execution
	LostReply  int            `json:"lost_replies"`
	Dropped    int            `json:"dropped"` // in flight at the end of the notice period
	InFlight   int            `json:"in_flight"`
	Requests   int            `json:"requests"`
}

// Result is the response body of a non-idempotent operation.
type Result struct {
	RequestID      string `json:"request_id"`
	IdempotencyKey string `json:"idempotency_key"`
	Operation      string `json:"operation"`
	// Execution is 1 for the first execution of the key, 2 for the second and so on.
	Execution int    `json:"execution"`
	Version   string `json:"version"`
	// BodyHash is the xxhash of the request body.
	BodyHash uint64 `json:"body_hash"`
}

// Stock is the response body of a stock lookup.
type Stock struct {
	RequestID string `json:"request_id"`
	Item      string `json:"item"`
	Count     int    `json:"count"`
	Version   string `json:"version"`
}

// New returns a server that is not yet started.
func New(options Options) *Server {
	if options.ServiceTime <= 0 {
		options.ServiceTime = defaultServiceTime
	}
	s := &Server{
		options: options, faults: fault.NewSet(options.Seed), stop: make(chan struct{}),
		noticeEnded: make(chan struct{}),
		stats: Stats{
			Executions: make(map[string]int), Operations: make(map[string]int), Refused: make(map[string]int),
		},
	}
	s.http = httpserver.New(s.register)
	return s
}

// Start serves on address (ip:port); port 0 picks a free one.
func (s *Server) Start(address string) error {
	if err := s.http.Start(address); err != nil {
		return err
	}
	go s.closeIdleLoop()
	return nil
}

// Address returns the address in use as ip:port.
func (s *Server) Address() string { return s.http.Address() }

// Close stops the server.
func (s *Server) Close() {
	s.stopOnce.Do(func() { close(s.stop) })
	s.faults.Put(fault.Faults{})
	s.http.Close()
}

// Faults returns the set of injected faults.
func (s *Server) Faults() *fault.Set { return s.faults }

// CloseIdle closes all connections without a request in flight and returns their
// number.
func (s *Server) CloseIdle() int { return s.http.CloseIdle(0) }

// closeIdleLoop closes idle connections at the age that the faults state.
func (s *Server) closeIdleLoop() {
	ticker := time.NewTicker(idleCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.stop:
			return
		case <-ticker.C:
			if ms := s.faults.Get().CloseIdleMillis; ms > 0 {
				s.http.CloseIdle(time.Duration(ms) * time.Millisecond)
			}
		}
	}
}

// Leave starts the shutdown of the service: new requests are refused from now
// on, and requests in flight are aborted after notice.
func (s *Server) Leave(notice time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaving {
		return
	}
	s.leaving = true
	time.AfterFunc(notice, func() { close(s.noticeEnded) })
}

// Stats returns a copy of the counts.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	result := s.stats
	result.Executions = copyCounts(s.stats.Executions)
	result.Operations = copyCounts(s.stats.Operations)
	result.Refused = copyCounts(s.stats.Refused)
	result.InFlight = int(s.inFlight.Load())
	return result
}

func copyCounts(counts map[string]int) map[string]int {
	result := make(map[string]int, len(counts))
	for key, n := range counts {
		result[key] = n
	}
	return result
}

// register adds the routes. GET /stats, GET and PUT /faults, POST /close-idle and
// POST /v1/leave are for tests and answer even if the service is frozen.
func (s *Server) register(h *server.Hertz) {
	s.faults.Register(h)
	h.GET("/stats", func(_ context.Context, c *app.RequestContext) { c.JSON(http.StatusOK, s.Stats()) })
	h.POST("/close-idle", func(_ context.Context, c *app.RequestContext) {
		c.JSON(http.StatusOK, map[string]int{"closed": s.CloseIdle()})
	})
	h.POST("/v1/leave", s.handleLeave)
	h.GET("/health", s.handleHealth)
	for _, path := range []string{"/reservations", "/trades", "/payouts"} {
		h.POST(path, s.handle(path, s.order))
	}
	h.GET("/stock/:item", s.handle("/stock", s.stock))
}

func (s *Server) handleLeave(_ context.Context, c *app.RequestContext) {
	var request struct {
		NoticeMillis int `json:"notice_ms"`
	}
	if err := c.BindJSON(&request); err != nil {
		c.JSON(http.StatusBadRequest, map[string]string{"error": err.Error()})
		return
	}
	s.Leave(time.Duration(request.NoticeMillis) * time.Millisecond)
	c.JSON(http.StatusOK, request)
}

func (s *Server) handleHealth(ctx context.Context, c *app.RequestContext) {
	if s.faults.WaitThaw(ctx) != nil {
		return
	}
	if reason := s.refusal(0); reason != "" {
		s.refuse(c, reason)
		return
	}
	c.JSON(http.StatusOK, map[string]string{"status": "ok", "version": s.options.Version})
}

// refusal returns the reason to refuse a request at the given load, or "".
func (s *Server) refusal(load int) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.leaving:
		return fault.RefusedLeaving
	case s.options.MaxInFlight > 0 && load > s.options.MaxInFlight:
		return fault.RefusedOverload
	}
	return ""
}

func (s *Server) refuse(c *app.RequestContext, reason string) {
	s.update(func(stats *Stats) { stats.Refused[reason]++ })
	c.Response.Header.Set(fault.HeaderRefused, reason)
	c.Response.Header.Set(fault.HeaderRequestID, string(c.GetHeader(fault.HeaderRequestID)))
	c.JSON(http.StatusServiceUnavailable, map[string]string{"error": "refused: " + reason})
}

func (s *Server) update(f func(*Stats)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(&s.stats)
}

// order executes a non-idempotent operation and counts the execution.
func (s *Server) order(c *app.RequestContext, path string) any {
	key := string(c.GetHeader("Idempotency-Key"))
	result := Result{
		RequestID: string(c.GetHeader(fault.HeaderRequestID)), IdempotencyKey: key,
		Operation: path, Version: s.options.Version, BodyHash: xxhash.Sum64(c.Request.Body()),
	}
	s.update(func(stats *Stats) {
		stats.Executions[key]++
		result.Execution = stats.Executions[key]
	})
	return result
}

// stock executes an idempotent lookup; the count is derived from the item's name.
func (s *Server) stock(c *app.RequestContext, _ string) any {
	item := c.Param("item")
	return Stock{
		RequestID: string(c.GetHeader(fault.HeaderRequestID)), Item: item,
		Count: StockOf(item), Version: s.options.Version,
	}
}

// StockOf returns the count that a lookup of item returns.
func StockOf(item string) int { return int(xxhash.Sum64String(item) % maxStock) }

func marshal(v any) []byte {
	body, err := json.Marshal(v)
	if err != nil {
		return []byte(`{"error":"the reply cannot be encoded"}`)
	}
	return body
}
