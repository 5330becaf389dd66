package etcdv3_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dogwoodrudder/dogwoodrudder/internal/store"
	"github.com/dogwoodrudder/dogwoodrudder/internal/store/etcdv3"
	standin "github.com/dogwoodrudder/dogwoodrudder/test/standin/store"
)

const callTimeout = 300 * time.Millisecond

func startStore(t *testing.T, options standin.Options) (*standin.Server, *etcdv3.Client) {
	t.Helper()
	g := NewWithT(t)
	server := standin.New(options)
	g.Expect(server.Start("127.0.0.1:0")).To(Succeed())
	t.Cleanup(server.Close)
	client, err := etcdv3.New(etcdv3.Options{
		Addresses: []string{server.Address()}, Timeout: callTimeout, MaxBackoff: 100 * time.Millisecond,
	})
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = client.Close() })
	return server, client
}

func put(client store.Store, key, value string, conditions ...store.Condition) (store.TxnResult, error) {
	return client.Txn(context.Background(), conditions, []store.Op{{Key: key, Value: []byte(value)}})
}

// Guards against transactions that are applied although a condition doesn't hold,
// or that don't return the current entries of the conditions.
func TestTxnAppliesOnlyIfConditionsHold(t *testing.T) {
	g := NewWithT(t)
	ctx := context.Background()
	_, client := startStore(t, standin.Options{})
	first, err := put(client, "/a/1", "one", store.Condition{Key: "/a/1"})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(first.Succeeded).To(BeTrue())

	second, err := put(client, "/a/1", "two", store.Condition{Key: "/a/0"}, store.Condition{Key: "/a/1"})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(second.Succeeded).To(BeFalse())
	g.Expect(second.Current).To(HaveLen(2))
	g.Expect(second.Current[0].ModRevision).To(BeZero())
	g.Expect(second.Current[1].ModRevision).To(Equal(first.Revision))

	_, err = put(client, "/b", "outside")
	g.Expect(err).NotTo(HaveOccurred())
	entries, revision, err := client.List(ctx, "/a/")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(entries).To(HaveLen(1))
	g.Expect(string(entries[0].Value)).To(Equal("one"))
	g.Expect(revision).To(Equal(first.Revision + 1))
	missing, err := client.Get(ctx, "/missing")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(missing.ModRevision).To(BeZero())
}

// Guards against reporting an unknown outcome for a write that was never sent, and
// against reporting a write as not sent that may have been applied.
func TestErrorsDistinguishSentFromUnsentWrites(t *testing.T) {
	for _, c := range []struct {
		name   string
		faults standin.Faults
		want   error
	}{
		{"refused connection", standin.Faults{Down: standin.DownRefuse}, store.ErrUnavailable},
		{"no answer", standin.Faults{Down: standin.DownHang}, store.ErrOutcomeUnknown},
		{"slow", standin.Faults{DelayMillis: 1000}, store.ErrOutcomeUnknown},
		{"lost reply", standin.Faults{LoseReplies: 1}, store.ErrOutcomeUnknown},
		{"reset after the write", standin.Faults{LoseReplies: 1, LoseByReset: true}, store.ErrOutcomeUnknown},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			server, client := startStore(t, standin.Options{})
			_, err := put(client, "/k", "before")
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(server.SetFaults(c.faults)).To(Succeed())
			if c.faults.Down == standin.DownRefuse {
				// Until the client notices that the old connection is closed, a write
				// on it correctly has an unknown outcome. TestUnavailableWritesNeverApply
				// covers that case.
				g.Eventually(func() error { _, err := client.Get(context.Background(), "/k"); return err }).
					Should(MatchError(ContainSubstring("refused")))
			}
			start := time.Now()
			_, err = put(client, "/k", "after")
			g.Expect(err).To(MatchError(c.want))
			g.Expect(time.Since(start)).To(BeNumerically("<", 2*callTimeout))
			if c.faults.LoseReplies == 0 {
				_, err = client.Get(context.Background(), "/k")
				g.Expect(err).To(MatchError(store.ErrUnavailable))
			}
			g.Expect(server.SetFaults(standin.Faults{})).To(Succeed())
			g.Eventually(func(g Gomega) {
				kv, err := client.Get(context.Background(), "/k")
				g.Expect(err).NotTo(HaveOccurred())
				if c.faults.LoseReplies > 0 {
					g.Expect(string(kv.Value)).To(Equal("after"))
				}
			}, 3*time.Second).Should(Succeed())
		})
	}
}

// Guards against writes that are reported as not sent but were applied, or as
// applied but were not, while connections break at random moments.
func TestUnavailableWritesNeverApply(t *testing.T) {
	g := NewWithT(t)
	server, client := startStore(t, standin.Options{})
	var keys []string
	var errs []error
	stop := make(chan struct{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			default:
			}
			keys = append(keys, fmt.Sprintf("/k/%06d", i))
			_, err := put(client, keys[i], "v")
			errs = append(errs, err)
			time.Sleep(200 * time.Microsecond)
		}
	}()
	for range 12 {
		time.Sleep(150 * time.Millisecond)
		g.Expect(server.SetFaults(standin.Faults{Down: standin.DownRefuse})).To(Succeed())
		time.Sleep(5 * time.Millisecond)
		g.Expect(server.SetFaults(standin.Faults{LoseReplies: 0.1, LoseByReset: true})).To(Succeed())
	}
	close(stop)
	<-done
	var entries []store.KeyValue
	g.Eventually(func() (err error) {
		entries, _, err = client.List(context.Background(), "/k/")
		return err
	}, 3*time.Second).Should(Succeed())
	applied := make(map[string]bool)
	for _, entry := range entries {
		applied[entry.Key] = true
	}
	outcomes := make(map[string]int)
	for i, key := range keys {
		switch {
		case errs[i] == nil:
			outcomes["ok"]++
			g.Expect(applied).To(HaveKey(key))
		case errors.Is(errs[i], store.ErrUnavailable):
			outcomes["unavailable"]++
			g.Expect(applied).NotTo(HaveKey(key), errs[i].Error())
		default:
			outcomes["unknown"]++
			g.Expect(errs[i]).To(MatchError(store.ErrOutcomeUnknown))
		}
	}
	t.Log(outcomes)
	g.Expect(outcomes).To(HaveLen(3), "the run must produce all three outcomes")
}

// Guards against treating writes that the store rejected because of its rate limit
// as writes with an unknown outcome.
func TestRateLimitedCallsAreUnavailable(t *testing.T) {
	g := NewWithT(t)
	server, client := startStore(t, standin.Options{WritesPerSecond: 2})
	var rejected int
	for range 6 {
		if _, err := put(client, "/k", "v"); err != nil {
			g.Expect(err).To(MatchError(store.ErrUnavailable))
			rejected++
		}
	}
	g.Expect(rejected).To(BeNumerically(">=", 3))
	g.Expect(server.Stats().Calls).To(HaveKeyWithValue("limited", BeNumerically("==", rejected)))
}

// Guards against renewing or using a lease that has expired.
func TestLeaseExpiry(t *testing.T) {
	g := NewWithT(t)
	ctx := context.Background()
	server, client := startStore(t, standin.Options{})
	id, err := client.Grant(ctx, 1500*time.Millisecond)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = client.Txn(ctx, nil, []store.Op{{Key: "/holder", Value: []byte("me"), Lease: id}})
	g.Expect(err).NotTo(HaveOccurred())
	ttl, err := client.KeepAlive(ctx, id)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(ttl).To(Equal(2 * time.Second))

	g.Expect(server.ExpireLease(int64(id))).To(Equal(1))
	_, err = client.KeepAlive(ctx, id)
	g.Expect(err).To(MatchError(store.ErrLeaseExpired))
	_, err = client.Txn(ctx, nil, []store.Op{{Key: "/holder", Lease: id}})
	g.Expect(err).To(MatchError(store.ErrLeaseExpired))
	g.Expect(client.Revoke(ctx, id)).To(MatchError(store.ErrLeaseExpired))
	kv, err := client.Get(ctx, "/holder")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(kv.ModRevision).To(BeZero())
}

func next(t *testing.T, batches <-chan store.WatchBatch) store.WatchBatch {
	t.Helper()
	select {
	case batch, ok := <-batches:
		if !ok {
			t.Fatal("watch channel closed")
		}
		return batch
	case <-time.After(5 * time.Second):
		t.Fatal("no batch")
		return store.WatchBatch{}
	}
}

// Guards against events that are lost or repeated when the store is unavailable
// for a short time.
func TestWatchResumesAfterOutage(t *testing.T) {
	for _, down := range []standin.Down{standin.DownRefuse, standin.DownHang} {
		t.Run(string(down), func(t *testing.T) {
			g := NewWithT(t)
			server, client := startStore(t, standin.Options{})
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			batches := client.Watch(ctx, "/w/", server.Revision())
			for i := range 6 {
				if i == 3 {
					g.Expect(server.SetFaults(standin.Faults{Down: down})).To(Succeed())
					time.Sleep(50 * time.Millisecond)
					g.Expect(server.SetFaults(standin.Faults{})).To(Succeed())
				}
				g.Eventually(func() error { _, err := put(client, "/w/k", "v"); return err }, 3*time.Second).Should(Succeed())
				batch := next(t, batches)
				g.Expect(batch.Err).NotTo(HaveOccurred())
				g.Expect(batch.Events).To(HaveLen(1))
				g.Expect(batch.Revision).To(Equal(server.Revision()))
			}
			cancel()
			g.Eventually(batches).Should(BeClosed())
		})
	}
}

// Guards against a watch that waits without an error for a revision that the
// store, after a restore of an older state, reaches only later.
func TestWatchReportsRestoredStore(t *testing.T) {
	g := NewWithT(t)
	server, client := startStore(t, standin.Options{})
	old := server.Revision()
	batches := client.Watch(context.Background(), "/w/", old)
	for range 3 {
		_, err := put(client, "/w/k", "v")
		g.Expect(err).NotTo(HaveOccurred())
		next(t, batches)
	}
	g.Expect(server.Rollback(old + 1)).To(Succeed())
	g.Expect(next(t, batches).Err).To(MatchError(store.ErrCompacted))
	g.Eventually(batches).Should(BeClosed())
	g.Eventually(func(g Gomega) {
		kv, err := client.Get(context.Background(), "/w/k")
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(kv.ModRevision).To(Equal(old + 1))
	}, 3*time.Second).Should(Succeed())
}

// Guards against a watch that continues after its client was closed.
func TestCloseEndsWatch(t *testing.T) {
	g := NewWithT(t)
	server, client := startStore(t, standin.Options{})
	batches := client.Watch(context.Background(), "/", 0)
	g.Eventually(func() int { return server.Stats().Watches }).Should(Equal(1))
	g.Expect(client.Close()).To(Succeed())
	g.Expect(next(t, batches).Err).To(MatchError(store.ErrUnavailable))
	g.Eventually(batches).Should(BeClosed())
}

// Guards against a client that doesn't fail over from an unavailable endpoint.
func TestClientFailsOverToNextEndpoint(t *testing.T) {
	g := NewWithT(t)
	server, _ := startStore(t, standin.Options{})
	dead := standin.New(standin.Options{})
	g.Expect(dead.Start("127.0.0.1:0")).To(Succeed())
	dead.Close()
	client, err := etcdv3.New(etcdv3.Options{Addresses: []string{dead.Address(), server.Address()}})
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = client.Close() }()
	_, err = client.Get(context.Background(), "/k")
	g.Expect(err).To(MatchError(store.ErrUnavailable))
	_, err = client.Get(context.Background(), "/k")
	g.Expect(err).NotTo(HaveOccurred())
}
