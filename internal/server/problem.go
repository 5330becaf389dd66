package server

import (
	"context"
	"encoding/json"
	"strconv"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/dogwoodrudder/dogwoodrudder/pkg/result"
)

// Problem is an RFC 9457 problem document.
type Problem struct {
	Type      string           `json:"type"`
	Title     string           `json:"title"`
	Status    int              `json:"status"`
	Detail    string           `json:"detail,omitempty"`
	Instance  string           `json:"instance,omitempty"`
	Code      result.Code      `json:"code"`
	Execution result.Execution `json:"execution"`
	// Addresses are ip:port pairs of daemons that may accept the request.
	Addresses []string `json:"addresses,omitempty"`
}

// problemTypePrefix is followed by the number of the result code.
const problemTypePrefix = "urn:dogwoodrudder:result:"

// problemOf returns the problem document of an error.
func problemOf(e *result.Error, requestID string) Problem {
	return Problem{
		Type:      problemTypePrefix + strconv.Itoa(int(e.Code)),
		Title:     e.Code.Title(),
		Status:    e.Code.HTTPStatus(),
		Detail:    e.Detail,
		Instance:  requestID,
		Code:      e.Code,
		Execution: e.Execution,
		Addresses: e.Addresses,
	}
}

// writeProblem writes an error as a problem document with its HTTP status.
func writeProblem(c *app.RequestContext, err error) {
	e := result.From(err)
	p := problemOf(e, c.Response.Header.Get(headerRequestID))
	p.Execution = executionForKey(c, e)
	body, _ := json.Marshal(p)
	if e.RetryAfterSeconds > 0 {
		c.Response.Header.Set("Retry-After", strconv.Itoa(e.RetryAfterSeconds))
	}
	c.Response.Header.SetContentType("application/problem+json")
	c.SetStatusCode(p.Status)
	c.Response.SetBody(body)
}

// executionForKey returns the execution state for the problem document. For an
// order that was refused before the order ledger was consulted, "not run" becomes
// "unknown": an earlier request with the same idempotency key may have been
// executed through another daemon.
func executionForKey(c *app.RequestContext, e *result.Error) result.Execution {
	if e.Execution == result.NotRun && !e.CoversAllAttempts && len(c.GetHeader(headerOrderKey)) > 0 {
		return result.Unknown
	}
	return e.Execution
}

func writeJSON(c *app.RequestContext, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		writeProblem(c, err)
		return
	}
	c.Response.Header.SetContentType("application/json")
	c.Response.SetBody(body)
}

// handler is an HTTP handler whose error is written as a problem document.
type handler func(ctx context.Context, c *app.RequestContext) error

// wrap returns a hertz handler that counts the error of h and writes it as a
// problem document.
func (s *Server) wrap(h handler) app.HandlerFunc {
	return func(ctx context.Context, c *app.RequestContext) {
		if err := h(ctx, c); err != nil {
			s.countProblem(c, err)
			writeProblem(c, err)
		}
	}
}
