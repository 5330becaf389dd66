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
	// minTokenLife is the least remaining lifetime of a token for a new order:
	// it leaves time for the retries of the order.
	minTokenLife = 30 * time.Second
)

// lookup is the answer to an address lookup.
type lookup struct {
	Addresses         []string  `json:"addresses"`
	TTLSeconds        int       `json:"ttlSeconds"`
	OrderToken        string    `json:"orderToken"`
	OrderTokenExpires time.Time `json:"orderTokenExpires"`
}

// addressCache keeps the last answer. If no daemon answers, it goes on with
// the old addresses, because a lookup outage must not stop calls.
type addressCache struct {
	client *Client

	mu      sync.Mutex
	lookup  lookup
	expires time.Time
}

// get returns the addresses to try, best first.
func (a *addressCache) get(ctx context.Context) []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.client.options.Clock.Now().Before(a.expires) {
		_ = a.refresh(ctx)
	}
	return slices.Clone(a.lookup.Addresses)
}

// orderToken returns a token that lives long enough for a new order.
func (a *addressCache) orderToken(ctx context.Context) (string, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.client.options.Clock.Now()
	if now.Before(a.expires) && now.Add(minTokenLife).Before(a.lookup.OrderTokenExpires) {
		return a.lookup.OrderToken, nil
	}
	if err := a.refresh(ctx); err != nil {
		return "", err
	}
	if a.lookup.OrderToken == "" {
		return "", result.New(result.OrderKeyMissing, result.NotRun, "the daemon issued no order token")
	}
	return a.lookup.OrderToken, nil
}

// expire makes the next use ask again, because an address failed.
func (a *addressCache) expire() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.expires = time.Time{}
}

func (a *addressCache) refresh(ctx context.Context) error {
	candidates := append(slices.Clone(a.lookup.Addresses), a.client.options.Addresses...)
	err := errors.New("no address is known")
	tried := make(map[string]bool)
	for _, address := range candidates {
		if tried[address] {
			continue
		}
		tried[address] = true
		var answer lookup
		if answer, err = a.ask(ctx, address); err == nil {
			a.lookup = answer
			a.expires = a.client.options.Clock.Now().Add(time.Duration(answer.TTLSeconds) * time.Second)
			return nil
		}
	}
	return result.Wrap(err, result.PeerUnreachable, result.NotRun, "no daemon answered the address lookup")
}

func (a *addressCache) ask(ctx context.Context, address string) (lookup, error) {
	r := Request{Method: http.MethodGet, Path: addressPath}
	r.setDefaults()
	response, err := a.client.transport.call(ctx, address, &r)
	if err != nil {
		return lookup{}, err
	}
	var answer lookup
	if err := json.Unmarshal(response.Body, &answer); err != nil {
		return lookup{}, errors.Wrapf(err, "address lookup at %s", address)
	}
	if response.Status != http.StatusOK || len(answer.Addresses) == 0 {
		return lookup{}, errors.Errorf("address lookup at %s: status %d, %d addresses",
			address, response.Status, len(answer.Addresses))
	}
	return answer, nil
}
