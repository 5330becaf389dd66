package cloud

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/pkg/errors"

	"github.com/dogwoodrudder/dogwoodrudder/test/standin/fault"
)

const (
	maxChunkBytes = 32 << 10    // of a read of a weight file
	maxPollWait   = time.Minute // of a long poll for notices
)

// register adds the routes. GET /stats, GET and PUT /faults and POST /reclaim
// are for tests and answer even if the API is down.
func (s *Server) register(h *server.Hertz) {
	h.GET("/stats", func(_ context.Context, c *app.RequestContext) { c.JSON(http.StatusOK, s.Stats()) })
	h.GET("/faults", func(_ context.Context, c *app.RequestContext) { c.JSON(http.StatusOK, s.Faults()) })
	h.PUT("/faults", s.handleFaults)
	h.POST("/reclaim", s.handleReclaim)
	api := h.Group("/v1", s.applyFaults)
	api.GET("/offers", func(_ context.Context, c *app.RequestContext) {
		c.JSON(http.StatusOK, map[string]any{"offers": s.options.Offers})
	})
	api.GET("/instances", s.handleList)
	api.POST("/instances", s.handleStart)
	api.DELETE("/instances/:name", s.handleStop)
	api.GET("/notices", s.handleNotices)
	api.GET("/weights/*name", s.handleWeights)
}

func fail(c *app.RequestContext, status int, message string) {
	c.JSON(status, map[string]string{"error": message})
}

// applyFaults applies the faults that concern every call.
func (s *Server) applyFaults(ctx context.Context, c *app.RequestContext) {
	faults := s.Faults()
	if faults.Down {
		select {
		case <-ctx.Done():
		case <-s.stop:
		}
		c.Abort()
		_ = c.GetConn().Close()
		return
	}
	if faults.DelayMillis > 0 {
		select {
		case <-time.After(time.Duration(faults.DelayMillis) * time.Millisecond):
		case <-s.stop:
		}
	}
}

func (s *Server) handleFaults(_ context.Context, c *app.RequestContext) {
	var faults Faults
	if err := c.BindJSON(&faults); err != nil {
		fail(c, http.StatusBadRequest, err.Error())
		return
	}
	s.SetFaults(faults)
	c.JSON(http.StatusOK, faults)
}

func (s *Server) handleReclaim(_ context.Context, c *app.RequestContext) {
	var request struct {
		Instance   string  `json:"instance"`
		DataCentre string  `json:"data_centre"`
		All        bool    `json:"all"`
		Seconds    float64 `json:"seconds"`
	}
	if err := c.BindJSON(&request); err != nil {
		fail(c, http.StatusBadRequest, err.Error())
		return
	}
	notice := time.Duration(request.Seconds * float64(time.Second))
	names := s.Reclaim(request.Instance, request.DataCentre, request.All, notice)
	c.JSON(http.StatusOK, map[string]any{"instances": names})
}

func (s *Server) handleList(_ context.Context, c *app.RequestContext) {
	s.mu.Lock()
	s.stats.Lists++
	s.mu.Unlock()
	list := s.List()
	if list == nil {
		list = []Instance{}
	}
	c.JSON(http.StatusOK, map[string]any{"instances": list})
}

func (s *Server) handleStart(_ context.Context, c *app.RequestContext) {
	var wanted Instance
	if err := c.BindJSON(&wanted); err != nil {
		fail(c, http.StatusBadRequest, err.Error())
		return
	}
	instance, err := s.StartInstance(wanted)
	switch {
	case errors.Is(err, ErrRefused):
		c.Response.Header.Set(fault.HeaderRefused, fault.RefusedCapacity)
		fail(c, http.StatusServiceUnavailable, "no capacity for this class in this data centre")
	case err != nil:
		fail(c, http.StatusBadRequest, err.Error())
	case s.drawLostReply():
		_ = c.GetConn().Close()
	default:
		c.JSON(http.StatusOK, instance)
	}
}

// drawLostReply decides whether the response to a start is lost.
func (s *Server) drawLostReply() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.Float64() < s.faults.LoseStartReplies
}

func (s *Server) handleStop(_ context.Context, c *app.RequestContext) {
	if !s.StopInstance(c.Param("name")) {
		fail(c, http.StatusNotFound, "no instance has this name")
		return
	}
	c.JSON(http.StatusOK, map[string]string{"state": string(StateStopped)})
}

// handleNotices serves GET /v1/notices?after=&wait_ms=, a long poll.
func (s *Server) handleNotices(ctx context.Context, c *app.RequestContext) {
	after, _ := strconv.ParseUint(c.Query("after"), 10, 64)
	waitMillis, _ := strconv.Atoi(c.Query("wait_ms"))
	timer := time.NewTimer(min(maxPollWait, time.Duration(waitMillis)*time.Millisecond))
	defer timer.Stop()
	notices, added := s.noticesAfter(after)
	if len(notices) == 0 {
		select {
		case <-added:
		case <-timer.C:
		case <-ctx.Done():
			return
		case <-s.stop:
		}
		notices, _ = s.noticesAfter(after)
	}
	if len(notices) > 0 {
		after = notices[len(notices)-1].Seq
	}
	c.JSON(http.StatusOK, map[string]any{"notices": notices, "next": after})
}

// handleWeights sends a weight file within the rate limits.
func (s *Server) handleWeights(ctx context.Context, c *app.RequestContext) {
	limited := !s.weightGets.Allow()
	s.mu.Lock()
	s.stats.WeightGets++
	if limited {
		s.stats.WeightLimited++
	}
	s.mu.Unlock()
	if limited {
		c.Response.Header.Set("Retry-After", "1")
		fail(c, http.StatusTooManyRequests, "the rate limit of the weight store is exceeded")
		return
	}
	c.Response.Header.SetContentType("application/octet-stream")
	c.SetBodyStream(&weightReader{server: s, ctx: ctx, pattern: []byte(weightPattern(c.Param("name"))), left: s.options.WeightBytes}, s.options.WeightBytes)
}

// weightReader reads a weight file within the limit of bytes per second.
type weightReader struct {
	server  *Server
	ctx     context.Context
	pattern []byte
	left    int // bytes
}

// Read implements io.Reader.
func (w *weightReader) Read(p []byte) (int, error) {
	if w.left == 0 {
		return 0, io.EOF
	}
	n := min(len(p), w.left, maxChunkBytes)
	if err := w.server.weightBytes.WaitN(w.ctx, n); err != nil {
		return 0, err
	}
	offset := (w.server.options.WeightBytes - w.left) % len(w.pattern)
	copy(p[:n], bytes.Repeat(w.pattern, n/len(w.pattern)+2)[offset:])
	w.left -= n
	w.server.mu.Lock()
	w.server.stats.WeightBytes += int64(n)
	w.server.mu.Unlock()
	return n, nil
}
