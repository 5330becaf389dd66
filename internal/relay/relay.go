package relay

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/dogwoodrudder/dogwoodrudder/internal/exchange"
	"github.com/dogwoodrudder/dogwoodrudder/internal/fleet"
	"github.com/dogwoodrudder/dogwoodrudder/internal/traffic"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/result"
)

// Configuration is the daemon's view of the configuration in force.
type Configuration interface {
	// Table returns the newest table, nil before the first.
	Table() *traffic.Table
	// Fresh reports whether the table was proved current within limit.
	Fresh(limit time.Duration) bool
}

// Quota grants requests of an account.
type Quota interface {
	// Take consumes cost. If it is refused, wait tells when it may succeed.
	Take(ctx context.Context, account *traffic.Account, cost float64) (granted bool, wait time.Duration)
	// Return gives back the cost of a request that did not run.
	Return(account *traffic.Account, cost float64)
}

// Meter counts requests that began to run.
type Meter interface{ Began(account string) }

// Budget bounds repeated attempts by service.
type Budget interface {
	Offer(service string)
	Take(service string) bool
}

// Versions decides which versions of a service may take a request.
type Versions interface {
	// Accept returns the filter for one request, nil if all versions serve.
	Accept(service, requestID string) func(version string) bool
	// Observe records the outcome of an attempt.
	Observe(service, route, version string, failed bool, latency time.Duration)
}

// Demand learns what clients ask of the services.
type Demand interface {
	// Offered records an admitted request.
	Offered(service string, prompt, shared int)
	// FirstEvent records the latency of a request that found no prompt waiting at
	// its instance.
	FirstEvent(service string, prompt, shared int, latency time.Duration)
}

// Options configure a Relay.
type Options struct {
	Clock         clockwork.Clock
	Log           *slog.Logger
	Wire          Wire
	Configuration Configuration
	Instances     *fleet.Set
	Pool          *exchange.Pool
	Quota         Quota
	Meter         Meter
	Budget        Budget
	Versions      Versions
	Demand        Demand
	DataCentre    string
	Daemons       func() int // number of daemons that use the instances
	// KeyFreshness is how old the proof of the configuration may be for a
	// request with an account key.
	KeyFreshness time.Duration
	// Received is called with each request.
	Received func()
	// Draining reports whether answers end their connections.
	Draining func() bool
	// Refusing reports whether a new request that may last until deadline is
	// refused because the process stops.
	Refusing func(deadline time.Time) bool
}

const (
	// absenceFreshness is the age of the configuration up to which the absence
	// of a route or key is told to the client as final.
	absenceFreshness = 1500 * time.Millisecond
	// defaultDeadline applies to requests that state none.
	defaultDeadline = 30 * time.Second
	// deadlineMargin is left of a deadline for the answer to travel.
	deadlineMargin = 10 * time.Millisecond
	// defaultMaxBody bounds bodies before the first configuration.
	defaultMaxBody = 4 << 20
)

// Relay is the HTTP handler of the callers' address.
type Relay struct {
	options Options
	active  atomic.Int64
	// latencies tell how long answers usually take to begin.
	latencies latencies
}

// New returns a Relay.
func New(options Options) *Relay { return &Relay{options: options} }

// Active returns the number of requests that are not refused and not finished.
func (rl *Relay) Active() int { return int(rl.active.Load()) }

// request is one client request on its way.
type request struct {
	relay    *Relay
	info     Info
	http     *http.Request
	writer   http.ResponseWriter
	body     []byte
	table    *traffic.Table
	route    *traffic.Route
	service  *traffic.Service
	account  *traffic.Account
	cost     float64
	received time.Time
	// deadline ends all attempts; it is the earlier of client deadline and route time-out.
	deadline time.Time
	byRoute  bool // the route's timeout comes before the client's deadline

	attempts int
	excluded []string
	instance string
	ran      bool // an instance may have run the request
	began    bool // counted as begun
	started  bool // the head of the answer was written
	patience *patience
	prepaid  atomic.Bool // the next attempt was taken from the retry budget
	outcome  string
}

// ServeHTTP implements http.Handler.
func (rl *Relay) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := &request{
		relay: rl, info: rl.options.Wire.Parse(r.Header), http: r, writer: w, received: rl.options.Clock.Now(),
	}
	rl.options.Received()
	if rl.options.Draining() {
		w.Header().Set("Connection", "close")
	}
	if failure := q.admit(); failure != nil {
		q.refuse(failure)
		return
	}
	rl.active.Add(1)
	defer rl.active.Add(-1)
	q.serve()
}

// admit finds route and account, reads the body and takes the quota.
func (q *request) admit() *failure {
	options := &q.relay.options
	q.table = options.Configuration.Table()
	if q.table == nil {
		return notRun(result.StoreUnavailable, "no configuration yet", startRetry)
	}
	if failure := q.findRoute(); failure != nil {
		return failure
	}
	if failure := q.findAccount(); failure != nil {
		return failure
	}
	if failure := q.readBody(); failure != nil {
		return failure
	}
	q.setDeadline()
	if options.Refusing(q.deadline) {
		return notRun(result.Draining, "the daemon stops", 0)
	}
	return q.takeQuota()
}

func (q *request) findRoute() *failure {
	path, _, _ := strings.Cut(q.http.RequestURI, "?")
	q.route = q.table.Match(q.http.Host, path)
	if q.route == nil {
		if !q.relay.options.Configuration.Fresh(absenceFreshness) {
			return notRun(result.StoreUnavailable, "the configuration may be out of date", staleRetry)
		}
		return &failure{code: result.UnknownService, status: http.StatusNotFound, detail: "no route matches"}
	}
	name := q.route.ServiceFor(q.info.ID)
	if q.service = q.table.Services[name]; q.service == nil {
		return notRun(result.NoUpstream, "service is not configured", staleRetry)
	}
	return nil
}

func (q *request) findAccount() *failure {
	if q.route.Public || !q.table.NeedKeys {
		return nil
	}
	configuration := q.relay.options.Configuration
	if !configuration.Fresh(q.relay.options.KeyFreshness) {
		return notRun(result.StoreUnavailable, "the account keys may be out of date", staleRetry)
	}
	q.account = q.table.AccountOf(q.info.Key)
	if q.account == nil {
		if !configuration.Fresh(absenceFreshness) {
			return notRun(result.StoreUnavailable, "the account keys may be out of date", staleRetry)
		}
		return &failure{code: result.Unauthenticated, status: http.StatusUnauthorized, detail: "unknown account key"}
	}
	return nil
}

func (q *request) readBody() *failure {
	if q.http.Body == nil || q.http.ContentLength == 0 {
		return nil
	}
	limit := q.table.Limits.MaxBodyBytes
	if limit <= 0 {
		limit = defaultMaxBody
	}
	body, err := io.ReadAll(http.MaxBytesReader(q.writer, q.http.Body, int64(limit)))
	switch {
	case err == nil:
		q.body = body
		return nil
	case q.http.Context().Err() != nil:
		return &failure{code: result.BadRequest, status: http.StatusBadRequest, detail: "the client left", gone: true}
	case strings.Contains(err.Error(), "too large"):
		return &failure{code: result.BodyTooLarge, status: http.StatusRequestEntityTooLarge, detail: "body too large"}
	}
	return &failure{code: result.BadRequest, status: http.StatusBadRequest, detail: "body: " + err.Error(), gone: true}
}

func (q *request) setDeadline() {
	client := q.info.Deadline
	if client <= 0 {
		client = defaultDeadline
	}
	q.deadline = q.received.Add(client - deadlineMargin)
	if limit := q.route.Timeout; limit > 0 && limit < client {
		q.deadline = q.received.Add(limit)
		q.byRoute = true
	}
}

func (q *request) takeQuota() *failure {
	if q.account == nil || q.account.Rate <= 0 {
		return nil
	}
	q.cost = 1
	if q.account.CountTokens {
		q.cost = q.account.TokenCost
		if q.info.HasTokens {
			q.cost = float64(q.info.PromptTokens + q.info.OutputTokens)
		}
	}
	granted, wait := q.relay.options.Quota.Take(q.http.Context(), q.account, q.cost)
	if granted {
		return nil
	}
	q.cost = 0
	return &failure{
		code: result.AccountLimit, status: http.StatusTooManyRequests, detail: "the account is over its quota", retry: wait,
	}
}

// remaining returns the time until the deadline.
func (q *request) remaining() time.Duration { return q.deadline.Sub(q.relay.options.Clock.Now()) }
