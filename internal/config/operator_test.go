package config

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/dogwoodrudder/dogwoodrudder/internal/audit"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/object"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/result"
)

// newOperatorServices returns the operator services and managers of n daemons that
// share a store and get each other's changes only from it.
func newOperatorServices(g *gomega.WithT, n int) ([]*OperatorService, []*Manager, *fakeStore) {
	s := newFakeStore()
	var services []*OperatorService
	var managers []*Manager
	for range n {
		m := newTestManager(s, nil)
		managers, services = append(managers, m), append(services, NewOperatorService(m))
	}
	var objects []*object.Object
	for _, o := range fleetObjects(80) {
		if o.Kind != object.KindMove {
			objects = append(objects, o)
		}
	}
	applied, err := services[0].Apply(context.Background(), operator, objects)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(applied.Changed).To(gomega.HaveLen(len(objects)))
	for _, m := range managers {
		g.Expect(m.LoadStore(context.Background())).To(gomega.Succeed())
	}
	return services, managers, s
}

func move(name, from, to string) *object.Object {
	start := time.Now().Add(time.Hour).UTC().Truncate(time.Second)
	return &object.Object{Kind: object.KindMove, Metadata: object.Metadata{Name: name},
		Spec: &object.Move{Service: "s1", From: from, To: to, Start: start, Deadline: start.Add(time.Hour)}}
}

func codeOf(_ any, err error) result.Code { return result.CodeOf(err) }

// Guards against splitting a large file into commits with broken references, and
// against writing objects that have not changed.
func TestApplySplitsLargeFiles(t *testing.T) {
	g := gomega.NewWithT(t)
	services, managers, s := newOperatorServices(g, 1)
	g.Expect(managers[0].Current().Set.Validate()).To(gomega.Succeed())
	g.Expect(managers[0].Current().Revision).To(gomega.BeNumerically(">", 5))
	g.Expect(s.maxValueBytes).To(gomega.BeNumerically("<", 1_000_000))
	before := managers[0].Current()
	applied, err := services[0].Apply(context.Background(), operator, before.Set.All())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(applied.Changed).To(gomega.BeEmpty())
	g.Expect(managers[0].Current()).To(gomega.BeIdenticalTo(before))
	twice := []*object.Object{upstream(1, nil), upstream(1, nil)}
	g.Expect(codeOf(services[0].Apply(context.Background(), operator, twice))).To(gomega.Equal(result.InvalidObject))
	broken := upstream(1, nil)
	broken.Spec = &object.Upstream{Address: "x", DataCentre: "dc"}
	g.Expect(codeOf(services[0].Apply(context.Background(), operator, []*object.Object{broken}))).To(gomega.Equal(result.InvalidObject))
	g.Expect(codeOf(services[0].Delete(context.Background(), operator, object.Ref{Kind: object.KindVersion, Name: "s1-v0"}, 0))).To(gomega.Equal(result.ReferenceBroken))
	g.Expect(codeOf(services[0].Delete(context.Background(), operator, object.Ref{Kind: object.KindVersion, Name: "none"}, 0))).To(gomega.Equal(result.ObjectNotFound))
	found, _, err := services[0].List(object.KindUpstream, object.Selector{MatchLabels: map[string]string{"service": "s3"}})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(found).To(gomega.HaveLen(4))
	g.Expect(codeOf(services[0].Get(object.Ref{Kind: object.KindRoute, Name: "none"}))).To(gomega.Equal(result.ObjectNotFound))
}

// Guards against a concurrent start that succeeds for two operators, and against a
// result that disagrees with the state in force.
func TestRacingMoveOperators(t *testing.T) {
	g := gomega.NewWithT(t)
	services, managers, _ := newOperatorServices(g, 4)
	ctx := context.Background()
	race := func(action func(*OperatorService, int) error) map[result.Code]int {
		var mu sync.Mutex
		var wg sync.WaitGroup
		codes := map[result.Code]int{}
		for i := range 12 {
			wg.Go(func() {
				err := action(services[i%len(services)], i)
				mu.Lock()
				defer mu.Unlock()
				codes[result.CodeOf(err)]++
			})
		}
		wg.Wait()
		return codes
	}
	same := race(func(o *OperatorService, _ int) error {
		_, err := o.StartMove(ctx, operator, move("m", "s1-v0", "s1-v1"))
		return err
	})
	g.Expect(same).To(gomega.Equal(map[result.Code]int{result.OK: 1, result.MoveConflict: 11}))
	other := race(func(o *OperatorService, i int) error {
		_, err := o.StartMove(ctx, operator, move([]string{"a", "b", "c"}[i%3], "s1-v0", "s1-v2"))
		return err
	})
	g.Expect(other).To(gomega.Equal(map[result.Code]int{result.MoveConflict: 12}))
	cancelled := race(func(o *OperatorService, _ int) error {
		status, err := o.CancelMove(ctx, operator, "m")
		if err == nil {
			g.Expect(status.State).To(gomega.Equal(object.MoveCancelled))
		}
		return err
	})
	g.Expect(cancelled).To(gomega.Equal(map[result.Code]int{result.OK: 12}))
	for _, m := range managers {
		g.Expect(m.LoadStore(ctx)).To(gomega.Succeed())
		g.Expect(m.Current().Moves("s1")).To(gomega.HaveLen(1))
		g.Expect(m.Current().ChangeID).To(gomega.Equal(managers[0].Current().ChangeID))
	}
}

// Guards against a repeated apply, a late verdict or a late cancellation that sends
// traffic to a faulty version again.
func TestMoveTakenBackStaysTakenBack(t *testing.T) {
	g := gomega.NewWithT(t)
	services, managers, s := newOperatorServices(g, 2)
	ctx, o := context.Background(), services[0]
	file := move("m", "s1-v0", "s1-v1")
	started, err := o.StartMove(ctx, operator, file)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(started.Generation).To(gomega.Equal(managers[0].Current().Revision))
	g.Expect(codeOf(o.Delete(ctx, operator, file.Ref(), 0))).To(gomega.Equal(result.MoveConflict))
	_, err = services[1].RecordOutcome(ctx, Actor{Account: "d2"}, "m", started.Generation, object.MoveDone, "12 h without difference")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	status, err := o.RecordOutcome(ctx, Actor{Account: "d1"}, "m", started.Generation, object.MoveTakenBack, "9 of 100 failed")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(status.State).To(gomega.Equal(object.MoveTakenBack))

	before := managers[0].Current()
	g.Expect(codeOf(o.RecordOutcome(ctx, operator, "m", started.Generation, object.MoveDone, ""))).To(gomega.Equal(result.MoveConflict))
	g.Expect(codeOf(o.RecordOutcome(ctx, operator, "m", started.Generation, object.MoveTakenBack, ""))).To(gomega.Equal(result.OK))
	g.Expect(codeOf(o.CancelMove(ctx, operator, "m"))).To(gomega.Equal(result.MoveConflict))
	g.Expect(codeOf(o.Apply(ctx, operator, []*object.Object{file}))).To(gomega.Equal(result.OK))
	changed := move("m", "s1-v0", "s1-v2")
	g.Expect(codeOf(o.Apply(ctx, operator, []*object.Object{changed}))).To(gomega.Equal(result.MoveConflict))
	g.Expect(codeOf(o.CancelMove(ctx, operator, "none"))).To(gomega.Equal(result.MoveNotFound))
	g.Expect(managers[0].Current()).To(gomega.BeIdenticalTo(before))

	again, err := o.StartMove(ctx, operator, file)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(again.Generation).To(gomega.BeNumerically(">", started.Generation))
	g.Expect(again.State).To(gomega.Equal(object.MoveOpen))
	g.Expect(codeOf(o.RecordOutcome(ctx, operator, "m", started.Generation, object.MoveTakenBack, "late"))).To(gomega.Equal(result.MoveConflict))

	page, err := audit.NewTrail(s).List(ctx, audit.Filter{MovesOnly: true})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(page.Records).To(gomega.HaveLen(2))
	g.Expect(page.Records[0].Moves).To(gomega.Equal([]audit.MoveOutcome{{Move: "m", Generation: started.Generation, State: object.MoveTakenBack, Evidence: "9 of 100 failed"}}))
	entry := page.Records[0].Objects[0]
	g.Expect(entry.OldRevision).To(gomega.Equal(before.Revision - 1))
	g.Expect(entry.NewRevision).To(gomega.Equal(before.Revision))
}
