package proxy

import (
	"github.com/dogwoodrudder/dogwoodrudder/internal/config"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/object"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/result"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/routing"
)

// ShareModifier changes the shares of a route according to open moves.
type ShareModifier interface {
	// Shares returns the current shares for a request on a route.
	Shares(service, route string, shares []object.Share, accountLabels map[string]string) []object.Share
}

// RouteVersions chooses versions by the routes of the configuration, their shares
// and the open moves.
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

// fallback returns the version for the retry of a request that failed on the
// given version: the one with the largest share, or the same if its share is as
// large. Retries never go to a version with a smaller share, because a new
// version would then get more than its share.
func fallback(shares []object.Share, failed string) string {
	best, percent := failed, 0.0
	for _, s := range shares {
		if s.Percent > percent || s.Version == failed && s.Percent == percent {
			best, percent = s.Version, s.Percent
		}
	}
	return best
}

// matches reports whether a route applies to a request.
func matches(route *object.Route, q VersionQuery) bool {
	return (route.Class == "" || route.Class == q.Class) &&
		(route.Operation == "" || route.Operation == q.Operation) &&
		route.Accounts.Matches(q.Caller.Labels)
}
