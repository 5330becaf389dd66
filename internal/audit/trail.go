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
	// DefaultLimit is the maximum number of records that List returns if the
	// filter has no limit.
	DefaultLimit = 100
	// MaxRecords is the number of change records that are kept in the store.
	MaxRecords = 10_000
	// blockRecords is the number of records that are read with one call. The keys
	// of a block differ only in their last blockDigits digits.
	blockRecords = 100
	blockDigits  = 2
	// maxListCalls is the maximum number of blocks that one List call reads, so
	// that a filter with few matches cannot use up the daemon's read budget.
	maxListCalls = 20
	headKey      = "/rudder/config/head"
)

// Filter selects change records. Zero fields match everything.
type Filter struct {
	Account string
	// ChangeID selects the record of one change, for example of a change whose
	// outcome was unknown.
	ChangeID string
	// Kind and Name select records with a change of such an object.
	Kind object.Kind
	Name string
	// Since and Until select a time range: Since <= time < Until.
	Since, Until time.Time
	// MovesOnly selects records with the outcome of a move.
	MovesOnly bool
	// Before selects revisions lower than it; 0 starts at the latest one.
	Before int64
	// Limit is the maximum number of records on a page; 0 means DefaultLimit.
	Limit int
}

// Page is one page of the audit trail, latest record first.
type Page struct {
	Records []*Record `json:"records"`
	// Next is the Before value of the next page, 0 if there is none.
	Next int64 `json:"next,omitempty"`
}

// Trail gives access to the change records in the store.
type Trail struct {
	store store.Store
}

// NewTrail returns the audit trail in s.
func NewTrail(s store.Store) *Trail { return &Trail{store: s} }

// List returns the records that match the filter, latest first. A page can have
// fewer records than the limit, or none, and still have a next page, because one
// call reads a limited number of blocks. Errors have the code StoreUnavailable or
// StoreBudgetSpent.
func (t *Trail) List(ctx context.Context, filter Filter) (Page, error) {
	if filter.Limit <= 0 {
		filter.Limit = DefaultLimit
	}
	last, err := t.headRevision(ctx)
	if err != nil {
		return Page{}, readError(err)
	}
	if filter.Before > 0 {
		last = min(last, filter.Before-1)
	}
	trimmed, _, err := t.trimPosition(ctx)
	if err != nil {
		return Page{}, readError(err)
	}
	var page Page
	for call := 0; last > trimmed; call++ {
		if call == maxListCalls || len(page.Records) == filter.Limit {
			page.Next = last + 1
			return page, nil
		}
		block, err := t.readBlock(ctx, last)
		if err != nil {
			return Page{}, readError(err)
		}
		last = page.appendMatches(block, last, filter)
	}
	return page, nil
}

// appendMatches appends the matching records of a block from revision last
// downwards, and returns the revision to continue from.
func (p *Page) appendMatches(block []*Record, last int64, filter Filter) int64 {
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

// readBlock reads the block of records that contains a revision, in ascending
// order.
func (t *Trail) readBlock(ctx context.Context, revision int64) ([]*Record, error) {
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

// headRevision returns the configuration revision of the store, or 0 if the store
// holds no configuration.
func (t *Trail) headRevision(ctx context.Context) (int64, error) {
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

// readError returns the result for a failed read of the audit trail.
func readError(err error) error {
	code := result.StoreUnavailable
	if errors.Is(err, store.ErrBudget) {
		code = result.StoreBudgetSpent
	}
	return result.Wrap(err, code, result.NotRun, "could not read the audit trail")
}

// matches applies all criteria of the filter except Before and Limit.
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
