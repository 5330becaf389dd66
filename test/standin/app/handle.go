package app

import (
	"context"
	"net/http"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/dogwoodrudder/dogwoodrudder/test/standin/fault"
)

type operation func(c *app.RequestContext, path string) any

// handle returns the handler of an operation, which adds refusals, the service
// time and faults.
func (s *Server) handle(path string, execute operation) app.HandlerFunc {
	return func(ctx context.Context, c *app.RequestContext) {
		load := int(s.inFlight.Add(1))
		defer s.inFlight.Add(-1)
		s.update(func(stats *Stats) { stats.Requests++ })
		if s.faults.WaitThaw(ctx) != nil {
			return
		}
		if reason := s.refusal(load); reason != "" {
			s.refuse(c, reason)
			return
		}
		d := s.faults.Decide(fault.Request{Path: string(c.Path()), Body: c.Request.Body(), Load: load})
		if d.Fail {
			s.update(func(stats *Stats) { stats.Failed++ })
			c.Response.Header.Set(fault.HeaderRequestID, string(c.GetHeader(fault.HeaderRequestID)))
			c.JSON(d.Status, map[string]string{"error": "injected failure"})
			return
		}
		if !s.simulateService(d.Slow) {
			s.update(func(stats *Stats) { stats.Dropped++ })
			closeConn(c)
			return
		}
		// The operation is executed even if the client has disconnected.
		result := execute(c, path)
		s.update(func(stats *Stats) { stats.Operations[path]++ })
		if s.faults.WaitThaw(ctx) != nil {
			return
		}
		s.reply(ctx, c, result, d)
	}
}

// simulateService waits for the service time. It returns false if the notice
// period or the server ended first.
func (s *Server) simulateService(slow float64) bool {
	timer := time.NewTimer(time.Duration(float64(s.options.ServiceTime) * slow))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-s.noticeEnded:
		return false
	case <-s.stop:
		return false
	}
}

// closeConn closes the connection without a response.
func closeConn(c *app.RequestContext) { _ = c.GetConn().Close() }

// reply sends the response to an operation with the faults of the decision.
func (s *Server) reply(ctx context.Context, c *app.RequestContext, result any, d fault.Decision) {
	id := string(c.GetHeader(fault.HeaderRequestID))
	own := &fault.Reply{Status: http.StatusOK, ContentType: "application/json", RequestID: id, Body: marshal(result)}
	before, instead := s.replies.Swap(s.http.Values(ctx), id, d, func() *fault.Reply { return own })
	switch {
	case d.Lose:
		s.update(func(stats *Stats) { stats.LostReply++ })
		if d.LoseByHang {
			<-ctx.Done()
		}
		closeConn(c)
		return
	case d.Cut:
		sendPartial(c, own)
		return
	case before != nil:
		_ = before.WriteRaw(c)
	case instead != nil:
		instead.Send(c)
		return
	case d.Repeat:
		_ = own.WriteRaw(c)
	}
	own.Send(c)
}

// sendPartial sends the header and half of the body and closes the connection.
func sendPartial(c *app.RequestContext, own *fault.Reply) {
	c.Response.Header.SetStatusCode(own.Status)
	c.Response.Header.SetContentType(own.ContentType)
	c.Response.Header.Set(fault.HeaderRequestID, own.RequestID)
	c.Response.Header.SetContentLength(len(own.Body))
	_, _ = c.GetWriter().WriteBinary(append(c.Response.Header.Header(), own.Body[:len(own.Body)/2]...))
	_ = c.GetWriter().Flush()
	closeConn(c)
}
