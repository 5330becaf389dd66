package client

import (
	"net/http"
	"testing"
	"time"

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
