package relay

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"

	"github.com/dogwoodrudder/dogwoodrudder/internal/fleet"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/admission"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/object"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/result"
)

const (
	// urgentSlotShare is the share of a service's slots that is kept for requests that
	// don't wait: those that arrive before a load is known to all daemons.
	urgentSlotShare = 1.0 / 16
	// roomInterval is the time between two looks at the loads of a service, about the time
	// in which an instance takes in a short prompt.
	roomInterval = 20 * time.Millisecond
	// maxHeld bounds the requests of a service that wait at a daemon.
	maxHeld = 256
	// heldMemoryShare is the share of the request memory that the bodies of held requests
	// may use, so that those of urgent ones are still read.
	heldMemoryShare = 0.5
	// gateRetention is the time without requests after which the gate of a service is
	// dropped.
	gateRetention = time.Minute
	// overdueInterval is the time in which urgentSlotShare of the daemon's part of the slots
	// goes to requests that wait, also while urgent ones take them all, so that no route
	// starves. It is about the time between two reports of loads.
	overdueInterval = 250 * time.Millisecond
	// retrySpread is the part of the objective over which the returns of refused callers are
	// spread.
	retrySpread = 0.25
	// longEpisode is the time of waiting from which on it is logged.
	longEpisode = time.Second
)

// gates hold the requests that yield to more urgent ones, by service.
type gates struct {
	mu        sync.Mutex
	byService map[string]*gate
	heldBytes atomic.Int64 // bodies of the requests that wait
}

// gate holds the requests of one service while it has no room. It implements
// admission.Room; mu guards the fields below it.
type gate struct {
	relay      *Relay
	service    string
	controller *admission.Controller
	sweeping   atomic.Bool
	refused    atomic.Int64

	mu       sync.Mutex
	room     fleet.Room
	lookedAt time.Time // when room was read
	taken    int       // requests started since, or not placed yet
	pending  int       // requests started that are not placed at an instance yet
	limit    int       // requests that this daemon may have at the instances until the next report
	overdue  float64   // requests that may start beyond the limit
}

func (rl *Relay) gate(service string) *gate {
	g := &rl.gates
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.byService == nil {
		g.byService = map[string]*gate{}
	}
	if g.byService[service] == nil {
		for name, old := range g.byService {
			if old.idle() {
				delete(g.byService, name)
			}
		}
		created := &gate{relay: rl, service: service}
		created.controller = admission.New(admission.Config{
			Clock: rl.options.Clock, Capacity: math.MaxInt32, QueueLimit: maxHeld, Room: created,
		})
		g.byService[service] = created
	}
	return g.byService[service]
}

// idle reports whether the gate has had no requests for gateRetention.
func (g *gate) idle() bool {
	if stats := g.controller.Stats(); stats.InUse > 0 || stats.Waiting > 0 {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.lookedAt.IsZero() && g.relay.options.Clock.Since(g.lookedAt) > gateRetention
}

// look reads the room if that known is too old. With each report of loads, all daemons
// see the same free slots: each may take its part of them until the next one, and use
// again what it frees meanwhile. If slots come or go between two reports, only its part of
// these is added or taken away. The caller holds the lock.
func (g *gate) look() {
	now := g.relay.options.Clock.Now()
	elapsed := now.Sub(g.lookedAt)
	if !g.lookedAt.IsZero() && elapsed < roomInterval {
		return
	}
	before, share := g.room, g.relay.options.LoadShare()
	first := g.lookedAt.IsZero()
	g.room, g.lookedAt, g.taken = g.relay.options.Instances.Room(g.service), now, g.pending
	switch {
	case first || g.room.Report != before.Report:
		// Where more runs than there are slots, each daemon lets its part of it end first.
		spare := (1-urgentSlotShare)*float64(g.room.Slots) - float64(g.room.Running)
		g.limit = g.room.Own + roundAtRandom(spare*share)
	case g.room.Slots != before.Slots:
		g.limit += roundAtRandom((1 - urgentSlotShare) * float64(g.room.Slots-before.Slots) * share)
	}
	if first || g.room.Own+g.taken < g.limit {
		g.overdue = 0
		return
	}
	part := urgentSlotShare * float64(g.room.Slots) * share
	// Where nothing waited, nothing looked.
	g.overdue += part * min(elapsed, 2*roomInterval).Seconds() / overdueInterval.Seconds()
	g.overdue = min(g.overdue, max(part, 1))
}

// roundAtRandom rounds down or up, to x on average.
func roundAtRandom(x float64) int {
	n := int(math.Floor(x))
	if rand.Float64() < x-math.Floor(x) {
		n++
	}
	return n
}

// Free implements admission.Room. Without any instance, requests don't wait: that none
// can be picked is found out at once. Nor do they before the first report of loads.
func (g *gate) Free() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.look()
	return g.room.Instances == 0 || g.room.Report == 0 || g.room.Own+g.taken < g.limit || g.overdue >= 1
}

// Take implements admission.Room.
func (g *gate) Take() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.room.Own+g.taken >= g.limit && g.overdue >= 1 {
		g.overdue--
	}
	g.taken++
	g.pending++
}

// placed records that a request for which Take was called counts at an instance, or that
// it has ended.
func (g *gate) placed() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pending--
}

// untake records that a request for which Take was called is not sent.
func (g *gate) untake() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pending--
	g.taken = max(g.taken-1, 0)
}

// describe returns the inputs of a decision for the log.
func (g *gate) describe() string {
	waiting, wait := g.controller.Stats().Waiting, g.controller.QueueTime()
	g.mu.Lock()
	defer g.mu.Unlock()
	return fmt.Sprintf("%d requests for %d slots at %d instances, %d prompt tokens and %d requests wait, for %d ms",
		g.room.Running, g.room.Slots, g.room.Instances, g.room.PrefillTokens, waiting, wait.Milliseconds())
}

// watch wakes requests that wait until none does. It is started with the first.
func (g *gate) watch() {
	if !g.sweeping.CompareAndSwap(false, true) {
		return
	}
	go func() {
		clock, started, refused := g.relay.options.Clock, g.relay.options.Clock.Now(), g.refused.Load()
		for g.controller.Stats().Waiting > 0 {
			clock.Sleep(roomInterval)
			g.controller.Sweep()
		}
		if age := clock.Since(started); age >= longEpisode {
			g.relay.options.Log.Info("requests no longer wait for room", "service", g.service, "age", age, "refused", g.refused.Load()-refused)
		}
		g.sweeping.Store(false)
		if g.controller.Stats().Waiting > 0 { // one came between the two looks
			g.watch()
		}
	}()
}

// awaitRoom holds a request that yields to more urgent ones while its service has no
// room. It returns the problem if the request can't be on time any more.
func (q *request) awaitRoom() *problem {
	if !q.table.Yields(q.route, q.service.Name, q.priority()) {
		return nil
	}
	g := q.relay.gate(q.service.Name)
	account := ""
	if q.account != nil {
		account = q.account.Name
	}
	onTime := q.received.Add(q.route.Objective)
	if q.deadline.Before(onTime) {
		onTime = q.deadline
	}
	ctx, cancel := context.WithCancelCause(q.http.Context())
	defer cancel(nil)
	defer context.AfterFunc(q.relay.ending, func() { cancel(errStopped) })()
	decided := make(chan error, 1)
	entered := q.relay.options.Clock.Now()
	waiter := g.controller.Submit(admission.Request{
		Account: account, Class: object.ClassShort, Priority: -q.priority(), Deadline: onTime, Cost: float64(q.info.PromptTokens),
	}, func(t *admission.Ticket, err error) {
		q.ticket = t
		decided <- err
	})
	var err error
	held := false
	select {
	case err = <-decided:
	default:
		held = true
		size := int64(charge(cap(q.body.data)))
		defer q.relay.gates.heldBytes.Add(-size)
		if total := q.relay.gates.heldBytes.Add(size); !q.relay.options.RequestMemory.allows(total, heldMemoryShare) {
			waiter.Cancel(result.New(result.Overloaded, result.NotRun, "held requests use %d bytes", total))
		}
		g.watch()
		select {
		case err = <-decided:
		case <-ctx.Done():
			waiter.Cancel(context.Cause(ctx))
			err = <-decided
		}
		observeHeld(g.service, q.relay.options.Clock.Since(entered))
	}
	switch {
	case err == nil && !held:
		return nil
	case err == nil:
		p := q.checkAllowed()
		if p != nil {
			q.giveBackRoom()
		}
		return p
	case errors.Is(err, errStopped):
		return q.daemonStopped()
	case q.http.Context().Err() != nil:
		return &problem{code: result.OK, status: statusClientGone, detail: "the client closed the connection", clientGone: true}
	}
	g.refused.Add(1)
	q.relay.options.Demand.Offered(q.service.Name, q.info.PromptTokens, q.info.SharedTokens)
	p := &problem{code: result.Overloaded, status: http.StatusServiceUnavailable, detail: result.NoRoomPrefix + g.describe()}
	if failure := (*result.Error)(nil); errors.As(err, &failure) && failure.Code == result.DeadlineTooShort {
		p.code = result.DeadlineTooShort
	}
	// Up to the route's objective later, so that callers don't return at once.
	p.retryAfter = max(busyRetryAfter, g.controller.QueueTime()) + time.Duration(rand.Float64()*retrySpread*float64(q.route.Objective))
	countHeldRefused(g.service, int(p.code))
	return p
}

// giveBackRoom ends the ticket of a request that won't be sent, and frees its place.
func (q *request) giveBackRoom() {
	if q.ticket == nil {
		return
	}
	q.placed = true
	q.relay.gate(q.service.Name).untake()
	q.ticket.Fail()
}

// place tells the gate once that the request counts at an instance, or that none took it.
func (q *request) place() {
	if q.ticket == nil || q.placed {
		return
	}
	q.placed = true
	q.relay.gate(q.service.Name).placed()
}

// endTicket tells the gate that the request has ended.
func (q *request) endTicket() {
	if q.ticket == nil {
		return
	}
	q.place()
	if q.responding.Load() {
		q.ticket.Done()
		return
	}
	q.ticket.Fail()
}

func observeHeld(service string, wait time.Duration) {
	metrics.GetOrCreateHistogram(fmt.Sprintf("rudder_admission_wait_seconds{service=%q}", service)).Update(wait.Seconds())
}

func countHeldRefused(service string, code int) {
	metrics.GetOrCreateCounter(fmt.Sprintf("rudder_admission_refused_total{service=%q,code=\"%d\"}", service, code)).Inc()
}
