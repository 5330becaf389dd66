package audit

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"sort"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/onsi/gomega"

	"github.com/dogwoodrudder/dogwoodrudder/internal/store"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/object"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/result"
)

// fakeStore implements the calls of the store that this package uses, in memory.
type fakeStore struct {
	store.Store
	mu        sync.Mutex
	revision  int64
	data      map[string]store.KeyValue
	lists     int
	txns      int
	loseReply bool // lose the reply of the next transaction
	down      bool
}

func (f *fakeStore) Get(_ context.Context, key string) (store.KeyValue, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return store.KeyValue{}, store.ErrUnavailable
	}
	return f.data[key], nil
}

func (f *fakeStore) List(_ context.Context, prefix string) ([]store.KeyValue, int64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lists++
	var out []store.KeyValue
	for key, kv := range f.data {
		if strings.HasPrefix(key, prefix) {
			out = append(out, kv)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	return out, f.revision, nil
}

func (f *fakeStore) Txn(_ context.Context, conditions []store.Condition, ops []store.Op) (store.TxnResult, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range conditions {
		if f.data[c.Key].ModRevision != c.ModRevision {
			return store.TxnResult{}, nil
		}
	}
	f.txns++
	f.revision++
	for _, op := range ops {
		if op.Delete {
			delete(f.data, op.Key)
			continue
		}
		f.data[op.Key] = store.KeyValue{Key: op.Key, Value: op.Value, ModRevision: f.revision}
	}
	if f.loseReply {
		f.loseReply = false
		return store.TxnResult{}, store.ErrOutcomeUnknown
	}
	return store.TxnResult{Succeeded: true, Revision: f.revision}, nil
}

var epoch = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func newFilledStore(g *gomega.WithT, records int) *fakeStore {
	f := &fakeStore{data: map[string]store.KeyValue{}}
	for i := 1; i <= records; i++ {
		r := &Record{Revision: int64(i), ChangeID: fmt.Sprint("c", i), Time: epoch.Add(time.Duration(i) * time.Second),
			Account: fmt.Sprint("ops", i%10), Result: ResultStored,
			Objects: []Entry{{Ref: object.Ref{Kind: object.KindUpstream, Name: fmt.Sprint("u", i%7)}, NewRevision: int64(i)}}}
		data, err := r.Encode()
		g.Expect(err).NotTo(gomega.HaveOccurred())
		f.data[ChangeKey(r.Revision)] = store.KeyValue{Key: ChangeKey(r.Revision), Value: data, ModRevision: int64(i)}
	}
	f.revision = int64(records)
	f.data[headKey] = store.KeyValue{Key: headKey, Value: fmt.Appendf(nil, `{"revision":%d}`, records), ModRevision: 1}
	return f
}

// Guards against records that are skipped or repeated between pages, and against a
// List call that reads the whole audit trail.
func TestListPagesThroughAllMatches(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFilledStore(g, 5432)
	trail := NewTrail(f)
	for _, filter := range []Filter{
		{}, {Account: "ops3"}, {ChangeID: "c4000"}, {Kind: object.KindUpstream, Name: "u2", Limit: 17},
		{Since: epoch.Add(1000 * time.Second), Until: epoch.Add(1003 * time.Second)}, {Name: "none"},
	} {
		var want, got []int64
		for i := int64(5432); i >= 1; i-- {
			r, err := DecodeRecord(f.data[ChangeKey(i)].Value)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			if filter.matches(r) {
				want = append(want, i)
			}
		}
		for pages := 0; ; pages++ {
			f.lists = 0
			page, err := trail.List(context.Background(), filter)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(f.lists).To(gomega.BeNumerically("<=", maxListCalls))
			for _, r := range page.Records {
				got = append(got, r.Revision)
			}
			if filter.Before = page.Next; page.Next == 0 {
				break
			}
			g.Expect(pages).To(gomega.BeNumerically("<", 1000))
		}
		g.Expect(got).To(gomega.Equal(want))
	}
	f.down = true
	_, err := trail.List(context.Background(), Filter{})
	g.Expect(result.CodeOf(err)).To(gomega.Equal(result.StoreUnavailable))
}

// Guards against an audit trail that grows without limit, against deleting records
// within the limit, against bursts of writes, and against a lost reply that stops
// the trimming for good.
func TestTrimKeepsTheLatestRecords(t *testing.T) {
	g := gomega.NewWithT(t)
	f, clock := newFilledStore(g, 780), clockwork.NewFakeClock()
	f.loseReply = true
	ctx, cancel := context.WithCancel(context.Background())
	trim := &Trimmer{Trail: NewTrail(f), Clock: clock, HoldsDuty: func() bool { return true },
		Logger: slog.New(slog.NewTextHandler(io.Discard, nil)), Keep: 500}
	done := make(chan error, 1)
	go func() { done <- trim.Run(ctx) }()
	for range 20 {
		g.Expect(clock.BlockUntilContext(ctx, 1)).To(gomega.Succeed())
		f.mu.Lock()
		before := f.txns
		f.mu.Unlock()
		clock.Advance(trimBatchInterval) // at most one batch, none while the duty waits for its next run
		g.Expect(clock.BlockUntilContext(ctx, 1)).To(gomega.Succeed())
		f.mu.Lock()
		g.Expect(f.txns - before).To(gomega.BeNumerically("<=", 1))
		f.mu.Unlock()
		clock.Advance(trimInterval - trimBatchInterval)
	}
	cancel()
	g.Expect(<-done).To(gomega.MatchError(context.Canceled))
	g.Expect(f.txns).To(gomega.Equal(6))
	for i := int64(1); i <= 780; i++ {
		_, ok := f.data[ChangeKey(i)]
		g.Expect(ok).To(gomega.Equal(i > 280), "record %d", i)
	}
	page, err := NewTrail(f).List(context.Background(), Filter{Before: 290})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(page.Records).To(gomega.HaveLen(9))
	g.Expect(page.Next).To(gomega.BeZero())
}

// Guards against a list of refusals that grows without limit or has the wrong order.
func TestRefusalsKeepTheLatest(t *testing.T) {
	g := gomega.NewWithT(t)
	r := NewRefusals(slog.New(slog.NewTextHandler(io.Discard, nil)))
	for i := range maxRefusals + 5 {
		r.Add(Refusal{Detail: fmt.Sprint(i), Objects: make([]object.Ref, 50)})
		if i == 2 {
			g.Expect(r.List()[0].Detail).To(gomega.Equal("2"))
		}
	}
	list := r.List()
	g.Expect(list).To(gomega.HaveLen(maxRefusals))
	g.Expect(list[0].Detail).To(gomega.Equal(fmt.Sprint(maxRefusals + 4)))
	g.Expect(list[maxRefusals-1].Detail).To(gomega.Equal("5"))
	g.Expect(list[0].Objects).To(gomega.HaveLen(maxRefusalRefs))
}
