package main

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/panjf2000/ants/v2"

	"github.com/dogwoodrudder/dogwoodrudder/internal/config"
	"github.com/dogwoodrudder/dogwoodrudder/internal/engine"
	"github.com/dogwoodrudder/dogwoodrudder/internal/operatorapi"
	"github.com/dogwoodrudder/dogwoodrudder/internal/proxy"
	"github.com/dogwoodrudder/dogwoodrudder/internal/server"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/admission"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/object"
)

// maxStreams bounds the requests in flight of a measurement.
const maxStreams = 4000

// requestPath is the request path of a daemon without its background duties.
type requestPath struct {
	manager *config.Manager
	proxy   *proxy.Proxy
	calls   *ants.Pool
}

// newRequestPath builds a request path whose upstreams all have one address.
func newRequestPath(e engine.Engine, address string) (*requestPath, error) {
	// One version, so that the streams spread over a whole subset.
	objects := newConfigurationOf(defaults.Upstreams.SubsetSize, 1, 1)
	for _, o := range objects {
		if u, ok := o.Spec.(*object.Upstream); ok {
			u.Address = address
		}
	}
	store, err := newMemStore(objects)
	if err != nil {
		return nil, err
	}
	manager, err := newManager(store, nil)
	if err != nil {
		return nil, err
	}
	calls, err := ants.NewPool(maxStreams, ants.WithNonblocking(true))
	if err != nil {
		return nil, err
	}
	directory := newDirectory()
	directory.Update(manager.Current())
	clock := clockwork.NewRealClock()
	p, err := proxy.New(proxy.Options{
		Clock: clock, Log: discardLogger(), Directory: directory,
		Admission: admission.New(admission.Config{Clock: clock, Capacity: maxStreams}),
		Versions:  &proxy.RouteVersions{Config: manager.Current},
		Engine:    e, Config: manager.Current, Observe: func(proxy.Observation) {}, Calls: calls,
		RequestTimeout: time.Minute, FirstByteTimeout: 10 * time.Second, TokenTimeout: 10 * time.Second,
		MigrationDeadline: time.Second, ResumeWindow: defaults.Limits.ResumeWindow,
		MaxStreamBytes: 8 << 20,
	})
	return &requestPath{manager, p, calls}, err
}

func (p *requestPath) close() { p.calls.Release() }

// caller returns an authenticated caller.
func (p *requestPath) caller() proxy.Caller {
	spec, _, _ := object.Lookup[*object.ClientAccount](p.manager.Current().Set, object.KindClientAccount, "account-0")
	return proxy.Caller{Account: "account-0", Spec: spec}
}

// listen serves the request path over HTTP until the returned function is called.
func (p *requestPath) listen(address string) (stop func()) {
	s := server.New(server.Options{
		Address: address, Clock: clockwork.NewRealClock(), Log: discardLogger(), Proxy: p.proxy, Config: p.manager,
		Operator: config.NewOperatorService(p.manager), Daemon: stubDaemon{}, MaxBodyBytes: 4 << 20, MaxHeaderBytes: 64 << 10,
		AddressTTL: addressTTL,
	})
	go func() { _ = s.Run() }()
	return func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = s.Shutdown(ctx)
	}
}

// addressTTL is the default of the setting daemon/address_ttl.
const addressTTL = 10 * time.Second

// stubDaemon is a daemon in a fleet of 420 that issues no order tokens.
type stubDaemon struct{}

func (stubDaemon) Addresses() []string { return fleetAddresses }

func (stubDaemon) OrderToken() (string, time.Time) { return "", time.Time{} }

func (stubDaemon) Status() operatorapi.Status { return operatorapi.Status{} }

func (stubDaemon) MoveProgress(config.MoveStatus) operatorapi.MoveStatus {
	return operatorapi.MoveStatus{}
}

func (stubDaemon) Drain(time.Duration) {}

func (stubDaemon) DrainUpstream(string, time.Duration) error { return nil }

func (stubDaemon) Ready() error { return nil }

var _ server.Daemon = stubDaemon{}

var fleetAddresses = newAddresses(daemonSizes[len(daemonSizes)-1])
