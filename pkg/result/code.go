package result

import (
	"fmt"
	"sort"
)

// Code is a numbered result. The thousands and hundreds give the area: 0
// success, 1000 caller input, 1100 authentication, 1200 limits, 1300 upstreams,
// 1400 orders, 1500 streams, 2000 configuration, 2100 store, 2200 moves, 2300
// membership, 9000 internal.
type Code int

// NoRoomPrefix begins the detail of a request that was refused because its service had no
// room; the inputs of the decision follow.
const NoRoomPrefix = "no room: "

// Result codes.
const (
	OK                  Code = 0
	BadRequest          Code = 1000
	UnknownService      Code = 1001
	BodyTooLarge        Code = 1002
	BadHeader           Code = 1003
	NotFound            Code = 1004
	Unauthenticated     Code = 1100
	Forbidden           Code = 1101
	AccountLimit        Code = 1200
	Overloaded          Code = 1201
	DeadlineTooShort    Code = 1202
	DeadlineExceeded    Code = 1203
	Draining            Code = 1204
	RetryBudgetSpent    Code = 1205
	NoUpstream          Code = 1300
	UpstreamUnreachable Code = 1301
	UpstreamFailed      Code = 1302
	UpstreamRefused     Code = 1303
	UpstreamIncomplete  Code = 1304
	PromptQuarantined   Code = 1305
	OrderKeyMissing     Code = 1400
	OrderKeyInvalid     Code = 1401
	OrderKeyExpired     Code = 1402
	OrderOutcomeUnknown Code = 1403
	OrderKeyReused      Code = 1404
	OrderInProgress     Code = 1405
	OrderFrozen         Code = 1406
	StreamUnknown       Code = 1500
	StreamGone          Code = 1501
	StreamMoved         Code = 1502
	InvalidObject       Code = 2000
	Conflict            Code = 2001
	ObjectNotFound      Code = 2002
	ReferenceBroken     Code = 2003
	SelectorConflict    Code = 2004
	StaleRevision       Code = 2005
	StoreUnavailable    Code = 2100
	NotStored           Code = 2101
	StoreOutcomeUnknown Code = 2102
	StoreBudgetSpent    Code = 2103
	MoveConflict        Code = 2200
	MoveNotFound        Code = 2201
	MoveLate            Code = 2202
	PeerUnreachable     Code = 2300
	LeaseLost           Code = 2301
	Internal            Code = 9000
)

type codeInfo struct {
	title  string
	status int // HTTP status
	cause  string
}

var codeInfos = map[Code]codeInfo{
	OK:                  {"ok", 200, "The request succeeded."},
	BadRequest:          {"bad request", 400, "The request is malformed; the detail names the field."},
	UnknownService:      {"unknown service", 404, "No service or route has this name."},
	BodyTooLarge:        {"body too large", 413, "The body exceeds the limit of the service or daemon."},
	BadHeader:           {"bad header", 400, "A header has an invalid value; the detail names it."},
	NotFound:            {"not found", 404, "The path does not exist."},
	Unauthenticated:     {"unauthenticated", 401, "The Authorization header is missing or the key is unknown."},
	Forbidden:           {"forbidden", 403, "The client account may not use this endpoint."},
	AccountLimit:        {"account limit", 429, "The client account has used up its share."},
	Overloaded:          {"overloaded", 503, "All upstreams are at their limit and the queue is full."},
	DeadlineTooShort:    {"deadline too short", 503, "The request cannot finish before its deadline and was refused before it was sent."},
	DeadlineExceeded:    {"deadline exceeded", 504, "The deadline passed before the response was complete."},
	Draining:            {"draining", 503, "The daemon is stopping; use one of the listed addresses."},
	RetryBudgetSpent:    {"retry budget spent", 503, "An attempt failed and the retry budget of the service is spent."},
	NoUpstream:          {"no upstream", 503, "No upstream of the selected version is available."},
	UpstreamUnreachable: {"upstream unreachable", 502, "No connection to an upstream could be made."},
	UpstreamFailed:      {"upstream failed", 502, "The upstream answered with a failure."},
	UpstreamRefused:     {"upstream refused", 503, "The upstream refused the request without executing it."},
	UpstreamIncomplete:  {"upstream incomplete", 502, "The upstream's response ended before it was complete."},
	PromptQuarantined:   {"prompt quarantined", 503, "Requests with a part of this prompt crashed several upstreams."},
	OrderKeyMissing:     {"order key missing", 400, "A non-idempotent request needs an Idempotency-Key built from an order token."},
	OrderKeyInvalid:     {"order key invalid", 400, "The Idempotency-Key carries no valid order token."},
	OrderKeyExpired:     {"order key expired", 409, "The order token has expired; the outcome of the key is no longer known."},
	OrderOutcomeUnknown: {"order outcome unknown", 504, "The order may or may not have been executed."},
	OrderKeyReused:      {"order key reused", 422, "The Idempotency-Key was used with a different request."},
	OrderInProgress:     {"order in progress", 409, "The order is still being executed; ask again with the same key."},
	OrderFrozen:         {"order frozen", 503, "The executor is stopping and did not start the order."},
	StreamUnknown:       {"stream unknown", 404, "No request with this ID is known here."},
	StreamGone:          {"stream gone", 410, "The events after Last-Event-ID are no longer kept."},
	StreamMoved:         {"stream moved", 503, "The stream continues on another daemon; use one of the listed addresses."},
	InvalidObject:       {"invalid object", 400, "An object is invalid; the detail names file, object and field."},
	Conflict:            {"conflict", 409, "The object was changed since the given revision."},
	ObjectNotFound:      {"object not found", 404, "No object has this kind and name."},
	ReferenceBroken:     {"reference broken", 409, "An object refers to one that does not exist."},
	SelectorConflict:    {"selector conflict", 409, "Two selectors or routes match the same traffic with equal priority."},
	StaleRevision:       {"stale revision", 409, "The revision is older than the one in force."},
	StoreUnavailable:    {"store unavailable", 503, "The key-value store did not answer in time."},
	NotStored:           {"not stored", 503, "The change was not stored and has no effect."},
	StoreOutcomeUnknown: {"store outcome unknown", 504, "The change may have been stored; its change ID tells later."},
	StoreBudgetSpent:    {"store budget spent", 503, "The daemon's budget of store calls is spent."},
	MoveConflict:        {"move conflict", 409, "Another move of the same service is open."},
	MoveNotFound:        {"move not found", 404, "No move has this name."},
	MoveLate:            {"move late", 409, "The move cannot reach its share by the deadline."},
	PeerUnreachable:     {"peer unreachable", 502, "A daemon that is needed for the request did not answer."},
	LeaseLost:           {"lease lost", 409, "The holder's lease has expired."},
	Internal:            {"internal", 500, "An unexpected error; the log has the cause."},
}

// Title returns the short name of the code.
func (c Code) Title() string { return codeInfos[c].title }

// HTTPStatus returns the HTTP status that problem documents use for the code.
func (c Code) HTTPStatus() int {
	if info, ok := codeInfos[c]; ok {
		return info.status
	}
	return 500
}

// Cause returns one sentence that explains the code.
func (c Code) Cause() string { return codeInfos[c].cause }

// Known reports whether the code is defined.
func (c Code) Known() bool {
	_, ok := codeInfos[c]
	return ok
}

// Codes returns all codes in ascending order.
func Codes() []Code {
	codes := make([]Code, 0, len(codeInfos))
	for c := range codeInfos {
		codes = append(codes, c)
	}
	sort.Slice(codes, func(i, j int) bool { return codes[i] < codes[j] })
	return codes
}

// Row returns the code as a row of the table in docs/errors.md.
func (c Code) Row() string {
	return fmt.Sprintf("| %d | %s | %d | %s |", c, c.Title(), c.HTTPStatus(), c.Cause())
}
