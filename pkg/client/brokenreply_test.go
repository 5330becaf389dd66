package client

import (
	"net/http"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/dogwoodrudder/dogwoodrudder/internal/hertzconn"
	"github.com/dogwoodrudder/dogwoodrudder/test/standin/rawreply"
)

// Guards against taking a part of a body without a length for the whole when the daemon
// resets the connection while a long request is still being written.
func TestResetDuringAnUploadIsNoResponse(t *testing.T) {
	server, err := rawreply.Start(rawreply.ResetEarly(func(*http.Request) string { return "HTTP/1.1 200 OK\r\n\r\npart" }))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	c, err := New(Options{Addresses: []string{server.Address()}, Timeout: 5 * time.Second})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	for _, key := range []string{"", "token.1"} { // on a pooled connection, and on one of its own
		for range 20 {
			r := &Request{Method: http.MethodPost, Path: "/", Body: make([]byte, 16<<20), IdempotencyKey: key}
			if response, err := c.transport.call(t.Context(), server.Address(), r); err == nil {
				t.Errorf("status %d, body %q", response.Status, response.Body)
			}
		}
	}
}

// startClient starts a daemon that answers with a text, and returns a client and a request.
func startClient(t *testing.T, text string) (c *Client, address string) {
	t.Helper()
	server, err := rawreply.Start(rawreply.Whole(func(*http.Request) string { return text }))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	c, err = New(Options{Addresses: []string{server.Address()}, Timeout: time.Second, IdleTimeout: 200 * time.Millisecond, MaxRounds: 1})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return c, server.Address()
}

// Guards against taking a reply with a malformed head for a response, a refusal or a
// stream.
func TestBrokenHeadIsNoResponse(t *testing.T) {
	const problem = `{"code":1201,"execution":"not run","detail":"x"}`
	for name, head := range rawreply.Broken {
		t.Run(name, func(t *testing.T) {
			c, address := startClient(t, head.Text("Content-Type: "+problemType+"\r\n", problem))
			for _, key := range []string{"", "token.1"} {
				response, err := c.transport.call(t.Context(), address, &Request{Method: http.MethodPost, Path: "/", IdempotencyKey: key})
				if err == nil || !mayHaveRun(err) {
					t.Errorf("response %+v, error %v", response, err)
				}
			}
			c, address = startClient(t, head.Text("Content-Type: "+contentTypeSSE+"\r\n", "id: 1\ndata: x\n\n"))
			s := &Stream{client: c, ctx: t.Context(), request: Request{Method: http.MethodPost, Path: "/"}}
			if err := s.open(address, &s.request); err == nil {
				s.disconnect()
				t.Error("a stream was opened")
			}
		})
	}
}

// Guards against refusing a head that is unusual but sound, and against taking a body that
// ends with its connection for a whole one: daemons state a length or send chunks.
func TestUnusualHeadIsAResponse(t *testing.T) {
	for name, head := range rawreply.Sound {
		t.Run(name, func(t *testing.T) {
			c, address := startClient(t, head.Text("", "body"))
			response, err := c.transport.call(t.Context(), address, &Request{Method: http.MethodPost, Path: "/"})
			if head.WithoutLength {
				if !errors.Is(err, hertzconn.ErrEndsWithConnection) || !mayHaveRun(err) {
					t.Errorf("response %+v, error %v", response, err)
				}
				return
			}
			if err != nil || response.Status != http.StatusOK || string(response.Body) != "body" {
				t.Errorf("response %+v, error %v", response, err)
			}
		})
	}
}
