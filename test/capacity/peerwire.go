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

// wire counts the bytes and the unary calls of one daemon, with the framing of
// HTTP/2 and without the headers of TCP and IP.
type wire struct {
	sent, received, calls atomic.Int64
}

func (w *wire) bytes() int64 { return w.sent.Load() + w.received.Load() }

type countedConn struct {
	net.Conn
	wire *wire
}

// Read implements net.Conn.
func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.wire.received.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.wire.sent.Add(int64(n))
	return n, err
}

type countedListener struct {
	net.Listener
	wire *wire
}

// Accept implements net.Listener.
func (l countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countedConn{conn, l.wire}, nil
}

func (w *wire) dial(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return countedConn{conn, w}, nil
}

func (w *wire) count(ctx context.Context, method string, req, reply any, cc *grpc.ClientConn, invoker grpc.UnaryInvoker, opts ...grpc.CallOption) error {
	w.calls.Add(1)
	return invoker(ctx, method, req, reply, cc, opts...)
}

// newPool returns a connection pool whose traffic is counted.
func (w *wire) newPool() *peer.Pool {
	return peer.NewPool(time.Minute, time.Now, grpc.WithContextDialer(w.dial), grpc.WithUnaryInterceptor(w.count))
}

// servePeer serves the Peer protocol on a loopback port until the returned
// server is stopped.
func (w *wire) servePeer(listener net.Listener, service *peer.Service) *grpc.Server {
	s := grpc.NewServer(peer.ServerOptions()...)
	peerv1.RegisterPeerServer(s, service)
	go func() { _ = s.Serve(countedListener{listener, w}) }()
	return s
}

func listenLoopback() (net.Listener, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	return listener, errors.Wrap(err, "listen")
}
