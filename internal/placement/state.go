package placement

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/dogwoodrudder/dogwoodrudder/internal/cloud"
	"github.com/dogwoodrudder/dogwoodrudder/internal/config"
	"github.com/dogwoodrudder/dogwoodrudder/internal/upstreams"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/health"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/object"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/placement"
)

const (
	// maxParallelReads limits the concurrent calls to engines.
	maxParallelReads = 16
	// recheckInterval is how often the control state of a loaded engine is read
	// again, so that an outdated order that the engine accepted is corrected.
	recheckInterval = 30 * time.Second
	// maxRechecksPerPlan limits how many loaded engines are read again for one plan.
	maxRechecksPerPlan = 64
)

// readState reads the input of the planner. A failed cloud call is an error; a failed
// call to an engine is not.
func (d *Duty) readState(ctx context.Context) (placement.State, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	list, err := d.options.Cloud.List(ctx)
	if err != nil {
		return placement.State{}, errors.Wrap(err, "read instance list")
	}
	offers, err := d.options.Cloud.Offers(ctx)
	if err != nil {
		return placement.State{}, errors.Wrap(err, "read offers")
	}
	snapshot := d.options.Config()
	usage := make(map[string]upstreams.Usage)
	for _, u := range d.options.Directory.Usage() {
		usage[u.Name] = u
	}
	groups := managedGroups(snapshot)
	state := placement.State{Demands: d.demands(snapshot, groups, usage)}
	for _, o := range offers {
		state.Offers = append(state.Offers, placement.Offer(o))
	}
	for _, g := range groups {
		state.Instances = append(state.Instances, d.instances(snapshot, g, list, usage)...)
	}
	d.readEngines(ctx, state.Instances)
	return state, nil
}

// managedGroups lists the versions of OpenAI services in name order. Versions whose
// selector also matches the upstreams of another version are left out; operators
// manage their upstreams.
func managedGroups(snapshot *config.Snapshot) []placement.Group {
	var groups []placement.Group
	snapshot.Set.Each(object.KindVersion, func(o *object.Object) {
		version, ok := o.Spec.(*object.Version)
		if !ok {
			return
		}
		service, _, ok := object.Lookup[*object.Service](snapshot.Set, object.KindService, version.Service)
		if !ok || service.Protocol != object.ProtocolOpenAI {
			return
		}
		g := placement.Group{Service: version.Service, Version: o.Metadata.Name}
		if _, err := labelsFor(snapshot, g); err == nil {
			groups = append(groups, g)
		}
	})
	sort.Slice(groups, func(i, j int) bool { return groups[i].Version < groups[j].Version })
	return groups
}

// instances combines the cloud's list with the upstream objects of a group.
func (d *Duty) instances(snapshot *config.Snapshot, g placement.Group, list []cloud.Instance,
	usage map[string]upstreams.Usage,
) []placement.Instance {
	var result []placement.Instance
	listed := make(map[string]bool)
	for _, c := range list {
		if _, ok := g.Number(c.Name); !ok || c.State == cloud.StateStopped {
			continue
		}
		listed[c.Name] = true
		i := placement.Instance{
			Name: c.Name, Group: g, Managed: true, Class: c.Class, DataCentre: c.DataCentre,
			PricePerHour: c.PricePerHour, Reclaimable: c.Reclaimable, Address: c.Address, Phase: phaseOf(c.State),
		}
		spec, _, ok := object.Lookup[*object.Upstream](snapshot.Set, object.KindUpstream, c.Name)
		i.Registered = ok && spec.Address == c.Address
		result = append(result, i)
	}
	version, _, _ := object.Lookup[*object.Version](snapshot.Set, object.KindVersion, g.Version)
	for _, o := range snapshot.Upstreams(version.Selector) {
		if !listed[o.Metadata.Name] {
			result = append(result, unlistedInstance(o, g))
		}
	}
	for n := range result {
		d.addUsage(&result[n], usage[result[n].Name])
	}
	return result
}

// unlistedInstance returns the instance of an upstream object that the cloud does
// not list: operators created the object, or the instance is gone.
func unlistedInstance(o *object.Object, g placement.Group) placement.Instance {
	spec := o.Spec.(*object.Upstream)
	i := placement.Instance{
		Name: o.Metadata.Name, Group: g, Phase: placement.Running, Class: spec.MachineClass, DataCentre: spec.DataCentre,
		PricePerHour: spec.PricePerHour, Reclaimable: spec.Reclaimable, Address: spec.Address, Registered: true,
	}
	if _, ok := g.Number(i.Name); ok {
		i.Managed, i.Phase = true, placement.Gone
	}
	return i
}

func phaseOf(s cloud.State) placement.Phase {
	switch s {
	case cloud.StateRunning:
		return placement.Running
	case cloud.StateLeaving:
		return placement.Leaving
	}
	return placement.Starting
}

// addUsage adds this daemon's usage of the upstream and the notice about it, if any.
// A notice applies only to the address for which it was given.
func (d *Duty) addUsage(i *placement.Instance, u upstreams.Usage) {
	i.InFlight, i.Serving, i.Ejected = max(u.InFlight, u.Reported), u.Serving, u.Ejected
	notice, ok := d.options.Directory.NoticeOf(i.Name)
	if !ok || i.Phase == placement.Gone || (notice.Address != "" && notice.Address != i.Address) {
		return
	}
	switch notice.Signal {
	case health.SignalReclaim, health.SignalInstanceList:
		i.Phase = placement.Leaving
	default:
		// The load of drained instances is read again by readEngines. The last report
		// is not used, because that of a failed engine would never change.
		i.DrainedAt, i.InFlight = notice.Observed, u.InFlight
	}
}

// readEngines reads the load of drained instances, and the control state of the
// others if they are not known to be loaded or recheckInterval has passed.
func (d *Duty) readEngines(ctx context.Context, instances []placement.Instance) {
	var mu sync.Mutex
	var group errgroup.Group
	group.SetLimit(maxParallelReads)
	rechecks := 0
	for n := range instances {
		i := &instances[n]
		if !i.Managed || i.Phase != placement.Running || i.Address == "" {
			continue
		}
		if !i.DrainedAt.IsZero() {
			group.Go(func() error { d.readLoad(ctx, i); return nil })
			continue
		}
		key := i.Name + "/" + i.Address
		mu.Lock()
		i.Loaded = d.loadedEngines[key]
		readDue := !i.Loaded || d.options.Clock.Since(d.controlReadAt[key]) >= recheckInterval
		mu.Unlock()
		if !readDue || rechecks >= maxRechecksPerPlan {
			continue
		}
		if i.Loaded {
			rechecks++
		}
		group.Go(func() error {
			state, err := d.options.Engines.ControlState(ctx, i.Address)
			if err != nil {
				return nil // read again for the next plan
			}
			mu.Lock()
			defer mu.Unlock()
			i.Loaded = !state.Loading && d.nextOrder(i.Group, state) == nil
			d.loadedEngines[key], d.controlReadAt[key] = i.Loaded, d.options.Clock.Now()
			return nil
		})
	}
	_ = group.Wait()
}

func (d *Duty) readLoad(ctx context.Context, i *placement.Instance) {
	load, err := d.options.Engines.Load(ctx, i.Address)
	if err == nil {
		i.InFlight, i.InFlightKnown = max(i.InFlight, load.Running+load.Waiting), true
	}
}
