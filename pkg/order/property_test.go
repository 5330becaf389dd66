package order

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"

	"github.com/dogwoodrudder/dogwoodrudder/pkg/result"
)

// skewedClock is a clock that can be set back, which clockwork's fake clock does
// not support.
type skewedClock struct {
	clockwork.Clock
	now time.Time
}

func (c *skewedClock) Now() time.Time { return c.now }

type stage int

const (
	stageBegun stage = iota
	stageMarked
	stageInTransit // written, not yet received by the upstream
	stageExecuted
	stageRefused
	stageOrphan // still in transit after its attempt has finished as unknown
)

type modelAttempt struct {
	daemon   int
	key      Key
	ticket   Ticket
	deadline time.Time
	stage    stage
	finished bool
}

type modelMessage struct {
	to   int
	part Part
}

// model simulates several ledgers, the transfers between them and an upstream that
// counts executions. An attempt without further steps stands for a paused
// process. A crashed daemon makes no more steps, but requests that it wrote may
// still arrive.
type model struct {
	t           *rapid.T
	clocks      []*skewedClock
	ledgers     []*Ledger
	crashed     []bool
	keys        []Key
	attempts    []*modelAttempt
	waiting     []Ticket
	waitKeys    []Key
	messages    []modelMessage
	executed    map[string]int
	reportedRan int
}

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newModel(t *rapid.T, daemons int) *model {
	// Only some daemons own keys: with one owner, all steps concern the same keys
	// and their transfers.
	owners := rapid.IntRange(1, daemons).Draw(t, "owners")
	w := &model{t: t, executed: make(map[string]int), crashed: make([]bool, daemons)}
	for i := range daemons {
		c := &skewedClock{Clock: clockwork.NewFakeClockAt(epoch), now: epoch}
		l, err := NewLedger(daemonName(i), c, DefaultLimits())
		if err != nil {
			t.Fatal(err)
		}
		w.clocks, w.ledgers = append(w.clocks, c), append(w.ledgers, l)
		for k := range 2 {
			if i >= owners {
				break
			}
			w.keys = append(w.keys, Key{
				Token: Token{DaemonID: daemonName(i), Expires: epoch.Add(time.Duration(40+60*k) * time.Second)},
				Text:  fmt.Sprintf("%s.%d", daemonName(i), k),
			})
		}
	}
	return w
}

func daemonName(i int) string { return fmt.Sprintf("d%d", i) }

func (w *model) daemon() int {
	d := rapid.IntRange(0, len(w.ledgers)-1).Draw(w.t, "daemon")
	if w.crashed[d] {
		w.t.Skip("crashed")
	}
	return d
}

func (w *model) attempt(stages ...stage) *modelAttempt {
	var eligible []*modelAttempt
	for _, a := range w.attempts {
		for _, s := range stages {
			if !a.finished && a.stage == s && (!w.crashed[a.daemon] || s == stageInTransit || s == stageOrphan) {
				eligible = append(eligible, a)
			}
		}
	}
	if len(eligible) == 0 {
		w.t.Skip("no attempt")
	}
	return eligible[rapid.IntRange(0, len(eligible)-1).Draw(w.t, "attempt")]
}

// checkReport compares the execution that a caller is told with the number of
// executions so far.
func (w *model) checkReport(key Key, x result.Execution, what string) {
	switch n := w.executed[key.Text]; {
	case x == result.NotRun && n != 0:
		w.t.Fatalf("%s says not run for %s, executed %d times", what, key.Text, n)
	case x == result.Ran && n != 1:
		w.t.Fatalf("%s says ran for %s, executed %d times", what, key.Text, n)
	case x == result.Ran:
		w.reportedRan++
	}
}

func (w *model) begin(*rapid.T) {
	d := w.daemon()
	key := w.keys[rapid.IntRange(0, len(w.keys)-1).Draw(w.t, "key")]
	ticket, err := w.ledgers[d].Begin(key, "account", [32]byte{1})
	if err != nil {
		w.checkReport(key, result.From(err).Execution, "Begin error")
		return
	}
	switch ticket.Decision {
	case Start:
		seconds := rapid.IntRange(1, 60).Draw(w.t, "deadline")
		w.attempts = append(w.attempts, &modelAttempt{
			daemon: d, key: key, ticket: ticket,
			deadline: w.clocks[d].now.Add(time.Duration(seconds) * time.Second),
		})
	case Wait:
		w.waiting, w.waitKeys = append(w.waiting, ticket), append(w.waitKeys, key)
	case Replay:
		w.checkReport(key, ticket.Outcome.Execution, "Replay")
	}
}

func (w *model) markSent(*rapid.T) {
	a := w.attempt(stageBegun)
	if err := w.ledgers[a.daemon].MarkSent(a.ticket, a.deadline); err != nil {
		w.checkReport(a.key, result.From(err).Execution, "MarkSent error")
		return
	}
	if !w.clocks[a.daemon].now.Before(a.deadline) {
		w.t.Fatal("MarkSent allowed a send after the deadline")
	}
	a.stage = stageMarked
}

func (w *model) write(*rapid.T) { w.attempt(stageMarked).stage = stageInTransit }

func (w *model) arrive(*rapid.T) {
	a := w.attempt(stageInTransit, stageOrphan)
	a.finished = a.stage == stageOrphan
	if rapid.IntRange(0, 3).Draw(w.t, "refuse") == 0 {
		a.stage = stageRefused
		return
	}
	a.stage = stageExecuted
	w.executed[a.key.Text]++
	if n := w.executed[a.key.Text]; n > 1 {
		w.t.Fatalf("%s was executed %d times", a.key.Text, n)
	}
}

func (w *model) finish(*rapid.T) {
	a := w.attempt(stageBegun, stageMarked, stageInTransit, stageExecuted, stageRefused)
	if w.crashed[a.daemon] {
		w.t.Skip("crashed")
	}
	outcome := Outcome{Execution: result.NotRun, Code: result.UpstreamRefused}
	switch a.stage {
	case stageInTransit:
		// The reply is lost while the request may still arrive.
		outcome = Outcome{Execution: result.Unknown, Code: result.OrderOutcomeUnknown}
	case stageExecuted:
		outcome = Outcome{Execution: result.Ran, Response: &Response{Status: 200}}
		if rapid.Bool().Draw(w.t, "reply lost") {
			outcome = Outcome{Execution: result.Unknown, Code: result.OrderOutcomeUnknown}
		}
	}
	got, err := w.ledgers[a.daemon].Finish(a.ticket, outcome)
	if err != nil {
		w.t.Fatal(err)
	}
	w.checkReport(a.key, got.Execution, "Finish")
	a.finished = a.stage != stageInTransit
	if !a.finished {
		a.stage = stageOrphan
	}
}

// execute runs one key through all steps at once, so that short runs of the test
// reach more states.
func (w *model) execute(*rapid.T) {
	d := w.daemon()
	key := w.keys[rapid.IntRange(0, len(w.keys)-1).Draw(w.t, "key")]
	ticket, err := w.ledgers[d].Begin(key, "account", [32]byte{1})
	if err != nil || ticket.Decision != Start || w.ledgers[d].MarkSent(ticket, time.Time{}) != nil {
		w.t.Skip("not executable here")
	}
	if w.executed[key.Text]++; w.executed[key.Text] > 1 {
		w.t.Fatalf("%s was executed again", key.Text)
	}
	got, err := w.ledgers[d].Finish(ticket, Outcome{Execution: result.Ran, Response: &Response{Status: 200}})
	if err != nil {
		w.t.Fatal(err)
	}
	w.checkReport(key, got.Execution, "Finish")
}

func (w *model) freeze(*rapid.T) { w.ledgers[w.daemon()].Freeze() }

// handOver queues a transfer to another daemon. An incomplete transfer lacks half
// of its entries and isn't marked as Last.
func (w *model) handOver(*rapid.T) {
	d := w.daemon()
	parts, err := w.ledgers[d].Export()
	if err != nil {
		w.t.Skip("not frozen")
	}
	to := rapid.IntRange(0, len(w.ledgers)-1).Draw(w.t, "to")
	incomplete := rapid.Bool().Draw(w.t, "cut")
	if !incomplete && (to == d || w.ledgers[d].CommitSuccessor(daemonName(to)) != nil) {
		w.t.Skip("another successor")
	}
	for _, p := range parts {
		if incomplete {
			p.Last = false
			p.Entries = p.Entries[:len(p.Entries)/2]
		}
		w.messages = append(w.messages, modelMessage{to: to, part: p})
	}
}

func (w *model) sendLate(*rapid.T) {
	d := w.daemon()
	parts := w.ledgers[d].TakeLate()
	for to := range w.ledgers {
		if w.ledgers[d].Successor() != daemonName(to) {
			continue
		}
		for _, p := range parts {
			w.messages = append(w.messages, modelMessage{to: to, part: p})
		}
		if rapid.Bool().Draw(w.t, "acknowledgement lost") {
			w.ledgers[d].RequeueLate(parts)
		}
		return
	}
	w.ledgers[d].RequeueLate(parts)
}

// deliver imports one of the queued messages and keeps it in the queue, so that
// it may be delivered again.
func (w *model) deliver(*rapid.T) {
	if len(w.messages) == 0 {
		w.t.Skip("no message")
	}
	m := w.messages[rapid.IntRange(0, len(w.messages)-1).Draw(w.t, "message")]
	if !w.crashed[m.to] {
		_ = w.ledgers[m.to].Import(m.part)
	}
}

func (w *model) crash(*rapid.T) {
	if rapid.IntRange(0, 4).Draw(w.t, "rare") == 0 {
		w.crashed[w.daemon()] = true
	}
}

// markUnknown is also called for daemons that are alive, because failure
// detection can be wrong.
func (w *model) markUnknown(*rapid.T) {
	d := w.daemon()
	w.ledgers[d].MarkUnknown(daemonName(rapid.IntRange(0, len(w.ledgers)-1).Draw(w.t, "dead")))
}

func (w *model) passTime(*rapid.T) {
	d := w.daemon()
	w.clocks[d].now = w.clocks[d].now.Add(time.Duration(rapid.IntRange(-20, 30).Draw(w.t, "seconds")) * time.Second)
}

// checkWaiters verifies outcomes in the step that settles them.
func (w *model) checkWaiters(*rapid.T) {
	for i := 0; i < len(w.waiting); i++ {
		select {
		case <-w.waiting[i].attempt.done:
			w.checkReport(w.waitKeys[i], w.waiting[i].attempt.outcome.Execution, "Wait")
			w.waiting = append(w.waiting[:i], w.waiting[i+1:]...)
			w.waitKeys = append(w.waitKeys[:i], w.waitKeys[i+1:]...)
			i--
		default:
		}
	}
}

// Guards against a second execution of a key and against reporting a wrong
// execution to a caller, in any interleaving of sends, freezes, transfers,
// losses, pauses, crashes and clock steps.
func TestLedgersExecuteAtMostOnce(t *testing.T) {
	ran := 0
	rapid.Check(t, func(t *rapid.T) {
		w := newModel(t, 4)
		t.Repeat(map[string]func(*rapid.T){
			"begin": w.begin, "begin2": w.begin, "execute": w.execute, "mark sent": w.markSent, "write": w.write,
			"arrive": w.arrive, "finish": w.finish, "freeze": w.freeze, "hand over": w.handOver,
			"hand over2": w.handOver, "late": w.sendLate, "deliver": w.deliver, "deliver2": w.deliver,
			"crash": w.crash, "abandon": w.markUnknown, "time": w.passTime, "": w.checkWaiters,
		})
		ran += w.reportedRan
	})
	if ran == 0 {
		t.Error("no run of the property reported an executed order")
	}
}
