// Package rawreply is a stand-in of a server that answers HTTP requests with given bytes,
// such as replies that are malformed or that break off.
package rawreply

import (
	"bufio"
	"io"
	"net"
	"net/http"

	"github.com/pkg/errors"
)

// Server serves connections until it is closed.
type Server struct{ listener net.Listener }

// Start starts a server on a loopback address. It calls serve for each request with the
// part of its body that has not been read, and closes the connection afterwards.
func Start(serve func(c *net.TCPConn, r *http.Request)) (*Server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	s := &Server{listener: listener}
	go s.run(serve)
	return s, nil
}

func (s *Server) run(serve func(c *net.TCPConn, r *http.Request)) {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = c.Close() }()
			if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				serve(c.(*net.TCPConn), r)
			}
		}()
	}
}

// Address returns the address as ip:port.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Close stops accepting connections.
func (s *Server) Close() { _ = s.listener.Close() }

// Whole returns a function for Start that reads the whole request and writes the text that
// reply returns.
func Whole(reply func(r *http.Request) string) func(*net.TCPConn, *http.Request) {
	return func(c *net.TCPConn, r *http.Request) {
		// With a part of the request unread, closing would reset the connection.
		if _, err := io.Copy(io.Discard, r.Body); err == nil {
			_, _ = io.WriteString(c, reply(r)) // fails if the client has gone
		}
	}
}

// ResetEarly returns a function for Start that writes the text that reply returns without
// reading the body of the request, and resets the connection.
func ResetEarly(reply func(r *http.Request) string) func(*net.TCPConn, *http.Request) {
	return func(c *net.TCPConn, r *http.Request) {
		_, _ = io.WriteString(c, reply(r))
		_ = c.SetLinger(0)
	}
}
