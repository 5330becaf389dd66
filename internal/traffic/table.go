// Package traffic holds the configuration that decides about plain HTTP
// requests: routes, services, client accounts and limits. A Table is immutable;
// a new version replaces it as a whole.
package traffic

import (
	"hash/fnv"
	"sort"
	"strings"
	"time"
)

// Semantics says what may be repeated on a route.
type Semantics int

// Semantics of a route.
const (
	// NonIdempotent requests run at most once.
	NonIdempotent Semantics = iota
	// Idempotent requests are safe to repeat.
	Idempotent
	// Streaming requests run at most once unless the route is resumable.
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

// Share is the part of a route's requests that a service receives.
type Share struct {
	Service string
	Weight  float64
}

// Route selects the service of a request by host and path prefix.
type Route struct {
	Name       string
	Host       string
	PathPrefix string // with a slash at both ends
	Semantics  Semantics
	Shares     []Share       // at least one
	Timeout    time.Duration // longest time without a final answer; 0 means none
	Objective  time.Duration // latency for full credit, to the first event of a stream
	PauseLimit time.Duration // longest pause between events of a stream in time
	Priority   int           // 0 is served first
	Attempts   int           // upstreams to which one request may be sent, at least 1
	Public     bool          // needs no account key
	Resumable  bool          // a stream may go on at another upstream
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Semantics == Idempotent || r.Semantics == Streaming && r.Resumable
}

// ServiceFor picks the service for a request ID in proportion to the weights,
// the same on every daemon.
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

// Scaling bounds the number of upstreams that may be ordered in a data centre.
type Scaling struct {
	Min, Max   int
	BootTime   time.Duration
	SpotFactor float64            // price of a reclaimable instance relative to others; 0 means none exist
	Prices     map[string]float64 // price of an instance second by data centre
}

// Service is a set of upstreams.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int      // of one upstream, from all callers
	Scaling        *Scaling // nil if the service isn't scaled
}

// Account is a client account.
type Account struct {
	Name     string
	Priority int
	// HasPriority tells that Priority takes precedence over that of the route.
	HasPriority bool
	CountTokens bool // Rate and Burst are tokens instead of requests
	TokenCost   float64
	Rate        float64 // per second over all daemons; 0 means no limit
	Burst       float64
}

// Limits are the largest sizes and times of a client's request.
type Limits struct {
	MaxHeaderBytes, MaxBodyBytes int
	HeaderTimeout, IdleTimeout   time.Duration
}

// Table is one version of the configuration.
type Table struct {
	Version  int64
	Services map[string]*Service
	Accounts map[string]*Account
	Limits   Limits
	NeedKeys bool // requests on routes that aren't public need a key

	keys   map[string]*Account
	routes map[string][]*Route // by host, longest prefix first
}

// NewTable indexes routes and keys. keys maps an account key to its account.
func NewTable(version int64, routes []*Route, services []*Service, accounts []*Account, keys map[string]*Account, limits Limits) *Table {
	t := &Table{
		Version: version, Limits: limits, keys: keys, NeedKeys: len(accounts) > 0,
		Services: map[string]*Service{}, Accounts: map[string]*Account{}, routes: map[string][]*Route{},
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

// Match returns the route with the longest prefix of path, or nil.
func (t *Table) Match(host, path string) *Route {
	host = strings.ToLower(host)
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.Contains(host[i:], "]") {
		if _, known := t.routes[host]; !known {
			host = host[:i]
		}
	}
	for _, r := range t.routes[host] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// Routes returns all routes of the table.
func (t *Table) Routes() []*Route {
	var all []*Route
	for _, list := range t.routes {
		all = append(all, list...)
	}
	return all
}

// ShortestObjective returns the shortest latency objective of the streaming
// routes of a service, 0 if there is none.
func (t *Table) ShortestObjective(service string) time.Duration {
	shortest := time.Duration(0)
	for _, r := range t.Routes() {
		if r.Semantics != Streaming || r.Objective <= 0 || shortest > 0 && r.Objective >= shortest {
			continue
		}
		for _, share := range r.Shares {
			if share.Service == service {
				shortest = r.Objective
			}
		}
	}
	return shortest
}

// AccountOf returns the account that holds key, or nil.
func (t *Table) AccountOf(key string) *Account { return t.keys[key] }
