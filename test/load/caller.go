package main

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/dogwoodrudder/dogwoodrudder/internal/apiclient"
	"github.com/dogwoodrudder/dogwoodrudder/internal/operatorapi"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/result"
)

// caller is one independent caller. It asks which address to use, keeps the
// answer for its TTL and asks again when an address fails.
type caller struct {
	api *apiclient.Client
	// base are the daemons to ask; each caller starts at another one.
	base []string

	mu     sync.Mutex // held during a lookup, so that only one is made
	answer operatorapi.AddressResponse
	until  time.Time
}

func newCaller(api *apiclient.Client, addresses []string, index int) *caller {
	start := index % len(addresses)
	return &caller{api: api, base: append(append([]string{}, addresses[start:]...), addresses[:start]...)}
}

// lookup returns the kept answer or asks for a new one. A daemon that stops
// gives no order token; for an order the next one is asked.
func (c *caller) lookup(ctx context.Context, timeout time.Duration, order bool) (operatorapi.AddressResponse, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().Before(c.until) && (!order || c.answer.OrderToken != "") {
		return c.answer, nil
	}
	request := apiclient.Request{Method: http.MethodGet, Path: operatorapi.PathAddress, Timeout: timeout}
	err := error(result.New(result.PeerUnreachable, result.NotRun, "no daemon address"))
	// Addresses of the last answer are asked too: the base may be gone.
	for _, address := range append(append([]string{}, c.base...), c.answer.Addresses...) {
		var answer operatorapi.AddressResponse
		if answer, err = c.ask(ctx, address, request); err != nil {
			continue
		}
		if order && answer.OrderToken == "" {
			err = result.New(result.OrderFrozen, result.NotRun, "daemon %s gives no order token", address)
			continue
		}
		c.keep(answer)
		return c.answer, nil
	}
	return operatorapi.AddressResponse{}, err
}

func (c *caller) ask(ctx context.Context, address string, r apiclient.Request) (answer operatorapi.AddressResponse, err error) {
	resp, err := c.first(ctx, []string{address}, r)
	if err != nil {
		return answer, err
	}
	return answer, errors.Wrap(json.Unmarshal(resp.Body, &answer), "decode address answer")
}

// keep stores an answer until its TTL or its order token ends.
func (c *caller) keep(answer operatorapi.AddressResponse) {
	if len(answer.Addresses) == 0 {
		answer.Addresses = c.base
	}
	c.answer, c.until = answer, time.Now().Add(time.Duration(answer.TTLSeconds)*time.Second)
	if expires := answer.OrderTokenExpires; !expires.IsZero() && expires.Before(c.until) {
		c.until = expires
	}
}

// forget makes the next lookup ask again.
func (c *caller) forget() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.until = time.Time{}
}

// first sends an idempotent request to the first address that answers and does
// not drain.
func (c *caller) first(ctx context.Context, addresses []string, r apiclient.Request) (*apiclient.Response, error) {
	err := error(result.New(result.PeerUnreachable, result.NotRun, "no daemon address"))
	for _, address := range addresses {
		if ctx.Err() != nil {
			return nil, result.Wrap(ctx.Err(), result.DeadlineExceeded, result.Unknown, "no answer in time")
		}
		resp, sendErr := c.api.Do(ctx, address, r)
		switch {
		case sendErr != nil:
			err = result.Wrap(sendErr, result.PeerUnreachable, executionOf(sendErr), "daemon %s", address)
		case resp.Status >= http.StatusMultipleChoices:
			problem := apiclient.Problem(resp.Status, resp.Body)
			if problem.Code != result.Draining {
				return nil, problem
			}
			err = problem
		default:
			return resp, nil
		}
	}
	return nil, err
}

// executionOf returns what a caller knows after a failed attempt.
func executionOf(err error) result.Execution {
	if errors.Is(err, apiclient.ErrNotConnected) {
		return result.NotRun
	}
	return result.Unknown
}
