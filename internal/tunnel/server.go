// Package tunnel connects daemons to instances through other daemons. A daemon opens a
// connection to another one, names the instance with the method CONNECT of HTTP, and then
// uses the connection as if it led to the instance.
package tunnel

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"

	"github.com/dogwoodrudder/dogwoodrudder/internal/exchange"
	"github.com/dogwoodrudder/dogwoodrudder/internal/replyconn"
)

const (
	// headTimeout bounds the arrival of the request for a tunnel.
	headTimeout = time.Second
	// headBytes is the size of the buffer for the head of a request or response, which is
	// short, and of the buffers for the bytes in either direction.
	headBytes = 1 << 10
	copyBytes = 4 << 10
	// closeTimeout is the time for which the end of the instance's bytes waits for the
	// client to close the connection.
	closeTimeout = 5 * time.Second
	// connectTimeout bounds connecting to the instance.
	connectTimeout = 650 * time.Millisecond
)

// keepAlive detects a daemon that is gone within about 3 s.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}

// ServerConfig holds the parameters of a Server.
type ServerConfig struct {
	// Dial connects to an instance directly.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Known reports whether address is that of an instance.
	Known func(address string) bool
	// Links knows whether this daemon reaches instances.
	Links exchange.Links
	// Accepts reports whether new tunnels are accepted.
	Accepts func() bool
	// Limit is the maximum number of tunnels at a time.
	Limit int
}

// Server serves the tunnels of other daemons.
type Server struct {
	config ServerConfig
	active atomic.Int64
}

// NewServer returns a server without tunnels.
func NewServer(config ServerConfig) *Server { return &Server{config: config} }

// Active returns the number of open tunnels.
func (s *Server) Active() int { return int(s.active.Load()) }

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(listener net.Listener) error {
	for {
		c, err := listener.Accept()
		if err != nil {
			var temporary net.Error
			if errors.As(err, &temporary) && temporary.Timeout() {
				continue
			}
			return errors.Wrap(err, "accept")
		}
		client, ok := c.(*net.TCPConn)
		if !ok {
			_ = c.Close()
			continue
		}
		go s.serve(client)
	}
}

func (s *Server) serve(client *net.TCPConn) {
	defer func() { _ = client.Close() }()
	active := s.active.Add(1)
	defer s.active.Add(-1)
	_ = client.SetKeepAliveConfig(keepAlive) // both fail only on a closed connection
	_ = client.SetDeadline(time.Now().Add(headTimeout))
	address, framed, err := readConnect(client)
	if err != nil {
		return
	}
	instance, status := s.connect(address, active)
	metrics.GetOrCreateCounter(fmt.Sprintf("rudder_tunnels_served_total{status=\"%d\"}", status)).Inc()
	_ = client.SetDeadline(time.Now().Add(headTimeout))
	err = respond(client, status, framed)
	if instance == nil {
		return
	}
	defer func() { _ = instance.Close() }()
	if err != nil {
		return
	}
	_ = client.SetDeadline(time.Time{})
	end := splice(client, instance, framed)
	metrics.GetOrCreateCounter(`rudder_tunnels_served_ends_total{end="` + end + `"}`).Inc()
}

// readConnect reads the request. It returns the address of the instance, and whether the
// client asks for framing.
func readConnect(client net.Conn) (address string, framed bool, err error) {
	request, err := http.ReadRequest(bufio.NewReaderSize(client, headBytes))
	if err != nil {
		return "", false, errors.Wrap(err, "read request for a tunnel")
	}
	if request.Method != http.MethodConnect {
		return "", false, errors.Errorf("method %.20q, want CONNECT", request.Method)
	}
	return request.RequestURI, request.Header.Get(framingHeader) == framingChunked, nil
}

// respond writes the head of the response.
func respond(client net.Conn, status int, framed bool) error {
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	if framed && status == http.StatusOK {
		head += framingHeader + ": " + framingChunked + "\r\n"
	}
	_, err := io.WriteString(client, head+"\r\n")
	return errors.Wrap(err, "write response")
}

// connect connects to an instance. Without a connection, the status tells why.
func (s *Server) connect(address string, active int64) (net.Conn, int) {
	if active > int64(s.config.Limit) || s.config.Links.Lost() || !s.config.Accepts() {
		return nil, http.StatusServiceUnavailable
	}
	if !s.config.Known(address) {
		return nil, http.StatusForbidden
	}
	ctx, cancel := context.WithTimeout(context.Background(), connectTimeout)
	defer cancel()
	began := time.Now()
	instance, err := s.config.Dial(ctx, address)
	switch {
	case err == nil:
		s.config.Links.Connected(began)
		return instance, http.StatusOK
	case s.config.Links.Confirm(ctx, address, began):
		return nil, http.StatusServiceUnavailable
	case errors.Is(err, exchange.ErrRefused):
		return nil, http.StatusBadGateway
	}
	return nil, http.StatusGatewayTimeout
}

// splice copies bytes in both directions until the tunnel ends. The end of the client's
// connection ends that of the instance at once. The end of the instance's bytes, or the
// failure of its connection, is passed on as such, since it may delimit a reply.
// It returns what ended the tunnel: instance (in order), client or broken.
func splice(client *net.TCPConn, connection net.Conn, framed bool) string {
	instance := replyconn.New(connection, replyconn.Limits{})
	done := make(chan error, 1)
	go func() {
		err := copyToClient(client, instance, framed)
		if err != nil {
			_ = client.SetLinger(0)
			_ = client.Close()
		}
		done <- err
	}()
	_ = copyBytesOf(instance, client)
	// Closing a connection with unread bytes resets it, and what is on its way to the client
	// would be lost. This returns at once if the client's connection has ended.
	_, _ = io.Copy(io.Discard, client)
	_ = instance.Close()
	switch err := <-done; {
	case err == nil:
		return "instance"
	case errors.Is(err, errTarget) || errors.Is(err, net.ErrClosed):
		return "client"
	}
	return "broken"
}

// copyToClient copies the bytes of the instance to the client, and then their orderly end.
func copyToClient(client *net.TCPConn, instance net.Conn, framed bool) error {
	copyAll := copyWithReset
	if framed {
		copyAll = copyInChunks
	}
	if err := copyAll(client, instance); err != nil {
		return err
	}
	_ = client.CloseWrite() // fails only on a closed connection
	_ = client.SetReadDeadline(time.Now().Add(closeTimeout))
	return nil
}

// copyInChunks copies with framing.
func copyInChunks(client *net.TCPConn, instance net.Conn) error {
	chunks := newChunkWriter(client)
	if err := copyBytesOf(chunks, instance); err != nil {
		return err
	}
	if err := chunks.Close(); err != nil {
		return errors.Wrapf(errTarget, "%v", err)
	}
	return nil
}

// copyWithReset copies without framing. The system resets the connection of the client if
// this process ends earlier than the instance's bytes.
func copyWithReset(client *net.TCPConn, instance net.Conn) error {
	_ = client.SetLinger(0) // fails only on a closed connection
	if err := copyBytesOf(client, instance); err != nil {
		return err
	}
	_ = client.SetLinger(-1)
	return nil
}

// errTarget means that the target of a copy has failed.
var errTarget = errors.New("write failed")

// copyBytesOf copies from source until it ends. The error wraps errTarget, or is that of the
// source.
func copyBytesOf(target io.Writer, source io.Reader) error {
	buffer := make([]byte, copyBytes)
	for {
		n, readErr := source.Read(buffer)
		if n > 0 {
			if _, err := target.Write(buffer[:n]); err != nil {
				return errors.Wrapf(errTarget, "%v", err)
			}
		}
		if errors.Is(readErr, io.EOF) {
			return nil
		}
		if readErr != nil {
			return errors.Wrap(readErr, "read")
		}
	}
}
