package store

import (
	"context"
	"time"

	"google.golang.org/grpc"

	etcdpb "github.com/dogwoodrudder/dogwoodrudder/api/etcd"
)

type leaseService struct {
	etcdpb.UnimplementedLeaseServer
	server *Server
}

// LeaseGrant implements etcdpb.LeaseServer.
func (l *leaseService) LeaseGrant(_ context.Context, r *etcdpb.LeaseGrantRequest) (*etcdpb.LeaseGrantResponse, error) {
	s := l.server
	s.mu.Lock()
	defer s.mu.Unlock()
	id := r.ID
	if id == 0 {
		s.data.nextLease++
		id = s.data.nextLease
	}
	if s.data.leases[id] != nil {
		return nil, errLeaseExists
	}
	ttl := time.Duration(max(1, r.TTL)) * time.Second
	s.data.leases[id] = &lease{ttl: ttl, expires: time.Now().Add(ttl), keys: make(map[string]struct{})}
	return &etcdpb.LeaseGrantResponse{Header: s.headerLocked(), ID: id, TTL: int64(ttl / time.Second)}, nil
}

// LeaseRevoke implements etcdpb.LeaseServer.
func (l *leaseService) LeaseRevoke(_ context.Context, r *etcdpb.LeaseRevokeRequest) (*etcdpb.LeaseRevokeResponse, error) {
	s := l.server
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.data.expire(r.ID) {
		return nil, errLeaseNotFound
	}
	s.notifyLocked()
	return &etcdpb.LeaseRevokeResponse{Header: s.headerLocked()}, nil
}

// LeaseKeepAlive implements etcdpb.LeaseServer. An unknown lease is answered
// with a TTL of 0.
func (l *leaseService) LeaseKeepAlive(stream grpc.BidiStreamingServer[etcdpb.LeaseKeepAliveRequest, etcdpb.LeaseKeepAliveResponse]) error {
	for {
		request, err := stream.Recv()
		if err != nil {
			// The client closed its side or the connection ended.
			return nil //nolint:nilerr // neither is a server error
		}
		if err := l.server.admit(stream.Context(), "keepalive", true); err != nil {
			return err
		}
		response := l.server.renew(request.ID)
		if err := l.server.loseReply(stream.Context()); err != nil {
			return err
		}
		if err := stream.Send(response); err != nil {
			return err
		}
	}
}

// renew extends a lease by its time to live.
func (s *Server) renew(id int64) *etcdpb.LeaseKeepAliveResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	response := &etcdpb.LeaseKeepAliveResponse{Header: s.headerLocked(), ID: id}
	if known := s.data.leases[id]; known != nil {
		known.expires = time.Now().Add(known.ttl)
		response.TTL = int64(known.ttl / time.Second)
	}
	return response
}
