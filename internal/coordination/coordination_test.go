package coordination_test

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	coordinatorv1 "github.com/dogwoodrudder/dogwoodrudder/api/coordinator/v1"
	"github.com/dogwoodrudder/dogwoodrudder/internal/coordination"
	"github.com/dogwoodrudder/dogwoodrudder/internal/fleet"
	"github.com/dogwoodrudder/dogwoodrudder/internal/store/storetest"
	"github.com/dogwoodrudder/dogwoodrudder/internal/traffic"
)

// fleetOf is some daemons on a fake clock, one of which coordinates.
type fleetOf struct {
	clock        *clockwork.FakeClock
	began        time.Time
	table        *traffic.Table
	store        *storetest.Memory
	coordinators []*coordination.Coordinator
	keepers      []*coordination.CountsKeeper
	tokens       []int64
	agents       []*coordination.Agent
	links        []*linkTo
	names        []string
	rates        []float64 // requests a second that reach a daemon
}

// linkTo reaches one of the coordinators, or none.
type linkTo struct {
	target *coordination.Coordinator
	deputy *coordination.Coordinator
	cut    bool
	doubts int // of the deputy
}

func (l *linkTo) Deputy() (coordinatorv1.CoordinatorClient, string, bool) {
	return client{&linkTo{target: l.deputy, cut: l.cut}}, "deputy", l.deputy != nil
}

func (l *linkTo) Doubt(string) { l.doubts++ }

func (l *linkTo) Coordinator() (coordinatorv1.CoordinatorClient, bool) {
	return client{l}, l.target != nil
}

type client struct{ link *linkTo }

func (c client) Report(ctx context.Context, r *coordinatorv1.ReportRequest, _ ...grpc.CallOption) (*coordinatorv1.ReportResponse, error) {
	if c.link.cut {
		return nil, status.Error(codes.Unavailable, "cut")
	}
	return c.link.target.Report(ctx, r)
}

func (c client) Borrow(ctx context.Context, r *coordinatorv1.BorrowRequest, _ ...grpc.CallOption) (*coordinatorv1.BorrowResponse, error) {
	if c.link.cut {
		return nil, status.Error(codes.Unavailable, "cut")
	}
	return c.link.target.Borrow(ctx, r)
}

func (c client) BorrowPooled(ctx context.Context, r *coordinatorv1.BorrowRequest, _ ...grpc.CallOption) (*coordinatorv1.BorrowResponse, error) {
	if ctx.Err() != nil {
		return nil, status.FromContextError(ctx.Err()).Err()
	}
	if c.link.cut {
		return nil, status.Error(codes.Unavailable, "cut")
	}
	return c.link.target.BorrowPooled(ctx, r)
}

const rate = 100_000.0 // tokens a second, as the smaller accounts of the sheets

var account = &traffic.Account{Name: "acme", CountTokens: true, Rate: rate, Burst: rate}

const slack = 140_000.0

func newFleet(n int) *fleetOf {
	return newFleetFrom(n, 1, clockwork.NewFakeClock(), storetest.NewMemory())
}

// newFleetFrom returns daemons of an incarnation on a clock and a store.
func newFleetFrom(n int, incarnation int64, clock *clockwork.FakeClock, store *storetest.Memory) *fleetOf {
	f := &fleetOf{
		clock: clock, began: clock.Now(), store: store, tokens: make([]int64, n), rates: make([]float64, n),
		table: traffic.NewTable(1, nil, nil, []*traffic.Account{account}, nil, traffic.Limits{}),
	}
	log := slog.New(slog.DiscardHandler)
	for i := range n {
		f.names = append(f.names, coordination.DaemonID(fmt.Sprintf("d%d", i), incarnation))
		c := coordination.NewCoordinator(coordination.CoordinatorConfig{
			Log: log, Token: func() int64 { return f.tokens[i] }, Table: func() *traffic.Table { return f.table },
			Now: f.now, Civil: clock.Now, Daemons: func() int { return n }, Members: func() []string { return f.names },
			Rollouts: func() []*coordinatorv1.RolloutState { return nil },
			Slack:    func() float64 { return slack / 2 },
			Complete: func(*coordinatorv1.ReportRequest, *coordinatorv1.ReportResponse) {},
		})
		f.coordinators = append(f.coordinators, c)
		f.keepers = append(f.keepers, &coordination.CountsKeeper{
			Coordinator: c, Store: f.store, Key: "counts", Token: func() int64 { return f.tokens[i] }, Log: log,
		})
		link := &linkTo{}
		f.links = append(f.links, link)
		f.agents = append(f.agents, coordination.NewAgent(coordination.AgentConfig{
			Daemon: f.names[i], Log: log, Link: link, Instances: fleet.NewSet(clock, log), Daemons: func() int { return n },
			Civil: clock.Now, Now: f.now, UsageWindow: 5 * time.Second,
			SlackShare: func() float64 { return slack / 2 / float64(n) },
			Demand:     func() []*coordinatorv1.ServiceDemand { return nil },
			Evidence:   func() []*coordinatorv1.VersionEvidence { return nil },
			Rate:       func() float64 { return f.rates[i] },
			OnLost:     func() {},
			Cursor:     func() *coordinatorv1.MirrorCursor { return nil },
			OnResponse: func(*coordinatorv1.ReportResponse, time.Duration) {},
		}))
	}
	for _, link := range f.links {
		link.deputy = f.coordinators[n-1]
	}
	return f
}

// restart returns the fleet after all daemons were killed and started again.
func (f *fleetOf) restart() *fleetOf {
	return newFleetFrom(len(f.agents), 2, f.clock, f.store)
}

func (f *fleetOf) now() time.Duration { return f.clock.Since(f.began) + time.Hour }

// appoint makes daemon i the coordinator.
func (f *fleetOf) appoint(i int, token int64) {
	for j := range f.tokens {
		f.tokens[j] = 0
	}
	f.tokens[i] = token
	for _, link := range f.links {
		link.target = f.coordinators[i]
	}
}

// tick lets 125 ms pass, in which each daemon reports.
func (f *fleetOf) tick(t *testing.T) {
	f.clock.Advance(125 * time.Millisecond)
	f.report(t)
}

// report has each daemon report, and the counts written.
func (f *fleetOf) report(t *testing.T) {
	for i, agent := range f.agents {
		agent.Report(t.Context())
		if err := f.keepers[i].Step(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
}

// demand has every daemon ask for its part of a demand for one tick, and
// returns the tokens that were granted.
func (f *fleetOf) demand(t *testing.T, random *rand.Rand, perSecond float64) (granted, asked float64) {
	const cost = 12_000.0 // tokens of a long prompt
	for range int(perSecond/cost/8) + 1 {
		agent := f.agents[random.IntN(len(f.agents))]
		asked += cost
		if ok, _ := agent.Take(t.Context(), account, cost); ok {
			granted += cost
		}
	}
	f.tick(t)
	return granted, asked
}

// worstWindow returns the largest sum of any 64 ticks (8 s).
func worstWindow(grants []float64) float64 {
	worst := 0.0
	for i := range grants {
		sum := 0.0
		for _, g := range grants[i:min(i+64, len(grants))] {
			sum += g
		}
		worst = max(worst, sum)
	}
	return worst
}

// allowed is what an account may use in any 8 s over all daemons.
const allowed = (rate*8+rate)*1.1 + slack

// Pattern hot_tenant: one account asks for many times its quota while the
// coordinator changes and some daemons are cut off from it. Guards against
// more than the quota being granted over all daemons.
func TestQuotaHoldsOverAllDaemons(t *testing.T) {
	for _, n := range []int{7, 67} {
		for name, disturb := range map[string]func(*fleetOf, int){
			"calm":        func(*fleetOf, int) {},
			"coordinator": func(f *fleetOf, tick int) { appointEach(f, tick, 40) },
			"one cut":     func(f *fleetOf, tick int) { f.links[1].cut = tick > 60 },
			"no coordinator, no deputy": func(f *fleetOf, tick int) {
				if tick == 80 {
					for _, link := range f.links {
						link.target, link.deputy = nil, nil
					}
				}
			},
			"no coordinator for a while": func(f *fleetOf, tick int) {
				if tick%60 == 20 {
					for _, link := range f.links {
						link.target = nil
					}
				}
				if tick%60 == 50 {
					f.appoint(tick%len(f.agents), int64(tick+2))
				}
			},
			"two deputies": func(f *fleetOf, tick int) {
				if tick == 80 {
					for i, link := range f.links {
						link.target, link.deputy = nil, f.coordinators[i%2]
					}
				}
			},
			"no coordinator": func(f *fleetOf, tick int) {
				if tick == 80 {
					for _, link := range f.links {
						link.target = nil
					}
				}
			},
		} {
			t.Run(fmt.Sprintf("%d daemons, %s", n, name), func(t *testing.T) {
				g := NewWithT(t)
				f := newFleet(n)
				f.appoint(0, 1)
				random := rand.New(rand.NewPCG(1, uint64(n)))
				var grants []float64
				for tick := range 240 {
					disturb(f, tick)
					granted, _ := f.demand(t, random, 7*rate)
					grants = append(grants, granted)
				}
				g.Expect(worstWindow(grants)).To(BeNumerically("<=", allowed))
			})
		}
	}
}

func appointEach(f *fleetOf, tick, interval int) {
	if tick%interval == interval-1 {
		f.appoint((tick/interval+1)%len(f.agents), int64(tick+2))
	}
}

// Pattern: an account uses what the sheets plan, 0.55 of its quota, in long
// prompts spread at random. Guards against refusals below the quota.
func TestAccountBelowItsQuotaIsServed(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(7)
	f.appoint(0, 1)
	random := rand.New(rand.NewPCG(2, 2))
	var granted, asked float64
	for tick := range 400 {
		if random.Float64() < 0.55*rate/8/12_000 {
			got, want := f.demand(t, random, 0)
			granted += got
			asked += want
			continue
		}
		f.tick(t)
		_ = tick
	}
	g.Expect(granted / asked).To(BeNumerically(">", 0.97))
}

// Pattern hot_tenant of rcb-compra-grown: an account asks for three times its
// quota, in long prompts, quick questions and payout orders of 200 tokens. Guards
// against payout orders, which need a fiftieth of the quota, being refused as
// often as the long prompts that use it up, and against prompts larger than the
// burst that never pass.
func TestShortRequestsOfAnAccountOverItsQuota(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(7)
	f.appoint(0, 1)
	random := rand.New(rand.NewPCG(4, 2))
	kinds := []struct{ cost, share float64 }{{200, 0.02}, {2400, 0.98}, {12_400, 2}}
	const long = 2
	asked, granted := make([]float64, len(kinds)), make([]float64, len(kinds))
	tokens := 0.0
	const steps, perSecond, reportEvery = 8000, 80.0, 10
	for step := range steps {
		f.clock.Advance(time.Second / perSecond)
		for _, kind := range random.Perm(len(kinds)) {
			k := kinds[kind]
			for n := k.share * rate / perSecond / k.cost; n > 0; n-- {
				if random.Float64() > n {
					continue
				}
				asked[kind]++
				if ok, _ := f.agents[random.IntN(7)].Take(t.Context(), account, k.cost); ok {
					granted[kind]++
					tokens += k.cost
				}
			}
		}
		if step%reportEvery == reportEvery-1 {
			f.report(t)
		}
	}
	g.Expect(granted[0]/asked[0]).To(BeNumerically(">", 0.95), "payout orders")
	g.Expect(granted[long]).To(BeNumerically(">", 0), "long prompts get what is left")
	g.Expect(tokens).To(BeNumerically(">", 0.9*rate*steps/perSecond), "the quota is used")
	idle := newFleet(7)
	idle.appoint(0, 1)
	idle.tick(t)
	ok, _ := idle.agents[3].Take(t.Context(), account, 1.5*rate)
	g.Expect(ok).To(BeTrue(), "a prompt larger than the burst")
}

// Pattern: an account uses 0.55 of its quota in prompts of 5,000 tokens over
// many daemons, and for 4 s nobody coordinates, as after the coordinator's
// machine was lost. Guards against refusals because no single daemon's share
// covers a prompt.
func TestAccountIsServedWhileNobodyCoordinates(t *testing.T) {
	for _, n := range []int{7, 62, 420} {
		g := NewWithT(t)
		f := newFleet(n)
		f.appoint(0, 1)
		random := rand.New(rand.NewPCG(3, uint64(n)))
		const cost = 5000.0
		asked, granted := 0, 0
		for tick := range 160 {
			if tick == 128 {
				for _, link := range f.links {
					link.target = nil
				}
			}
			for range 2 {
				if random.Float64() > 0.55*rate/16/cost {
					continue
				}
				ok, _ := f.agents[random.IntN(n)].Take(t.Context(), account, cost)
				if tick >= 128 {
					asked++
					if ok {
						granted++
					}
				}
			}
			f.tick(t)
		}
		t.Logf("%d daemons: %d of %d prompts granted", n, granted, asked)
		g.Expect(float64(granted)).To(BeNumerically(">=", 0.9*float64(asked)))
	}
}

// Guards against a client that leaves while its quota is borrowed, and by that
// has all requests of the daemon sent to another deputy.
func TestClientThatLeavesDoesNotDiscreditTheDeputy(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(3)
	left, leave := context.WithCancel(t.Context())
	leave()
	f.agents[0].Take(left, account, 5000)
	g.Expect(f.links[0].doubts).To(BeZero())
	f.links[0].cut = true
	f.agents[0].Take(t.Context(), account, 5000)
	g.Expect(f.links[0].doubts).To(Equal(1))
}

// Guards against loads of a daemon that stay in the sums after it restarted,
// fell silent or has none any more, and against its own load being told to it.
func TestLoadsOfTheOthers(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(3)
	f.appoint(0, 1)
	sequence := int64(0)
	report := func(daemon string, inflight ...int32) map[string]int32 {
		sequence++
		request := &coordinatorv1.ReportRequest{Daemon: daemon, Sequence: sequence}
		for i, n := range inflight {
			request.Loads = append(request.Loads, &coordinatorv1.InstanceLoad{Instance: fmt.Sprint(i), Inflight: n, PrefillTokens: 10 * n})
		}
		response, err := f.coordinators[0].Report(t.Context(), request)
		g.Expect(err).NotTo(HaveOccurred())
		others := map[string]int32{}
		for _, l := range response.Loads {
			g.Expect(l.PrefillTokens).To(Equal(10 * l.Inflight))
			others[l.Instance] = l.Inflight
		}
		return others
	}
	g.Expect(report("a", 1, 2)).To(BeEmpty())
	g.Expect(report("b", 4)).To(Equal(map[string]int32{"0": 1, "1": 2}))
	g.Expect(report("a", 3)).To(Equal(map[string]int32{"0": 4}))
	g.Expect(report("b")).To(Equal(map[string]int32{"0": 3}))
	g.Expect(report("c", 5)).To(Equal(map[string]int32{"0": 3}))
	f.clock.Advance(2 * time.Second)
	report("b")
	g.Expect(report("b", 1)).To(BeEmpty())
	f.appoint(0, 2)
	g.Expect(report("c", 2)).To(BeEmpty())
}

// Guards against an account that is refused although it was silent for long:
// its first requests on tsd-ub-grown met a bucket that was half full.
func TestFirstBurstOfAnAccountIsServed(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(7)
	f.appoint(0, 1)
	for range 80 {
		f.tick(t)
	}
	for i := range 8 {
		granted, _ := f.agents[i%7].Take(t.Context(), account, 12_000)
		g.Expect(granted).To(BeTrue())
	}
}
