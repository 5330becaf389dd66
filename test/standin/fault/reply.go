package fault

import (
	"context"
	"net/http"
	"sync"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/http1/resp"
)

// HeaderRefused is the header of a documented refusal: the request was not
// executed.
const HeaderRefused = "X-Refused"

// Values of HeaderRefused.
const (
	RefusedOverload = "overload"
	RefusedLeaving  = "leaving"
	RefusedLoading  = "loading"
	RefusedFencing  = "fencing"
	RefusedCapacity = "capacity"
)

// HeaderRequestID is the header whose value every reply repeats.
const HeaderRequestID = "X-Request-Id"

// Reply is a whole reply that can be sent on another request's connection.
type Reply struct {
	Status      int
	ContentType string
	RequestID   string
	Body        []byte
}

// WriteRaw writes the reply to the request's connection right away.
func (r *Reply) WriteRaw(c *app.RequestContext) error {
	var response protocol.Response
	response.SetStatusCode(r.Status)
	response.Header.SetContentType(r.ContentType)
	response.Header.Set(HeaderRequestID, r.RequestID)
	response.SetBody(r.Body)
	if err := resp.Write(&response, c.GetWriter()); err != nil {
		return err
	}
	return c.GetWriter().Flush()
}

// Send makes the reply the answer to the request.
func (r *Reply) Send(c *app.RequestContext) {
	c.Response.Header.Set(HeaderRequestID, r.RequestID)
	c.Data(r.Status, r.ContentType, r.Body)
}

type lastReplyKey struct{}

// Replies remembers replies for the late and crossed faults. A reply is a
// function because most are never sent again.
type Replies struct {
	mu   sync.Mutex
	last func() *Reply
	id   string
}

// Swap stores the reply to request id, and returns what to send before it or
// instead of it by the decision; most calls return nil. values belongs to the
// connection.
func (r *Replies) Swap(values *sync.Map, id string, d Decision, reply func() *Reply) (before, instead *Reply) {
	if stored, ok := values.Swap(lastReplyKey{}, reply); ok && d.Late {
		before = stored.(func() *Reply)()
	}
	r.mu.Lock()
	other, otherID := r.last, r.id
	r.last, r.id = reply, id
	r.mu.Unlock()
	if d.Cross && other != nil && otherID != id {
		instead = other()
	}
	return before, instead
}

// Register adds GET and PUT /faults.
func (s *Set) Register(h *server.Hertz) {
	h.GET("/faults", func(_ context.Context, c *app.RequestContext) { c.JSON(http.StatusOK, s.Get()) })
	h.PUT("/faults", func(_ context.Context, c *app.RequestContext) {
		var faults Faults
		if err := c.BindJSON(&faults); err != nil {
			c.JSON(http.StatusBadRequest, map[string]string{"error": err.Error()})
			return
		}
		s.Put(faults)
		c.JSON(http.StatusOK, faults)
	})
}
