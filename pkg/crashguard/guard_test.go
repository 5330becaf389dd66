package crashguard_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/dogwoodrudder/dogwoodrudder/pkg/crashguard"
)

// fleet is a group of guards on one clock.
type fleet struct {
	now     time.Duration
	guards  []*crashguard.Guard
	crashes uint64
}

func newFleet(n int) *fleet {
	f := &fleet{now: time.Hour}
	for range n {
		f.guards = append(f.guards, crashguard.New(crashguard.Config{
			Now: func() time.Duration { return f.now }, Daemons: func() int { return n },
			OnChange: func(string, bool, int, []string) {},
		}))
	}
	return f
}

func request(account string, parts ...string) crashguard.Request {
	return crashguard.Request{Service: "s", Account: account, Parts: parts}
}

// crash ends an instance that runs requests, a second after the event before.
func (f *fleet) crash(guard int, requests ...crashguard.Request) {
	f.now += time.Second
	f.crashes++
	for i := range requests {
		requests[i].Sent = f.now - 100*time.Millisecond
	}
	f.guards[guard].Crashed(f.crashes, f.now, requests)
}

// exchange makes each guard know what any of them knows. In the third round the first
// guard learns what the others know of parts that they heard of in the second one.
func (f *fleet) exchange() {
	hub := f.guards[0]
	for range 4 {
		for _, g := range f.guards[1:] {
			state, _ := g.Export()
			hub.Merge(state)
			state, _ = hub.Export()
			g.Merge(state)
		}
	}
}

func (f *fleet) refuses(guard int, r crashguard.Request) bool {
	refused, _ := f.guards[guard].Refuses(r, false)
	return refused
}

// Guards against crashes that no single daemon sees often enough, against refusing sound
// requests of the same account and first part, and against letting through a dangerous one
// at a daemon that has seen no crash.
func TestPartIsRefusedAfterCrashesAtSeveralDaemons(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(4)
	for i := range 3 {
		g.Expect(f.refuses(3, request("a", "first", "deadly"))).To(BeFalse())
		f.crash(i, request("a", "first", "deadly"), request("b", "first", fmt.Sprint("sound", i)))
		f.guards[i].Completed(request("a", "first", fmt.Sprint("other", i)))
		f.exchange()
	}
	g.Expect(f.refuses(3, request("a", "first", "deadly"))).To(BeTrue())
	g.Expect(f.refuses(3, request("a", "first", "new"))).To(BeFalse())
	g.Expect(f.refuses(3, request("a", "deadly"))).To(BeTrue(), "whatever else it holds")
	other := request("a", "deadly")
	other.Service = "other"
	g.Expect(f.refuses(3, other)).To(BeFalse(), "its instances run something else")
}

// Guards against a rule that holds for one part at a time.
func TestSeveralPartsAreRefusedAtOnce(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(1)
	for i := range 9 {
		f.crash(0, request(fmt.Sprint("a", i), "first", fmt.Sprint("deadly", i%3)))
		f.guards[0].Completed(request("a", "first"))
	}
	for i := range 3 {
		g.Expect(f.refuses(0, request("a", fmt.Sprint("deadly", i)))).To(BeTrue())
	}
	g.Expect(f.refuses(0, request("a", "first"))).To(BeFalse())
}

// A part that many sound requests share, and that has not completed yet when the first
// instances crash, for example after a loss of power. Guards against refusing them all.
func TestPartsThatAreAlwaysTogetherAreRefusedTogether(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(1)
	for i := range 3 {
		f.crash(0, request(fmt.Sprint("a", i), "shared", "deadly"))
	}
	g.Expect(f.refuses(0, request("b", "shared", "deadly"))).To(BeTrue())
	g.Expect(f.refuses(0, request("b", "shared", "sound"))).To(BeFalse(), "either of the two may be the cause")
	f.guards[0].Completed(request("b", "shared", "sound"))
	g.Expect(f.refuses(0, request("b", "deadly"))).To(BeTrue(), "the other one is sound")
}

// Requests whose own text crashes instances. Guards against a caller that gets the sound
// requests of another one refused by sharing its parts, also while none of these completes.
func TestCallerCannotGetRequestsOfOthersRefused(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(1)
	for i := range 8 {
		broken := []crashguard.Request{request("attacker", "shared")}
		if i%2 == 0 {
			broken = append(broken, request("victim", "shared"))
		}
		f.crash(0, broken...)
	}
	g.Expect(f.refuses(0, request("attacker", "shared"))).To(BeTrue())
	g.Expect(f.refuses(0, request("victim", "shared"))).To(BeFalse())
	g.Expect(f.refuses(0, request("third", "shared"))).To(BeFalse())
	f.crash(0, request("third", "shared"))
	g.Expect(f.refuses(0, request("victim", "shared"))).To(BeTrue(), "it isn't due to one caller")
}

// Guards against refusing what ran on instances that ended at once for another reason.
func TestCommonCauseCountsOnce(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(1)
	for i := range 10 {
		r := request(fmt.Sprint(i), "part")
		r.Sent = f.now - time.Second
		f.guards[0].Crashed(uint64(i), f.now+time.Duration(i)*5*time.Millisecond, []crashguard.Request{r})
	}
	g.Expect(f.refuses(0, request("x", "part"))).To(BeFalse())
	for i := range 2 {
		// Sent after the crash before: these instances ended because of it.
		r := request(fmt.Sprint(i), "part")
		r.Sent = f.now + time.Duration(i)*20*time.Millisecond + 50*time.Millisecond
		f.guards[0].Crashed(uint64(20+i), r.Sent+5*time.Millisecond, []crashguard.Request{r})
	}
	g.Expect(f.refuses(0, request("x", "part"))).To(BeTrue())
}

// Guards against refusing a part that requests complete with between crashes, and one
// that has completed before after as few crashes as an unknown one.
func TestCompletedPartsNeedMoreEvidence(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(2)
	f.guards[1].Completed(request("a", "part"))
	for range 4 {
		f.crash(0, request("a", "part"), request("b", "part"))
		f.exchange()
	}
	g.Expect(f.refuses(0, request("a", "part"))).To(BeFalse(), "another daemon knows that it has completed")
	f.guards[1].Completed(request("a", "part"))
	f.exchange()
	for range 5 {
		f.crash(0, request("a", "part"), request("b", "part"))
	}
	g.Expect(f.refuses(0, request("a", "part"))).To(BeFalse())
	f.crash(0, request("a", "part"), request("b", "part"))
	g.Expect(f.refuses(0, request("a", "part"))).To(BeTrue(), "it crashes instances since a change")
}

// Guards against repeats that take an instance each before the part is refused.
func TestRequestIsNotRepeatedAfterTwoCrashes(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(1)
	f.crash(0, request("a", "part"))
	repeated, _ := f.guards[0].Refuses(request("a", "part"), true)
	g.Expect(repeated).To(BeFalse(), "most requests at a crash have not caused it")
	f.crash(0, request("a", "part"))
	repeated, _ = f.guards[0].Refuses(request("a", "part"), true)
	g.Expect(repeated).To(BeTrue())
	g.Expect(f.refuses(0, request("a", "part"))).To(BeFalse())
}

// Guards against a part that stays refused for ever although it has become sound, and
// against trials by each daemon of a large fleet.
func TestRefusedPartIsTried(t *testing.T) {
	g := NewWithT(t)
	const daemons = 100
	f := newFleet(daemons)
	for i := range 3 {
		f.crash(0, request(fmt.Sprint(i), "part"))
	}
	f.exchange()
	tried := func(span time.Duration) int {
		count := 0
		for range span / time.Second {
			f.now += time.Second
			for i := range daemons {
				if !f.refuses(i, request("a", "part")) {
					count++
				}
			}
		}
		return count
	}
	g.Expect(tried(55 * time.Second)).To(BeZero())
	g.Expect(tried(20 * time.Minute)).To(BeNumerically("~", 10, 9))
	f.guards[7].Completed(request("a", "part"))
	f.exchange()
	for i := range daemons {
		g.Expect(f.refuses(i, request("a", "part"))).To(BeFalse())
	}
}

// Guards against state that grows with what callers send, and against a caller that
// displaces the parts of others.
func TestStateIsBounded(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(2)
	for i := range 3 {
		f.crash(0, request(fmt.Sprint("a", i), "deadly"))
	}
	for i := range 300 {
		var parts []string
		for k := range 64 {
			parts = append(parts, fmt.Sprint(i, "-", k))
		}
		f.crash(0, request("flood", parts...))
	}
	f.exchange()
	for _, guard := range f.guards {
		state, _ := guard.Export()
		g.Expect(len(state)).To(BeNumerically("<=", 256))
	}
	g.Expect(f.guards[1].Quarantined()).To(Equal(1))
	f.now += 2 * time.Hour
	g.Expect(f.guards[0].Digest()).To(BeZero())
	g.Expect(f.guards[0].Quarantined()).To(BeZero())
}

// Guards against states that depend on the order of the exchanges or on who begins them,
// so that a new coordinator would know something else than its predecessor.
func TestExchangesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(3)
		part := rapid.SampledFrom([]string{"p", "q", "r", "s"})
		account := rapid.SampledFrom([]string{"a", "b", ""})
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			guard := rapid.IntRange(0, 2).Draw(t, "guard")
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				f.guards[guard].Completed(request(account.Draw(t, "account"), part.Draw(t, "part")))
			case 1:
				state, _ := f.guards[guard].Export()
				f.guards[rapid.IntRange(0, 2).Draw(t, "to")].Merge(state)
			default:
				f.crash(guard, request(account.Draw(t, "account"), part.Draw(t, "part"), part.Draw(t, "part")))
			}
		}
		f.exchange()
		for _, guard := range f.guards[1:] {
			if guard.Digest() != f.guards[0].Digest() {
				t.Fatalf("digests %x and %x after the exchange", guard.Digest(), f.guards[0].Digest())
			}
		}
		r := request("a", "p")
		first, _ := f.guards[0].Refuses(r, true)
		for _, guard := range f.guards[1:] {
			if other, _ := guard.Refuses(r, true); other != first {
				t.Fatal("guards with one state decide differently")
			}
		}
	})
}
