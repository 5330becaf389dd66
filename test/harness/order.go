package harness

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/dogwoodrudder/dogwoodrudder/internal/apiclient"
	"github.com/dogwoodrudder/dogwoodrudder/internal/operatorapi"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/order"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/result"
	"github.com/dogwoodrudder/dogwoodrudder/test/standin/app"
)

// OrderTimeout is how long a caller waits for the answer to an order.
const OrderTimeout = 7 * time.Second

// OrderAnswer is the result of one attempt to send an order.
type OrderAnswer struct {
	Key            string
	Daemon         string
	Started, Ended time.Time
	// Execution is the state that the daemon reported; "" without an answer.
	Execution result.Execution
	Err       error
}

// orderRecord keeps all answers for CheckOrders.
type orderRecord struct {
	mu      sync.Mutex
	answers []OrderAnswer
}

// OrderToken returns the order token of a daemon's address answer.
func (c *Cluster) OrderToken(d *Daemon) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), OrderTimeout)
	defer cancel()
	resp, err := c.caller.Do(ctx, d.HTTP, apiclient.Request{
		Method: http.MethodGet, Path: operatorapi.PathAddress, Timeout: OrderTimeout,
	})
	if err != nil {
		return "", err
	}
	var answer operatorapi.AddressResponse
	if err := json.Unmarshal(resp.Body, &answer); err != nil {
		return "", err
	}
	if answer.OrderToken == "" {
		return "", fmt.Errorf("%s issued no order token: %s", d.Name, resp.Body)
	}
	return answer.OrderToken, nil
}

// NewOrderKey returns an Idempotency-Key whose orders the given daemon executes.
func (c *Cluster) NewOrderKey(d *Daemon) string {
	c.T.Helper()
	token, err := c.OrderToken(d)
	if err != nil {
		c.T.Fatal(err)
	}
	return OrderKey(token)
}

// OrderKey returns a new Idempotency-Key under an order token.
func OrderKey(token string) string { return order.JoinKey(token, uuid.NewString()) }

// Order sends an order with the key to a daemon once and records the answer.
func (c *Cluster) Order(d *Daemon, key string) OrderAnswer {
	ctx, cancel := context.WithTimeout(context.Background(), OrderTimeout)
	defer cancel()
	answer := OrderAnswer{Key: key, Daemon: d.Name, Started: time.Now()}
	resp, err := c.caller.Do(ctx, d.HTTP, apiclient.Request{
		Method: http.MethodPost, Path: "/app/shop/reservations", Body: []byte(`{"item":"116610"}`),
		ContentType: "application/json", Header: map[string]string{"Idempotency-Key": key}, Timeout: OrderTimeout,
	})
	answer.Ended = time.Now()
	switch {
	case err != nil:
		answer.Err = err
	case resp.Status == http.StatusOK:
		answer.Execution = result.Ran
		answer.Err = checkOrderAnswer(resp.Body, key)
	default:
		problem := apiclient.Problem(resp.Status, resp.Body)
		answer.Execution, answer.Err = problem.Execution, problem
	}
	c.orders.mu.Lock()
	defer c.orders.mu.Unlock()
	c.orders.answers = append(c.orders.answers, answer)
	return answer
}

// checkOrderAnswer returns an error unless the answer belongs to the key.
func checkOrderAnswer(body []byte, key string) error {
	var got app.Result
	if err := json.Unmarshal(body, &got); err != nil {
		return fmt.Errorf("answer to order %q: %w", body, err)
	}
	if got.IdempotencyKey != key {
		return fmt.Errorf("answer belongs to another order: key %q, want %q", got.IdempotencyKey, key)
	}
	return nil
}

// Executions returns how often the application services executed a key.
func (c *Cluster) Executions(key string) int {
	n := 0
	for _, a := range c.Apps {
		n += a.Stats().Executions[key]
	}
	return n
}

// OrderSummary counts the orders and answers of a test.
type OrderSummary struct {
	Keys, Answers, Unknown, NoAnswer int
	MaxExecutions                    int // highest number of executions of one key
}

// UnknownShare is the share of answers with an unknown execution.
func (f OrderSummary) UnknownShare() float64 {
	if f.Answers == 0 {
		return 0
	}
	return float64(f.Unknown) / float64(f.Answers)
}

// CheckOrders fails the test if a key was executed more than once, or if an
// answer contradicts the executions: "ran" requires exactly one execution, "not
// run" requires that the key is never executed, unless the caller sent the key
// again after that answer.
func (c *Cluster) CheckOrders() OrderSummary {
	c.T.Helper()
	c.orders.mu.Lock()
	answers := append([]OrderAnswer{}, c.orders.answers...)
	c.orders.mu.Unlock()
	last := make(map[string]time.Time) // start of the last attempt, by key
	for _, a := range answers {
		if a.Started.After(last[a.Key]) {
			last[a.Key] = a.Started
		}
	}
	summary := OrderSummary{Keys: len(last), Answers: len(answers)}
	for key := range last {
		n := c.Executions(key)
		summary.MaxExecutions = max(summary.MaxExecutions, n)
		if n > 1 {
			c.T.Errorf("order %s was executed %d times", key, n)
		}
	}
	for _, a := range answers {
		n := c.Executions(a.Key)
		repeated := last[a.Key].After(a.Ended)
		switch a.Execution {
		case result.NotRun:
			if n > 0 && !repeated {
				c.T.Errorf("%s reported order %s as not run, but it ran: %v", a.Daemon, a.Key, a.Err)
			}
		case result.Ran:
			if n != 1 {
				c.T.Errorf("%s reported order %s as run, but it ran %d times", a.Daemon, a.Key, n)
			}
			if a.Err != nil && n == 1 {
				c.T.Logf("order %s ran with error: %v", a.Key, a.Err)
			}
		case result.Unknown:
			summary.Unknown++
		default:
			summary.NoAnswer++
		}
	}
	c.T.Logf("orders: %+v, share of unknown %.3f", summary, summary.UnknownShare())
	return summary
}

// Retries of PlaceOrder.
const (
	maxPlaceAttempts   = 10
	placeRetryInterval = 200 * time.Millisecond
)

// PlaceOrder places an order as a caller does: it gets an order token, and sends
// the same key to the next daemon for as long as the order did not run. It
// returns the answer to the last attempt.
func (c *Cluster) PlaceOrder(daemons ...*Daemon) OrderAnswer {
	var answer OrderAnswer
	first := c.Random(len(daemons))
	for i := range maxPlaceAttempts {
		d := daemons[(first+i)%len(daemons)]
		if answer.Key == "" {
			token, err := c.OrderToken(d)
			if err != nil {
				answer = OrderAnswer{Daemon: d.Name, Execution: result.NotRun, Err: err}
				continue
			}
			answer.Key = OrderKey(token)
		}
		answer = c.Order(d, answer.Key)
		if answer.Execution == result.Ran || answer.Execution == result.Unknown {
			return answer
		}
		time.Sleep(placeRetryInterval)
	}
	return answer
}
