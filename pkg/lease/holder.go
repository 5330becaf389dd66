package lease

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"strings"
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
	// duty. It is high enough that one of them is alive after the loss of a data
	// centre.
	DefaultCandidates = 3
	// driftFraction is the fraction of the time to live by which the holder's
	// validity is shortened, in case its clock runs slower than the store's.
	driftFraction = 0.05
	// safetyMargin further shortens the holder's validity, for the time between
	// its check and the arrival of an order.
	safetyMargin = 500 * time.Millisecond
	// renewFraction is the interval between renewals and callFraction the time-out
	// of a call, as fractions of the time to live. With these values, two renewals
	// can time out and a third one still succeeds before the deadline.
	renewFraction = 0.25
	callFraction  = 0.2
	// campaignFraction is the time-out of the three calls of a campaign together,
	// as a fraction of the time to live. A campaign must still succeed with a
	// store that answers in 400 ms.
	campaignFraction = 0.5
	// retryFraction is the wait after a failed renewal, as a fraction of the time
	// to live.
	retryFraction  = 0.05
	releaseTimeout = time.Second
	// wakeJitter is the fraction of the time to live over which daemons that wake
	// at the same time start to campaign.
	wakeJitter = 0.1
)

var errTokenNotHigher = errors.New("store revision is not higher than an earlier fencing token")

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
	// means always. A holder keeps the lease when it is no longer a candidate.
	Candidate func() bool
	// Wake ends the wait before the next campaign early, for example when a
	// watch reports that the duty's key was deleted. Nil means never.
	Wake <-chan struct{}
	// Generation returns the generation of the store, which rises when the store is restored
	// from an older copy. The leases and claims of earlier generations are gone then. Tokens
	// must rise from one generation to the next. Nil means that the store isn't restored.
	Generation func() int64
	// BootTime returns the time since a fixed moment, including suspensions of the machine.
	// Nil means that of Clock, by its monotonic and its wall clock: a jump of the wall clock
	// then ends the holder's validity.
	BootTime func() time.Duration
	// OnChange is called when the daemon gets or loses the duty. It must not block.
	OnChange func(held bool, token int64)
}

// Holder campaigns for one duty and keeps it. It is safe for concurrent use.
type Holder struct {
	config Config

	mu           sync.Mutex
	lease        int64     // 0 if no lease is held or being acquired
	token        int64     // 0 if the duty isn't held
	deadline     time.Time // with monotonic reading, if the clock has one
	highestToken int64     // highest token of any holder that was read from the store
	generation   int64     // of the store, when the token was acquired or at the last check
	claimsFrom   time.Time // until then a holder of an earlier generation may be valid
	inherited    int64     // token that was valid at the last restore, if no other holder is known since; 0 if none
	predecessor  int64     // value of inherited when the token was acquired
	claims       string    // prefix of the values of all claims
}

// New returns a Holder that doesn't hold the duty until Run acquires it.
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
	if config.Generation == nil {
		config.Generation = func() int64 { return 0 }
	}
	return &Holder{config: config, claims: config.DaemonID + " " + uuid.NewString()}
}

// Valid reports whether the daemon holds the duty now. Check it immediately
// before each order. It is false from the deadline on, even if the process was
// paused and this is the first check since.
func (h *Holder) Valid() bool { return h.Token() != 0 }

// Token returns the fencing token to send with an order, or 0 if the daemon
// doesn't hold the duty now.
func (h *Holder) Token() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.token == 0 || h.generation != h.config.Generation() || !h.before(h.deadline) {
		return 0
	}
	return h.token
}

// Predecessor returns the token that this Holder had when the store was restored, if its
// present token is the first one since. Nobody else had the duty then. It is 0 otherwise.
func (h *Holder) Predecessor() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.predecessor
}

// checkGeneration notices a restore of the store. The validity of a holder in the earlier
// generation ends within the time to live, as it can't be renewed. Only that holder knows
// that there is no other one, and may claim the duty before. It reports whether this was the
// holder.
func (h *Holder) checkGeneration(ctx context.Context) (held bool) {
	generation := h.config.Generation()
	h.mu.Lock()
	earlier, token := h.generation, h.token
	if generation <= earlier {
		h.mu.Unlock()
		return false
	}
	h.claimsFrom, h.inherited = time.Time{}, 0
	if held = token != 0 && h.before(h.deadline); earlier != 0 && !held {
		h.claimsFrom = h.now().Add(h.config.TTL)
	}
	if held && generation == earlier+1 { // else others may have had the duty in between
		h.inherited = token
	}
	h.generation, h.token = generation, 0
	h.mu.Unlock()
	h.reportLoss(token, "store restored")
	h.endLease(ctx, "")
	return held
}

// now returns the time for deadlines.
func (h *Holder) now() time.Time {
	if h.config.BootTime == nil {
		return h.config.Clock.Now()
	}
	return time.Unix(0, int64(h.config.BootTime()))
}

// before reports whether the deadline is still ahead by both the monotonic and
// the wall clock, because the monotonic clock stops while a virtual machine is
// suspended.
func (h *Holder) before(deadline time.Time) bool {
	now := h.now()
	return now.Before(deadline) && now.Round(0).Before(deadline.Round(0))
}

// deadlineFrom returns the end of the holder's validity. The store counts ttl
// from a time after sent, at which the request was sent.
func deadlineFrom(sent time.Time, ttl time.Duration) time.Time {
	return sent.Add(ttl - time.Duration(float64(ttl)*driftFraction) - safetyMargin)
}

// Abandon gives up the duty in this process immediately, for example because
// the daemon learned that others declared it dead. Run then campaigns for a new
// token.
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

// Run campaigns for the duty and renews the lease until ctx ends, then releases
// the duty. It always returns nil.
func (h *Holder) Run(ctx context.Context) error {
	defer h.release(context.WithoutCancel(ctx))
	// The random first wait keeps daemons that start together from campaigning at
	// the same time.
	wait := rand.N(h.config.TTL / 4)
	for h.sleep(ctx, wait) {
		renewed := true
		h.checkGeneration(ctx)
		if h.Valid() {
			renewed = h.renew(ctx)
			if h.checkGeneration(ctx) {
				h.campaign(ctx)
			}
		} else {
			h.endLease(ctx, "lease deadline passed")
			h.campaign(ctx)
		}
		wait = h.nextWait()
		if !renewed {
			wait = h.ttlFraction(retryFraction)
		}
	}
	return nil
}

// ttlFraction returns a fraction of the time to live.
func (h *Holder) ttlFraction(fraction float64) time.Duration {
	return time.Duration(float64(h.config.TTL) * fraction)
}

// nextWait returns a random wait, so that the calls of the daemons are spread.
// Renewals come after 75% to 100% of the renewal interval (renewFraction),
// campaigns after 25% to 75% of the time to live.
func (h *Holder) nextWait() time.Duration {
	if h.Valid() {
		interval := h.ttlFraction(renewFraction)
		return interval*3/4 + rand.N(interval/4)
	}
	return h.config.TTL/4 + rand.N(h.config.TTL/2)
}

// sleep waits for d or for Wake. It reports whether ctx has not ended.
func (h *Holder) sleep(ctx context.Context, d time.Duration) bool {
	timer := h.config.Clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-h.config.Wake:
		return h.sleepJitter(ctx) && ctx.Err() == nil
	case <-timer.Chan():
		return ctx.Err() == nil
	}
}

// sleepJitter waits a random time of up to wakeJitter, so that daemons that wake
// at the same time don't campaign at the same time. It reports whether the wait
// completed before ctx ended.
func (h *Holder) sleepJitter(ctx context.Context) bool {
	timer := h.config.Clock.NewTimer(rand.N(h.ttlFraction(wakeJitter)))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.Chan():
		return true
	}
}

// renew renews the lease and extends the validity if the answer arrives before
// the deadline. It reports whether the store answered.
func (h *Holder) renew(ctx context.Context) bool {
	callCtx, cancel := context.WithTimeout(ctx, h.ttlFraction(callFraction))
	defer cancel()
	h.mu.Lock()
	id := h.lease
	h.mu.Unlock()
	sent := h.now()
	ttl, err := h.config.Backend.KeepAlive(callCtx, id)
	if errors.Is(err, ErrExpired) {
		if h.Valid() {
			h.endLease(ctx, "lease expired in the store")
		}
		return true
	}
	if err != nil {
		h.config.Logger.Warn("lease renewal failed", "duty", h.config.Duty, "error", err)
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	// A validity that has ended isn't restored, so that the daemon always has a
	// new token after a pause.
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

// endLease gives up the duty in this process and revokes the lease in the store.
func (h *Holder) endLease(ctx context.Context, cause string) {
	h.mu.Lock()
	token, id := h.token, h.lease
	h.token, h.lease = 0, 0
	h.mu.Unlock()
	h.reportLoss(token, cause)
	if id == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, h.ttlFraction(callFraction))
	defer cancel()
	// If this fails, the lease expires in the store.
	if err := h.config.Backend.Revoke(ctx, id); err != nil && !errors.Is(err, ErrExpired) {
		h.config.Logger.Warn("lease not revoked", "duty", h.config.Duty, "error", err)
	}
}

func (h *Holder) release(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	h.endLease(ctx, "released")
}

// campaign tries once to acquire the duty if the daemon is a candidate and no
// daemon holds the duty. If one does, the campaign costs one read.
func (h *Holder) campaign(ctx context.Context) {
	if !h.mayCampaign() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, h.ttlFraction(campaignFraction))
	defer cancel()
	entry, err := h.config.Backend.Get(ctx, h.config.Key)
	if err != nil {
		return
	}
	h.checkGeneration(ctx)
	if entry.Revision != 0 && !h.isOwnClaim(entry) {
		h.recordOther(entry.Revision)
		return
	}
	if h.before(h.claimsFrom) {
		return
	}
	generation := h.config.Generation()
	sent := h.now()
	id, err := h.config.Backend.Grant(ctx, h.config.TTL)
	if err != nil {
		h.config.Logger.Warn("lease not granted", "duty", h.config.Duty, "error", err)
		return
	}
	h.mu.Lock()
	h.lease = id
	h.mu.Unlock()
	token, err := h.claim(ctx, id, entry.Revision)
	if err != nil {
		h.config.Logger.Info("campaign failed", "duty", h.config.Duty, "error", err)
		h.endLease(ctx, "campaign failed")
		return
	}
	if h.config.Generation() != generation {
		// The claim may be one of before a restore. The next campaign takes it over.
		h.endLease(ctx, "campaign failed")
		return
	}
	h.setHeld(token, generation, deadlineFrom(sent, h.config.TTL))
}

// mayCampaign reports whether this daemon is a candidate. One that had the duty when the store
// was restored continues it.
func (h *Holder) mayCampaign() bool {
	h.mu.Lock()
	inherited := h.inherited
	h.mu.Unlock()
	return inherited != 0 || h.config.Candidate()
}

// isOwnClaim reports whether the duty's key holds a claim of this Holder that it has given
// up: one that a restore of the store has brought back, or that was executed late. Its lease
// may be another's by now, so that it wouldn't expire.
func (h *Holder) isOwnClaim(entry Entry) bool {
	return strings.HasPrefix(string(entry.Value), h.claims)
}

// claim writes the duty's key, which has a revision, and returns the fencing token. If the
// reply is lost, it reads the key to find out whether the write took effect: the value is
// unique to this attempt.
func (h *Holder) claim(ctx context.Context, id, revision int64) (int64, error) {
	value := []byte(h.claims + " " + uuid.NewString())
	entry, swapped, err := h.config.Backend.CompareAndSwap(ctx, h.config.Key, revision, value, id)
	if errors.Is(err, ErrOutcomeUnknown) {
		entry, err = h.readBack(ctx)
		swapped = err == nil && string(entry.Value) == string(value)
	}
	if err != nil {
		return 0, errors.Wrap(err, "claim duty")
	}
	if !swapped {
		h.recordOther(entry.Revision)
		return 0, errors.New("another daemon holds the duty")
	}
	if !h.recordToken(entry.Revision) {
		return 0, errTokenNotHigher
	}
	return entry.Revision, nil
}

// readBackTries is the maximum number of reads after a lost reply. If all fail,
// the lease is revoked; if the revocation fails too, the lease expires.
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
	return entry, errors.Wrap(err, "read the duty's key after a lost reply")
}

// recordToken records a token and reports whether it is higher than all earlier
// ones. A store that was restored with old data would give lower tokens.
func (h *Holder) recordToken(token int64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if token <= h.highestToken {
		return false
	}
	h.highestToken = token
	return true
}

// recordOther records the token of another holder.
func (h *Holder) recordOther(token int64) {
	h.recordToken(token)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.inherited = 0
}

func (h *Holder) setHeld(token, generation int64, deadline time.Time) {
	h.mu.Lock()
	h.token, h.generation, h.deadline = token, generation, deadline
	h.predecessor, h.inherited = h.inherited, 0
	h.mu.Unlock()
	h.config.Logger.Info("duty acquired", "duty", h.config.Duty, "token", token)
	if h.config.OnChange != nil {
		h.config.OnChange(true, token)
	}
}
