package engine

import (
	"context"
	"net/http"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
)

// RequestStats are the counts of one request ID.
type RequestStats struct {
	Attempts     int `json:"attempts"` // sequences that ended
	PromptTokens int `json:"prompt_tokens"`
	CachedTokens int `json:"cached_tokens"`
	// RecomputedTokens are prompt tokens that an engine had computed before:
	// all uncached ones of a resumed request, and those that this engine had
	// evicted.
	RecomputedTokens int `json:"recomputed_tokens"`
	EmittedTokens    int `json:"emitted_tokens"`
	Completed        int `json:"completed"`
	Cancelled        int `json:"cancelled"` // the client disconnected
	Dropped          int `json:"dropped"`   // the notice period ended
}

func (r *RequestStats) add(other RequestStats) {
	r.Attempts += other.Attempts
	r.PromptTokens += other.PromptTokens
	r.CachedTokens += other.CachedTokens
	r.RecomputedTokens += other.RecomputedTokens
	r.EmittedTokens += other.EmittedTokens
	r.Completed += other.Completed
	r.Cancelled += other.Cancelled
	r.Dropped += other.Dropped
}

// Stats are the counts since the start.
type Stats struct {
	Requests int            `json:"requests"` // chat completion calls, refused ones included
	Failed   int            `json:"failed"`   // by an injected failure
	Refused  map[string]int `json:"refused"`  // by reason
	Exports  int            `json:"exports"`
	Imports  int            `json:"imports"`
	Total    RequestStats   `json:"total"`
	// ByRequest holds the counts by the X-Request-Id of the call.
	ByRequest map[string]RequestStats `json:"by_request"`
}

// Stats returns a copy of the counts.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	result := s.stats
	result.Refused = make(map[string]int, len(s.stats.Refused))
	for reason, n := range s.stats.Refused {
		result.Refused[reason] = n
	}
	result.ByRequest = make(map[string]RequestStats, s.requests.Len())
	for _, id := range s.requests.Keys() {
		if stats, ok := s.requests.Peek(id); ok {
			result.ByRequest[id] = *stats
		}
	}
	return result
}

// sequenceEnded adds an ended sequence to the counts. The caller holds the
// scheduler's lock.
func (s *Server) sequenceEnded(seq *sequence) {
	stats := RequestStats{
		Attempts: 1, PromptTokens: seq.prompt, CachedTokens: seq.cached,
		RecomputedTokens: seq.recomputed, EmittedTokens: seq.pos,
	}
	switch {
	case seq.aborted:
		stats.Dropped = 1
	case seq.pos < len(seq.output):
		stats.Cancelled = 1
	default:
		stats.Completed = 1
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Total.add(stats)
	known, ok := s.requests.Get(seq.request)
	if !ok {
		known = &RequestStats{}
		s.requests.Add(seq.request, known)
	}
	known.add(stats)
	s.finished.Add(seq.request, newKV(seq))
}

// LoadReport is the engine's load at the time of the last sample.
type LoadReport struct {
	Running       int    `json:"running"`
	Waiting       int    `json:"waiting"`
	CacheTokens   int    `json:"cache_tokens"`
	CacheCapacity int    `json:"cache_capacity"`
	Leaving       bool   `json:"leaving"`
	Loading       bool   `json:"loading"`
	Role          string `json:"role"`
	Model         string `json:"model"`
	Version       string `json:"version"`
	SampledMillis int64  `json:"sampled_ms"` // Unix time of the sample
}

func (s *Server) sampleLoads() {
	ticker := time.NewTicker(s.options.LoadLag)
	defer ticker.Stop()
	for {
		select {
		case <-s.stop:
			return
		case <-ticker.C:
			s.sampleLoad()
		}
	}
}

func (s *Server) sampleLoad() {
	running, waiting := s.scheduler.load()
	cached := s.cache.usedTokens()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report = LoadReport{
		Running: running, Waiting: waiting, CacheTokens: cached, CacheCapacity: s.options.CacheTokens,
		Leaving: s.leaving, Loading: s.control.Loading, Role: s.control.Role,
		Model: s.control.Model, Version: s.control.Version, SampledMillis: time.Now().UnixMilli(),
	}
}

func (s *Server) handleLoad(_ context.Context, c *app.RequestContext) {
	s.mu.Lock()
	report := s.report
	s.mu.Unlock()
	c.JSON(http.StatusOK, report)
}
