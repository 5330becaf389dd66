package etcdv3

import (
	etcdpb "github.com/dogwoodrudder/dogwoodrudder/api/etcd"
	"github.com/dogwoodrudder/dogwoodrudder/internal/store"
)

func fromWire(kv *etcdpb.KeyValue) store.KeyValue {
	return store.KeyValue{
		Key: string(kv.Key), Value: kv.Value, Lease: store.LeaseID(kv.Lease),
		CreateRevision: kv.CreateRevision, ModRevision: kv.ModRevision,
	}
}

// prefixRange returns the range of all keys that start with prefix, in the
// protocol's form: an end of a zero byte means that the range has no upper bound.
// An empty prefix means all keys.
func prefixRange(prefix string) (key, end []byte) {
	if prefix == "" {
		return []byte{0}, []byte{0}
	}
	end = []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return []byte(prefix), end[:i+1]
		}
	}
	return []byte(prefix), []byte{0}
}

// txnRequest returns a transaction that applies ops if all conditions hold and
// otherwise reads the keys of the conditions.
func txnRequest(conditions []store.Condition, ops []store.Op) *etcdpb.TxnRequest {
	request := &etcdpb.TxnRequest{}
	for _, condition := range conditions {
		key := []byte(condition.Key)
		request.Compare = append(request.Compare, &etcdpb.Compare{
			Key: key, Target: etcdpb.Compare_MOD, Result: etcdpb.Compare_EQUAL,
			TargetUnion: &etcdpb.Compare_ModRevision{ModRevision: condition.ModRevision},
		})
		request.Failure = append(request.Failure, &etcdpb.RequestOp{
			Request: &etcdpb.RequestOp_RequestRange{RequestRange: &etcdpb.RangeRequest{Key: key}},
		})
	}
	for _, op := range ops {
		request.Success = append(request.Success, toWire(op))
	}
	return request
}

func toWire(op store.Op) *etcdpb.RequestOp {
	if op.Delete {
		return &etcdpb.RequestOp{Request: &etcdpb.RequestOp_RequestDeleteRange{
			RequestDeleteRange: &etcdpb.DeleteRangeRequest{Key: []byte(op.Key)},
		}}
	}
	return &etcdpb.RequestOp{Request: &etcdpb.RequestOp_RequestPut{
		RequestPut: &etcdpb.PutRequest{Key: []byte(op.Key), Value: op.Value, Lease: int64(op.Lease)},
	}}
}
