package placement

import (
	"context"

	"github.com/pkg/errors"

	"github.com/dogwoodrudder/dogwoodrudder/internal/cloud"
	"github.com/dogwoodrudder/dogwoodrudder/internal/config"
	"github.com/dogwoodrudder/dogwoodrudder/internal/engine"
	"github.com/dogwoodrudder/dogwoodrudder/internal/upstreams"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/health"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/object"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/placement"
)

// actor is recorded as the author of changes in the audit trail.
var actor = config.Actor{Account: Name}

var errBusy = errors.New("instance has requests in flight")

// dispatch makes the calls of an action.
func (d *Duty) dispatch(ctx context.Context, a placement.Action) error {
	switch a.Kind {
	case placement.Start:
		return d.start(ctx, a)
	case placement.Load:
		return d.load(ctx, a.Instance)
	case placement.Register:
		return d.register(ctx, a.Instance)
	case placement.Drain:
		now := d.options.Clock.Now()
		d.options.Directory.Leave(upstreams.Notice{
			Upstream: a.Instance.Name, Address: a.Instance.Address, Signal: health.SignalDrain, Observed: now,
		})
		return nil
	case placement.Unregister:
		ref := object.Ref{Kind: object.KindUpstream, Name: a.Instance.Name}
		_, err := d.options.Objects.Delete(ctx, actor, ref, 0)
		return err
	case placement.Stop:
		return d.stop(ctx, a.Instance)
	}
	return errors.Errorf("unknown action %q", a.Kind)
}

func (d *Duty) start(ctx context.Context, a placement.Action) error {
	i := a.Instance
	_, err := d.options.Cloud.Start(ctx, cloud.Instance{
		Name: i.Name, Class: i.Class, DataCentre: i.DataCentre, Reclaimable: i.Reclaimable, PricePerHour: i.PricePerHour,
	})
	if errors.Is(err, cloud.ErrRefused) {
		d.planner.Refused(a)
	}
	return err
}

// stop reads the load again before it stops the instance, and then checks the lease
// again, since the reading took time. An engine that gave no load report for the
// plan may fail to give one now.
func (d *Duty) stop(ctx context.Context, i placement.Instance) error {
	if i.Address != "" && !i.DrainedAt.IsZero() {
		load, err := d.options.Engines.Load(ctx, i.Address)
		if err != nil && i.InFlightKnown {
			return errors.Wrap(err, "read load before the stop")
		}
		if load.Running+load.Waiting > 0 {
			return errBusy
		}
	}
	if d.options.Lease.Token() != d.token {
		return errors.New("lease lost before the stop")
	}
	return d.options.Cloud.Stop(ctx, i.Name)
}

// load sends one order at a time, because an engine aborts a load when it gets
// another order. The next plan continues from the control state.
func (d *Duty) load(ctx context.Context, i placement.Instance) error {
	state, err := d.options.Engines.ControlState(ctx, i.Address)
	if err != nil || state.Loading {
		return err
	}
	order := d.nextOrder(i.Group, state)
	if order == nil {
		return nil
	}
	order.FencingToken = d.options.Lease.Token()
	if order.FencingToken != d.token {
		return errors.New("lease lost before the order")
	}
	return d.options.Engines.Control(ctx, i.Address, *order)
}

// nextOrder returns the order for the first difference between the wanted and the
// present state, without a fencing token, or nil if there is none.
func (d *Duty) nextOrder(g placement.Group, state engine.ControlState) *engine.ControlOrder {
	version, _, _ := object.Lookup[*object.Version](d.options.Config().Set, object.KindVersion, g.Version)
	switch {
	case state.Role != roleBoth:
		return &engine.ControlOrder{Role: roleBoth}
	case version != nil && version.Model != "" && !servesModel(state, version.Model):
		return &engine.ControlOrder{Model: version.Model}
	case state.Version != g.Version:
		return &engine.ControlOrder{Version: g.Version}
	}
	return nil
}

func servesModel(state engine.ControlState, model string) bool {
	for _, adapter := range state.Adapters {
		if adapter == model {
			return true
		}
	}
	return state.Model == model
}

func (d *Duty) register(ctx context.Context, i placement.Instance) error {
	labels, err := labelsFor(d.options.Config(), i.Group)
	if err != nil {
		return err
	}
	_, err = d.options.Objects.Apply(ctx, actor, []*object.Object{{
		Kind: object.KindUpstream, Metadata: object.Metadata{Name: i.Name, Labels: labels},
		Spec: &object.Upstream{
			Address: i.Address, DataCentre: i.DataCentre, Instance: i.Name, MachineClass: i.Class,
			PricePerHour: i.PricePerHour, Reclaimable: i.Reclaimable,
		},
	}})
	return err
}

// labelsFor returns labels that match the selector of the version and of no other
// version.
func labelsFor(snapshot *config.Snapshot, g placement.Group) (map[string]string, error) {
	selectors := versionSelectors(snapshot)
	own, ok := selectors[g.Version]
	if !ok {
		return nil, errors.Errorf("version %q does not exist", g.Version)
	}
	labels := make(map[string]string)
	for key, value := range own.MatchLabels {
		labels[key] = value
	}
	for _, r := range own.MatchExpressions {
		if _, set := labels[r.Key]; set {
			continue
		}
		switch {
		case r.Operator == object.OpIn && len(r.Values) > 0:
			labels[r.Key] = r.Values[0]
		case r.Operator == object.OpExists:
			labels[r.Key] = "true"
		}
	}
	for version, selector := range selectors {
		if selector.Matches(labels) != (version == g.Version) {
			return nil, errors.Errorf("no labels select an upstream for version %q only: see the selector of %q", g.Version, version)
		}
	}
	return labels, nil
}

func versionSelectors(snapshot *config.Snapshot) map[string]object.Selector {
	selectors := make(map[string]object.Selector)
	snapshot.Set.Each(object.KindVersion, func(o *object.Object) {
		version, ok := o.Spec.(*object.Version)
		if !ok {
			return
		}
		if s, _, ok := object.Lookup[*object.UpstreamSelector](snapshot.Set, object.KindUpstreamSelector, version.Selector); ok {
			selectors[o.Metadata.Name] = s.Selector
		}
	})
	return selectors
}
