package client

import (
	"context"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/dogwoodrudder/dogwoodrudder/pkg/order"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/result"
)

// rounds goes over the addresses, several times with growing pauses. try
// reports whether it is finished.
func (c *Client) rounds(ctx context.Context, try func(address string) (finished bool)) {
	pause := firstPause
	for round := range c.options.Rounds {
		if round > 0 {
			if !c.pause(ctx, pause) {
				return
			}
			pause *= 2
			c.addresses.expire()
		}
		for _, address := range c.addresses.get(ctx) {
			if ctx.Err() != nil || try(address) {
				return
			}
		}
	}
}

// Call sends an idempotent request. It is repeated on another daemon if a
// connection fails or a daemon is stopping. Refusals for lack of capacity are
// returned at once, so that retries do not add to an overload. The error is a
// *result.Error.
func (c *Client) Call(ctx context.Context, r Request) (*Response, error) {
	r.setDefaults()
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	var response *Response
	var err error
	c.rounds(ctx, func(address string) bool {
		response, err = c.transport.call(ctx, address, &r)
		return err == nil || !repeatable(err)
	})
	if response == nil || err != nil {
		return nil, asResult(ctx, err, result.Unknown)
	}
	return response, nil
}

// repeatable reports whether another daemon may do better.
func repeatable(err error) bool {
	var known *result.Error
	if !errors.As(err, &known) {
		return true
	}
	switch known.Code {
	case result.Draining, result.PeerUnreachable, result.OrderFrozen, result.OrderInProgress,
		result.OrderOutcomeUnknown, result.StreamMoved:
		return true
	}
	return false
}

// NewOrderKey returns an Idempotency-Key for one order. A caller that must
// survive a restart stores it before it calls Order.
func (c *Client) NewOrderKey(ctx context.Context) (string, error) {
	token, err := c.addresses.orderToken(ctx)
	if err != nil {
		return "", err
	}
	return order.JoinKey(token, uuid.NewString()), nil
}

// Order sends a request that must not be executed twice. All attempts carry
// the same key, so a response may be that of an earlier attempt. The error is
// a *result.Error; its Execution is result.NotRun only if every attempt is
// known to be not run. After result.Unknown, Order can be called again with
// the same IdempotencyKey until the key expires.
func (c *Client) Order(ctx context.Context, r Request) (*Response, error) {
	r.setDefaults()
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	continued := r.IdempotencyKey != ""
	if !continued {
		key, err := c.NewOrderKey(ctx)
		if err != nil {
			return nil, asResult(ctx, err, result.NotRun)
		}
		r.IdempotencyKey = key
	}
	return c.sendOrder(ctx, &r, continued)
}

// sendOrder tries until the outcome is known. open means that an attempt has
// no known outcome; it could still reach the executor after a later attempt
// was answered with "not run".
func (c *Client) sendOrder(ctx context.Context, r *Request, open bool) (*Response, error) {
	var response *Response
	var err error
	c.rounds(ctx, func(address string) bool {
		response, err = c.transport.call(ctx, address, r)
		if err == nil {
			return true
		}
		open = open || leavesOpen(err)
		return !repeatable(err)
	})
	switch {
	case response != nil && err == nil:
		return response, nil
	case open:
		return nil, withExecution(asResult(ctx, err, result.Unknown), result.Unknown)
	}
	return nil, asResult(ctx, err, result.NotRun)
}

func leavesOpen(err error) bool {
	var known *result.Error
	var unsent *dialError
	switch {
	case errors.As(err, &known):
		return known.Execution == result.Unknown
	case errors.As(err, &unsent):
		return false
	}
	return true
}

// withExecution weakens "not run"; "ran" stays.
func withExecution(e *result.Error, x result.Execution) *result.Error {
	if e.Execution != result.NotRun {
		return e
	}
	weaker := result.Wrap(e, e.Code, x, "an earlier attempt has no known outcome; the last one: %s", e.Detail)
	weaker.RetryAfterSeconds, weaker.Addresses = e.RetryAfterSeconds, e.Addresses
	return weaker
}

// asResult gives transport failures a code.
func asResult(ctx context.Context, err error, x result.Execution) *result.Error {
	var known *result.Error
	switch {
	case errors.As(err, &known):
		return known
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return result.Wrap(firstOf(err, ctx.Err()), result.DeadlineExceeded, x, "the deadline passed before a reply arrived")
	}
	return result.Wrap(firstOf(err, ctx.Err(), errors.New("no address to try")),
		result.PeerUnreachable, x, "no daemon gave a reply")
}

func firstOf(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}
