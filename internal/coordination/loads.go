package coordination

import (
	coordinatorv1 "github.com/dogwoodrudder/dogwoodrudder/api/coordinator/v1"
	"github.com/dogwoodrudder/dogwoodrudder/internal/fleet"
)

// loadTotals sums the load of each instance over the daemons that report. The
// sums are updated incrementally: adding up all daemons for each report would
// take time that grows with the square of the number of daemons.
type loadTotals struct {
	total    map[string]fleet.Load                    // by instance ID
	byDaemon map[string][]*coordinatorv1.InstanceLoad // as reported
}

func newLoadTotals() *loadTotals {
	return &loadTotals{total: map[string]fleet.Load{}, byDaemon: map[string][]*coordinatorv1.InstanceLoad{}}
}

// set replaces the loads that a daemon has reported.
func (s *loadTotals) set(daemon string, part []*coordinatorv1.InstanceLoad) {
	s.add(s.byDaemon[daemon], -1)
	s.add(part, 1)
	if len(part) == 0 {
		delete(s.byDaemon, daemon)
		return
	}
	s.byDaemon[daemon] = part
}

func (s *loadTotals) add(part []*coordinatorv1.InstanceLoad, sign int) {
	for _, l := range part {
		sum := s.total[l.Instance]
		sum.Inflight += sign * int(l.Inflight)
		sum.PrefillTokens += sign * int(l.PrefillTokens)
		if sum == (fleet.Load{}) {
			delete(s.total, l.Instance)
			continue
		}
		s.total[l.Instance] = sum
	}
}

// without returns the loads that all daemons but the given one have caused.
func (s *loadTotals) without(daemon string) []*coordinatorv1.InstanceLoad {
	own := make(map[string]*coordinatorv1.InstanceLoad, len(s.byDaemon[daemon]))
	for _, l := range s.byDaemon[daemon] {
		own[l.Instance] = l
	}
	list := make([]*coordinatorv1.InstanceLoad, 0, len(s.total))
	for id, sum := range s.total {
		rest := &coordinatorv1.InstanceLoad{
			Instance:      id,
			Inflight:      int32(sum.Inflight) - own[id].GetInflight(),           //nolint:gosec // sums of int32 counts far below the limit
			PrefillTokens: int32(sum.PrefillTokens) - own[id].GetPrefillTokens(), //nolint:gosec // as above
		}
		if rest.Inflight != 0 || rest.PrefillTokens != 0 {
			list = append(list, rest)
		}
	}
	return list
}
