package moves

import (
	"sort"

	"github.com/dogwoodrudder/dogwoodrudder/internal/config"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/move"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/object"
)

// view is an immutable copy of the moves that the request path reads.
type view struct {
	services map[string][]*activeMove // by service, in order of generation
}

// activeMove is a move that is neither cancelled nor deleted.
type activeMove struct {
	key     key
	spec    *object.Move
	ramp    move.Ramp
	verdict move.Verdict
	entry   *entry
}

// covers reports whether the move applies to a request.
func (a *activeMove) covers(route string, labels map[string]string) bool {
	return (a.spec.Route == "" || a.spec.Route == route) && a.spec.Accounts.Matches(labels)
}

// rebuild builds the view anew. The caller holds mu. Cancelled moves are left out, so
// the old version gets their traffic. Completed moves stay in effect until they are
// deleted, because the routes still name the old version.
func (m *Manager) rebuild() {
	v := &view{services: make(map[string][]*activeMove)}
	for _, e := range m.entries {
		if e.spec.State == object.MoveCancelled {
			continue
		}
		v.services[e.spec.Service] = append(v.services[e.spec.Service],
			&activeMove{key: e.key, spec: e.spec, ramp: e.ramp, verdict: m.verdicts[e.key], entry: e})
	}
	for _, list := range v.services {
		sort.Slice(list, func(i, j int) bool {
			if list[i].key.generation != list[j].key.generation {
				return list[i].key.generation < list[j].key.generation
			}
			return list[i].key.name < list[j].key.name
		})
	}
	m.view.Store(v)
}

// Shares implements proxy.ShareModifier. Each move, in the order of their start,
// shifts its percentage of the old version's share to the new version.
func (m *Manager) Shares(service, route string, shares []object.Share, accountLabels map[string]string) []object.Share {
	list := m.view.Load().services[service]
	if len(list) == 0 {
		return shares
	}
	now := m.options.Clock.Now()
	copied := false
	for _, a := range list {
		if !a.covers(route, accountLabels) {
			continue
		}
		percent := a.ramp.Share(now, a.verdict)
		if percent <= 0 {
			continue
		}
		if !copied {
			// One more element has room for the new version.
			shares, copied = append(make([]object.Share, 0, len(shares)+1), shares...), true
		}
		shares = shiftShare(shares, a.spec.From, a.spec.To, percent/100)
	}
	return shares
}

// shiftShare moves a part (0 to 1) of one version's share to another in place.
func shiftShare(shares []object.Share, from, to string, part float64) []object.Share {
	moved, target := 0.0, -1
	for i := range shares {
		switch shares[i].Version {
		case from:
			moved = shares[i].Percent * part
			shares[i].Percent -= moved
		case to:
			target = i
		}
	}
	switch {
	case moved <= 0:
		return shares
	case target >= 0:
		shares[target].Percent += moved
		return shares
	}
	return append(shares, object.Share{Version: to, Percent: moved})
}

// accountLabels returns the labels of a client account.
func accountLabels(s *config.Snapshot, account string) map[string]string {
	if o := s.Set.Get(object.Ref{Kind: object.KindClientAccount, Name: account}); o != nil {
		return o.Metadata.Labels
	}
	return nil
}
