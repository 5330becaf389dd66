// Package object defines the configuration objects that operators write:
// services, versions, client accounts, upstreams, upstream selectors, routes
// and moves, with their labels, selectors, codec and validation.
package object

import (
	"time"
)

// Kind names the type of an object.
type Kind string

// Kinds of objects.
const (
	KindService          Kind = "Service"
	KindVersion          Kind = "Version"
	KindClientAccount    Kind = "ClientAccount"
	KindUpstream         Kind = "Upstream"
	KindUpstreamSelector Kind = "UpstreamSelector"
	KindRoute            Kind = "Route"
	KindMove             Kind = "Move"
)

// Kinds lists all kinds in the order in which they may refer to each other.
func Kinds() []Kind {
	return []Kind{
		KindService, KindVersion, KindClientAccount, KindUpstream,
		KindUpstreamSelector, KindRoute, KindMove,
	}
}

// Metadata is common to all objects.
type Metadata struct {
	// Name is unique within the kind: lower-case letters, digits, '-' and '.',
	// at most 63 bytes.
	Name   string            `json:"name"`
	Labels map[string]string `json:"labels,omitempty"`
	// Revision is the configuration revision of the object's last change. A
	// writer sends the revision it read to detect races; 0 means no check.
	Revision int64 `json:"revision,omitempty"`
}

// Spec is implemented by the typed specification of each kind.
type Spec interface {
	Kind() Kind
}

// Object is one configuration object.
type Object struct {
	Kind     Kind     `json:"kind"`
	Metadata Metadata `json:"metadata"`
	Spec     Spec     `json:"spec"`
}

// Ref identifies an object.
type Ref struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
}

// Ref returns the object's identity.
func (o *Object) Ref() Ref { return Ref{Kind: o.Kind, Name: o.Metadata.Name} }

// String returns "Kind/name".
func (r Ref) String() string { return string(r.Kind) + "/" + r.Name }

// Protocol is the protocol of a service's upstreams.
type Protocol string

// Protocols of services.
const (
	// ProtocolOpenAI is the OpenAI-compatible chat completions API.
	ProtocolOpenAI Protocol = "openai"
	// ProtocolHTTP is plain HTTP.
	ProtocolHTTP Protocol = "http"
)

// Duration is a time.Duration written as a string such as "1.5s".
type Duration time.Duration

// Service is something that callers can ask for.
type Service struct {
	Protocol Protocol `json:"protocol"`
	// Operations lists the calls of an HTTP service. A call that matches none
	// is refused. OpenAI services leave it empty; their calls are idempotent.
	Operations []Operation `json:"operations,omitempty"`
	// Timeout bounds a request that brings no deadline of its own.
	Timeout Duration `json:"timeout,omitempty"`
	// MaxBodyBytes bounds a request body; 0 means the daemon's limit.
	MaxBodyBytes int64 `json:"maxBodyBytes,omitempty"`
	// RetryPercent bounds retries relative to the offered load, 0 to 20.
	RetryPercent int `json:"retryPercent,omitempty"`
	// HedgeAfter starts a second attempt of an idempotent short request after
	// this time; 0 turns hedging off.
	HedgeAfter Duration `json:"hedgeAfter,omitempty"`
	// ShortPromptBytes is the largest prompt of the request class "short".
	ShortPromptBytes int `json:"shortPromptBytes,omitempty"`
	// SlowAfter is the latency (first token or whole reply) above which a
	// reply counts as slow in move evidence.
	SlowAfter Duration `json:"slowAfter,omitempty"`
}

// Operation is a call of an HTTP service.
type Operation struct {
	Name   string `json:"name"`
	Method string `json:"method"`
	// Path is the path below /app/{service}; a trailing "*" matches any rest.
	Path       string `json:"path"`
	Idempotent bool   `json:"idempotent"`
}

// Version is one release of a service.
type Version struct {
	Service string `json:"service"`
	// Model is the model or adapter name sent to OpenAI-compatible engines.
	Model string `json:"model,omitempty"`
	// Selector names the UpstreamSelector that gives the version's upstreams.
	Selector string `json:"selector"`
}

// Role is what the holder of an account may do.
type Role string

// Roles of client accounts.
const (
	RoleCaller   Role = "caller"
	RoleOperator Role = "operator"
)

// ClientAccount is a caller or operator.
type ClientAccount struct {
	Role Role `json:"role"`
	// KeyHashes are "sha256:" and the hex digest of each valid key.
	KeyHashes []string `json:"keyHashes"`
	// Weight is the account's share relative to the others, 1 to 1000.
	Weight int `json:"weight,omitempty"`
	// Priority is added to the request class's priority, -10 to 10.
	Priority int `json:"priority,omitempty"`
	// MaxInFlight bounds concurrent requests on each daemon; 0 means no bound.
	MaxInFlight int `json:"maxInFlight,omitempty"`
}

// Upstream is one process that serves requests.
type Upstream struct {
	// Address is ip:port.
	Address    string `json:"address"`
	DataCentre string `json:"dataCentre"`
	// Instance is the cloud's name of the machine.
	Instance     string `json:"instance,omitempty"`
	MachineClass string `json:"machineClass,omitempty"`
	// PricePerHour is in the currency of the deployment.
	PricePerHour float64 `json:"pricePerHour,omitempty"`
	Reclaimable  bool    `json:"reclaimable,omitempty"`
	// ChecksFencing tells whether the upstream refuses outdated fencing tokens.
	ChecksFencing bool `json:"checksFencing,omitempty"`
	// MaxConcurrency bounds requests in flight from one daemon; 0 means adaptive only.
	MaxConcurrency int `json:"maxConcurrency,omitempty"`
}

// UpstreamSelector picks upstreams by label.
type UpstreamSelector struct {
	Selector Selector `json:"selector"`
}

// RequestClass separates quick questions from long reports.
type RequestClass string

// Request classes.
const (
	ClassShort RequestClass = "short"
	ClassLong  RequestClass = "long"
)

// Route decides which version serves matching requests.
type Route struct {
	Service string `json:"service"`
	// Accounts matches the labels of the client account; empty matches all.
	Accounts Selector `json:"accounts,omitempty"`
	// Class matches the request class; empty matches both.
	Class RequestClass `json:"class,omitempty"`
	// Operation matches the operation name of an HTTP service; empty matches all.
	Operation string `json:"operation,omitempty"`
	// Priority orders routes; the highest matching one applies.
	Priority int `json:"priority,omitempty"`
	// Shares give each version a percentage; they add up to 100.
	Shares []Share `json:"shares"`
}

// Share is a version's part of a route's traffic.
type Share struct {
	Version string  `json:"version"`
	Percent float64 `json:"percent"`
}

// Move shifts a service's traffic from one version to another by a deadline.
type Move struct {
	Service string `json:"service"`
	From    string `json:"from"`
	To      string `json:"to"`
	// Start and Deadline are RFC 3339 times.
	Start    time.Time `json:"start"`
	Deadline time.Time `json:"deadline"`
	// Route limits the move to one route; empty means all routes of the service.
	Route string `json:"route,omitempty"`
	// Accounts limits the move to client accounts with these labels.
	Accounts Selector `json:"accounts,omitempty"`
	// Steps replace the default ramp.
	Steps []Step `json:"steps,omitempty"`
	// State is written by operators ("open", "cancelled") and by the system
	// ("done", "taken back").
	State MoveState `json:"state,omitempty"`
	// Evidence explains a state that the system wrote.
	Evidence string `json:"evidence,omitempty"`
	// Generation is the configuration revision at which the move was started.
	Generation int64 `json:"generation,omitempty"`
}

// MoveState is the recorded state of a move.
type MoveState string

// Move states.
const (
	MoveOpen      MoveState = "open"
	MoveCancelled MoveState = "cancelled"
	MoveDone      MoveState = "done"
	MoveTakenBack MoveState = "taken back"
)

// Step is one stage of a ramp.
type Step struct {
	// After is the time since the move's start.
	After   Duration `json:"after"`
	Percent float64  `json:"percent"`
}

// Kind implements Spec.
func (*Service) Kind() Kind { return KindService }

// Kind implements Spec.
func (*Version) Kind() Kind { return KindVersion }

// Kind implements Spec.
func (*ClientAccount) Kind() Kind { return KindClientAccount }

// Kind implements Spec.
func (*Upstream) Kind() Kind { return KindUpstream }

// Kind implements Spec.
func (*UpstreamSelector) Kind() Kind { return KindUpstreamSelector }

// Kind implements Spec.
func (*Route) Kind() Kind { return KindRoute }

// Kind implements Spec.
func (*Move) Kind() Kind { return KindMove }
