package crashwatch_test

import (
	"context"
	"log/slog"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/dogwoodrudder/dogwoodrudder/internal/crashwatch"
	"github.com/dogwoodrudder/dogwoodrudder/internal/exchange"
	"github.com/dogwoodrudder/dogwoodrudder/internal/fleet"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/crashguard"
)

// watched is a Watch of one instance that the test controls.
type watched struct {
	*crashwatch.Watch
	now      atomic.Int64 // time.Duration
	connects atomic.Int64
	instance fleet.Description
	onCrash  func()
	unproved bool // Alive gives no proof
}

// newWatched returns a Watch. connect gets the number of the attempt, from 1; serving the
// number of the question.
func newWatched(connect func(ctx context.Context, attempt int64) error, serving func(question int64) bool) *watched {
	w := &watched{instance: fleet.Description{ID: "i", Address: "10.0.0.1:80"}, onCrash: func() {}}
	now := func() time.Duration { return time.Duration(w.now.Load()) }
	var questions atomic.Int64
	w.Watch = crashwatch.New(crashwatch.Config{
		Log: slog.New(slog.DiscardHandler), Now: now,
		Guard: crashguard.New(crashguard.Config{
			Now: now, Daemons: func() int { return 1 }, OnChange: func(string, bool, int, []string) {},
		}),
		Connect: func(ctx context.Context, _ string) error { return connect(ctx, w.connects.Add(1)) },
		Alive: func(ctx context.Context, _ string) (bool, error) {
			err := connect(ctx, w.connects.Add(1))
			return err == nil && !w.unproved, err
		},
		Serving: func(fleet.Description) bool { return serving(questions.Add(1)) },
		OnCrash: func(fleet.Description, error) { w.onCrash() },
	})
	w.now.Store(int64(time.Minute))
	return w
}

func always(int64) bool { return true }

func never(int64) bool { return false }

func refused() error { return errors.Wrap(exchange.ErrRefused, "connect") }

// Guards against a part of a reply that counts as whole although its instance has crashed,
// and against refusing a reply without proof.
func TestVerdictOnRepliesThatEndWithTheirConnection(t *testing.T) {
	for name, c := range map[string]struct {
		connect  func(context.Context, int64) error
		serving  func(int64) bool
		want     crashwatch.Verdict
		connects int
	}{
		"alive":   {func(context.Context, int64) error { return nil }, always, crashwatch.Whole, 1},
		"crashed": {func(context.Context, int64) error { return refused() }, always, crashwatch.Refuted, 1},
		// The queue of a busy instance is full, or its link is lost.
		"no answer":                    {func(context.Context, int64) error { return errors.New("i/o timeout") }, always, crashwatch.Undecided, 1},
		"links lost":                   {func(context.Context, int64) error { return errors.Wrap(exchange.ErrLinksLost, "connect") }, always, crashwatch.Undecided, 1},
		"leaving":                      {func(context.Context, int64) error { return refused() }, never, crashwatch.Suspect, 1},
		"leaving, accepts connections": {func(context.Context, int64) error { return nil }, never, crashwatch.Whole, 1},
		"leaving meanwhile": {
			func(context.Context, int64) error { return refused() }, func(question int64) bool { return question == 1 }, crashwatch.Suspect, 1,
		},
		"hanging": {func(ctx context.Context, _ int64) error {
			<-ctx.Done()
			return ctx.Err()
		}, always, crashwatch.Undecided, 1},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			w := newWatched(c.connect, c.serving)
			began := time.Now()
			verdict, err := w.Ended(t.Context(), w.instance, 0)
			g.Expect(verdict).To(Equal(c.want))
			g.Expect(err != nil).To(Equal(c.want == crashwatch.Refuted || c.want == crashwatch.Suspect))
			g.Expect(w.connects.Load()).To(BeEquivalentTo(c.connects))
			g.Expect(time.Since(began)).To(BeNumerically("<", 600*time.Millisecond))
		})
	}
}

// A leaving instance is killed, so that all of its requests break off at once. Guards against
// taking the part of a reply for its last one, against recording a crash, and against a
// suspicion because of a request that broke off earlier.
func TestRequestsThatBreakOffTogetherRefuteAReply(t *testing.T) {
	for name, c := range map[string]struct {
		since time.Duration // from the break to the end of the reply
		want  crashwatch.Verdict
	}{"at once": {time.Millisecond, crashwatch.Refuted}, "earlier": {20 * time.Millisecond, crashwatch.Suspect}} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			crashes := 0
			w := newWatched(func(context.Context, int64) error { return refused() }, never)
			w.onCrash = func() { crashes++ }
			for _, r := range []crashguard.Request{{}, {Parts: []string{"a"}}} {
				g.Expect(w.Broke(w.instance, r).Wait(t.Context())).To(Equal(crashwatch.Unknown))
			}
			w.now.Add(int64(c.since))
			verdict, _ := w.Ended(t.Context(), w.instance, 0)
			g.Expect(verdict).To(Equal(c.want))
			g.Expect(crashes).To(BeZero())
		})
	}
}

// A leaving instance ends two replies at once. Guards against taking one for a request that
// broke off.
func TestCompletedRequestIsNoBreak(t *testing.T) {
	g := NewWithT(t)
	w := newWatched(func(context.Context, int64) error { return refused() }, never)
	w.Completed(w.instance, crashguard.Request{Parts: []string{"a"}}, false)
	verdict, _ := w.Ended(t.Context(), w.instance, 0)
	g.Expect(verdict).To(Equal(crashwatch.Suspect))
}

// Guards against taking an instance that was alive before the end of a reply for one that
// outlived it.
func TestProofOfLifeIsLaterThanTheReply(t *testing.T) {
	g := NewWithT(t)
	connecting, ended := make(chan struct{}), make(chan struct{})
	w := newWatched(func(_ context.Context, attempt int64) error {
		switch attempt {
		case 1:
			close(connecting)
			<-ended
			return nil
		case 2:
			return nil
		}
		return refused()
	}, always)
	w.Broke(w.instance, crashguard.Request{Parts: []string{"a"}})
	<-connecting
	w.now.Add(int64(time.Millisecond))
	time.AfterFunc(10*time.Millisecond, func() { close(ended) })
	verdict, _ := w.Ended(t.Context(), w.instance, 0)
	g.Expect(verdict).To(Equal(crashwatch.Refuted))
	g.Expect(w.connects.Load()).To(BeEquivalentTo(3))
}

// Guards against refusing the replies of an instance that has restarted at its address, and
// against examining an instance once more for each reply that its crash has cut off.
func TestCrashConcernsRequestsSentBefore(t *testing.T) {
	g := NewWithT(t)
	w := newWatched(func(_ context.Context, attempt int64) error {
		if attempt == 1 {
			return refused()
		}
		return nil
	}, always)
	before := time.Duration(w.now.Load())
	g.Expect(w.Broke(w.instance, crashguard.Request{Parts: []string{"a"}}).Wait(t.Context())).To(Equal(crashwatch.Crashed))
	w.now.Add(int64(time.Millisecond))
	verdict, _ := w.Ended(t.Context(), w.instance, before)
	g.Expect(verdict).To(Equal(crashwatch.Refuted))
	g.Expect(w.connects.Load()).To(BeEquivalentTo(1))

	sent := time.Duration(w.now.Load())
	w.now.Add(int64(time.Millisecond))
	verdict, _ = w.Ended(t.Context(), w.instance, sent)
	g.Expect(verdict).To(Equal(crashwatch.Whole))
}

// Guards against one connection for each of many replies that end at once.
func TestRepliesThatEndTogetherShareAProof(t *testing.T) {
	g := NewWithT(t)
	w := newWatched(func(context.Context, int64) error { return nil }, always)
	verdicts := make(chan crashwatch.Verdict)
	for range 100 {
		go func() {
			verdict, _ := w.Ended(t.Context(), w.instance, 0)
			verdicts <- verdict
		}()
	}
	for range 100 {
		g.Expect(<-verdicts).To(Equal(crashwatch.Whole))
	}
	g.Expect(w.connects.Load()).To(BeNumerically("<=", 20))
}

// The listener of a killed process accepts a connection after the end of a reply, and ends
// later. Guards against taking that for life, and against refusing the replies of an instance
// whose process leaves connections open.
func TestAcceptedConnectionIsNoProofOfLife(t *testing.T) {
	for name, c := range map[string]struct {
		then error
		want crashwatch.Verdict
	}{"ended": {refused(), crashwatch.Refuted}, "accepts": {nil, crashwatch.Whole}} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			w := newWatched(func(_ context.Context, attempt int64) error {
				if attempt == 1 {
					return nil
				}
				return c.then
			}, always)
			w.unproved = true
			verdict, _ := w.Ended(t.Context(), w.instance, 0)
			g.Expect(verdict).To(Equal(c.want))
			g.Expect(w.connects.Load()).To(BeEquivalentTo(2))
		})
	}
}

// Guards against taking a connection that is reset because its listener ends for a crash or for
// life before the next one tells, and against taking an instance that resets them for crashed.
func TestResetConnectionIsNoProof(t *testing.T) {
	for name, c := range map[string]struct {
		then     error
		want     crashwatch.Verdict
		connects int
	}{"ended": {refused(), crashwatch.Refuted, 2}, "alive": {nil, crashwatch.Whole, 2}, "resets all": {exchange.ErrReset, crashwatch.Whole, 3}} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			w := newWatched(func(_ context.Context, attempt int64) error {
				if attempt == 1 {
					return errors.Wrap(exchange.ErrReset, "connect")
				}
				return c.then
			}, always)
			w.onCrash = func() { g.Expect(c.want).To(Equal(crashwatch.Refuted)) }
			verdict, _ := w.Ended(t.Context(), w.instance, 0)
			g.Expect(verdict).To(Equal(c.want))
			g.Expect(w.connects.Load()).To(BeEquivalentTo(c.connects))
		})
	}
}

// Another request broke off at an instance after the end of a reply. Guards against taking the
// connection that its investigation made at once for a proof of life.
func TestInvestigationOfABreakIsNoProofOfLife(t *testing.T) {
	g := NewWithT(t)
	w := newWatched(func(_ context.Context, attempt int64) error {
		if attempt <= 2 { // of the break
			return nil
		}
		return refused()
	}, always)
	w.Broke(w.instance, crashguard.Request{Parts: []string{"a"}})
	verdict, _ := w.Ended(t.Context(), w.instance, 0)
	g.Expect(verdict).To(Equal(crashwatch.Refuted))
	g.Expect(w.connects.Load()).To(BeEquivalentTo(3))
}
