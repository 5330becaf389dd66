package client

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/dogwoodrudder/dogwoodrudder/pkg/result"
)

const (
	addressPath = "/v1/address"
	// minTokenLifetime is the minimum remaining lifetime of an order token for a
	// new order. It leaves time for the retries of the order.
	minTokenLifetime = 30 * time.Second
)

// lookupReply is a daemon's reply to an address lookup.
type lookupReply struct {
	Addresses         []string  `json:"addresses"`
	TTLSeconds        int       `json:"ttlSeconds"`
	OrderToken        string    `json:"orderToken"`
	OrderTokenExpires time.Time `json:"orderTokenExpires"`
}

// addressCache caches the last reply to an address lookup. If no daemon answers,
// it continues to use the old addresses, because calls must not fail when only
// the lookup does.
type addressCache struct {
	client *Client

	mu      sync.Mutex
	reply   lookupReply
	expires time.Time
}

// get returns the addresses to try, in order of preference.
func (a *addressCache) get(ctx context.Context) []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.client.options.Clock.Now().Before(a.expires) {
		_ = a.refresh(ctx)
	}
	return slices.Clone(a.reply.Addresses)
}

// orderToken returns a token that is valid for long enough for a new order.
func (a *addressCache) orderToken(ctx context.Context) (string, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.client.options.Clock.Now()
	if now.Before(a.expires) && now.Add(minTokenLifetime).Before(a.reply.OrderTokenExpires) {
		return a.reply.OrderToken, nil
	}
	if err := a.refresh(ctx); err != nil {
		return "", err
	}
	if a.reply.OrderToken == "" {
		return "", result.New(result.OrderKeyMissing, result.NotRun, "the daemon issued no order token")
	}
	return a.reply.OrderToken, nil
}

// expire makes the next call of get or orderToken repeat the lookup. It is
// called when an address failed.
func (a *addressCache) expire() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.expires = time.Time{}
}

// refresh repeats the lookup at the known addresses, then at the configured
// ones.
func (a *addressCache) refresh(ctx context.Context) error {
	candidates := append(slices.Clone(a.reply.Addresses), a.client.options.Addresses...)
	err := errors.New("no daemon address is known")
	tried := make(map[string]bool)
	for _, address := range candidates {
		if tried[address] {
			continue
		}
		tried[address] = true
		var reply lookupReply
		if reply, err = a.lookUp(ctx, address); err == nil {
			a.reply = reply
			a.expires = a.client.options.Clock.Now().Add(time.Duration(reply.TTLSeconds) * time.Second)
			return nil
		}
	}
	return result.Wrap(err, result.PeerUnreachable, result.NotRun, "no daemon answered the address lookup")
}

func (a *addressCache) lookUp(ctx context.Context, address string) (lookupReply, error) {
	r := Request{Method: http.MethodGet, Path: addressPath}
	r.setDefaults()
	response, err := a.client.transport.call(ctx, address, &r)
	if err != nil {
		return lookupReply{}, err
	}
	var reply lookupReply
	if err := json.Unmarshal(response.Body, &reply); err != nil {
		return lookupReply{}, errors.Wrapf(err, "address lookup at %s", address)
	}
	if response.Status != http.StatusOK || len(reply.Addresses) == 0 {
		return lookupReply{}, errors.Errorf("address lookup at %s: status %d, %d addresses",
			address, response.Status, len(reply.Addresses))
	}
	return reply, nil
}
