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

// HeaderRefused is the header of a refusal. It holds the reason and guarantees
// that the request was not executed.
const HeaderRefused = "X-Refused"

// Values of HeaderRefused.
const (
	RefusedOverload = "overload"
	RefusedLeaving  = "leaving"
	RefusedLoading  = "loading"
	RefusedFencing  = "fencing"
	RefusedCapacity = "capacity"
)

// HeaderRequestID is the request header that every response repeats.
const HeaderRequestID = "X-Request-Id"

// Reply is a complete response that can be sent on the connection of another
// request.
type Reply struct {
	Status      int
	ContentType string
	RequestID   string
	Body        []byte
}

// WriteRaw writes the response to the connection of the request immediately.
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

// Send sets the reply as the response to the request.
func (r *Reply) Send(c *app.RequestContext) {
	c.Response.Header.Set(HeaderRequestID, r.RequestID)
	c.Data(r.Status, r.ContentType, r.Body)
}

type lastReplyKey struct{}

// Replies keeps the last responses for the late and crossed faults. It stores
// functions that build them, because most are never sent again.
type Replies struct {
	mu   sync.Mutex
	last func() *Reply
	id   string
}

// Swap stores the response to request id. It returns the response to send before
// it and the one to send instead of it if the decision says so, else nil. values
// are those of the connection.
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
