// Package engine is a stand-in of a model engine with an OpenAI-compatible
// chat completions API. Its output is a deterministic function of the prompt
// (see Output), and its service times follow a small model of continuous
// batching with a prompt prefix cache. Not modelled are sampling, token
// probabilities and tool calls.
package engine

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/dogwoodrudder/dogwoodrudder/test/standin/fault"
	"github.com/dogwoodrudder/dogwoodrudder/test/standin/internal/httpserver"
)

const (
	maxFinishedSequences = 1024    // finished sequences whose KV cache can be exported
	maxTrackedRequests   = 200_000 // request IDs kept in the statistics
)

// Options configure a Server. Zero values mean the defaults.
type Options struct {
	Model    string   // default "stand-in"
	Adapters []string // further accepted model names
	Version  string   // default "v1"
	Role     string   // default "both"

	PrefillPerToken   time.Duration // default 20 µs
	DecodeBase        time.Duration // default 4 ms a step
	DecodePerSequence time.Duration // default 100 µs a step
	MaxBatch          int           // default 32 running sequences
	MaxRunningTokens  int           // default 400,000 tokens of running sequences
	MaxWaiting        int           // default 256; further requests are refused with "overload"
	CacheTokens       int           // default 200,000 tokens in the prefix cache

	CacheEventDelay time.Duration // default 200 ms
	CacheEventLoss  float64       // share of cache events that are lost, 0 to 1
	LoadLag         time.Duration // default 500 ms between two load samples
	LoadTime        time.Duration // time to load a model, adapter or version
	IgnoreFencing   bool          // accept control orders with an outdated fencing token
	KVPerToken      time.Duration // transfer time of the KV cache of one token
	KVBytesPerToken int           // payload size of the exported KV cache of one token
	Seed            uint64        // seed of the random choices of faults and lost cache events
}

func (o Options) withDefaults() Options {
	setDefault(&o.Model, "stand-in")
	setDefault(&o.Version, "v1")
	setDefault(&o.Role, "both")
	setDefault(&o.PrefillPerToken, 20*time.Microsecond)
	setDefault(&o.DecodeBase, 4*time.Millisecond)
	setDefault(&o.DecodePerSequence, 100*time.Microsecond)
	setDefault(&o.MaxBatch, 32)
	setDefault(&o.MaxRunningTokens, 400_000)
	setDefault(&o.MaxWaiting, 256)
	setDefault(&o.CacheTokens, 200_000)
	setDefault(&o.CacheEventDelay, 200*time.Millisecond)
	setDefault(&o.LoadLag, 500*time.Millisecond)
	return o
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Server is a stand-in of a model engine.
type Server struct {
	options     Options
	http        *httpserver.Server
	faults      *fault.Set
	replies     fault.Replies
	cache       *prefixCache
	scheduler   *scheduler
	inFlight    atomic.Int64
	stop        chan struct{}
	stopOnce    sync.Once
	noticeEnded chan struct{} // closed at the end of the notice period

	mu         sync.Mutex // guards the fields below
	control    ControlState
	orderCount int // control orders accepted
	leaving    bool
	report     LoadReport
	stats      Stats
	requests   *simplelru.LRU[string, *RequestStats]
	finished   *simplelru.LRU[string, *KV]
}

// New returns a server that is not yet started.
func New(options Options) *Server {
	options = options.withDefaults()
	s := &Server{
		options: options, faults: fault.NewSet(options.Seed),
		stop: make(chan struct{}), noticeEnded: make(chan struct{}),
		cache: newPrefixCache(options.CacheTokens, options.CacheEventDelay, options.CacheEventLoss, options.Seed),
		control: ControlState{
			Model: options.Model, Adapters: append([]string{}, options.Adapters...),
			Version: options.Version, Role: options.Role,
		},
		stats: Stats{Refused: make(map[string]int)},
	}
	// The sizes are positive, which is the only condition for an error.
	s.requests, _ = simplelru.NewLRU[string, *RequestStats](maxTrackedRequests, nil)
	s.finished, _ = simplelru.NewLRU[string, *KV](maxFinishedSequences, nil)
	s.scheduler = newScheduler(timing{
		prefillToken: options.PrefillPerToken, decodeBase: options.DecodeBase,
		decodeSequence: options.DecodePerSequence, maxBatch: options.MaxBatch,
		maxTokens: options.MaxRunningTokens,
	}, s.cache, s.faults, s.sequenceEnded)
	s.http = httpserver.New(s.register)
	return s
}

// Start serves on address (ip:port); port 0 picks a free one.
func (s *Server) Start(address string) error {
	if err := s.http.Start(address); err != nil {
		return err
	}
	s.sampleLoad()
	go s.scheduler.run()
	go s.sampleLoads()
	return nil
}

// Address returns the address in use as ip:port.
func (s *Server) Address() string { return s.http.Address() }

// Close stops the server and closes the connections of open streams.
func (s *Server) Close() {
	s.stopOnce.Do(func() { close(s.stop) })
	s.faults.Put(fault.Faults{})
	s.scheduler.close()
	s.http.Close()
}

// Faults returns the set of injected faults.
func (s *Server) Faults() *fault.Set { return s.faults }

// register adds the routes. GET /stats and GET and PUT /faults are for tests
// and answer even if the engine is frozen or its notice period has ended.
func (s *Server) register(h *server.Hertz) {
	s.faults.Register(h)
	h.GET("/stats", func(_ context.Context, c *app.RequestContext) { c.JSON(http.StatusOK, s.Stats()) })
	api := h.Group("", s.checkAvailable)
	api.POST("/v1/chat/completions", s.handleChat)
	api.GET("/v1/models", s.handleModels)
	api.GET("/health", s.handleHealth)
	api.GET("/v1/load", s.handleLoad)
	api.GET("/v1/control", s.handleControlState)
	api.POST("/v1/control", s.handleControl)
	api.POST("/v1/leave", s.handleLeave)
	api.GET("/v1/kv/*id", s.handleExport)
	api.POST("/v1/kv/*id", s.handleImport)
	api.GET("/v1/cache/events", s.handleCacheEvents)
}

// checkAvailable delays requests while the engine is frozen and closes their
// connections once the notice period has ended.
func (s *Server) checkAvailable(ctx context.Context, c *app.RequestContext) {
	if s.faults.WaitThaw(ctx) != nil {
		c.Abort()
		return
	}
	select {
	case <-s.noticeEnded:
		c.Abort()
		closeConn(c)
	default:
	}
}

// closeConn closes the connection without completing the response.
func closeConn(c *app.RequestContext) { _ = c.GetConn().Close() }

// Leave starts the shutdown of the engine: new requests are refused from now
// on, and requests in flight are aborted after notice.
func (s *Server) Leave(notice time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaving {
		return
	}
	s.leaving = true
	time.AfterFunc(notice, func() {
		close(s.noticeEnded)
		s.scheduler.abortAll()
	})
}

func (s *Server) handleLeave(_ context.Context, c *app.RequestContext) {
	var request struct {
		NoticeMillis int `json:"notice_ms"`
	}
	if err := c.BindJSON(&request); err != nil {
		fail(c, http.StatusBadRequest, "invalid_request_error", err.Error())
		return
	}
	s.Leave(time.Duration(request.NoticeMillis) * time.Millisecond)
	c.JSON(http.StatusOK, request)
}

func (s *Server) handleHealth(_ context.Context, c *app.RequestContext) {
	if reason := s.refusal(); reason != "" && reason != fault.RefusedOverload {
		s.refuse(c, reason)
		return
	}
	c.JSON(http.StatusOK, map[string]string{"status": "ok"})
}

// refusal returns the reason to refuse new requests, or "".
func (s *Server) refusal() string {
	_, waiting := s.scheduler.load()
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.leaving:
		return fault.RefusedLeaving
	case s.control.Loading:
		return fault.RefusedLoading
	case waiting >= s.options.MaxWaiting:
		return fault.RefusedOverload
	}
	return ""
}

func (s *Server) refuse(c *app.RequestContext, reason string) {
	s.update(func() { s.stats.Refused[reason]++ })
	c.Response.Header.Set(fault.HeaderRefused, reason)
	c.Response.Header.Set(fault.HeaderRequestID, string(c.GetHeader(fault.HeaderRequestID)))
	fail(c, http.StatusServiceUnavailable, "refused", "refused: "+reason)
}

func (s *Server) update(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

type apiError struct {
	Error struct {
		Message string `json:"message"`
		Type    string `json:"type"`
	} `json:"error"`
}

func fail(c *app.RequestContext, status int, kind, message string) {
	var body apiError
	body.Error.Type, body.Error.Message = kind, message
	c.JSON(status, body)
}

// saltLocked returns the salt of the block hashes, which keeps the cached
// blocks of different models and versions apart.
func (s *Server) saltLocked() string { return s.control.Model + "@" + s.control.Version }

func saltHash(salt string) uint64 { return xxhash.Sum64String(salt) }
