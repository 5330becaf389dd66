// Package operatorapi defines the paths and JSON documents of the operators' API
// and of the address lookup. The server and the command line share them.
package operatorapi

import (
	"time"

	"github.com/dogwoodrudder/dogwoodrudder/pkg/object"
)

// Paths of the operators' API and of the address lookup.
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

// AddressResponse is the response to an address lookup. It tells a caller which
// daemons to use.
type AddressResponse struct {
	// Addresses are ip:port pairs in order of preference.
	Addresses []string `json:"addresses"`
	// TTLSeconds is how long the response may be cached.
	TTLSeconds int `json:"ttlSeconds"`
	// OrderToken is the first part of the Idempotency-Keys of orders. It is empty
	// if the daemon issues none, for example because it is stopping.
	OrderToken        string    `json:"orderToken,omitempty"`
	OrderTokenExpires time.Time `json:"orderTokenExpires,omitzero"`
}

// ApplyResponse reports an accepted change.
type ApplyResponse struct {
	// Revision is the configuration revision in force after the change.
	Revision int64 `json:"revision"`
	// DryRun means that the change was only validated.
	DryRun  bool            `json:"dryRun,omitempty"`
	Objects []AppliedObject `json:"objects"`
}

// AppliedObject is an object that a change created, updated or deleted.
type AppliedObject struct {
	Kind   object.Kind `json:"kind"`
	Name   string      `json:"name"`
	Action string      `json:"action"` // "created", "updated" or "deleted"
}

// ObjectList is a response with objects.
type ObjectList struct {
	Revision int64            `json:"revision"`
	Objects  []*object.Object `json:"objects"`
}

// MoveStatus reports the progress of a move.
type MoveStatus struct {
	Name     string           `json:"name"`
	Service  string           `json:"service"`
	From     string           `json:"from"`
	To       string           `json:"to"`
	State    object.MoveState `json:"state"`
	Deadline time.Time        `json:"deadline"`
	// Generation is the configuration revision at which the move was started.
	Generation int64 `json:"generation"`
	// TargetPercent is the share of traffic that the new version should get now
	// according to the ramp.
	TargetPercent float64 `json:"targetPercent"`
	// MeasuredPercent is the share of requests that the new version received at
	// this daemon or, if this daemon is an evaluator, at all daemons; -1 if there
	// were no requests.
	MeasuredPercent float64 `json:"measuredPercent"`
	// Requests is the number of requests that MeasuredPercent covers.
	Requests uint64 `json:"requests"`
	// Condition is "on time", "late", "stalled" or "impossible".
	Condition string `json:"condition"`
	// Evidence gives the reason for the state, or a summary of the measurements.
	Evidence string `json:"evidence,omitempty"`
}

// MemberStatus is one daemon in a status response.
type MemberStatus struct {
	ID         string `json:"id"`
	Name       string `json:"name"`
	DataCentre string `json:"dataCentre"`
	State      string `json:"state"`
	Revision   int64  `json:"revision"`
	HTTP       string `json:"http"`
}

// UpstreamStatus is one upstream in a status response.
type UpstreamStatus struct {
	Name       string  `json:"name"`
	Address    string  `json:"address"`
	DataCentre string  `json:"dataCentre"`
	State      string  `json:"state"`
	InFlight   int     `json:"inFlight"`
	Limit      int     `json:"limit"`
	Health     float64 `json:"health"`
}

// Status is the state of one daemon and what it knows about its peers and
// upstreams.
type Status struct {
	DaemonID   string `json:"daemonId"`
	Name       string `json:"name"`
	DataCentre string `json:"dataCentre"`
	State      string `json:"state"`
	Revision   int64  `json:"revision"`
	// StoreContactAgeSeconds is the time since the last response of the store,
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
	Revision int64     `json:"revision"`
	Time     time.Time `json:"time"`
	Account  string    `json:"account"`
	// From is the remote address of the request.
	From   string `json:"from"`
	Object string `json:"object"`
	Action string `json:"action"`
	// OldRevision is the revision of the object before the change.
	OldRevision int64  `json:"oldRevision"`
	Result      string `json:"result"`
	Evidence    string `json:"evidence,omitempty"`
}

// AuditResponse holds records of the audit trail, newest first.
type AuditResponse struct {
	Records []AuditRecord `json:"records"`
}
