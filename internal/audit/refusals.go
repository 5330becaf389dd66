package audit

import (
	"log/slog"
	"sync"
	"time"

	"github.com/dogwoodrudder/dogwoodrudder/pkg/object"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/result"
)

// maxRefusals is the maximum number of refused changes in memory, a few hundred KB.
const maxRefusals = 1000

// maxRefusalRefs is the maximum number of objects that are listed in one refusal.
const maxRefusalRefs = 20

// Refusal is a change that was not stored, or whose outcome is unknown.
type Refusal struct {
	Time          time.Time    `json:"time"`
	Account       string       `json:"account"`
	RemoteAddress string       `json:"remoteAddress,omitempty"`
	Daemon        string       `json:"daemon,omitempty"`
	Objects       []object.Ref `json:"objects"`
	Code          result.Code  `json:"code"`
	Detail        string       `json:"detail"`
}

// Refusals keeps the latest refused changes of this daemon in memory and logs each
// of them. They are not stored, because they have no effect, and because a failure
// of the store may be the reason for the refusal.
type Refusals struct {
	logger *slog.Logger

	mu   sync.Mutex
	list []Refusal // a ring buffer once it has maxRefusals entries
	next int       // index in list of the oldest entry, which is replaced next
}

// NewRefusals returns an empty list that logs to logger.
func NewRefusals(logger *slog.Logger) *Refusals {
	return &Refusals{logger: logger}
}

// Add records a refusal and drops the oldest one if the list is full.
func (r *Refusals) Add(refusal Refusal) {
	if len(refusal.Objects) > maxRefusalRefs {
		refusal.Objects = refusal.Objects[:maxRefusalRefs:maxRefusalRefs]
	}
	r.logger.Warn("configuration change refused",
		"account", refusal.Account, "remote_address", refusal.RemoteAddress,
		"objects", refusal.Objects, "code", int(refusal.Code), "detail", refusal.Detail)
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.list) < maxRefusals {
		r.list = append(r.list, refusal)
		return
	}
	r.list[r.next] = refusal
	r.next = (r.next + 1) % maxRefusals
}

// List returns the refusals in memory, latest first.
func (r *Refusals) List() []Refusal {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := len(r.list)
	out := make([]Refusal, 0, n)
	for i := 1; i <= n; i++ {
		out = append(out, r.list[(r.next-i+2*n)%n])
	}
	return out
}
