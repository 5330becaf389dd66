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

// OrderAnswer is one answer to an order, or its absence.
type OrderAnswer struct {
	Key            string
	Daemon         string
	Started, Ended time.Time
	// Execution is what the daemon reported; "" without an answer.
	Execution result.Execution
	Err       error
}

// orderRecord keeps all answers for the checks at the end.
type orderRecord struct {
	mu      sync.Mutex
	answers []OrderAnswer
}

// Token asks a daemon for the address answer with its order token.
func (c *Cluster) Token(d *Daemon) (string, error) {
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
		return "", fmt.Errorf("%s gives no order token: %s", d.Name, resp.Body)
	}
	return answer.OrderToken, nil
}

// NewKey returns an Idempotency-Key that the given daemon executes.
func (c *Cluster) NewKey(d *Daemon) string {
	c.T.Helper()
	token, err := c.Token(d)
	if err != nil {
		c.T.Fatal(err)
	}
	return KeyOf(token)
}

// KeyOf returns a new Idempotency-Key of a token.
func KeyOf(token string) string { return order.JoinKey(token, uuid.NewString()) }

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
		answer.Err = wrongAnswer(resp.Body, key)
	default:
		problem := apiclient.Problem(resp.Status, resp.Body)
		answer.Execution, answer.Err = problem.Execution, problem
	}
	c.orders.mu.Lock()
	defer c.orders.mu.Unlock()
	c.orders.answers = append(c.orders.answers, answer)
	return answer
}

func wrongAnswer(body []byte, key string) error {
	var got app.Result
	if err := json.Unmarshal(body, &got); err != nil {
		return fmt.Errorf("answer to order %q: %w", body, err)
	}
	if got.IdempotencyKey != key {
		return fmt.Errorf("foreign answer: key %q instead of %q", got.IdempotencyKey, key)
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

// OrderFigures sum up the answers of a test.
type OrderFigures struct {
	Keys, Answers, Unknown, NoAnswer int
	MaxExecutions                    int
}

// UnknownShare is the share of answers with an unknown execution.
func (f OrderFigures) UnknownShare() float64 {
	if f.Answers == 0 {
		return 0
	}
	return float64(f.Unknown) / float64(f.Answers)
}

// CheckOrders fails the test if a key was executed twice, or if an answer
// contradicts the executions: "ran" needs one execution, "not run" needs none
// for ever, unless the caller sent the key again after that answer.
func (c *Cluster) CheckOrders() OrderFigures {
	c.T.Helper()
	c.orders.mu.Lock()
	answers := append([]OrderAnswer{}, c.orders.answers...)
	c.orders.mu.Unlock()
	last := make(map[string]time.Time)
	for _, a := range answers {
		if a.Started.After(last[a.Key]) {
			last[a.Key] = a.Started
		}
	}
	figures := OrderFigures{Keys: len(last), Answers: len(answers)}
	for key := range last {
		n := c.Executions(key)
		figures.MaxExecutions = max(figures.MaxExecutions, n)
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
			figures.Unknown++
		default:
			figures.NoAnswer++
		}
	}
	c.T.Logf("orders: %+v, share of unknown %.3f", figures, figures.UnknownShare())
	return figures
}

// placeAttempts bounds the attempts of PlaceOrder.
const (
	placeAttempts = 10
	placePause    = 200 * time.Millisecond
)

// PlaceOrder places an order as a caller does: it asks for a token, and sends
// the same key again to the next daemon as long as the order did not run. The
// answer is that of the last attempt.
func (c *Cluster) PlaceOrder(daemons ...*Daemon) OrderAnswer {
	var answer OrderAnswer
	first := c.Random(len(daemons))
	for i := range placeAttempts {
		d := daemons[(first+i)%len(daemons)]
		if answer.Key == "" {
			token, err := c.Token(d)
			if err != nil {
				answer = OrderAnswer{Daemon: d.Name, Execution: result.NotRun, Err: err}
				continue
			}
			answer.Key = KeyOf(token)
		}
		answer = c.Order(d, answer.Key)
		if answer.Execution == result.Ran || answer.Execution == result.Unknown {
			return answer
		}
		time.Sleep(placePause)
	}
	return answer
}
