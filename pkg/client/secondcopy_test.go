package client

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/dogwoodrudder/dogwoodrudder/test/standin/rawreply"
)

// Guards against taking a late second copy of the reply to an earlier request, which waits on
// a pooled connection, for the response to the next request.
func TestSecondCopyIsNoResponseToTheNextRequest(t *testing.T) {
	for name, framing := range map[string][2]string{
		"length": {"Content-Length: 9\r\n\r\n", ""}, "chunks": {"Transfer-Encoding: chunked\r\n\r\n9\r\n", "\r\n0\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			copied := make(chan struct{}, 1)
			server, err := rawreply.Start(func(c *net.TCPConn, r *http.Request) {
				id := r.Header.Get(headerRequestID)
				text := "HTTP/1.1 200 OK\r\n" + headerRequestID + ": " + id + "\r\n" + framing[0] + id + framing[1]
				_, _ = io.WriteString(c, text)
				time.Sleep(20 * time.Millisecond) // until the client has read the first one
				_, _ = io.WriteString(c, text)
				copied <- struct{}{}
				_, _ = http.ReadRequest(bufio.NewReader(c))
			})
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(server.Close)
			c, err := New(Options{Addresses: []string{server.Address()}, Timeout: time.Second, MaxRounds: 1})
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(c.Close)
			for i := range 10 {
				r := &Request{Method: http.MethodGet, Path: "/", RequestID: "request-" + strconv.Itoa(i)}
				response, err := c.transport.call(t.Context(), server.Address(), r)
				switch {
				case err == nil && string(response.Body) != r.RequestID:
					t.Fatalf("%s got the response to %s", r.RequestID, response.Body)
				case err == nil:
					<-copied
				case i%2 == 0: // on a new connection
					t.Fatal(err)
				}
			}
		})
	}
}

// Guards against refusing responses whose request ID is one that the daemon chose.
func TestChosenRequestIDIsNoOtherRequest(t *testing.T) {
	c, address := startClient(t, "HTTP/1.1 200 OK\r\n"+headerRequestID+": chosen\r\nContent-Length: 4\r\n\r\nbody")
	for _, id := range []string{"", strings.Repeat("x", maxRequestIDBytes+1)} {
		response, err := c.transport.call(t.Context(), address, &Request{Method: http.MethodGet, Path: "/", RequestID: id})
		if err != nil || string(response.Body) != "body" {
			t.Errorf("response %+v, error %v", response, err)
		}
	}
}
