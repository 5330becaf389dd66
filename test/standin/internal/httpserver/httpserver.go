// Package httpserver runs a hertz server that tracks its connections, so that
// a stand-in can close them at any time.
package httpserver

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/cloudwego/hertz/pkg/network"
	"github.com/pkg/errors"
)

const (
	maxBodyBytes    = 64 << 20
	shutdownTimeout = 200 * time.Millisecond
	startTimeout    = 5 * time.Second
)

var setLogLevelOnce sync.Once

// Server is a hertz server on one TCP address.
type Server struct {
	register func(*server.Hertz)
	hertz    *server.Hertz
	address  string

	mu    sync.Mutex
	conns map[network.Conn]*connState
}

// connState is the state of an open connection.
type connState struct {
	busy     int // requests in flight
	lastUsed time.Time
	values   sync.Map
}

// New returns a server whose routes are added by register.
func New(register func(*server.Hertz)) *Server {
	return &Server{register: register, conns: make(map[network.Conn]*connState)}
}

// Start listens on address and serves in the background.
func (s *Server) Start(address string) error {
	// hertz logs each connection that a stand-in closes on purpose.
	setLogLevelOnce.Do(func() { hlog.SetLevel(hlog.LevelFatal) })
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrapf(err, "listen on %s", address)
	}
	s.address = listener.Addr().String()
	s.hertz = server.New(s.options(listener)...)
	s.hertz.Use(s.trackUse)
	s.register(s.hertz)
	go func() { _ = s.hertz.Run() }()
	for deadline := time.Now().Add(startTimeout); !s.hertz.IsRunning(); {
		if time.Now().After(deadline) {
			return errors.Errorf("server on %s did not start within %s", s.address, startTimeout)
		}
		time.Sleep(time.Millisecond)
	}
	return nil
}

func (s *Server) options(listener net.Listener) []config.Option {
	return []config.Option{
		server.WithListener(listener),
		server.WithSenseClientDisconnection(true),
		server.WithMaxRequestBodySize(maxBodyBytes),
		server.WithDisablePrintRoute(true),
		server.WithExitWaitTime(shutdownTimeout),
		server.WithOnConnect(func(ctx context.Context, conn network.Conn) context.Context {
			s.mu.Lock()
			s.conns[conn] = &connState{lastUsed: time.Now()}
			s.mu.Unlock()
			context.AfterFunc(ctx, func() { s.removeConn(conn) })
			return context.WithValue(ctx, connKey{}, conn)
		}),
	}
}

type connKey struct{}

func (s *Server) state(ctx context.Context) *connState {
	conn, _ := ctx.Value(connKey{}).(network.Conn)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.conns[conn]
}

// trackUse is a middleware that counts the requests in flight of a connection.
func (s *Server) trackUse(ctx context.Context, c *app.RequestContext) {
	state := s.state(ctx)
	s.updateUse(state, 1)
	defer s.updateUse(state, -1)
	c.Next(ctx)
}

func (s *Server) updateUse(state *connState, change int) {
	if state == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	state.busy += change
	state.lastUsed = time.Now()
}

// Values returns the map of values of the connection of a request.
func (s *Server) Values(ctx context.Context) *sync.Map {
	if state := s.state(ctx); state != nil {
		return &state.values
	}
	return &sync.Map{}
}

func (s *Server) removeConn(conn network.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
}

// CloseIdle closes the connections without a request in flight whose last
// use was at least minIdle ago, and returns their number.
func (s *Server) CloseIdle(minIdle time.Duration) int {
	return s.closeMatching(func(state *connState) bool {
		return state.busy == 0 && time.Since(state.lastUsed) >= minIdle
	})
}

// CloseConnections closes all connections and returns their number.
func (s *Server) CloseConnections() int {
	return s.closeMatching(func(*connState) bool { return true })
}

func (s *Server) closeMatching(match func(*connState) bool) int {
	s.mu.Lock()
	var chosen []network.Conn
	for conn, state := range s.conns {
		if match(state) {
			chosen = append(chosen, conn)
		}
	}
	s.mu.Unlock()
	for _, conn := range chosen {
		_ = conn.Close()
	}
	return len(chosen)
}

// Address returns the address in use as ip:port.
func (s *Server) Address() string { return s.address }

// Close stops the server and closes its connections.
func (s *Server) Close() {
	if s.hertz == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	s.CloseConnections()
	_ = s.hertz.Shutdown(ctx)
	s.CloseConnections()
}
