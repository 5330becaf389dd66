package lease

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
)

// Defaults of Config.
const (
	DefaultTTL = 10 * time.Second
	// DefaultCandidates is the number of daemons that should campaign for a
	// duty: enough that one of them is alive after a data centre was lost.
	DefaultCandidates = 3
	// driftShare is the part of the time to live that the holder gives up
	// against a clock that runs slower than that of the store.
	driftShare = 0.05
	// safetyMargin is what the holder gives up against the time between its
	// check and the arrival of an order.
	safetyMargin = 500 * time.Millisecond
	// With these shares of the time to live, two renewals can time out and a
	// third one still comes before the deadline.
	renewShare = 0.25
	callShare  = 0.2
	// campaignShare bounds the three calls of a campaign together. A store that
	// answers in 400 ms must still be able to appoint a holder.
	campaignShare  = 0.5
	retryShare     = 0.05
	releaseTimeout = time.Second
	// wakeSpread is the part of the time to live over which daemons that wake
	// together begin to campaign.
	wakeSpread = 0.1
)

var errTokenFell = errors.New("store revision is not above an earlier fencing token")

// Config holds the parameters of a Holder.
type Config struct {
	Backend  Backend
	Clock    clockwork.Clock
	Logger   *slog.Logger
	Duty     string // name of the duty
	Key      string // key of the duty in the store
	DaemonID string
	TTL      time.Duration // DefaultTTL if zero; at least 3 s
	// Candidate reports whether this daemon should campaign at present. Nil
	// means always. A holder keeps the lease when it is no candidate any more.
	Candidate func() bool
	// Wake cuts the wait before the next campaign short, for example when the
	// duty's key was seen to be deleted. Nil means never.
	Wake <-chan struct{}
	// OnChange is called when the daemon gets or loses the duty. It must not block.
	OnChange func(held bool, token int64)
}

// Holder campaigns for one duty and keeps it. It is safe for concurrent use.
type Holder struct {
	config Config

	mu       sync.Mutex
	lease    int64     // 0 if no lease is held or being acquired
	token    int64     // 0 if the duty isn't held
	deadline time.Time // with monotonic reading, if the clock has one
	highest  int64     // highest token seen, of any holder
}

// New returns a Holder that holds nothing until Run gets the duty.
func New(config Config) *Holder {
	if config.TTL <= 0 {
		config.TTL = DefaultTTL
	}
	if config.Clock == nil {
		config.Clock = clockwork.NewRealClock()
	}
	if config.Logger == nil {
		config.Logger = slog.Default()
	}
	if config.Candidate == nil {
		config.Candidate = func() bool { return true }
	}
	return &Holder{config: config}
}

// Valid reports whether the daemon holds the duty now. Check it immediately
// before each order. It is false from the deadline on, also on the first check
// after a pause of the process.
func (h *Holder) Valid() bool { return h.Token() != 0 }

// Token returns the fencing token to send with an order, or 0 if the daemon
// doesn't hold the duty now.
func (h *Holder) Token() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.token == 0 || !h.before(h.deadline) {
		return 0
	}
	return h.token
}

// before compares with both the monotonic and the wall clock, because the
// monotonic clock stops while a virtual machine is suspended.
func (h *Holder) before(deadline time.Time) bool {
	now := h.config.Clock.Now()
	return now.Before(deadline) && now.Round(0).Before(deadline.Round(0))
}

// deadlineFrom returns the end of validity for a time to live that the store
// counts from some moment after sent.
func deadlineFrom(sent time.Time, ttl time.Duration) time.Time {
	return sent.Add(ttl - time.Duration(float64(ttl)*driftShare) - safetyMargin)
}

// Abandon gives the duty up locally at once, for example because the daemon
// learned that it was declared dead. Run then campaigns for a new token.
func (h *Holder) Abandon() {
	h.mu.Lock()
	token := h.token
	h.token = 0
	h.mu.Unlock()
	h.reportLoss(token, "abandoned")
}

func (h *Holder) reportLoss(token int64, cause string) {
	if token == 0 {
		return
	}
	h.config.Logger.Info("duty lost", "duty", h.config.Duty, "token", token, "cause", cause)
	if h.config.OnChange != nil {
		h.config.OnChange(false, token)
	}
}

// Run campaigns and renews until ctx ends, and then releases the duty. It
// returns nil.
func (h *Holder) Run(ctx context.Context) error {
	defer h.release(context.WithoutCancel(ctx))
	// The first wait keeps daemons that start together from campaigning together.
	wait := rand.N(h.config.TTL / 4)
	for h.sleep(ctx, wait) {
		renewed := true
		if h.Valid() {
			renewed = h.renew(ctx)
		} else {
			h.drop(ctx, "lease deadline passed")
			h.campaign(ctx)
		}
		wait = h.nextWait()
		if !renewed {
			wait = h.share(retryShare)
		}
	}
	return nil
}

// share returns a part of the time to live.
func (h *Holder) share(part float64) time.Duration {
	return time.Duration(float64(h.config.TTL) * part)
}

// nextWait spreads calls: renewals around a quarter of the time to live and
// campaigns between a quarter and three quarters.
func (h *Holder) nextWait() time.Duration {
	if h.Valid() {
		renew := h.share(renewShare)
		return renew*3/4 + rand.N(renew/4)
	}
	return h.config.TTL/4 + rand.N(h.config.TTL/2)
}

func (h *Holder) sleep(ctx context.Context, d time.Duration) bool {
	timer := h.config.Clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-h.config.Wake:
		return h.spread(ctx) && ctx.Err() == nil
	case <-timer.Chan():
		return ctx.Err() == nil
	}
}

// spread waits a little, so that daemons that wake together don't campaign together.
func (h *Holder) spread(ctx context.Context) bool {
	timer := h.config.Clock.NewTimer(rand.N(h.share(wakeSpread)))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.Chan():
		return true
	}
}

// renew prolongs the validity if the answer arrives before the deadline. It
// reports whether the store answered.
func (h *Holder) renew(ctx context.Context) bool {
	callCtx, cancel := context.WithTimeout(ctx, h.share(callShare))
	defer cancel()
	h.mu.Lock()
	id := h.lease
	h.mu.Unlock()
	sent := h.config.Clock.Now()
	ttl, err := h.config.Backend.KeepAlive(callCtx, id)
	if errors.Is(err, ErrExpired) {
		h.drop(ctx, "lease expired in the store")
		return true
	}
	if err != nil {
		h.config.Logger.Warn("lease renewal failed", "duty", h.config.Duty, "error", err)
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	// A lease that lapsed locally isn't revived, so that a pause always ends
	// with a new token.
	if h.lease == id && h.token != 0 && h.before(h.deadline) {
		h.deadline = later(h.deadline, deadlineFrom(sent, ttl))
	}
	return true
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// drop forgets the duty and the lease and ends the lease in the store.
func (h *Holder) drop(ctx context.Context, cause string) {
	h.mu.Lock()
	token, id := h.token, h.lease
	h.token, h.lease = 0, 0
	h.mu.Unlock()
	h.reportLoss(token, cause)
	if id == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, h.share(callShare))
	defer cancel()
	// If this fails, the lease ends by itself.
	if err := h.config.Backend.Revoke(ctx, id); err != nil && !errors.Is(err, ErrExpired) {
		h.config.Logger.Warn("lease not revoked", "duty", h.config.Duty, "error", err)
	}
}

func (h *Holder) release(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	h.drop(ctx, "released")
}

// campaign tries once to get the duty if the daemon is a candidate and nobody
// holds it. A duty that is held costs one read.
func (h *Holder) campaign(ctx context.Context) {
	if !h.config.Candidate() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, h.share(campaignShare))
	defer cancel()
	entry, err := h.config.Backend.Get(ctx, h.config.Key)
	if err != nil {
		return
	}
	if entry.Revision != 0 {
		h.see(entry.Revision)
		return
	}
	sent := h.config.Clock.Now()
	id, err := h.config.Backend.Grant(ctx, h.config.TTL)
	if err != nil {
		h.config.Logger.Warn("lease not granted", "duty", h.config.Duty, "error", err)
		return
	}
	h.mu.Lock()
	h.lease = id
	h.mu.Unlock()
	token, err := h.claim(ctx, id)
	if err != nil {
		h.config.Logger.Info("campaign failed", "duty", h.config.Duty, "error", err)
		h.drop(ctx, "campaign failed")
		return
	}
	h.accept(token, deadlineFrom(sent, h.config.TTL))
}

// claim writes the duty's key. A lost reply is settled by reading the key back:
// the value is unique to this attempt.
func (h *Holder) claim(ctx context.Context, id int64) (int64, error) {
	value := []byte(h.config.DaemonID + " " + uuid.NewString())
	entry, swapped, err := h.config.Backend.CompareAndSwap(ctx, h.config.Key, 0, value, id)
	if errors.Is(err, ErrOutcomeUnknown) {
		entry, err = h.readBack(ctx)
		swapped = err == nil && string(entry.Value) == string(value)
	}
	if err != nil {
		return 0, errors.Wrap(err, "claim duty")
	}
	if !swapped {
		h.see(entry.Revision)
		return 0, errors.New("another daemon holds the duty")
	}
	if !h.see(entry.Revision) {
		return 0, errTokenFell
	}
	return entry.Revision, nil
}

// readBackTries bounds the reads after a lost reply. If all fail, the lease is
// revoked, and it ends by itself if the revocation is lost too.
const readBackTries = 3

func (h *Holder) readBack(ctx context.Context) (Entry, error) {
	var entry Entry
	var err error
	for range readBackTries {
		if entry, err = h.config.Backend.Get(ctx, h.config.Key); err == nil {
			return entry, nil
		}
		if !h.sleep(ctx, h.config.TTL/50) {
			break
		}
	}
	return entry, errors.Wrap(err, "read the duty's key back")
}

// see records a token and reports whether it is above all earlier ones. A
// store that came back with old data would hand out lower tokens.
func (h *Holder) see(token int64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if token <= h.highest {
		return false
	}
	h.highest = token
	return true
}

func (h *Holder) accept(token int64, deadline time.Time) {
	h.mu.Lock()
	h.token, h.deadline = token, deadline
	h.mu.Unlock()
	h.config.Logger.Info("duty acquired", "duty", h.config.Duty, "token", token)
	if h.config.OnChange != nil {
		h.config.OnChange(true, token)
	}
}
