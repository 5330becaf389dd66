package store

import (
	"context"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	etcdpb "github.com/dogwoodrudder/dogwoodrudder/api/etcd"
)

// Errors with the texts that etcd uses.
var (
	errLeaseNotFound = status.Error(codes.NotFound, "etcdserver: requested lease not found")
	errLeaseExists   = status.Error(codes.FailedPrecondition, "etcdserver: lease already exists")
	errTooLarge      = status.Error(codes.InvalidArgument, "etcdserver: request is too large")
	errDuplicateKey  = status.Error(codes.InvalidArgument, "etcdserver: duplicate key given in txn request")
	errNoOldRevision = status.Error(codes.Unimplemented, "the stand-in serves reads at the current revision only")
	errNoNestedTxn   = status.Error(codes.Unimplemented, "the stand-in does not support nested transactions")
)

type kvService struct {
	etcdpb.UnimplementedKVServer
	server *Server
}

func (s *Server) headerLocked() *etcdpb.ResponseHeader {
	return &etcdpb.ResponseHeader{ClusterId: 1, MemberId: 1, RaftTerm: 1, Revision: s.data.revision}
}

// Range implements etcdpb.KVServer.
func (k *kvService) Range(_ context.Context, r *etcdpb.RangeRequest) (*etcdpb.RangeResponse, error) {
	k.server.mu.Lock()
	defer k.server.mu.Unlock()
	if r.Revision != 0 && r.Revision != k.server.data.revision {
		return nil, errNoOldRevision
	}
	return k.server.rangeLocked(r), nil
}

func (s *Server) rangeLocked(r *etcdpb.RangeRequest) *etcdpb.RangeResponse {
	found := s.data.find(r.Key, r.RangeEnd)
	response := &etcdpb.RangeResponse{Header: s.headerLocked(), Count: int64(len(found))}
	if r.CountOnly {
		return response
	}
	if r.Limit > 0 && int64(len(found)) > r.Limit {
		found, response.More = found[:r.Limit], true
	}
	for _, kv := range found {
		if r.KeysOnly {
			kv = &etcdpb.KeyValue{
				Key: kv.Key, CreateRevision: kv.CreateRevision,
				ModRevision: kv.ModRevision, Version: kv.Version, Lease: kv.Lease,
			}
		}
		response.Kvs = append(response.Kvs, kv)
	}
	return response
}

// Put implements etcdpb.KVServer.
func (k *kvService) Put(_ context.Context, r *etcdpb.PutRequest) (*etcdpb.PutResponse, error) {
	op := &etcdpb.RequestOp{Request: &etcdpb.RequestOp_RequestPut{RequestPut: r}}
	responses, err := k.apply(op)
	if err != nil {
		return nil, err
	}
	return responses[0].GetResponsePut(), nil
}

// DeleteRange implements etcdpb.KVServer.
func (k *kvService) DeleteRange(_ context.Context, r *etcdpb.DeleteRangeRequest) (*etcdpb.DeleteRangeResponse, error) {
	op := &etcdpb.RequestOp{Request: &etcdpb.RequestOp_RequestDeleteRange{RequestDeleteRange: r}}
	responses, err := k.apply(op)
	if err != nil {
		return nil, err
	}
	return responses[0].GetResponseDeleteRange(), nil
}

func (k *kvService) apply(ops ...*etcdpb.RequestOp) ([]*etcdpb.ResponseOp, error) {
	response, err := k.Txn(context.Background(), &etcdpb.TxnRequest{Success: ops})
	if err != nil {
		return nil, err
	}
	return response.Responses, nil
}

// Txn implements etcdpb.KVServer.
func (k *kvService) Txn(_ context.Context, r *etcdpb.TxnRequest) (*etcdpb.TxnResponse, error) {
	s := k.server
	s.mu.Lock()
	defer s.mu.Unlock()
	succeeded := true
	for _, c := range r.Compare {
		succeeded = succeeded && s.data.evaluate(c)
	}
	ops := r.Failure
	if succeeded {
		ops = r.Success
	}
	if err := s.checkLocked(ops); err != nil {
		return nil, err
	}
	responses := s.applyLocked(ops)
	return &etcdpb.TxnResponse{Header: s.headerLocked(), Succeeded: succeeded, Responses: responses}, nil
}

// checkLocked validates all operations, because a transaction must be
// applied completely or not at all.
func (s *Server) checkLocked(ops []*etcdpb.RequestOp) error {
	seen := make(map[string]bool)
	for _, op := range ops {
		if op.GetRequestTxn() != nil {
			return errNoNestedTxn
		}
		put := op.GetRequestPut()
		if put == nil {
			continue
		}
		if seen[string(put.Key)] {
			return errDuplicateKey
		}
		seen[string(put.Key)] = true
		if len(put.Value) > s.options.MaxValueBytes {
			return errTooLarge
		}
		if put.Lease != 0 && s.data.leases[put.Lease] == nil {
			return errLeaseNotFound
		}
	}
	return nil
}

// applyLocked applies operations at one new revision. The revision does not
// advance if none of them changes the data.
func (s *Server) applyLocked(ops []*etcdpb.RequestOp) []*etcdpb.ResponseOp {
	next := s.data.revision + 1
	latest := s.data.revision
	var responses []*etcdpb.ResponseOp
	for _, op := range ops {
		response, changed := s.applyOneLocked(op, next)
		if changed {
			latest = next
			s.data.revision = next
		}
		responses = append(responses, response)
	}
	if latest == next {
		s.notifyLocked()
	}
	return responses
}

// applyOneLocked applies an operation at revision and reports whether it changed
// the data.
func (s *Server) applyOneLocked(op *etcdpb.RequestOp, revision int64) (*etcdpb.ResponseOp, bool) {
	if put := op.GetRequestPut(); put != nil {
		prev := s.data.put(revision, put)
		response := &etcdpb.PutResponse{Header: s.headerLocked()}
		response.Header.Revision = revision
		if put.PrevKv {
			response.PrevKv = prev
		}
		return &etcdpb.ResponseOp{Response: &etcdpb.ResponseOp_ResponsePut{ResponsePut: response}}, true
	}
	if remove := op.GetRequestDeleteRange(); remove != nil {
		removed := s.data.remove(revision, remove.Key, remove.RangeEnd)
		response := &etcdpb.DeleteRangeResponse{Header: s.headerLocked(), Deleted: int64(len(removed))}
		if remove.PrevKv {
			response.PrevKvs = removed
		}
		return &etcdpb.ResponseOp{Response: &etcdpb.ResponseOp_ResponseDeleteRange{ResponseDeleteRange: response}}, len(removed) > 0
	}
	response := s.rangeLocked(op.GetRequestRange())
	return &etcdpb.ResponseOp{Response: &etcdpb.ResponseOp_ResponseRange{ResponseRange: response}}, false
}
