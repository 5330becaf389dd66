package relay

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"github.com/dogwoodrudder/dogwoodrudder/internal/crashwatch"
	"github.com/dogwoodrudder/dogwoodrudder/internal/exchange"
	"github.com/dogwoodrudder/dogwoodrudder/internal/fleet"
	"github.com/dogwoodrudder/dogwoodrudder/internal/traffic"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/admission"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/crashguard"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/result"
)

// Configuration is the daemon's copy of the configuration.
type Configuration interface {
	// Table returns the newest table, or nil if none was read yet.
	Table() *traffic.Table
	// Fresh reports whether the table was known to be current at some time within
	// the last maxAge.
	Fresh(maxAge time.Duration) bool
}

// Quota limits the requests of an account.
type Quota interface {
	// Take consumes cost. If it is not granted, wait is the time after which it
	// may be. yields tells that more urgent requests of the account come first.
	Take(ctx context.Context, account *traffic.Account, cost float64, yields bool) (granted bool, wait time.Duration)
	// Return gives back the cost of a request that did not run.
	Return(account *traffic.Account, cost float64)
}

// Meter counts the requests of an account that have started to run.
type Meter interface{ RequestStarted(account string) }

// RetryBudget limits the retries of a service in proportion to its requests.
type RetryBudget interface {
	// AddRequest records a request.
	AddRequest(service string)
	// Take consumes one retry and reports whether it was granted.
	Take(service string) bool
}

// Versions decides which versions of a service may take a request.
type Versions interface {
	// Accept returns the filter for one request, or nil if any version may take it.
	Accept(service, requestID string) func(version string) bool
	// Completed records the time from the sending of a request to the end of its complete
	// answer.
	Completed(service, route, version string, duration time.Duration)
	// Observe records the outcome of an attempt.
	Observe(service, route, version string, failed bool, latency time.Duration)
}

// Demand estimates the load that clients offer to the services.
type Demand interface {
	// Offered records an admitted request.
	Offered(service string, promptTokens, sharedTokens int)
	// FirstEvent records the time to the first event of a request whose instance
	// had no other prompt waiting.
	FirstEvent(service string, promptTokens, sharedTokens int, latency time.Duration)
}

// Crashes keeps requests from instances that crash on parts of their prompts.
type Crashes interface {
	// Refuses reports whether a request must not be sent, and the time after which another
	// one like it may be. repeat tells that it has broken off at an instance before.
	Refuses(r crashguard.Request, repeat bool) (refused bool, retryAfter time.Duration)
	// Broke records a request whose connection to an instance ended without a complete
	// reply, and finds out whether the instance crashed.
	Broke(instance fleet.Description, r crashguard.Request) *crashwatch.Investigation
	// Completed records a request whose reply has ended without an error. proved tells
	// that the instance has certainly not crashed before.
	Completed(instance fleet.Description, r crashguard.Request, proved bool)
	// Ended judges a reply to a request sent at a time, on the boot clock, that has just
	// ended with its connection. The error is why it is refuted.
	Ended(ctx context.Context, instance fleet.Description, sent time.Duration) (crashwatch.Verdict, error)
}

// Options configure a Relay.
type Options struct {
	Clock         clockwork.Clock
	Log           *slog.Logger
	Headers       HeaderCodec
	Configuration Configuration
	Instances     *fleet.Set
	Pool          *exchange.Pool
	Quota         Quota
	Meter         Meter
	RetryBudget   RetryBudget
	Versions      Versions
	Demand        Demand
	Crashes       Crashes
	// Evacuated reports whether all instances in the data centres that a request may use
	// are being evacuated; nil means never.
	Evacuated func(fleet.Query) bool
	// Regions holds the region of each data centre.
	Regions     map[string]string
	DataCentre  string
	DaemonCount func() int // number of daemons that use the instances
	// LoadShare returns the share of all requests that this daemon receives, from 0 to 1.
	LoadShare func() float64
	// RequestMemory and ReplyMemory limit what all requests together buffer of request
	// bodies, and of replies.
	RequestMemory, ReplyMemory *MemoryBudget
	// MaxKeyAge is the maximum age of the configuration for requests that need an
	// account key. Older keys may have been revoked.
	MaxKeyAge time.Duration
	// OnRequest is called for each request that arrives.
	OnRequest func()
	// Draining reports whether clients are told to close their connections.
	Draining func() bool
	// RefuseDuringShutdown reports whether a new request that may last until
	// deadline is refused because the process is shutting down.
	RefuseDuringShutdown func(deadline time.Time) bool
}

const (
	// maxAgeForAbsence is the maximum age of the configuration at which a missing
	// route or key is reported to the client as final (404 or 401). With an older
	// configuration the client is told to retry.
	maxAgeForAbsence = 1500 * time.Millisecond
	// defaultDeadline applies to requests without a deadline.
	defaultDeadline = 30 * time.Second
	// deadlineMargin is the part of the client's deadline that is reserved for
	// sending the response.
	deadlineMargin = 10 * time.Millisecond
	// promptQuarantinedDetail is the detail of result.PromptQuarantined.
	promptQuarantinedDetail = "a part of the prompt crashes instances"
	// defaultMaxBodyBytes limits request bodies if the configuration sets no limit.
	defaultMaxBodyBytes = 4 << 20
)

// Relay is the HTTP handler for client requests.
type Relay struct {
	options   Options
	active    atomic.Int64
	latencies latencies
	gates     gates
	waiting   atomic.Int64 // requests that wait for room at fragile instances
	// ending is done when requests without a response end.
	ending context.Context
	end    context.CancelFunc
}

// New returns a Relay.
func New(options Options) *Relay {
	r := &Relay{options: options}
	r.ending, r.end = context.WithCancel(context.Background())
	return r
}

// EndUnanswered ends all requests to which no part of a response was sent. Their clients
// are told whether they ran.
func (rl *Relay) EndUnanswered() { rl.end() }

// Active returns the number of admitted requests that have not finished.
func (rl *Relay) Active() int { return int(rl.active.Load()) }

// request is the state of one client request.
type request struct {
	relay    *Relay
	info     RequestInfo
	http     *http.Request
	writer   http.ResponseWriter
	body     buffer
	table    *traffic.Table
	route    *traffic.Route
	service  *traffic.Service
	account  *traffic.Account
	cost     float64 // taken from the account's quota, in requests or tokens
	received time.Time
	// deadline ends all attempts: the earlier of the client's deadline and the
	// route's timeout.
	deadline          time.Time
	routeTimeoutFirst bool // the route's timeout is shorter than the client's deadline

	attempts     int // attempts of which the instance may have received something
	excluded     []string
	instance     string        // ID of the last instance tried
	firstEvent   time.Duration // from sending the last attempt to its first event; 0 if there was none
	predicted    time.Duration // time predicted for the last attempt; 0 if times are not predicted
	ran          bool          // an instance may have run the request
	metered      bool          // counted by the Meter
	headWritten  bool          // the head of the response was written
	responding   atomic.Bool   // the same, for other goroutines
	framing      framing       // of the body, once the head was written
	bodyStarted  bool          // a part of a body that is not a stream was forwarded
	attemptTimer *attemptTimer // of the current attempt
	retryTaken   atomic.Bool   // the next attempt was already taken from the retry budget
	// brokeOff is the search for the reason why the current attempt broke off; nil if it
	// did not.
	brokeOff *crashwatch.Investigation
	sent     time.Duration // when the current attempt began, on the boot clock
	outcome  string        // for the log
	// ticket is the place of a request that waits while there is no room; nil if it doesn't.
	ticket *admission.Ticket
	placed bool // the gate knows that the ticket's request counts at an instance
}

// ServeHTTP implements http.Handler.
func (rl *Relay) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := &request{
		relay: rl, info: rl.options.Headers.Parse(r.Header), http: r, writer: w, received: rl.options.Clock.Now(),
	}
	q.body.budget = rl.options.RequestMemory
	defer q.body.free()
	rl.options.OnRequest()
	if rl.options.Draining() {
		w.Header().Set("Connection", "close")
	}
	if p := q.admit(); p != nil {
		q.respondProblem(p)
		return
	}
	rl.active.Add(1)
	defer rl.active.Add(-1)
	if p := q.awaitRoom(); p != nil {
		q.respondProblem(p)
		return
	}
	defer q.endTicket()
	if p := q.takeQuota(); p != nil {
		q.giveBackRoom()
		q.respondProblem(p)
		return
	}
	q.serve()
}

// admit finds the route and the account, and reads the body. It returns nil if the request
// may be sent.
func (q *request) admit() *problem {
	options := &q.relay.options
	q.table = options.Configuration.Table()
	if q.table == nil {
		return notExecuted(result.StoreUnavailable, "no configuration yet", startupRetryAfter)
	}
	if p := q.findRoute(); p != nil {
		return p
	}
	if p := q.findAccount(); p != nil {
		return p
	}
	if p := q.readBody(); p != nil {
		return p
	}
	q.setDeadline()
	return q.checkAllowed()
}

// checkAllowed returns the problem if the daemon is about to stop or the prompt crashes
// instances.
func (q *request) checkAllowed() *problem {
	options := &q.relay.options
	if options.RefuseDuringShutdown(q.deadline) {
		return notExecuted(result.Draining, "the daemon stops", 0)
	}
	if refused, retryAfter := options.Crashes.Refuses(q.prompt(), false); refused {
		return notExecuted(result.PromptQuarantined, promptQuarantinedDetail, retryAfter)
	}
	return nil
}

func (q *request) findRoute() *problem {
	path, _, _ := strings.Cut(q.http.RequestURI, "?")
	q.route = q.table.Match(q.http.Host, path)
	if q.route == nil {
		if !q.relay.options.Configuration.Fresh(maxAgeForAbsence) {
			return notExecuted(result.StoreUnavailable, "the configuration may be out of date", staleRetryAfter)
		}
		return &problem{code: result.UnknownService, status: http.StatusNotFound, detail: "no route matches"}
	}
	name := q.route.ServiceFor(q.info.ID)
	if q.service = q.table.Services[name]; q.service == nil {
		return notExecuted(result.NoUpstream, "service is not configured", staleRetryAfter)
	}
	return nil
}

func (q *request) findAccount() *problem {
	if q.route.Public || !q.table.RequireKeys {
		return nil
	}
	configuration := q.relay.options.Configuration
	if !configuration.Fresh(q.relay.options.MaxKeyAge) {
		return notExecuted(result.StoreUnavailable, "the account keys may be out of date", staleRetryAfter)
	}
	q.account = q.table.AccountByKey(q.info.Key)
	if q.account == nil {
		if !configuration.Fresh(maxAgeForAbsence) {
			return notExecuted(result.StoreUnavailable, "the account keys may be out of date", staleRetryAfter)
		}
		return &problem{code: result.Unauthenticated, status: http.StatusUnauthorized, detail: "unknown account key"}
	}
	return nil
}

func (q *request) readBody() *problem {
	if q.http.Body == nil || q.http.ContentLength == 0 {
		return nil
	}
	limit := q.table.Limits.MaxBodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	err := q.body.readAll(http.MaxBytesReader(q.writer, q.http.Body, int64(limit)), limit)
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return nil
	case q.http.Context().Err() != nil:
		return &problem{code: result.BadRequest, status: http.StatusBadRequest, detail: "the client closed the connection", clientGone: true}
	case errors.As(err, &tooLarge):
		return &problem{code: result.BodyTooLarge, status: http.StatusRequestEntityTooLarge, detail: "body too large"}
	case errors.Is(err, errBufferMemory):
		return notExecuted(result.Overloaded, "the memory for request bodies is used up", busyRetryAfter)
	}
	return &problem{code: result.BadRequest, status: http.StatusBadRequest, detail: "read request body: " + err.Error(), clientGone: true}
}

func (q *request) setDeadline() {
	client := q.info.Deadline
	if client <= 0 {
		client = defaultDeadline
	}
	q.deadline = q.received.Add(client - deadlineMargin)
	if limit := q.route.Timeout; limit > 0 && limit < client {
		q.deadline = q.received.Add(limit)
		q.routeTimeoutFirst = true
	}
}

// takeQuota takes the cost of the request from the quota of its account.
func (q *request) takeQuota() *problem {
	if q.account == nil || q.account.Rate <= 0 {
		return nil
	}
	q.cost = 1
	if q.account.CountTokens {
		q.cost = q.account.DefaultTokenCost
		if q.info.HasTokens {
			q.cost = float64(q.info.PromptTokens + q.info.OutputTokens)
		}
	}
	yields := q.table.Yields(q.route, q.service.Name, q.priority())
	granted, wait := q.relay.options.Quota.Take(q.http.Context(), q.account, q.cost, yields)
	if granted {
		return nil
	}
	cost := q.cost
	q.cost = 0
	return &problem{
		code: result.AccountLimit, status: http.StatusTooManyRequests, retryAfter: wait,
		detail: fmt.Sprintf("the account is over its quota: cost %.0f, rate %.0f per second, burst %.0f, enough in %d ms", cost, q.account.Rate, q.account.Burst, wait.Milliseconds()),
	}
}

// prompt returns what a crash of an instance may be due to.
func (q *request) prompt() crashguard.Request {
	r := crashguard.Request{Service: q.service.Name, Parts: q.info.PromptParts, Own: q.info.OwnPart, Sent: q.sent}
	if q.account != nil {
		r.Account = q.account.Name
	}
	return r
}

// completed records a successful reply that has ended. proved reports that it is known to be
// whole.
func (q *request) completed(reservation *fleet.Reservation, proved bool, sent time.Time) {
	options := &q.relay.options
	options.Crashes.Completed(reservation.Description, q.prompt(), proved)
	reservation.ObserveDuration(options.Clock.Since(sent))
	if q.attempts == 1 { // otherwise other instances may have made a part of the answer
		options.Versions.Completed(q.service.Name, q.route.Name, reservation.Version, options.Clock.Since(sent))
	}
}

// remaining returns the time until the deadline.
func (q *request) remaining() time.Duration { return q.deadline.Sub(q.relay.options.Clock.Now()) }
