package order

import (
	"time"

	"github.com/dogwoodrudder/dogwoodrudder/pkg/result"
)

// Header is one header of a stored response.
type Header struct {
	Name  string
	Value string
}

// Response is an upstream's reply in the form that is replayed to the caller.
type Response struct {
	Status  int
	Headers []Header
	Body    []byte
}

func (r *Response) size() int64 {
	if r == nil {
		return 0
	}
	n := int64(len(r.Body))
	for _, h := range r.Headers {
		n += int64(len(h.Name) + len(h.Value))
	}
	return n
}

// Outcome is the result of one execution of an order.
type Outcome struct {
	Execution result.Execution
	// Code is result.OK if Response is the upstream's reply.
	Code     result.Code
	Detail   string
	Response *Response
}

// Err returns the outcome as an error, or nil if it carries a response.
func (o Outcome) Err() error {
	if o.Response != nil && o.Code == result.OK {
		return nil
	}
	return result.New(o.Code, o.Execution, "%s", o.Detail)
}

// State is the state of a ledger entry, named as in charts/order.yaml.
type State string

// States of an entry.
const (
	StatePending State = "pending"
	StateSent    State = "sent"
	StateNotRun  State = "not_run"
	StateUnknown State = "unknown"
	StateRan     State = "ran"
)

// Entry is the exported form of a ledger entry.
type Entry struct {
	Key     string
	Account string
	Hash    [32]byte
	State   State
	Outcome Outcome // set in the states not_run, unknown and ran
	Expires time.Time
}

// Part is a part of a ledger that is transferred to the successor.
type Part struct {
	// From is the daemon that sends the part.
	From string
	// Executor is the ID of the daemon incarnation whose keys the part holds. It
	// differs from From if From has itself taken the keys over.
	Executor string
	Entries  []Entry
	// CompleteAfter is the time at or before which keys expire that the sender
	// has already dropped.
	CompleteAfter time.Time
	// Last means that the transfer is complete with this part: it includes all
	// keys of Executor that any daemon ever started and that expire after
	// CompleteAfter.
	Last bool
}

// Decision tells the caller of Begin what to do with an order.
type Decision int

// Decisions of Begin.
const (
	// Start means that the caller executes the order and calls Finish.
	Start Decision = iota + 1
	// Wait means that the order is being executed; Ledger.Wait returns its
	// outcome.
	Wait
	// Replay means that the outcome is known.
	Replay
	// Forward means that the successor has the ledger and decides.
	Forward
	// NotOwner means that this ledger doesn't decide about the key.
	NotOwner
)

// Ticket is the result of Begin.
type Ticket struct {
	Decision  Decision
	Outcome   Outcome // set with Replay
	Successor string  // daemon ID, set with Forward

	entry   *entry
	attempt *attempt
}

// Limits bound the size of a ledger.
type Limits struct {
	// MaxEntries bounds the number of keys, MaxBytes their accounted size.
	MaxEntries int
	MaxBytes   int64
	// MaxResponseBytes is reserved for each order in progress. A larger response
	// isn't kept; a replay then only reports that the order ran.
	MaxResponseBytes int64
}

// DefaultLimits keep a ledger below a quarter of the daemon's memory budget.
func DefaultLimits() Limits {
	return Limits{MaxEntries: 50_000, MaxBytes: 32 << 20, MaxResponseBytes: 64 << 10}
}

// Stats holds the current size and state of a ledger.
type Stats struct {
	Entries int
	Bytes   int64
	Frozen  bool
}
