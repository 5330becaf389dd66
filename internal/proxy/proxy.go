// Package proxy forwards authenticated requests to upstreams. It chooses a
// version and an upstream, makes the attempts, and keeps the data by which a
// model request can be finished on another upstream or another daemon.
package proxy

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"github.com/panjf2000/ants/v2"

	"github.com/dogwoodrudder/dogwoodrudder/internal/app"
	"github.com/dogwoodrudder/dogwoodrudder/internal/config"
	"github.com/dogwoodrudder/dogwoodrudder/internal/engine"
	"github.com/dogwoodrudder/dogwoodrudder/internal/upstreams"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/admission"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/object"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/result"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/retry"
)

// Caller is an authenticated client account.
type Caller struct {
	Account string // name of the client account
	Labels  map[string]string
	Spec    *object.ClientAccount
}

// Observation is the outcome of one attempt, as evidence about a version in a
// move.
type Observation struct {
	Service    string
	Route      string
	Version    string
	DataCentre string
	Upstream   string
	Account    string
	Failed     bool
	// Latency is the time to the first byte; 0 if no byte arrived.
	Latency time.Duration
}

// Versions chooses the version that serves a request.
type Versions interface {
	// Choose returns the route and version for a request. The error is a
	// *result.Error with execution "not run".
	Choose(q VersionQuery) (VersionChoice, error)
}

// VersionQuery describes a request for which a version is chosen.
type VersionQuery struct {
	Service   string
	Caller    Caller
	Class     object.RequestClass
	Operation string
	Session   string
	// Failed is the version on which the last attempt failed, empty if none.
	Failed string
}

// VersionChoice is the route that matches a request and the version chosen by it.
type VersionChoice struct {
	Route   string
	Version string
}

// Options configure a Proxy.
type Options struct {
	Clock     clockwork.Clock
	Log       *slog.Logger
	Directory *upstreams.Directory
	Admission *admission.Controller
	Versions  Versions
	Engine    engine.Engine
	App       app.Client
	Orders    Orders
	Config    func() *config.Snapshot // returns the current configuration
	Observe   func(Observation)
	// Records holds the requests that leaving daemons copied to this one; may be
	// nil.
	Records Records
	// Accounts looks up a client account that another daemon authenticated.
	Accounts func(name string) Caller
	Calls    *ants.Pool // runs the attempts of model requests

	RequestTimeout    time.Duration // for services that set no timeout
	FirstByteTimeout  time.Duration
	TokenTimeout      time.Duration // maximum wait for the next chunk of a stream
	MigrationDeadline time.Duration // timeout of the export and of the import of a KV cache
	ResumeWindow      time.Duration // how long a request without a reader is kept
	MaxStreamBytes    int
}

// Proxy forwards requests to upstreams. It is safe for concurrent use.
type Proxy struct {
	options  Options
	registry *registry
	metrics  *proxyMetrics
	charts   requestCharts

	mu       sync.Mutex
	policies map[string]*servicePolicy
	draining bool
}

// servicePolicy holds the retry budget and policy of a service.
type servicePolicy struct {
	spec   *object.Service
	budget *retry.Budget
	policy *retry.Policy
}

// New returns a proxy. It fails only if the statecharts can't be loaded.
func New(options Options) (*Proxy, error) {
	charts, err := loadCharts()
	if err != nil {
		return nil, err
	}
	return &Proxy{
		options: options, registry: newRegistry(), metrics: newProxyMetrics(),
		policies: make(map[string]*servicePolicy), charts: charts,
	}, nil
}

// policyOf returns the retry policy of a service. Policy and budget are kept until
// the service's specification changes.
func (p *Proxy) policyOf(service string, spec *object.Service) *servicePolicy {
	p.mu.Lock()
	defer p.mu.Unlock()
	existing := p.policies[service]
	if existing != nil && existing.spec == spec {
		return existing
	}
	ratio := float64(spec.RetryPercent) / 100
	if spec.RetryPercent == 0 {
		ratio = retry.MaxRatio
	}
	budget := retry.NewBudget(retry.BudgetConfig{Clock: p.options.Clock, Ratio: ratio, NoPriorLoad: existing == nil})
	created := &servicePolicy{spec: spec, budget: budget, policy: retry.NewPolicy(
		retry.PolicyConfig{Clock: p.options.Clock, HedgeAfter: time.Duration(spec.HedgeAfter)}, budget)}
	p.policies[service] = created
	return created
}

// serviceOf returns the service with the given name and protocol.
func (p *Proxy) serviceOf(name string, protocol object.Protocol) (*object.Service, error) {
	spec, _, ok := object.Lookup[*object.Service](p.options.Config().Set, object.KindService, name)
	if !ok || spec.Protocol != protocol {
		return nil, result.New(result.UnknownService, result.NotRun, "no %s service is named %q", protocol, name)
	}
	return spec, nil
}

// deadlineOf returns the deadline of a request: the requested one, else that of
// the service's timeout, else that of the default timeout.
func (p *Proxy) deadlineOf(requested time.Time, spec *object.Service) (time.Time, error) {
	now := p.options.Clock.Now()
	if !requested.IsZero() {
		if !requested.After(now) {
			return time.Time{}, result.New(result.DeadlineTooShort, result.NotRun, "the request's deadline has passed")
		}
		return requested, nil
	}
	if spec.Timeout > 0 {
		return now.Add(time.Duration(spec.Timeout)), nil
	}
	return now.Add(p.options.RequestTimeout), nil
}

// refuseIfDraining returns an error after BeginDrain.
func (p *Proxy) refuseIfDraining() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.draining {
		return result.New(result.Draining, result.NotRun, "the daemon is stopping")
	}
	return nil
}

// Requests returns the number of unfinished model requests.
func (p *Proxy) Requests() int { return len(p.registry.running()) }

// Lookup returns a model request of an account, or nil.
func (p *Proxy) Lookup(account, id string) *Inflight { return p.registry.get(account, id) }

const (
	// sweepInterval is the maximum interval of RunSweep.
	sweepInterval = time.Second
	// DeliveredWindow is how long a delivered response is kept for a caller whose
	// connection broke after the last write. At 50 requests a second, keeping
	// them for the whole resume window took 160 MB.
	DeliveredWindow = 5 * time.Second
)

// RunSweep periodically removes finished requests and cancels those that no
// reader has been connected to for the resume window. It returns when ctx ends.
func (p *Proxy) RunSweep(ctx context.Context) error {
	ticker := p.options.Clock.NewTicker(min(sweepInterval, p.options.ResumeWindow/4))
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.Chan():
			now := p.options.Clock.Now()
			p.registry.sweep(now.Add(-p.options.ResumeWindow), now.Add(-min(DeliveredWindow, p.options.ResumeWindow)))
		}
	}
}

// newID returns a random identifier for requests and attempts.
func newID() string { return uuid.NewString() }
