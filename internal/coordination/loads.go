package coordination

import (
	coordinatorv1 "github.com/dogwoodrudder/dogwoodrudder/api/coordinator/v1"
	"github.com/dogwoodrudder/dogwoodrudder/internal/fleet"
)

// loadSums adds up the load of instances over the daemons that report. It is
// kept from report to report: adding up all daemons for each report would take
// time that grows with the square of their number.
type loadSums struct {
	total map[string]fleet.Load
	parts map[string][]*coordinatorv1.InstanceLoad // by daemon
}

func newLoadSums() *loadSums {
	return &loadSums{total: map[string]fleet.Load{}, parts: map[string][]*coordinatorv1.InstanceLoad{}}
}

// set replaces the part of a daemon.
func (s *loadSums) set(daemon string, part []*coordinatorv1.InstanceLoad) {
	s.add(s.parts[daemon], -1)
	s.add(part, 1)
	if len(part) == 0 {
		delete(s.parts, daemon)
		return
	}
	s.parts[daemon] = part
}

func (s *loadSums) add(part []*coordinatorv1.InstanceLoad, sign int) {
	for _, l := range part {
		sum := s.total[l.Instance]
		sum.Inflight += sign * int(l.Inflight)
		sum.Prefill += sign * int(l.PrefillTokens)
		if sum == (fleet.Load{}) {
			delete(s.total, l.Instance)
			continue
		}
		s.total[l.Instance] = sum
	}
}

// without returns the load of all daemons but one.
func (s *loadSums) without(daemon string) []*coordinatorv1.InstanceLoad {
	own := make(map[string]*coordinatorv1.InstanceLoad, len(s.parts[daemon]))
	for _, l := range s.parts[daemon] {
		own[l.Instance] = l
	}
	list := make([]*coordinatorv1.InstanceLoad, 0, len(s.total))
	for id, sum := range s.total {
		rest := &coordinatorv1.InstanceLoad{
			Instance:      id,
			Inflight:      int32(sum.Inflight) - own[id].GetInflight(),     //nolint:gosec // sums of int32 counts far below the limit
			PrefillTokens: int32(sum.Prefill) - own[id].GetPrefillTokens(), //nolint:gosec // as above
		}
		if rest.Inflight != 0 || rest.PrefillTokens != 0 {
			list = append(list, rest)
		}
	}
	return list
}
