// Package traffic holds the configuration for plain HTTP requests: routes,
// services, client accounts and limits. A Table is immutable; a new version
// replaces it as a whole.
package traffic

import (
	"hash/fnv"
	"sort"
	"strings"
	"time"
)

// Semantics tells whether the requests of a route may be repeated.
type Semantics int

// Semantics of a route.
const (
	// NonIdempotent requests must run at most once.
	NonIdempotent Semantics = iota
	// Idempotent requests are safe to repeat.
	Idempotent
	// Streaming requests must run at most once unless the route is resumable.
	Streaming
)

// String returns the name used in logs and metrics.
func (s Semantics) String() string {
	switch s {
	case Idempotent:
		return "idempotent"
	case Streaming:
		return "streaming"
	default:
		return "non_idempotent"
	}
}

// Share is the share of a route's requests that a service receives.
type Share struct {
	Service string
	Weight  float64 // relative to the sum of the route's weights
}

// Route selects the service of a request by host and path prefix.
type Route struct {
	Name        string
	Host        string
	PathPrefix  string // with a slash at both ends
	Semantics   Semantics
	Shares      []Share       // at least one
	Timeout     time.Duration // maximum time to the end of the response; 0 means none
	Objective   time.Duration // latency objective (SLO); for streams, to the first event
	MaxEventGap time.Duration // maximum time between two events of a stream that is on time
	Priority    int           // 0 is the highest
	Attempts    int           // maximum number of instances that one request is sent to, at least 1
	Public      bool          // no account key is required
	Resumable   bool          // a stream may be resumed at another instance
	HomeRegions []string      // regions in which requests may be handled; empty means all
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Semantics == Idempotent || r.Semantics == Streaming && r.Resumable
}

// ServiceFor picks the service for a request ID in proportion to the weights of
// the shares. Every daemon picks the same service for the same ID.
func (r *Route) ServiceFor(requestID string) string {
	if len(r.Shares) == 1 {
		return r.Shares[0].Service
	}
	var total float64
	for _, s := range r.Shares {
		total += s.Weight
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(requestID))
	point := float64(h.Sum64()>>11) / (1 << 53) * total
	for _, s := range r.Shares {
		if point < s.Weight {
			return s.Service
		}
		point -= s.Weight
	}
	return r.Shares[len(r.Shares)-1].Service
}

// Scaling holds the limits and prices for scaling a service.
type Scaling struct {
	Min, Max   int                // number of instances per data centre
	BootTime   time.Duration      // from the order of an instance until it is ready
	SpotFactor float64            // price of a reclaimable instance relative to others; 0 means none exist
	Prices     map[string]float64 // price of an instance per second, by data centre
}

// Service is a set of upstream instances.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int      // that one instance accepts from all clients together; 0 if unknown
	Scaling        *Scaling // nil if the service is not scaled
	// WarmupTime is how long an instance is cold after its start. WarmupRate is the
	// number of requests per second that a cold instance bears; 0 means no limit.
	WarmupTime time.Duration
	WarmupRate float64
}

// Account is a client account.
type Account struct {
	Name     string
	Priority int
	// HasPriority reports that Priority takes precedence over that of the route.
	HasPriority      bool
	CountTokens      bool    // Rate and Burst count tokens instead of requests
	DefaultTokenCost float64 // tokens of a request that does not state its tokens
	Rate             float64 // per second over all daemons; 0 means no limit
	Burst            float64
	HomeRegions      []string // regions in which its requests may be handled; empty means all
}

// Limits holds the maximum sizes and times of client requests.
type Limits struct {
	MaxHeaderBytes, MaxBodyBytes int
	HeaderTimeout, IdleTimeout   time.Duration
}

// Table is one version of the configuration.
type Table struct {
	Version     int64
	Services    map[string]*Service
	Accounts    map[string]*Account
	Limits      Limits
	RequireKeys bool // requests on routes that are not public require an account key

	keys   map[string]*Account
	routes map[string][]*Route // by host in lower case, longest prefix first
	levels map[string][]level  // by service, each once
}

// NewTable returns a table. keys maps account keys to accounts.
func NewTable(version int64, routes []*Route, services []*Service, accounts []*Account, keys map[string]*Account, limits Limits) *Table {
	t := &Table{
		Version: version, Limits: limits, keys: keys, RequireKeys: len(accounts) > 0,
		Services: map[string]*Service{}, Accounts: map[string]*Account{}, routes: map[string][]*Route{},
		levels: urgencyLevels(routes),
	}
	for _, s := range services {
		t.Services[s.Name] = s
	}
	for _, a := range accounts {
		t.Accounts[a.Name] = a
	}
	for _, r := range routes {
		host := strings.ToLower(r.Host)
		t.routes[host] = append(t.routes[host], r)
	}
	for _, list := range t.routes {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].PathPrefix) > len(list[j].PathPrefix) })
	}
	return t
}

// Match returns the route of the host with the longest prefix of path, or nil. The
// port of the host is ignored unless a route names it.
func (t *Table) Match(host, path string) *Route {
	for _, r := range t.RoutesOf(host) {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// RoutesOf returns the routes of a host, those with the longest prefix first. The port of
// the host is ignored unless a route names it. The caller must not change the result.
func (t *Table) RoutesOf(host string) []*Route {
	host = strings.ToLower(host)
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.Contains(host[i:], "]") {
		if _, known := t.routes[host]; !known {
			host = host[:i]
		}
	}
	return t.routes[host]
}

// Routes returns all routes of the table.
func (t *Table) Routes() []*Route {
	var all []*Route
	for _, list := range t.routes {
		all = append(all, list...)
	}
	return all
}

// MinObjective returns the smallest latency objective of the streaming routes of a
// service, or 0 if there is none.
func (t *Table) MinObjective(service string) time.Duration {
	smallest := time.Duration(0)
	for _, r := range t.Routes() {
		if r.Semantics != Streaming || r.Objective <= 0 || smallest > 0 && r.Objective >= smallest {
			continue
		}
		for _, share := range r.Shares {
			if share.Service == service {
				smallest = r.Objective
			}
		}
	}
	return smallest
}

// AccountByKey returns the account of an account key, or nil.
func (t *Table) AccountByKey(key string) *Account { return t.keys[key] }
