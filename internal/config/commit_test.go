package config

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/onsi/gomega"
	"github.com/pkg/errors"

	peerv1 "github.com/dogwoodrudder/dogwoodrudder/api/peer/v1"
	"github.com/dogwoodrudder/dogwoodrudder/internal/store"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/object"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/result"
)

// fanOut delivers broadcasts to managers, in place of the peer protocol.
type fanOut struct {
	mu    sync.Mutex
	items []*peerv1.Item
	to    []*Manager
}

func (f *fanOut) Broadcast(_ context.Context, item *peerv1.Item) {
	f.mu.Lock()
	f.items = append(f.items, item)
	to := f.to
	f.mu.Unlock()
	for _, m := range to {
		m.HandleItem(item)
	}
}

func discardLogger() *slog.Logger { return slog.New(slog.NewTextHandler(io.Discard, nil)) }

func newTestManager(s store.Store, b Broadcaster) *Manager {
	return NewManager(Options{Store: s, Broadcaster: b, Logger: discardLogger(), Daemon: "d1"})
}

var operator = Actor{Account: "ops", RemoteAddress: "127.0.0.1:1000"}

func upstream(i int, labels map[string]string) *object.Object {
	return &object.Object{
		Kind:     object.KindUpstream,
		Metadata: object.Metadata{Name: fmt.Sprintf("u-%05d", i), Labels: labels},
		Spec:     &object.Upstream{Address: fmt.Sprintf("10.0.%d.%d:8000", i/256, i%256), DataCentre: "dc1"},
	}
}

func put(o *object.Object) []Change { return []Change{{Put: o}} }

// countLabel returns the label "count" of the first upstream as a number.
func countLabel(m *Manager) int {
	o := m.Current().Set.Get(object.Ref{Kind: object.KindUpstream, Name: "u-00000"})
	n, _ := strconv.Atoi(o.Metadata.Labels["count"])
	return n
}

// Guards against lost updates when commits race on one object. The final value must
// include each increment that was reported as stored and none that was refused,
// even if every fifth reply of the store is lost.
func TestRacingOperatorsLoseNoUpdate(t *testing.T) {
	g := gomega.NewWithT(t)
	s, fan := newFakeStore(), &fanOut{}
	managers := []*Manager{newTestManager(s, fan), newTestManager(s, fan), newTestManager(s, nil), newTestManager(s, nil)}
	fan.to = managers
	ctx := context.Background()
	var replies atomic.Int64
	s.setFaults(nil, func() error {
		if replies.Add(1)%5 == 0 {
			return store.ErrOutcomeUnknown
		}
		return nil
	})
	_, err := managers[0].Commit(ctx, operator, put(upstream(0, map[string]string{"count": "0"})))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	const workers, rounds = 16, 10
	var mu sync.Mutex
	stored, revisions := 0, map[int64]bool{}
	var wg sync.WaitGroup
	for w := 0; w < workers; w++ {
		wg.Go(func() {
			m := managers[w%len(managers)]
			for r := 0; r < rounds; r++ {
				base := m.Current().Set.Get(object.Ref{Kind: object.KindUpstream, Name: "u-00000"})
				if base == nil {
					g.Expect(m.LoadStore(ctx)).To(gomega.Succeed())
					continue
				}
				next := *base
				n, _ := strconv.Atoi(base.Metadata.Labels["count"])
				next.Metadata.Labels = map[string]string{"count": strconv.Itoa(n + 1)}
				revision, err := m.Commit(ctx, operator, put(&next))
				if err != nil {
					g.Expect(result.CodeOf(err)).To(gomega.Equal(result.Conflict), "%v", err)
					continue
				}
				mu.Lock()
				stored++
				g.Expect(revisions[revision]).To(gomega.BeFalse(), "revision %d was given twice", revision)
				revisions[revision] = true
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	for _, m := range managers {
		g.Expect(m.LoadStore(ctx)).To(gomega.Succeed())
		g.Expect(countLabel(m)).To(gomega.Equal(stored))
	}
	g.Expect(stored).To(gomega.BeNumerically(">", 0))
}

// Guards against refusing a commit because a concurrent commit changed another
// object.
func TestRacesOnOtherObjectsAreRetried(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newFakeStore()
	managers := []*Manager{newTestManager(s, nil), newTestManager(s, nil), newTestManager(s, nil)}
	var wg sync.WaitGroup
	for i := 0; i < 60; i++ {
		wg.Go(func() {
			_, err := managers[i%len(managers)].Commit(context.Background(), operator, put(upstream(i, nil)))
			g.Expect(err).NotTo(gomega.HaveOccurred())
		})
	}
	wg.Wait()
	for _, m := range managers {
		g.Expect(m.LoadStore(context.Background())).To(gomega.Succeed())
		g.Expect(m.Current().Set.Len()).To(gomega.Equal(60))
		g.Expect(m.Current().Revision).To(gomega.Equal(int64(60)))
	}
}

// Guards against a conflict error that does not state the current revision.
func TestConflictNamesCurrentRevision(t *testing.T) {
	g := gomega.NewWithT(t)
	m := newTestManager(newFakeStore(), nil)
	ctx := context.Background()
	for range 2 {
		_, err := m.Commit(ctx, operator, put(upstream(1, nil)))
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	late := upstream(1, nil)
	late.Metadata.Revision = 1
	_, err := m.Commit(ctx, operator, put(late))
	g.Expect(result.CodeOf(err)).To(gomega.Equal(result.Conflict))
	g.Expect(err.Error()).To(gomega.ContainSubstring("Upstream/u-00001 is at revision 2"))
	g.Expect(m.Refusals().List()).To(gomega.HaveLen(1))
	_, err = m.Commit(ctx, operator, []Change{{Delete: upstream(1, nil).Ref(), Revision: 2}})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(m.Current().Set.Len()).To(gomega.BeZero())
}

// Guards against a change that is stored twice, or reported as not stored,
// because its reply was lost.
func TestLostReplyIsSettled(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newFakeStore()
	m := newTestManager(s, nil)
	lost := 0
	s.setFaults(nil, func() error {
		lost++
		return errors.WithStack(store.ErrOutcomeUnknown)
	})
	for i := 0; i < 5; i++ {
		revision, err := m.Commit(context.Background(), operator, put(upstream(i, nil)))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(revision).To(gomega.Equal(int64(i + 1)))
	}
	g.Expect(lost).To(gomega.Equal(5))
	g.Expect(m.Current().Set.Len()).To(gomega.Equal(5))
}

// Guards against giving up a write whose request did not reach the store.
func TestLostRequestIsSentAgain(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newFakeStore()
	calls := 0
	s.setFaults(func(call string) error {
		if call == "txn" {
			if calls++; calls == 1 {
				return store.ErrOutcomeUnknown
			}
		}
		return nil
	}, nil)
	m := newTestManager(s, nil)
	revision, err := m.Commit(context.Background(), operator, put(upstream(1, nil)))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(revision).To(gomega.Equal(int64(1)))
}

// Covers a store that stops answering during a write. The commit must report an
// unknown outcome, and the daemon must put the change in force and broadcast it
// once it finds that it was stored.
func TestUnknownOutcomeIsSettledLater(t *testing.T) {
	for _, stored := range []bool{true, false} {
		t.Run(fmt.Sprintf("stored=%v", stored), func(t *testing.T) {
			g := gomega.NewWithT(t)
			s, fan := newFakeStore(), &fanOut{}
			m := newTestManager(s, fan)
			silent := false
			s.setFaults(func(call string) error {
				if silent && call == "txn" || silent && !stored {
					return store.ErrOutcomeUnknown
				}
				if silent {
					return store.ErrUnavailable
				}
				silent = call == "txn" && !stored
				if silent {
					return store.ErrOutcomeUnknown
				}
				return nil
			}, func() error {
				silent = true
				return store.ErrOutcomeUnknown
			})
			_, err := m.Commit(context.Background(), operator, put(upstream(1, nil)))
			g.Expect(result.CodeOf(err)).To(gomega.Equal(result.StoreOutcomeUnknown))
			g.Expect(m.Current().Revision).To(gomega.BeZero())
			g.Expect(m.Status().UnknownOutcomes).To(gomega.Equal(1))
			g.Expect(m.SettleUnknown(context.Background())).To(gomega.Equal(1))
			s.setFaults(nil, nil)
			if !stored {
				_, err = newTestManager(s, nil).Commit(context.Background(), operator, put(upstream(2, nil)))
				g.Expect(err).NotTo(gomega.HaveOccurred())
			}
			g.Expect(m.SettleUnknown(context.Background())).To(gomega.BeZero())
			g.Expect(m.Current().Revision == 1).To(gomega.Equal(stored))
			g.Expect(fan.items).To(gomega.HaveLen(int(m.Current().Revision)))
		})
	}
}

// Guards against reporting an unknown outcome when the store is unavailable or the
// call budget is spent, because the change then has no effect.
func TestUnavailableStoreRefusesChanges(t *testing.T) {
	for fault, code := range map[error]result.Code{
		store.ErrUnavailable: result.NotStored, store.ErrBudget: result.StoreBudgetSpent,
	} {
		for _, call := range []string{"get", "txn"} {
			g := gomega.NewWithT(t)
			s := newFakeStore()
			s.setFaults(func(c string) error {
				if c == call {
					return fault
				}
				return nil
			}, nil)
			m := newTestManager(s, nil)
			_, err := m.Commit(context.Background(), operator, put(upstream(1, nil)))
			g.Expect(result.CodeOf(err)).To(gomega.Equal(code))
			g.Expect(m.Status().UnknownOutcomes).To(gomega.BeZero())
		}
	}
}
