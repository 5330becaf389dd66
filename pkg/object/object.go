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

// Kinds returns all kinds in the order in which objects are listed and validated.
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
	// writer sends the revision that it read, so that a concurrent change is
	// detected; 0 means no check.
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

// Service is a service that clients call.
type Service struct {
	Protocol Protocol `json:"protocol"`
	// Operations lists the operations of an HTTP service. A request that matches
	// none is refused. OpenAI services leave it empty; their requests are idempotent.
	Operations []Operation `json:"operations,omitempty"`
	// Timeout is the time limit of a request that states no deadline.
	Timeout Duration `json:"timeout,omitempty"`
	// MaxBodyBytes is the maximum size of a request body; 0 means the daemon's limit.
	MaxBodyBytes int64 `json:"maxBodyBytes,omitempty"`
	// RetryPercent is the maximum of retries as a percentage of the offered load,
	// 0 to 20.
	RetryPercent int `json:"retryPercent,omitempty"`
	// HedgeAfter starts a second attempt of an idempotent short request after
	// this time; 0 turns hedging off.
	HedgeAfter Duration `json:"hedgeAfter,omitempty"`
	// ShortPromptBytes is the size of the largest prompt in request class "short".
	ShortPromptBytes int `json:"shortPromptBytes,omitempty"`
	// SlowAfter is the latency (first token or whole reply) above which a reply
	// counts as slow when the versions of a move are compared.
	SlowAfter Duration `json:"slowAfter,omitempty"`
}

// Operation is an operation of an HTTP service.
type Operation struct {
	Name   string `json:"name"`
	Method string `json:"method"`
	// Path is the path below /app/{service}; a trailing "*" matches any suffix.
	Path       string `json:"path"`
	Idempotent bool   `json:"idempotent"`
}

// Version is one release of a service.
type Version struct {
	Service string `json:"service"`
	// Model is the model or adapter name sent to OpenAI-compatible engines.
	Model string `json:"model,omitempty"`
	// Selector names the UpstreamSelector that selects the version's upstreams.
	Selector string `json:"selector"`
}

// Role determines what an account is authorised to do.
type Role string

// Roles of client accounts.
const (
	RoleCaller   Role = "caller"
	RoleOperator Role = "operator"
)

// ClientAccount is a caller or operator.
type ClientAccount struct {
	Role Role `json:"role"`
	// KeyHashes holds, for each valid key, "sha256:" and the hexadecimal digest.
	KeyHashes []string `json:"keyHashes"`
	// Weight is the account's share of the capacity relative to other accounts,
	// 1 to 1000; 0 means the default.
	Weight int `json:"weight,omitempty"`
	// Priority is added to the request class's priority, -10 to 10.
	Priority int `json:"priority,omitempty"`
	// MaxInFlight is the maximum number of concurrent requests on each daemon; 0 means
	// no limit.
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
	// ChecksFencing means that the upstream refuses outdated fencing tokens.
	ChecksFencing bool `json:"checksFencing,omitempty"`
	// MaxConcurrency is the maximum number of requests in flight from one daemon; 0
	// leaves only the adaptive limit.
	MaxConcurrency int `json:"maxConcurrency,omitempty"`
}

// UpstreamSelector picks upstreams by label.
type UpstreamSelector struct {
	Selector Selector `json:"selector"`
}

// RequestClass classifies requests by the size of their prompt; see
// Service.ShortPromptBytes.
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
	// Priority orders the routes; the matching route with the highest priority applies.
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
	// Steps replaces the default ramp of the traffic share.
	Steps []Step `json:"steps,omitempty"`
	// State is written by operators ("open", "cancelled") and by daemons ("done",
	// "taken back").
	State MoveState `json:"state,omitempty"`
	// Evidence gives the reason for a state that a daemon wrote.
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
	MoveDone      MoveState = "done"       // the new version serves all traffic of the move
	MoveTakenBack MoveState = "taken back" // rolled back: the old version serves it again
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
