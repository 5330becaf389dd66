package main

import (
	"fmt"
	"time"

	"github.com/dogwoodrudder/dogwoodrudder/internal/server"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/object"
)

// Sizes of the configuration, apart from the upstreams.
const (
	fleetServices    = 20
	fleetVersions    = 4 // of each service
	fleetAccounts    = 200
	fleetDataCentres = 20
)

// upstreamSizes are the measured numbers of upstreams: the current deployment, a
// medium size and the target.
var upstreamSizes = []int{20, 600, 12_000}

// callerKey returns the API key of caller account i.
func callerKey(i int) string { return fmt.Sprintf("capacity-key-%d", i) }

type objectList []*object.Object

func (l *objectList) add(name string, labels map[string]string, spec object.Spec) {
	*l = append(*l, &object.Object{
		Kind: spec.Kind(), Metadata: object.Metadata{Name: name, Labels: labels, Revision: 1}, Spec: spec,
	})
}

// newConfiguration returns a valid configuration with the given number of upstreams,
// spread over services and versions as far as there are enough upstreams.
func newConfiguration(upstreams int) []*object.Object {
	services := min(fleetServices, max(1, upstreams/10))
	return newConfigurationOf(upstreams, services, min(fleetVersions, max(2, upstreams/services/10)))
}

// newConfigurationOf returns a configuration with the given numbers of objects.
func newConfigurationOf(upstreams, services, versions int) []*object.Object {
	var l objectList
	for i := range upstreams {
		l.add(upstreamName(i), map[string]string{
			"service": fmt.Sprint("s", i%services), "version": fmt.Sprint("v", i/services%versions),
		}, upstreamSpec(i))
	}
	for i := range min(fleetAccounts, 5+upstreams/60) {
		l.add(fmt.Sprint("account-", i), map[string]string{"tier": fmt.Sprint("t", i%5)},
			&object.ClientAccount{Role: object.RoleCaller, KeyHashes: []string{server.HashKey(callerKey(i))}, Weight: 10})
	}
	for s := range services {
		l.addService(fmt.Sprint("s", s), versions)
	}
	return l
}

func upstreamName(i int) string { return fmt.Sprintf("engine-%05d", i) }

func upstreamSpec(i int) *object.Upstream {
	return &object.Upstream{
		Address: fmt.Sprintf("10.%d.%d.%d:8000", i/65536, i/256%256, i%256), DataCentre: fmt.Sprintf("dc%02d", i%fleetDataCentres),
		Instance: fmt.Sprintf("i-%012d", i), MachineClass: "gpu-4", PricePerHour: 9.5,
		Reclaimable: i%100 < 42, ChecksFencing: true, MaxConcurrency: 64,
	}
}

func (l *objectList) addService(service string, versions int) {
	l.add(service, nil, &object.Service{
		Protocol: object.ProtocolOpenAI, Timeout: object.Duration(2 * time.Minute), RetryPercent: 20,
	})
	for v := range versions {
		name := fmt.Sprintf("%s-v%d", service, v)
		l.add(name, nil, &object.UpstreamSelector{Selector: object.Selector{
			MatchLabels: map[string]string{"service": service, "version": fmt.Sprint("v", v)},
		}})
		l.add(name, nil, &object.Version{Service: service, Model: "model-" + service, Selector: name})
	}
	l.add(service, nil, &object.Route{Service: service, Shares: []object.Share{{Version: service + "-v0", Percent: 100}}})
}
