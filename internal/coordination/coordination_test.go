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
	"github.com/dogwoodrudder/dogwoodrudder/internal/store"
	"github.com/dogwoodrudder/dogwoodrudder/internal/store/storetest"
	"github.com/dogwoodrudder/dogwoodrudder/internal/traffic"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/crashguard"
)

// testFleet is a group of daemons on a fake clock. At most one of them is the
// coordinator.
type testFleet struct {
	clock        *clockwork.FakeClock
	start        time.Time
	table        *traffic.Table
	account      *traffic.Account
	overrun      float64
	store        *storetest.Memory
	coordinators []*coordination.Coordinator
	persisters   []*coordination.UsagePersister
	tokens       []int64
	predecessors []int64 // of the tokens
	agents       []*coordination.Agent
	links        []*testLink
	guards       []*crashguard.Guard
	names        []string
	rates        []float64 // requests per second that each daemon receives
}

// testLink is a coordination.Link to one of the coordinators, or to none.
type testLink struct {
	target     *coordination.Coordinator
	deputy     *coordination.Coordinator
	cut        bool // all calls fail
	borrowsCut bool // calls of Borrow fail
	avoidCalls int  // calls of AvoidDeputy
	// onBorrow runs while a call of Borrow is under way; nil means nothing.
	onBorrow func()
	// observed is the last report.
	observed *coordinatorv1.ReportRequest
}

func (l *testLink) Deputy() (coordinatorv1.CoordinatorClient, string, bool) {
	return client{&testLink{target: l.deputy, cut: l.cut}}, "deputy", l.deputy != nil
}

func (l *testLink) AvoidDeputy(string) { l.avoidCalls++ }

func (l *testLink) Coordinator() (coordinatorv1.CoordinatorClient, bool) {
	return client{l}, l.target != nil
}

// client calls the target of its link in the same process.
type client struct{ link *testLink }

func (client) Follow(context.Context, *coordinatorv1.FollowRequest, ...grpc.CallOption) (*coordinatorv1.FollowResponse, error) {
	return nil, status.Error(codes.Unimplemented, "agents don't follow readers")
}

func (c client) Report(ctx context.Context, r *coordinatorv1.ReportRequest, _ ...grpc.CallOption) (*coordinatorv1.ReportResponse, error) {
	if c.link.cut {
		return nil, status.Error(codes.Unavailable, "cut")
	}
	c.link.observed = r
	return c.link.target.Report(ctx, r)
}

func (c client) Borrow(ctx context.Context, r *coordinatorv1.BorrowRequest, _ ...grpc.CallOption) (*coordinatorv1.BorrowResponse, error) {
	if c.link.cut || c.link.borrowsCut {
		return nil, status.Error(codes.Unavailable, "cut")
	}
	if during := c.link.onBorrow; during != nil {
		c.link.onBorrow = nil
		during()
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

const rate = 100_000.0 // tokens per second, as for the smaller accounts of the target deployments

var account = &traffic.Account{Name: "acme", CountTokens: true, Rate: rate, Burst: rate}

const (
	slack   = 140_000.0 // tokens
	overrun = 0.1       // share of a quota
)

func newFleet(n int) *testFleet { return newFleetOf(n, account) }

// newFleetOf returns n daemons with one account.
func newFleetOf(n int, a *traffic.Account) *testFleet { return newFleetWith(n, a, overrun) }

// newFleetWith returns n daemons with one account and an overrun of its quota, or none.
func newFleetWith(n int, a *traffic.Account, overrun float64) *testFleet {
	return newFleetFrom(n, 1, clockwork.NewFakeClock(), storetest.NewMemory(), a, overrun)
}

// newFleetFrom returns n daemons of the given incarnation that share a clock and
// a store.
func newFleetFrom(n int, incarnation int64, clock *clockwork.FakeClock, memory *storetest.Memory, account *traffic.Account, overrun float64) *testFleet {
	f := &testFleet{
		account: account, overrun: overrun, clock: clock, start: clock.Now(), store: memory, tokens: make([]int64, n), predecessors: make([]int64, n), rates: make([]float64, n),
		table: traffic.NewTable(1, nil, nil, []*traffic.Account{account}, nil, traffic.Limits{}),
	}
	log := slog.New(slog.DiscardHandler)
	for i := range n {
		guard := crashguard.New(crashguard.Config{Now: f.now, Daemons: func() int { return n }, OnChange: func(string, bool, int, []string) {}})
		f.guards = append(f.guards, guard)
		f.names = append(f.names, coordination.DaemonID(fmt.Sprintf("d%d", i), incarnation))
		config := coordination.CoordinatorConfig{
			Log: log, Token: func() int64 { return f.tokens[i] }, Predecessor: func() int64 { return f.predecessors[i] }, Table: func() *traffic.Table { return f.table },
			Crashes: guard, Now: f.now, Civil: clock.Now, Daemons: func() int { return n }, KnownDaemons: func() int { return n }, Members: func() []string { return f.names },
			Rollouts:       func() []*coordinatorv1.RolloutState { return nil },
			Slack:          func() float64 { return slack / 2 },
			AddMirrorDelta: func(*coordinatorv1.ReportRequest, *coordinatorv1.ReportResponse) {},
		}
		if overrun > 0 {
			config.Overdraft = func(a *traffic.Account) float64 { return overrun / 2 * (8*a.Rate + a.Burst) }
			config.OverdraftAfter = 8 * time.Second
			// The lease of 3 s lets three holders follow one another in 8 s.
			config.MaxInitialLevel = func(a *traffic.Account) float64 { return (overrun/2*(8*a.Rate+a.Burst) + slack) / 3 }
		}
		c := coordination.NewCoordinator(config)
		f.coordinators = append(f.coordinators, c)
		f.persisters = append(f.persisters, &coordination.UsagePersister{
			Coordinator: c, Store: f.store, Key: "counts", Token: func() int64 { return f.tokens[i] }, Log: log,
		})
		link := &testLink{}
		f.links = append(f.links, link)
		f.agents = append(f.agents, coordination.NewAgent(coordination.AgentConfig{
			Daemon: f.names[i], Log: log, Link: link, Instances: fleet.NewSet(clock, log), Daemons: func() int { return n },
			Civil: clock.Now, Now: f.now, UsageWindow: 5 * time.Second, Crashes: guard,
			SlackShare: func() float64 { return slack / 2 / float64(n) },
			Demand:     func() []*coordinatorv1.ServiceDemand { return nil },
			Evidence:   func() []*coordinatorv1.VersionEvidence { return nil },
			Rate:       func() float64 { return f.rates[i] },
			OnLost:     func() {},
			Cursors:    func() (fleet, operator *coordinatorv1.MirrorCursor) { return nil, nil },
			OnResponse: func(*coordinatorv1.ReportResponse, time.Duration) {},
		}))
	}
	for _, link := range f.links {
		link.deputy = f.coordinators[n-1]
	}
	return f
}

// restart returns the fleet after all daemons were killed and restarted.
func (f *testFleet) restart() *testFleet {
	return newFleetFrom(len(f.agents), 2, f.clock, f.store, f.account, f.overrun)
}

func (f *testFleet) now() time.Duration { return f.clock.Since(f.start) + time.Hour }

// setCoordinator makes daemon i the coordinator.
func (f *testFleet) setCoordinator(i int, token int64) {
	for j := range f.tokens {
		f.tokens[j] = 0
	}
	f.tokens[i] = token
	for _, link := range f.links {
		link.target = f.coordinators[i]
	}
}

// restoreStore restores the store from an older copy. The coordinator keeps the duty, with
// the next token.
func (f *testFleet) restoreStore() {
	for i, token := range f.tokens {
		if token != 0 {
			f.predecessors[i], f.tokens[i] = token, store.InGeneration(store.Generation(token)+1, 1)
		}
	}
}

// tick advances the clock by 125 ms and has each daemon report.
func (f *testFleet) tick(t *testing.T) {
	f.clock.Advance(125 * time.Millisecond)
	f.report(t)
}

// report has each daemon send a report and write the usage counts.
func (f *testFleet) report(t *testing.T) {
	for i, agent := range f.agents {
		agent.Report(t.Context())
		if err := f.persisters[i].Step(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
}

// demand sends long prompts that cost perSecond tokens per second in total to
// random daemons for one tick. It returns the tokens granted and requested.
func (f *testFleet) demand(t *testing.T, random *rand.Rand, perSecond float64) (granted, requested float64) {
	const cost = 12_000.0 // tokens of a long prompt
	for range int(perSecond/cost/8) + 1 {
		agent := f.agents[random.IntN(len(f.agents))]
		requested += cost
		if ok, _ := agent.Take(t.Context(), f.account, cost, false); ok {
			granted += cost
		}
	}
	f.tick(t)
	return granted, requested
}

// maxIn8s returns the maximum sum of any 64 consecutive ticks (8 s).
func maxIn8s(grants []float64) float64 {
	highest := 0.0
	for i := range grants {
		sum := 0.0
		for _, g := range grants[i:min(i+64, len(grants))] {
			sum += g
		}
		highest = max(highest, sum)
	}
	return highest
}

// allowedIn8s is the number of tokens that an account may use in any 8 s over all
// daemons.
const allowedIn8s = (rate*8+rate)*(1+overrun) + slack

// allowed is allowedIn8s for any account.
func allowed(a *traffic.Account, overrun float64) float64 {
	return (8*a.Rate+a.Burst)*(1+overrun) + slack
}

// Load pattern hot_tenant: one account requests many times its quota while the
// coordinator changes and some daemons can't reach it. Guards against granting
// more than the quota over all daemons.
func TestQuotaIsNotExceededOverAllDaemons(t *testing.T) {
	for _, n := range []int{7, 67} {
		for name, disturb := range map[string]func(*testFleet, int){
			"calm":                        func(*testFleet, int) {},
			"coordinator":                 func(f *testFleet, tick int) { rotateCoordinator(f, tick, 40) },
			"coordinator with each lease": func(f *testFleet, tick int) { rotateCoordinator(f, tick, 24) },
			"coordinator with each lease after calm": func(f *testFleet, tick int) {
				if tick > 195 {
					rotateCoordinator(f, tick, 24)
				}
			},
			"restores of the store": func(f *testFleet, tick int) {
				if tick%6 == 5 {
					f.restoreStore()
				}
			},
			"borrows cut":           func(f *testFleet, tick int) { f.cutBorrows(tick > 60) },
			"borrows fail at times": func(f *testFleet, tick int) { f.cutBorrows(tick%3 > 0) },
			"one cut":               func(f *testFleet, tick int) { f.links[1].cut = tick > 60 },
			"no coordinator, no deputy": func(f *testFleet, tick int) {
				if tick == 80 {
					for _, link := range f.links {
						link.target, link.deputy = nil, nil
					}
				}
			},
			"no coordinator for a while": func(f *testFleet, tick int) {
				if tick%60 == 20 {
					for _, link := range f.links {
						link.target = nil
					}
				}
				if tick%60 == 50 {
					f.setCoordinator(tick%len(f.agents), int64(tick+2))
				}
			},
			"two deputies": func(f *testFleet, tick int) {
				if tick == 80 {
					for i, link := range f.links {
						link.target, link.deputy = nil, f.coordinators[i%2]
					}
				}
			},
			"no coordinator": func(f *testFleet, tick int) {
				if tick == 80 {
					for _, link := range f.links {
						link.target = nil
					}
				}
			},
		} {
			for _, a := range []*traffic.Account{account, burstAccount(rate, 3.6), burstAccount(5*rate, 3.6)} {
				t.Run(fmt.Sprintf("%d daemons, rate %.0f, burst %.0f, %s", n, a.Rate, a.Burst, name), func(t *testing.T) {
					g := NewWithT(t)
					f := newFleetOf(n, a)
					f.setCoordinator(0, 1)
					random := rand.New(rand.NewPCG(1, uint64(n)))
					var grants []float64
					for tick := range 360 {
						disturb(f, tick)
						perSecond := 7 * a.Rate
						if tick > 160 && tick < 200 { // its bucket fills
							perSecond = 0
						}
						granted, _ := f.demand(t, random, perSecond)
						grants = append(grants, granted)
					}
					t.Logf("at most %.3f of what is allowed", maxIn8s(grants)/allowed(a, overrun))
					g.Expect(maxIn8s(grants)).To(BeNumerically("<=", allowed(a, overrun)))
				})
			}
		}
	}
}

// burstAccount returns an account whose burst is that many times its rate.
func burstAccount(rate, times float64) *traffic.Account {
	return &traffic.Account{Name: "acme", CountTokens: true, Rate: rate, Burst: times * rate}
}

// cutBorrows makes calls of Borrow fail while reports get through.
func (f *testFleet) cutBorrows(cut bool) {
	for _, link := range f.links {
		link.borrowsCut = cut
	}
}

func rotateCoordinator(f *testFleet, tick, interval int) {
	if tick%interval == interval-1 {
		f.setCoordinator((tick/interval+1)%len(f.agents), int64(tick+2))
	}
}

// An account uses its planned load, 0.55 of its quota, in long prompts at random
// times. Guards against refusals below the quota.
func TestAccountBelowItsQuotaIsServed(t *testing.T) {
	for _, share := range []float64{0, overrun} {
		g := NewWithT(t)
		f := newFleetWith(7, account, share)
		f.setCoordinator(0, 1)
		random := rand.New(rand.NewPCG(2, 2))
		var granted, requested float64
		for range 400 {
			if random.Float64() < 0.55*rate/8/12_000 {
				got, want := f.demand(t, random, 0)
				granted += got
				requested += want
				continue
			}
			f.tick(t)
		}
		t.Logf("overrun %.1f: %.3f granted", share, granted/requested)
		g.Expect(granted/requested).To(BeNumerically(">", 0.97), "overrun %.1f", share)
	}
}

// Load pattern hot_tenant of deployment rcb-compra-grown: an account requests
// three times its quota in long prompts, short questions and payout orders of
// 200 tokens. Guards against refusing payout orders, which need a fiftieth of
// the quota, as often as the long prompts that exhaust it, and against prompts
// larger than the burst that are never admitted.
func TestShortRequestsOfAccountOverQuotaAreServed(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(7)
	f.setCoordinator(0, 1)
	random := rand.New(rand.NewPCG(4, 2))
	kinds := []struct{ cost, share float64 }{{200, 0.02}, {2400, 0.98}, {12_400, 2}}
	const long = 2
	requested, granted := make([]float64, len(kinds)), make([]float64, len(kinds))
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
				requested[kind]++
				if ok, _ := f.agents[random.IntN(7)].Take(t.Context(), account, k.cost, false); ok {
					granted[kind]++
					tokens += k.cost
				}
			}
		}
		if step%reportEvery == reportEvery-1 {
			f.report(t)
		}
	}
	g.Expect(granted[0]/requested[0]).To(BeNumerically(">", 0.95), "payout orders")
	g.Expect(granted[long]).To(BeNumerically(">", 0), "long prompts get the remaining quota")
	g.Expect(tokens).To(BeNumerically(">", 0.9*rate*steps/perSecond), "the quota is used")
	idle := newFleet(7)
	idle.setCoordinator(0, 1)
	idle.tick(t)
	ok, _ := idle.agents[3].Take(t.Context(), account, 1.5*rate, false)
	g.Expect(ok).To(BeTrue(), "a prompt larger than the burst")
}

// An account uses 0.55 of its quota in prompts of 5,000 tokens over many daemons.
// For 4 s there is no coordinator, as after the loss of its machine. Guards
// against refusals because no single daemon's share covers a prompt.
func TestAccountIsServedWithoutCoordinator(t *testing.T) {
	for _, n := range []int{7, 62, 420} {
		g := NewWithT(t)
		f := newFleet(n)
		f.setCoordinator(0, 1)
		random := rand.New(rand.NewPCG(3, uint64(n)))
		const cost = 5000.0
		requested, granted := 0, 0
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
				ok, _ := f.agents[random.IntN(n)].Take(t.Context(), account, cost, false)
				if tick >= 128 {
					requested++
					if ok {
						granted++
					}
				}
			}
			f.tick(t)
		}
		t.Logf("%d daemons: %d of %d prompts granted", n, granted, requested)
		g.Expect(float64(granted)).To(BeNumerically(">=", 0.9*float64(requested)))
	}
}

// A client disconnects while its daemon borrows quota from the deputy. Guards
// against treating this as a failure of the deputy, which would make the daemon
// use another deputy for all requests.
func TestCancelledBorrowDoesNotExcludeDeputy(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(3)
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	f.agents[0].Take(cancelled, account, 5000, false)
	g.Expect(f.links[0].avoidCalls).To(BeZero())
	f.links[0].cut = true
	f.agents[0].Take(t.Context(), account, 5000, false)
	g.Expect(f.links[0].avoidCalls).To(Equal(1))
}

// Guards against loads of a daemon that remain in the sums after the daemon fell
// silent or no longer has any load, or after the coordinator duty was acquired
// again, and against returning a daemon's own load to it.
func TestReportReturnsLoadsOfOtherDaemons(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(3)
	f.setCoordinator(0, 1)
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
	f.setCoordinator(0, 2)
	g.Expect(report("c", 2)).To(BeEmpty())
}

// Guards against refusing the first requests of an account after a long idle
// time. In deployment tsd-ub-grown they found a bucket that was only half full.
func TestFirstBurstOfAnAccountIsServed(t *testing.T) {
	for _, share := range []float64{0, overrun} {
		g := NewWithT(t)
		f := newFleetWith(7, account, share)
		f.setCoordinator(0, 1)
		for range 80 {
			f.tick(t)
		}
		for i := range 8 {
			granted, _ := f.agents[i%7].Take(t.Context(), account, 12_000, false)
			g.Expect(granted).To(BeTrue(), "overrun %.1f", share)
		}
	}
}
