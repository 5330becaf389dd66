// Package store is an in-memory stand-in of the platform's key-value store. It
// serves the subset of the etcd v3 API in api/etcd over gRPC, and its faults
// are set in the process or through an HTTP control port.
package store

import (
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"
	"google.golang.org/grpc"
	"google.golang.org/grpc/keepalive"

	etcdpb "github.com/dogwoodrudder/dogwoodrudder/api/etcd"
	"github.com/dogwoodrudder/dogwoodrudder/test/standin/internal/httpserver"
)

const (
	leaseCheckInterval = 20 * time.Millisecond
	// minKeepaliveInterval is the minimum interval of gRPC keepalive pings; the
	// connections of clients that ping more often are closed, as by etcd.
	minKeepaliveInterval = 5 * time.Second
	maxMessageBytes      = 64 << 20
	defaultHistory       = 100_000 // changes
)

// Options configure a Server. The zero value has no limits.
type Options struct {
	// WritesPerSecond and ReadsPerSecond limit the calls; 0 means no limit. A
	// lease keepalive counts as a write, and an open watch as one read a second.
	WritesPerSecond float64
	ReadsPerSecond  float64
	// ControlAddress is where the HTTP control port listens; empty means a
	// free port on the loopback interface.
	ControlAddress string
	// History is the number of changes kept for watches and rollback.
	History int
	// MaxValueBytes is the maximum size of a value; 0 means 1 MiB.
	MaxValueBytes int
}

// Server is a stand-in of the key-value store.
type Server struct {
	options Options
	control *httpserver.Server
	writes  *rate.Limiter
	reads   *rate.Limiter
	stop    chan struct{}
	address string

	serverMu sync.Mutex // guards grpc
	grpc     *grpc.Server

	mu      sync.Mutex // guards data, changed, faults, closed
	data    *data
	changed chan struct{} // closed and replaced at every change
	faults  Faults
	closed  bool

	statsMu sync.Mutex // guards calls, clients, watches
	calls   map[string]uint64
	clients map[string]map[string]uint64
	watches int
}

// New returns a server that is not yet started.
func New(options Options) *Server {
	if options.History <= 0 {
		options.History = defaultHistory
	}
	if options.MaxValueBytes <= 0 {
		options.MaxValueBytes = 1 << 20
	}
	if options.ControlAddress == "" {
		options.ControlAddress = "127.0.0.1:0"
	}
	s := &Server{
		options: options,
		writes:  newLimiter(options.WritesPerSecond),
		reads:   newLimiter(options.ReadsPerSecond),
		stop:    make(chan struct{}),
		data:    newData(options.History),
		changed: make(chan struct{}),
		calls:   make(map[string]uint64),
		clients: make(map[string]map[string]uint64),
	}
	s.control = httpserver.New(s.registerControl)
	return s
}

func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

// Start serves on address (ip:port); port 0 picks a free one.
func (s *Server) Start(address string) error {
	s.address = address
	if err := s.listen(); err != nil {
		return err
	}
	if err := s.control.Start(s.options.ControlAddress); err != nil {
		s.stopListening()
		return err
	}
	go s.expireLeases()
	return nil
}

func (s *Server) listen() error {
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return errors.Wrapf(err, "listen on %s", s.address)
	}
	server := grpc.NewServer(
		grpc.UnaryInterceptor(s.interceptUnary),
		grpc.MaxRecvMsgSize(maxMessageBytes),
		grpc.MaxSendMsgSize(maxMessageBytes),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{
			MinTime: minKeepaliveInterval, PermitWithoutStream: true,
		}),
	)
	etcdpb.RegisterKVServer(server, &kvService{server: s})
	etcdpb.RegisterLeaseServer(server, &leaseService{server: s})
	etcdpb.RegisterWatchServer(server, &watchService{server: s})
	s.serverMu.Lock()
	s.address = listener.Addr().String()
	s.grpc = server
	s.serverMu.Unlock()
	go func() { _ = server.Serve(listener) }()
	return nil
}

func (s *Server) stopListening() {
	s.serverMu.Lock()
	server := s.grpc
	s.grpc = nil
	s.serverMu.Unlock()
	if server != nil {
		server.Stop()
	}
}

// Address returns the gRPC address as ip:port.
func (s *Server) Address() string {
	s.serverMu.Lock()
	defer s.serverMu.Unlock()
	return s.address
}

// ControlAddress returns the address of the HTTP control port.
func (s *Server) ControlAddress() string { return s.control.Address() }

// Close stops the server.
func (s *Server) Close() {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return
	}
	s.closed = true
	s.mu.Unlock()
	close(s.stop)
	s.stopListening()
	s.control.Close()
}

// Faults returns the faults in force.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// SetFaults replaces the faults. A change to or from DownRefuse closes or
// opens the port and closes all connections.
func (s *Server) SetFaults(faults Faults) error {
	s.mu.Lock()
	before := s.faults
	s.faults = faults
	s.notifyLocked()
	s.mu.Unlock()
	switch {
	case faults.Down == DownRefuse && before.Down != DownRefuse:
		s.stopListening()
	case faults.Down != DownRefuse && before.Down == DownRefuse:
		return s.listen()
	}
	return nil
}

// Revision returns the current store revision.
func (s *Server) Revision() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.data.revision
}

// Rollback returns the data to the state of an older revision, as a restore
// from a backup does, and closes all connections.
func (s *Server) Rollback(revision int64) error {
	s.mu.Lock()
	done := s.data.rollback(revision)
	s.mu.Unlock()
	if !done {
		return errors.Errorf("rollback to revision %d: not in the history", revision)
	}
	if s.Faults().Down == DownRefuse {
		return nil
	}
	s.stopListening()
	return s.listen()
}

// ExpireLease ends a lease at once; id 0 ends all leases. It returns the
// number of leases that ended.
func (s *Server) ExpireLease(id int64) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	ids := []int64{id}
	if id == 0 {
		ids = ids[:0]
		for known := range s.data.leases {
			ids = append(ids, known)
		}
	}
	ended := 0
	for _, known := range ids {
		if s.data.expire(known) {
			ended++
		}
	}
	s.notifyLocked()
	return ended
}

func (s *Server) expireLeases() {
	ticker := time.NewTicker(leaseCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.stop:
			return
		case now := <-ticker.C:
			s.mu.Lock()
			if s.data.expireDue(now) {
				s.notifyLocked()
			}
			s.mu.Unlock()
		}
	}
}

// notifyLocked wakes the watches. The caller holds mu.
func (s *Server) notifyLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}
