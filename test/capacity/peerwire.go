package main

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"

	peerv1 "github.com/dogwoodrudder/dogwoodrudder/api/peer/v1"
	"github.com/dogwoodrudder/dogwoodrudder/internal/peer"
)

// trafficCounter counts the bytes and the unary calls of one daemon. The bytes
// include HTTP/2 framing but no TCP and IP headers.
type trafficCounter struct {
	sent, received, calls atomic.Int64
}

func (w *trafficCounter) bytes() int64 { return w.sent.Load() + w.received.Load() }

type countingConn struct {
	net.Conn
	traffic *trafficCounter
}

// Read implements net.Conn.
func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.received.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.sent.Add(int64(n))
	return n, err
}

type countingListener struct {
	net.Listener
	traffic *trafficCounter
}

// Accept implements net.Listener.
func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{conn, l.traffic}, nil
}

func (w *trafficCounter) dial(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return countingConn{conn, w}, nil
}

func (w *trafficCounter) countCall(ctx context.Context, method string, req, reply any, cc *grpc.ClientConn, invoker grpc.UnaryInvoker, opts ...grpc.CallOption) error {
	w.calls.Add(1)
	return invoker(ctx, method, req, reply, cc, opts...)
}

// newPool returns a connection pool whose traffic is counted.
func (w *trafficCounter) newPool() *peer.Pool {
	return peer.NewPool(time.Minute, time.Now, grpc.WithContextDialer(w.dial), grpc.WithUnaryInterceptor(w.countCall))
}

// servePeer serves the Peer protocol on a loopback port until the returned
// server is stopped.
func (w *trafficCounter) servePeer(listener net.Listener, service *peer.Service) *grpc.Server {
	s := grpc.NewServer(peer.ServerOptions()...)
	peerv1.RegisterPeerServer(s, service)
	go func() { _ = s.Serve(countingListener{listener, w}) }()
	return s
}

func listenOnLoopback() (net.Listener, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	return listener, errors.Wrap(err, "listen")
}
