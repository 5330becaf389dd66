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

// Response is an upstream's reply as it is replayed to the caller.
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

// Outcome is what became of one execution.
type Outcome struct {
	Execution result.Execution
	// Code is OK if Response is the upstream's reply.
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

// State is the state of a ledger entry, as named by charts/order.yaml.
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
	Outcome Outcome // of the states not run, unknown and ran
	Expires time.Time
}

// Part is a piece of a ledger on its way to the successor.
type Part struct {
	// From is the daemon that sends the part.
	From string
	// Executor is the incarnation whose keys the part holds. It differs from
	// From if From had taken the keys over before.
	Executor string
	Entries  []Entry
	// CompleteAfter: the sender has dropped keys that expire at or before it.
	CompleteAfter time.Time
	// Last says that, with this part, all keys that Executor's holders ever
	// started and that expire after CompleteAfter were sent.
	Last bool
}

// Decision says what to do with an order.
type Decision int

// Decisions of Begin.
const (
	// Start: the caller of Begin executes the order and calls Finish.
	Start Decision = iota + 1
	// Wait: the order is being executed; Wait gives its outcome.
	Wait
	// Replay: the outcome is known.
	Replay
	// Forward: the successor has the ledger and decides.
	Forward
	// NotOwner: this ledger does not decide about the key.
	NotOwner
)

// Ticket is Begin's answer.
type Ticket struct {
	Decision  Decision
	Outcome   Outcome // of Replay
	Successor string  // daemon ID, of Forward

	entry   *entry
	attempt *attempt
}

// Limits bound a ledger.
type Limits struct {
	// MaxEntries bounds the keys, MaxBytes their accounted size.
	MaxEntries int
	MaxBytes   int64
	// MaxResponseBytes is reserved for each order in progress. The body of a
	// larger response is not kept; a replay then says that the order ran.
	MaxResponseBytes int64
}

// DefaultLimits keep a ledger below a quarter of the daemon's memory budget.
func DefaultLimits() Limits {
	return Limits{MaxEntries: 50_000, MaxBytes: 32 << 20, MaxResponseBytes: 64 << 10}
}

// Stats are gauges of a ledger.
type Stats struct {
	Entries int
	Bytes   int64
	Frozen  bool
}
