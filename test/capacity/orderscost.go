package main

import (
	"crypto/sha256"
	"fmt"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"github.com/dogwoodrudder/dogwoodrudder/pkg/order"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/result"
)

// keySizes are the numbers of order keys. The default limit of 32 MiB is reached at
// about 49,000 keys with a short response.
var keySizes = []int{1000, 10_000, 45_000}

// tokenTTL is the default of the setting orders/token_ttl.
const tokenTTL = 10 * time.Minute

const issuingDaemonID = "daemon-001-0f9a4c7e"

func newSigner() (*order.Signer, error) {
	return order.NewSigner(order.SecretKey{ID: "capacity-1", Secret: []byte("capacity-test-secret-of-32-bytes")})
}

func measureOrders(r *run) error {
	signer, err := newSigner()
	if err != nil {
		return err
	}
	for _, n := range keySizes {
		if err := measureLedger(r, signer, n); err != nil {
			return errors.Wrapf(err, "%d keys", n)
		}
	}
	measureTokens(r, signer)
	memory := r.find("orders.ledger_memory").last()
	r.addLimit("orders: memory of a ledger of 45,000 keys", memory/1e6, controlMemoryBytes/4/1e6, "MB")
	return nil
}

// fillLedger runs n orders to completion.
func fillLedger(l *order.Ledger, signer *order.Signer, first, n int) error {
	token, err := signer.Issue(issuingDaemonID, time.Now().Add(tokenTTL))
	if err != nil {
		return err
	}
	for i := first; i < first+n; i++ {
		if err := runOrder(l, signer, order.JoinKey(token, fmt.Sprintf("reservation-%08d", i))); err != nil {
			return err
		}
	}
	return nil
}

func runOrder(l *order.Ledger, signer *order.Signer, text string) error {
	key, err := signer.ParseKey(text)
	if err != nil {
		return err
	}
	ticket, err := l.Begin(key, "counter", sha256.Sum256([]byte(text)))
	if err != nil {
		return err
	}
	if ticket.Decision != order.Start {
		return errors.Errorf("the ledger returned decision %d for a new key, want %d", ticket.Decision, order.Start)
	}
	if err := l.MarkSent(ticket, time.Time{}); err != nil {
		return err
	}
	_, err = l.Finish(ticket, order.Outcome{Execution: result.Ran, Code: result.OK, Response: &order.Response{
		Status: 201, Headers: []order.Header{{Name: "Content-Type", Value: "application/json"}},
		Body: []byte(`{"reservation":"` + text[len(text)-8:] + `","piece":"ref-5513","state":"reserved"}`),
	}})
	return err
}

func newLedger() (*order.Ledger, error) {
	return order.NewLedger(issuingDaemonID, clockwork.NewRealClock(), order.DefaultLimits())
}

func measureLedger(r *run, signer *order.Signer, n int) error {
	var ledger *order.Ledger
	var err error
	memory := heapGrowth(func() any {
		if ledger, err = newLedger(); err == nil {
			err = fillLedger(ledger, signer, 0, n)
		}
		return ledger
	})
	if err != nil {
		return err
	}
	size := float64(n)
	r.record("orders.ledger_memory", "keys", "bytes", size, memory)
	r.record("orders.accounted_bytes", "keys", "bytes that the ledger accounts", size, float64(ledger.Stats().Bytes))
	fresh, err := newLedger()
	if err != nil {
		return err
	}
	batch := n / batches
	run := perCall(1, func(i int) { err = fillLedger(fresh, signer, i*batch, batch) })
	r.record("orders.order_cpu", "keys", "us an order", size, microseconds(run.cpu)/float64(batch))
	r.record("orders.orders_per_second", "keys", "1/s on one core", size, 1e6*float64(batch)/microseconds(run.cpu))
	return err
}

func measureTokens(r *run, signer *order.Signer) {
	for _, n := range []int{1000, 4000, 16_000} {
		var token string
		expires := time.Now().Add(tokenTTL)
		issue := perCall(n, func(int) { token, _ = signer.Issue(issuingDaemonID, expires) })
		verify := perCall(n, func(int) { _, _ = signer.Verify(token) })
		r.record("orders.token_issue_cpu", "tokens", "us a token", float64(n), microseconds(issue.cpu))
		r.record("orders.token_verify_cpu", "tokens", "us a token", float64(n), microseconds(verify.cpu))
		r.record("orders.token_bytes", "tokens", "bytes of a token", float64(n), float64(len(token)))
	}
}
