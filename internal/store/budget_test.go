package store_test

import (
	"bytes"
	"context"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/gomega"

	"github.com/dogwoodrudder/dogwoodrudder/internal/store"
)

// nullStore returns from each call at once. Its watches report nothing and stay
// open until their context ends.
type nullStore struct{ store.Store }

func (nullStore) Get(context.Context, string) (store.KeyValue, error) { return store.KeyValue{}, nil }

func (nullStore) Txn(context.Context, []store.Condition, []store.Op) (store.TxnResult, error) {
	return store.TxnResult{Succeeded: true}, nil
}

func (nullStore) Watch(ctx context.Context, _ string, _ int64) <-chan store.WatchBatch {
	batches := make(chan store.WatchBatch)
	context.AfterFunc(ctx, func() { close(batches) })
	return batches
}

// Guards against a daemon that makes more calls than its share of the fleet-wide
// limits, and against writes that use up the limit of reads.
func TestBudgetRefusesBeyondShare(t *testing.T) {
	g := NewWithT(t)
	set := metrics.NewSet()
	budget := store.NewBudget(nullStore{}, store.BudgetOptions{
		Daemons: 420, WriteBurst: 3, MaxWait: 10 * time.Millisecond, Metrics: set,
	})
	writes, reads := budget.Share()
	g.Expect(writes).To(BeNumerically("~", 300.0/420, 1e-9))
	g.Expect(reads).To(BeNumerically("~", 1500.0/420, 1e-9))
	ops := []store.Op{{Key: "/k"}}
	for range 3 {
		_, err := budget.Txn(context.Background(), nil, ops)
		g.Expect(err).NotTo(HaveOccurred())
	}
	_, err := budget.Txn(context.Background(), nil, ops)
	g.Expect(err).To(MatchError(store.ErrBudget))
	_, err = budget.Get(context.Background(), "/k")
	g.Expect(err).NotTo(HaveOccurred(), "reads have a separate token bucket")
	var text bytes.Buffer
	set.WritePrometheus(&text)
	g.Expect(text.String()).To(ContainSubstring(`rudder_store_calls_total{kind="txn",outcome="budget"} 1`))
	g.Expect(text.String()).To(ContainSubstring(`rudder_store_calls_total{kind="txn",outcome="ok"} 3`))
}

// Guards against open watches that don't count against the read limit.
func TestOpenWatchLowersReadShare(t *testing.T) {
	g := NewWithT(t)
	budget := store.NewBudget(nullStore{}, store.BudgetOptions{Daemons: 150})
	reads := func() float64 { _, r := budget.Share(); return r }
	g.Expect(reads()).To(BeNumerically("~", 10, 1e-9))
	ctx, cancel := context.WithCancel(context.Background())
	batches := budget.Watch(ctx, "/", 0)
	g.Eventually(reads).Should(BeNumerically("~", 9, 1e-9))
	cancel()
	g.Eventually(batches).Should(BeClosed())
	g.Eventually(reads).Should(BeNumerically("~", 10, 1e-9))
}
