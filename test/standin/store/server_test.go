package store_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	etcdpb "github.com/dogwoodrudder/dogwoodrudder/api/etcd"
	"github.com/dogwoodrudder/dogwoodrudder/test/standin/store"
)

func start(t *testing.T, options store.Options) (*store.Server, *grpc.ClientConn) {
	t.Helper()
	g := NewWithT(t)
	s := store.New(options)
	g.Expect(s.Start("127.0.0.1:0")).To(Succeed())
	t.Cleanup(s.Close)
	conn, err := grpc.NewClient("passthrough:///"+s.Address(), grpc.WithTransportCredentials(insecure.NewCredentials()))
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = conn.Close() })
	return s, conn
}

func control(g Gomega, s *store.Server, method, path, body string, reply any) int {
	request, err := http.NewRequest(method, "http://"+s.ControlAddress()+path, bytes.NewBufferString(body))
	g.Expect(err).NotTo(HaveOccurred())
	response, err := http.DefaultClient.Do(request)
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = response.Body.Close() }()
	g.Expect(json.NewDecoder(response.Body).Decode(reply)).To(Succeed())
	return response.StatusCode
}

// Guards against a control port that does not set faults, end leases, roll the
// data back or report the counts.
func TestControlPort(t *testing.T) {
	g := NewWithT(t)
	ctx := t.Context()
	s, conn := start(t, store.Options{})
	kv := etcdpb.NewKVClient(conn)
	for i := range 3 {
		_, err := kv.Put(ctx, &etcdpb.PutRequest{Key: []byte("/k"), Value: []byte(fmt.Sprint(i))})
		g.Expect(err).NotTo(HaveOccurred())
	}
	grant, err := etcdpb.NewLeaseClient(conn).LeaseGrant(ctx, &etcdpb.LeaseGrantRequest{TTL: 60})
	g.Expect(err).NotTo(HaveOccurred())
	var expired struct{ Ended int }
	g.Expect(control(g, s, http.MethodPost, "/leases/expire", fmt.Sprintf(`{"id":%d}`, grant.ID), &expired)).To(Equal(200))
	g.Expect(expired.Ended).To(Equal(1))

	var stats store.Stats
	control(g, s, http.MethodGet, "/stats", "", &stats)
	g.Expect(stats.Calls).To(Equal(map[string]uint64{"put": 3, "grant": 1}))
	g.Expect(stats.Clients).To(HaveLen(1))

	var rolled struct{ Revision int64 }
	g.Expect(control(g, s, http.MethodPost, "/rollback", `{"back":2}`, &rolled)).To(Equal(200))
	g.Expect(rolled.Revision).To(Equal(int64(2)))
	g.Eventually(func() (string, error) {
		response, err := kv.Range(ctx, &etcdpb.RangeRequest{Key: []byte("/k")})
		if err != nil {
			return "", err
		}
		return string(response.Kvs[0].Value), nil
	}, 3*time.Second).Should(Equal("0"))

	var faults store.Faults
	g.Expect(control(g, s, http.MethodPut, "/faults", `{"down":"refuse"}`, &faults)).To(Equal(200))
	_, err = kv.Range(ctx, &etcdpb.RangeRequest{Key: []byte("/k")})
	g.Expect(err).To(HaveOccurred())
}

// Guards against a transaction that is applied in part because one of its
// operations is invalid.
func TestTxnIsAtomic(t *testing.T) {
	g := NewWithT(t)
	s, conn := start(t, store.Options{MaxValueBytes: 10})
	put := func(key string, size int) *etcdpb.RequestOp {
		return &etcdpb.RequestOp{Request: &etcdpb.RequestOp_RequestPut{
			RequestPut: &etcdpb.PutRequest{Key: []byte(key), Value: make([]byte, size)},
		}}
	}
	_, err := etcdpb.NewKVClient(conn).Txn(t.Context(), &etcdpb.TxnRequest{Success: []*etcdpb.RequestOp{put("/a", 1), put("/b", 11)}})
	g.Expect(err).To(HaveOccurred())
	g.Expect(s.Stats().Keys).To(BeZero())
	response, err := etcdpb.NewKVClient(conn).Txn(t.Context(), &etcdpb.TxnRequest{Success: []*etcdpb.RequestOp{put("/a", 1), put("/b", 10)}})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.Stats().Keys).To(Equal(2))
	g.Expect(response.Header.Revision).To(Equal(s.Revision()))
}
