package moves

import (
	"sort"

	"github.com/dogwoodrudder/dogwoodrudder/internal/config"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/move"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/object"
)

// view is the immutable state that the request path reads.
type view struct {
	services map[string][]*activeMove // by service, in order of generation
}

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

// rebuild publishes the view; the caller holds mu. Cancelled moves leave the
// traffic with the old version; completed ones stay in force until they are
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

// Shares implements proxy.ShareModifier: each move, in the order in which they
// were started, takes its percentage of the old version's share for the new one.
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
			// One spare element takes the new version.
			shares, copied = append(make([]object.Share, 0, len(shares)+1), shares...), true
		}
		shares = shift(shares, a.spec.From, a.spec.To, percent/100)
	}
	return shares
}

// shift moves a part of one version's share to another in place.
func shift(shares []object.Share, from, to string, part float64) []object.Share {
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
