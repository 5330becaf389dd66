package moves

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"go.uber.org/goleak"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/dogwoodrudder/dogwoodrudder/api/peer/v1"
	"github.com/dogwoodrudder/dogwoodrudder/internal/proxy"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/membership"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/move"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/object"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/result"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m, goleak.IgnoreCurrent()) }

// repeated returns a list with n times the value v.
func repeated(n int, v float64) []float64 {
	list := make([]float64, n)
	for i := range list {
		list[i] = v
	}
	return list
}

// runUntilTakenBack runs until at least one instance gives v2 no more requests.
func (f *fleet) runUntilTakenBack(limit time.Duration, rate float64) {
	for elapsed := time.Duration(0); elapsed < limit; elapsed += step {
		f.run(step, rate)
		for _, p := range f.percent() {
			if p == 0 {
				return
			}
		}
	}
	f.g.Expect(f.percent()).To(gomega.ContainElement(0.0))
}

// The store is down and the first evaluator is killed while a bad version gets
// requests. Guards against a verdict that depends on either of them, a replacement
// daemon that doesn't learn the verdict, and a verdict that is lost or recorded more
// than once after the store recovers.
func TestVerdictWithoutStoreAndFirstEvaluator(t *testing.T) {
	f := newFleet(t, 7)
	f.startMove("m", 30*time.Minute)
	f.store.setDown(true)
	f.run(10*time.Second, 20)
	f.v2FailureRate = 0.6
	f.run(5*time.Second, 20)
	first := f.ranked("m", 1)[0].DaemonID
	for _, i := range f.alive() {
		if i.member.DaemonID == first {
			f.kill(i)
		}
	}
	f.runUntilTakenBack(10*time.Minute, 20)
	f.run(2*time.Second, 20)
	f.g.Expect(f.percent()).To(gomega.Equal(repeated(6, 0)))
	f.g.Expect(f.run(30*time.Second, 20)).To(gomega.BeZero())

	f.kill(f.alive()[0])
	replacement := f.add(t)
	f.g.Expect(replacement.config.FetchFrom(context.Background(), f.alive()[0].client)).To(gomega.Succeed())
	f.g.Expect(f.percent()).To(gomega.Equal(repeated(6, 0)))

	writes := f.store.writes
	f.store.setDown(false)
	f.run(time.Minute, 20)
	for _, i := range f.alive() {
		f.g.Expect(f.state(i, "m")).To(gomega.Equal(object.MoveTakenBack))
	}
	f.g.Expect(f.store.writes - writes).To(gomega.Equal(1))
}

// Guards against a daemon that keeps sending requests to a bad version because gossip
// doesn't reach it or because the store that it starts from lacks the verdict. Both
// learn the verdict from the response to a report.
func TestVerdictInReportResponse(t *testing.T) {
	f := newFleet(t, 7)
	f.startMove("m", 30*time.Minute)
	ranked := f.ranked("m", 7)
	for _, i := range f.alive() {
		i.noGossip = i.member.DaemonID == ranked[6].DaemonID
	}
	f.v2FailureRate = 1
	f.runUntilTakenBack(10*time.Minute, 20)
	f.store.setDown(true)
	f.run(2*time.Second, 20)
	f.g.Expect(f.percent()).To(gomega.Equal(repeated(7, 0)))

	joined := f.add(t)
	f.store.setDown(false)
	f.g.Expect(joined.config.LoadStore(context.Background())).To(gomega.Succeed())
	f.store.setDown(true)
	f.run(step, 0)
	f.g.Expect(f.percent()).To(gomega.Equal(repeated(8, 0)))
}

// Guards against a move to a good version that misses its deadline or is recorded
// more than once, shares that differ between daemons, and a fault that is not
// detected because it begins during the watch time.
func TestGoodMoveAndLateFault(t *testing.T) {
	f := newFleet(t, 7)
	f.startMove("m", 10*time.Minute)
	writes := f.store.writes
	f.run(9*time.Minute, 20)
	for range 4 {
		f.run(step, 20)
		shares := f.percent()
		f.g.Expect(shares).To(gomega.Equal(repeated(7, shares[0])))
	}
	f.run(59*time.Second, 20)
	f.g.Expect(f.percent()).To(gomega.Equal(repeated(7, 100)))
	status, err := f.instances[3].operator.MoveStatus("m")
	f.g.Expect(err).NotTo(gomega.HaveOccurred())
	f.g.Expect(status.State).To(gomega.Equal(object.MoveDone))
	f.g.Expect(f.store.writes - writes).To(gomega.Equal(1))
	progress := f.instances[3].Progress(status)
	f.g.Expect(progress.TargetPercent).To(gomega.Equal(100.0))
	f.g.Expect(progress.MeasuredPercent).To(gomega.BeNumerically(">", 10))
	f.g.Expect(progress.Evidence).To(gomega.ContainSubstring("show no excess"))

	f.run(10*time.Minute, 20)
	f.v2FailureRate = 0.5
	f.runUntilTakenBack(2*time.Minute, 20)
	f.run(2*time.Second, 20)
	f.g.Expect(f.run(10*time.Second, 20)).To(gomega.BeZero())
	f.g.Expect(f.state(f.instances[2], "m")).To(gomega.Equal(object.MoveTakenBack))
}

// Guards against a share above 5% while there are no requests as evidence, and
// against a condition that does not report the missing requests.
func TestShareIsHeldWithoutRequests(t *testing.T) {
	f := newFleet(t, 3)
	f.startMove("m", 10*time.Minute)
	f.run(2*time.Minute, 0)
	status, err := f.instances[0].operator.MoveStatus("m")
	f.g.Expect(err).NotTo(gomega.HaveOccurred())
	f.g.Expect(f.instances[0].Progress(status).Condition).To(gomega.Equal(string(move.Stalled)))
	f.run(7*time.Minute, 0)
	f.g.Expect(f.instances[0].Progress(status).Condition).To(gomega.Equal(string(move.Impossible)))
	f.g.Expect(f.percent()).To(gomega.HaveEach(gomega.BeNumerically("<=", 5)))
}

// Guards against daemons that have different moves after operators start them
// concurrently, and against a verdict on an earlier generation that ends a new move.
func TestConcurrentOperators(t *testing.T) {
	f := newFleet(t, 7)
	var wait sync.WaitGroup
	outcomes := make([]result.Code, 7)
	for n, i := range f.instances {
		wait.Go(func() {
			_, err := i.operator.StartMove(context.Background(), operator, f.move("m", "v2", 30*time.Minute))
			outcomes[n] = result.CodeOf(err)
		})
	}
	f.waitAdvancingClock(&wait)
	f.g.Expect(outcomes).To(gomega.ConsistOf(result.OK, result.MoveConflict, result.MoveConflict, result.MoveConflict,
		result.MoveConflict, result.MoveConflict, result.MoveConflict))
	second := f.move("m2", "v3", 30*time.Minute)
	_, err := f.instances[1].operator.StartMove(context.Background(), operator, second)
	f.g.Expect(result.CodeOf(err)).To(gomega.Equal(result.MoveConflict))

	f.v2FailureRate = 1
	f.runUntilTakenBack(10*time.Minute, 20)
	f.run(10*time.Second, 20)
	f.g.Expect(f.state(f.instances[5], "m")).To(gomega.Equal(object.MoveTakenBack))
	_, err = f.instances[2].operator.CancelMove(context.Background(), operator, "m")
	f.g.Expect(result.CodeOf(err)).To(gomega.Equal(result.MoveConflict))

	f.v2FailureRate = 0
	f.startMove("m", 30*time.Minute)
	f.run(time.Second, 20)
	f.g.Expect(f.percent()).To(gomega.HaveEach(gomega.BeNumerically(">", 0)))
	_, err = f.instances[4].operator.CancelMove(context.Background(), operator, "m")
	f.g.Expect(err).NotTo(gomega.HaveOccurred())
	f.g.Expect(f.percent()).To(gomega.Equal(repeated(7, 0)))
	_, err = f.instances[1].operator.StartMove(context.Background(), operator, second)
	f.g.Expect(err).NotTo(gomega.HaveOccurred())
	f.run(time.Minute, 20)
	f.g.Expect(f.sent["v3"]).To(gomega.BeNumerically(">", 0))
}

// Guards against counting requests twice when reports arrive late or repeatedly.
func TestReportsAreCountedOnce(t *testing.T) {
	f := newFleet(t, 1)
	f.startMove("m", 30*time.Minute)
	f.run(step, 0)
	i := f.instances[0]
	e := i.entries["m"]
	report := func(sequence int64, requests uint64) {
		_, err := i.ReportEvidence(context.Background(), &peerv1.ReportEvidenceRequest{
			DaemonId: "x", Sequence: sequence, Counters: []*peerv1.Counter{{
				Move: "m", Generation: e.key.generation, Version: "v1", Route: "r", DataCentre: "dc0", Requests: requests,
			}},
		})
		f.g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	report(1, 10)
	report(3, 30)
	report(2, 20)
	report(3, 30)
	f.g.Expect(e.pool.judge.Finding().OldRequests).To(gomega.Equal(30.0))
}

// Guards against reports that exceed the limit for control traffic of a daemon (14
// KB/s), with 7 and 420 daemons.
func TestReportTraffic(t *testing.T) {
	const budget = 14 * 1024
	for _, daemons := range []int{7, 420} {
		f := newFleet(t, 1)
		f.startMove("m", 12*time.Hour)
		i := f.instances[0]
		evaluators := []membership.Member{{DaemonID: "e0"}, {DaemonID: "e1"}, {DaemonID: "e2"}}
		i.options.Ranked = func(string, int) []membership.Member { return evaluators }
		i.options.Daemons = func() int { return daemons }
		bytes := 0.0
		const length = 2 * time.Hour
		for elapsed := time.Duration(0); elapsed < length; elapsed += step {
			f.clock.Advance(step)
			for range 3 {
				f.observe(i)
			}
			i.mu.Lock()
			for _, e := range i.entries {
				e.fireDueEvents(i.Manager, f.clock.Now())
			}
			reports := i.dueReports(f.clock.Now(), daemons)
			for _, r := range reports {
				bytes += float64(proto.Size(r.request) + callOverheadBytes)
				state := r.entry.reported[r.to.DaemonID]
				state.inProgress, state.acked = false, r.values
			}
			i.mu.Unlock()
		}
		sent := bytes / length.Seconds()
		received := sent / Evaluators * float64(daemons-1)
		t.Logf("daemons=%d sent=%.0f B/s received by an evaluator=%.0f B/s budget=%d B/s", daemons, sent, received, budget)
		f.g.Expect(sent + received).To(gomega.BeNumerically("<", budget))
	}
}

// observe counts a request of one of the versions at random; 1% of them fail.
func (f *fleet) observe(i *instance) {
	o := proxy.Observation{Service: "s", Route: "r", Version: "v1", DataCentre: "dc0", Upstream: "v1-0"}
	if f.random.Float64() < 0.1 {
		o.Version, o.Upstream = "v2", "v2-0"
	}
	o.DataCentre = []string{"dc0", "dc1", "dc2"}[f.random.IntN(3)]
	o.Failed = f.random.Float64() < 0.01
	i.Observe(o)
}

// Measures the cost that a move adds to each request.
func BenchmarkRequest(b *testing.B) {
	f := newFleet(b, 1)
	f.startMove("m", time.Hour)
	f.run(step, 0)
	i := f.instances[0]
	shares := []object.Share{{Version: "v1", Percent: 100}}
	o := proxy.Observation{Service: "s", Route: "r", Version: "v1", DataCentre: "dc0", Upstream: "v1-0", Latency: time.Second}
	b.ReportAllocs()
	for b.Loop() {
		i.Shares("s", "r", shares, nil)
		i.Observe(o)
	}
}
