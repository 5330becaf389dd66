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

// caller is one independent caller. It looks up which daemon addresses to use,
// caches the answer for its TTL and looks them up again when an address fails.
type caller struct {
	api *apiclient.Client
	// seedAddresses are the configured daemons for lookups. The callers start at
	// different ones.
	seedAddresses []string

	mu      sync.Mutex // held during a lookup, so that only one is made
	answer  operatorapi.AddressResponse
	expires time.Time // end of the cached answer
}

func newCaller(api *apiclient.Client, addresses []string, index int) *caller {
	start := index % len(addresses)
	return &caller{api: api, seedAddresses: append(append([]string{}, addresses[start:]...), addresses[:start]...)}
}

// lookup returns the cached address answer or gets a new one. A daemon that stops
// issues no order token, so a lookup for an order tries the next daemon.
func (c *caller) lookup(ctx context.Context, timeout time.Duration, order bool) (operatorapi.AddressResponse, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().Before(c.expires) && (!order || c.answer.OrderToken != "") {
		return c.answer, nil
	}
	request := apiclient.Request{Method: http.MethodGet, Path: operatorapi.PathAddress, Timeout: timeout}
	err := error(result.New(result.PeerUnreachable, result.NotRun, "no daemon address"))
	// The addresses of the last answer are tried too, because the configured
	// daemons may no longer exist.
	for _, address := range append(append([]string{}, c.seedAddresses...), c.answer.Addresses...) {
		var answer operatorapi.AddressResponse
		if answer, err = c.getAddresses(ctx, address, request); err != nil {
			continue
		}
		if order && answer.OrderToken == "" {
			err = result.New(result.OrderFrozen, result.NotRun, "daemon %s issued no order token", address)
			continue
		}
		c.cache(answer)
		return c.answer, nil
	}
	return operatorapi.AddressResponse{}, err
}

func (c *caller) getAddresses(ctx context.Context, address string, r apiclient.Request) (answer operatorapi.AddressResponse, err error) {
	resp, err := c.doFirst(ctx, []string{address}, r)
	if err != nil {
		return answer, err
	}
	return answer, errors.Wrap(json.Unmarshal(resp.Body, &answer), "decode address answer")
}

// cache stores an answer until its TTL or its order token expires.
func (c *caller) cache(answer operatorapi.AddressResponse) {
	if len(answer.Addresses) == 0 {
		answer.Addresses = c.seedAddresses
	}
	c.answer, c.expires = answer, time.Now().Add(time.Duration(answer.TTLSeconds)*time.Second)
	if expires := answer.OrderTokenExpires; !expires.IsZero() && expires.Before(c.expires) {
		c.expires = expires
	}
}

// invalidate drops the cached answer for the next lookup.
func (c *caller) invalidate() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expires = time.Time{}
}

// doFirst sends an idempotent request to the addresses in order until a daemon
// answers that is not draining.
func (c *caller) doFirst(ctx context.Context, addresses []string, r apiclient.Request) (*apiclient.Response, error) {
	err := error(result.New(result.PeerUnreachable, result.NotRun, "no daemon address"))
	for _, address := range addresses {
		if ctx.Err() != nil {
			return nil, result.Wrap(ctx.Err(), result.DeadlineExceeded, result.Unknown, "no answer in time")
		}
		resp, sendErr := c.api.Do(ctx, address, r)
		switch {
		case sendErr != nil:
			err = result.Wrap(sendErr, result.PeerUnreachable, attemptExecution(sendErr), "daemon %s", address)
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

// attemptExecution returns the execution state after an attempt without an answer:
// not run if there was no connection, otherwise unknown.
func attemptExecution(err error) result.Execution {
	if errors.Is(err, apiclient.ErrNotConnected) {
		return result.NotRun
	}
	return result.Unknown
}
