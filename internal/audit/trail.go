package audit

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/dogwoodrudder/dogwoodrudder/internal/store"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/object"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/result"
)

const (
	// DefaultLimit is the number of records that List returns by default.
	DefaultLimit = 100
	// MaxRecords is the number of change records that the store keeps.
	MaxRecords = 10_000
	// blockRecords is the number of records that share a key prefix and are
	// read with one call: all but the last two digits of the revision.
	blockRecords = 100
	blockDigits  = 2
	// maxListCalls bounds the reads of one List call, so that a filter which
	// matches little cannot use up the daemon's read budget.
	maxListCalls = 20
	headKey      = "/rudder/config/head"
)

// Filter selects change records. Zero fields match everything.
type Filter struct {
	Account string
	// ChangeID finds the record of a change whose outcome was unknown.
	ChangeID string
	// Kind and Name select records that changed such an object.
	Kind object.Kind
	Name string
	// Since and Until bound the time: Since <= time < Until.
	Since, Until time.Time
	// MovesOnly selects records with the outcome of a move.
	MovesOnly bool
	// Before selects revisions below it; 0 starts at the latest one.
	Before int64
	// Limit bounds the records of one page; 0 means DefaultLimit.
	Limit int
}

// Page is a part of the audit trail, latest record first.
type Page struct {
	Records []*Record `json:"records"`
	// Next is the Before value of the next page, 0 if there is none.
	Next int64 `json:"next,omitempty"`
}

// Trail reads and trims the change records in the store.
type Trail struct {
	store store.Store
}

// NewTrail returns the audit trail in s.
func NewTrail(s store.Store) *Trail { return &Trail{store: s} }

// List returns the records that match the filter, latest first. A page can be
// short, even empty, and still have a next one, because one call reads a
// bounded number of records. Errors have the code StoreUnavailable or
// StoreBudgetSpent.
func (t *Trail) List(ctx context.Context, filter Filter) (Page, error) {
	if filter.Limit <= 0 {
		filter.Limit = DefaultLimit
	}
	last, err := t.head(ctx)
	if err != nil {
		return Page{}, readError(err)
	}
	if filter.Before > 0 {
		last = min(last, filter.Before-1)
	}
	oldest, _, err := t.trimmed(ctx)
	if err != nil {
		return Page{}, readError(err)
	}
	var page Page
	for call := 0; last > oldest; call++ {
		if call == maxListCalls || len(page.Records) == filter.Limit {
			page.Next = last + 1
			return page, nil
		}
		block, err := t.block(ctx, last)
		if err != nil {
			return Page{}, readError(err)
		}
		last = page.take(block, last, filter)
	}
	return page, nil
}

// take adds the matching records of a block up to revision last, and returns
// the revision to continue with.
func (p *Page) take(block []*Record, last int64, filter Filter) int64 {
	for i := len(block) - 1; i >= 0; i-- {
		r := block[i]
		if r.Revision > last || !filter.matches(r) {
			continue
		}
		if len(p.Records) == filter.Limit {
			return r.Revision
		}
		p.Records = append(p.Records, r)
	}
	return last - last%blockRecords - 1
}

// block reads the records whose revisions differ from revision only in the
// last digits, in ascending order.
func (t *Trail) block(ctx context.Context, revision int64) ([]*Record, error) {
	key := ChangeKey(revision)
	kvs, _, err := t.store.List(ctx, key[:len(key)-blockDigits])
	if err != nil {
		return nil, err
	}
	records := make([]*Record, 0, len(kvs))
	for _, kv := range kvs {
		r, err := DecodeRecord(kv.Value)
		if err != nil {
			return nil, errors.Wrap(err, kv.Key)
		}
		records = append(records, r)
	}
	return records, nil
}

// head returns the configuration revision of the store.
func (t *Trail) head(ctx context.Context) (int64, error) {
	kv, err := t.store.Get(ctx, headKey)
	if err != nil || kv.ModRevision == 0 {
		return 0, err
	}
	var head struct {
		Revision int64 `json:"revision"`
	}
	err = json.Unmarshal(kv.Value, &head)
	return head.Revision, errors.Wrapf(err, "decode %s", headKey)
}

func readError(err error) error {
	code := result.StoreUnavailable
	if errors.Is(err, store.ErrBudget) {
		code = result.StoreBudgetSpent
	}
	return result.Wrap(err, code, result.NotRun, "could not read the audit trail")
}

func (f Filter) matches(r *Record) bool {
	if f.Account != "" && f.Account != r.Account {
		return false
	}
	if f.ChangeID != "" && f.ChangeID != r.ChangeID {
		return false
	}
	if !f.Since.IsZero() && r.Time.Before(f.Since) || !f.Until.IsZero() && !r.Time.Before(f.Until) {
		return false
	}
	if f.MovesOnly && len(r.Moves) == 0 {
		return false
	}
	if f.Kind == "" && f.Name == "" {
		return true
	}
	for _, e := range r.Objects {
		if (f.Kind == "" || strings.EqualFold(string(f.Kind), string(e.Kind))) && (f.Name == "" || f.Name == e.Name) {
			return true
		}
	}
	return false
}
