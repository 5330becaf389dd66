package client

import (
	"context"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/dogwoodrudder/dogwoodrudder/pkg/order"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/result"
)

// tryAddresses calls try with each address, in up to Options.MaxRounds rounds
// with a backoff between them, until try reports that it is finished or ctx
// ends.
func (c *Client) tryAddresses(ctx context.Context, try func(address string) (finished bool)) {
	backoff := initialBackoff
	for round := range c.options.MaxRounds {
		if round > 0 {
			if !c.sleep(ctx, backoff) {
				return
			}
			backoff *= 2
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
// returned immediately, so that retries do not increase an overload. The error
// is a *result.Error.
func (c *Client) Call(ctx context.Context, r Request) (*Response, error) {
	r.setDefaults()
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	var response *Response
	var err error
	c.tryAddresses(ctx, func(address string) bool {
		response, err = c.transport.call(ctx, address, &r)
		return err == nil || !retryable(err)
	})
	if response == nil || err != nil {
		return nil, asResult(ctx, err, result.Unknown)
	}
	return response, nil
}

// retryable reports whether another daemon may succeed where one returned err.
func retryable(err error) bool {
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

// NewOrderKey returns an Idempotency-Key for one order. A caller that must be
// able to continue the order after a restart stores the key before it calls
// Order.
func (c *Client) NewOrderKey(ctx context.Context) (string, error) {
	token, err := c.addresses.orderToken(ctx)
	if err != nil {
		return "", err
	}
	return order.JoinKey(token, uuid.NewString()), nil
}

// Order sends a request that must not be executed twice. All attempts carry
// the same key, so a response may be that of an earlier attempt. The error is
// a *result.Error; its Execution is result.NotRun only if no attempt was
// executed. After result.Unknown, Order can be called again with the same
// IdempotencyKey until the key expires.
func (c *Client) Order(ctx context.Context, r Request) (*Response, error) {
	r.setDefaults()
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	keyGiven := r.IdempotencyKey != ""
	if !keyGiven {
		key, err := c.NewOrderKey(ctx)
		if err != nil {
			return nil, asResult(ctx, err, result.NotRun)
		}
		r.IdempotencyKey = key
	}
	return c.sendOrder(ctx, &r, keyGiven)
}

// sendOrder repeats the order until its outcome is known. outcomeUnknown means
// that the outcome of an attempt is unknown: this attempt could still reach the
// executor after a later one was answered with "not run".
func (c *Client) sendOrder(ctx context.Context, r *Request, outcomeUnknown bool) (*Response, error) {
	var response *Response
	var err error
	c.tryAddresses(ctx, func(address string) bool {
		response, err = c.transport.call(ctx, address, r)
		if err == nil {
			return true
		}
		outcomeUnknown = outcomeUnknown || mayHaveRun(err)
		return !retryable(err)
	})
	switch {
	case response != nil && err == nil:
		return response, nil
	case outcomeUnknown:
		return nil, withExecution(asResult(ctx, err, result.Unknown), result.Unknown)
	}
	return nil, asResult(ctx, err, result.NotRun)
}

// mayHaveRun reports whether an attempt that failed with err may have been
// executed.
func mayHaveRun(err error) bool {
	var known *result.Error
	var notSent *dialError
	switch {
	case errors.As(err, &known):
		return known.Execution == result.Unknown
	case errors.As(err, &notSent):
		return false
	}
	return true
}

// withExecution replaces the execution state "not run" by x. Other states are
// kept.
func withExecution(e *result.Error, x result.Execution) *result.Error {
	if e.Execution != result.NotRun {
		return e
	}
	replaced := result.Wrap(e, e.Code, x, "the outcome of an earlier attempt is unknown; the last attempt failed: %s", e.Detail)
	replaced.RetryAfterSeconds, replaced.Addresses = e.RetryAfterSeconds, e.Addresses
	return replaced
}

// asResult returns err as a *result.Error. Failures of the transport get a
// result code and the execution state x.
func asResult(ctx context.Context, err error, x result.Execution) *result.Error {
	var known *result.Error
	switch {
	case errors.As(err, &known):
		return known
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return result.Wrap(firstError(err, ctx.Err()), result.DeadlineExceeded, x, "the deadline passed before a reply arrived")
	}
	return result.Wrap(firstError(err, ctx.Err(), errors.New("no daemon address to try")),
		result.PeerUnreachable, x, "no daemon replied")
}

// firstError returns the first error that is not nil.
func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}
