// Package operatorapi defines the JSON documents of the operators' and
// address endpoints, shared by the server and the command line.
package operatorapi

import (
	"time"

	"github.com/dogwoodrudder/dogwoodrudder/pkg/object"
)

// Paths of the operators' API.
const (
	PathApply    = "/operator/v1/apply"
	PathObjects  = "/operator/v1/objects"
	PathMoves    = "/operator/v1/moves"
	PathAudit    = "/operator/v1/audit"
	PathStatus   = "/operator/v1/status"
	PathDrain    = "/operator/v1/drain"
	PathUpstream = "/operator/v1/upstreams"
	PathAddress  = "/v1/address"
)

// AddressAnswer tells a caller which daemons to use.
type AddressAnswer struct {
	// Addresses are ip:port pairs in order of preference.
	Addresses []string `json:"addresses"`
	// TTLSeconds is how long the answer may be kept.
	TTLSeconds int `json:"ttlSeconds"`
	// OrderToken is the first part of Idempotency-Keys of orders.
	OrderToken        string    `json:"orderToken,omitempty"`
	OrderTokenExpires time.Time `json:"orderTokenExpires,omitzero"`
}

// ApplyAnswer reports an accepted change.
type ApplyAnswer struct {
	// Revision is the configuration revision in force after the change.
	Revision int64 `json:"revision"`
	// DryRun means that the change was only validated.
	DryRun  bool           `json:"dryRun,omitempty"`
	Objects []AppliedEntry `json:"objects"`
}

// AppliedEntry is one object of a change.
type AppliedEntry struct {
	Kind   object.Kind `json:"kind"`
	Name   string      `json:"name"`
	Action string      `json:"action"` // "created", "updated" or "deleted"
}

// ObjectList is an answer with objects.
type ObjectList struct {
	Revision int64            `json:"revision"`
	Objects  []*object.Object `json:"objects"`
}

// MoveStatus reports the progress of a move.
type MoveStatus struct {
	Name       string           `json:"name"`
	Service    string           `json:"service"`
	From       string           `json:"from"`
	To         string           `json:"to"`
	State      object.MoveState `json:"state"`
	Deadline   time.Time        `json:"deadline"`
	Generation int64            `json:"generation"`
	// TargetPercent is the share that the ramp asks for now.
	TargetPercent float64 `json:"targetPercent"`
	// MeasuredPercent is the share seen on this daemon or, on an evaluator,
	// by all daemons; -1 if there was no request.
	MeasuredPercent float64 `json:"measuredPercent"`
	Requests        uint64  `json:"requests"`
	// Condition is "on time", "late", "stalled" or "impossible".
	Condition string `json:"condition"`
	Evidence  string `json:"evidence,omitempty"`
}

// MemberStatus is one daemon in a status answer.
type MemberStatus struct {
	ID         string `json:"id"`
	Name       string `json:"name"`
	DataCentre string `json:"dataCentre"`
	State      string `json:"state"`
	Revision   int64  `json:"revision"`
	HTTP       string `json:"http"`
}

// UpstreamStatus is one upstream in a status answer.
type UpstreamStatus struct {
	Name       string  `json:"name"`
	Address    string  `json:"address"`
	DataCentre string  `json:"dataCentre"`
	State      string  `json:"state"`
	InFlight   int     `json:"inFlight"`
	Limit      int     `json:"limit"`
	Health     float64 `json:"health"`
}

// Status is the state of one daemon.
type Status struct {
	DaemonID   string `json:"daemonId"`
	Name       string `json:"name"`
	DataCentre string `json:"dataCentre"`
	State      string `json:"state"`
	Revision   int64  `json:"revision"`
	// StoreContactAgeSeconds is the time since the last answer of the store,
	// -1 if there was none.
	StoreContactAgeSeconds float64          `json:"storeContactAgeSeconds"`
	StoreFault             string           `json:"storeFault,omitempty"`
	Members                []MemberStatus   `json:"members"`
	Upstreams              []UpstreamStatus `json:"upstreams"`
	InFlight               int              `json:"inFlight"`
	Leases                 []string         `json:"leases,omitempty"`
}

// AuditRecord is one entry of the audit trail.
type AuditRecord struct {
	Revision    int64     `json:"revision"`
	Time        time.Time `json:"time"`
	Account     string    `json:"account"`
	From        string    `json:"from"`
	Object      string    `json:"object"`
	Action      string    `json:"action"`
	OldRevision int64     `json:"oldRevision"`
	Result      string    `json:"result"`
	Evidence    string    `json:"evidence,omitempty"`
}

// AuditAnswer is a page of the audit trail, newest first.
type AuditAnswer struct {
	Records []AuditRecord `json:"records"`
}
