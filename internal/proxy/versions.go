package proxy

import (
	"github.com/dogwoodrudder/dogwoodrudder/internal/config"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/object"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/result"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/routing"
)

// ShareModifier changes the shares of a route for open moves.
type ShareModifier interface {
	// Shares returns the shares in force for a request on a route.
	Shares(service, route string, shares []object.Share, accountLabels map[string]string) []object.Share
}

// RouteVersions chooses versions by routes, shares and open moves.
type RouteVersions struct {
	Config func() *config.Snapshot
	Moves  ShareModifier // may be nil
}

// Choose implements Versions.
func (v *RouteVersions) Choose(q VersionQuery) (VersionChoice, error) {
	for _, o := range v.Config().Routes(q.Service) {
		route, ok := o.Spec.(*object.Route)
		if !ok || !matches(route, q) {
			continue
		}
		shares := route.Shares
		if v.Moves != nil {
			shares = v.Moves.Shares(q.Service, o.Metadata.Name, shares, q.Caller.Labels)
		}
		version := routing.VersionFor(shares, routing.SessionHash(q.Session))
		if version == q.Failed {
			version = fallback(shares, version)
		}
		return VersionChoice{Route: o.Metadata.Name, Version: version}, nil
	}
	return VersionChoice{}, result.New(result.UnknownService, result.NotRun, "no route of service %q matches the request", q.Service)
}

// fallback returns the version with the largest share. A request that failed on
// a version with a small share is tried on it next; the reverse would send a
// new version more than its share.
func fallback(shares []object.Share, failed string) string {
	best, percent := failed, 0.0
	for _, s := range shares {
		if s.Percent > percent || s.Version == failed && s.Percent == percent {
			best, percent = s.Version, s.Percent
		}
	}
	return best
}

func matches(route *object.Route, q VersionQuery) bool {
	return (route.Class == "" || route.Class == q.Class) &&
		(route.Operation == "" || route.Operation == q.Operation) &&
		route.Accounts.Matches(q.Caller.Labels)
}
