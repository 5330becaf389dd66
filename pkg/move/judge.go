package move

import (
	"math"
	"slices"
	"time"
)

// DefaultFalseAlarmProbability bounds the probability that any of the judges
// that share it takes back a version that equals the old one, over a whole move
// and its watch time. Three evaluators that see the same counters count as
// three judges (JudgeConfig.Judges). Together with the daemons' own judges, the
// total stays below 1%.
const DefaultFalseAlarmProbability = 0.001

// Signal is the kind of bad request by which the versions are compared.
type Signal string

// Signals.
const (
	Failures Signal = "failures"
	Slow     Signal = "slow replies"
)

// Sample holds the request counts of one version since the previous sample of
// the same sender. All samples in one call of Judge.Add cover the same interval.
type Sample struct {
	New        bool
	Route      string
	DataCentre string
	Upstream   string
	Requests   float64
	Failures   float64
	Slow       float64
}

func (s Sample) count(signal Signal) float64 {
	if signal == Slow {
		return s.Slow
	}
	return s.Failures
}

// JudgeConfig holds the parameters of a Judge.
type JudgeConfig struct {
	// FalseAlarmProbability bounds the probability that any of the judges raises
	// a false alarm; DefaultFalseAlarmProbability if zero.
	FalseAlarmProbability float64
	// Judges is the number of judges that share FalseAlarmProbability; 1 if zero.
	Judges int
	// Routes is the number of routes that share FalseAlarmProbability; 1 if
	// zero. If more routes appear, each gets the same part as the others.
	Routes int
}

// Judge compares the new version of a move with the old one and decides
// whether the new one is bad or proved good. It isn't safe for concurrent use.
type Judge struct {
	// limit is the value at which a test (cusum) raises an alarm: ln(1/alpha), where
	// alpha is the test's part of FalseAlarmProbability.
	limit  float64
	routes map[string]*routeJudge
	state  judgeState
	// upstreams is the number of upstreams of the new version, 0 if unknown.
	upstreams int
}

type judgeState struct {
	takenBack   bool
	evidence    string
	proved      bool
	newRequests float64
	oldRequests float64
}

// Finding is the decision of a Judge with its evidence.
type Finding struct {
	TakeBack bool
	Proved   bool
	Evidence string
	// NewRequests and OldRequests are the requests counted for each version.
	NewRequests, OldRequests float64
	// RemainingRequests is the number of requests of the new version, neither
	// failed nor slow, that the proof still needs; 0 if proved.
	RemainingRequests float64
	// FaultyUpstreams lists the upstreams of the new version that are excluded
	// from the tests because they fail while the others don't.
	FaultyUpstreams []string
}

// NewJudge returns a judge without evidence.
func NewJudge(c JudgeConfig) *Judge {
	if c.FalseAlarmProbability == 0 {
		c.FalseAlarmProbability = DefaultFalseAlarmProbability
	}
	// The factor 2 stands for the signals Failures and Slow.
	tests := float64(max(c.Judges, 1) * max(c.Routes, 1) * 2 * testsPerSignal)
	return &Judge{limit: math.Log(tests / c.FalseAlarmProbability), routes: make(map[string]*routeJudge)}
}

// SetUpstreams sets the number of upstreams that serve the new version.
// Sample.Upstream may be empty for requests that neither failed nor were slow.
func (j *Judge) SetUpstreams(n int) { j.upstreams = n }

// Add evaluates the samples of one interval of one sender. share is the
// percentage of requests that the ramp gives the new version.
func (j *Judge) Add(now time.Time, share float64, samples []Sample) {
	byRoute := make(map[string][]Sample)
	for _, s := range samples {
		if s.Requests <= 0 {
			continue
		}
		byRoute[s.Route] = append(byRoute[s.Route], s)
		if s.New {
			j.state.newRequests += s.Requests
		} else {
			j.state.oldRequests += s.Requests
		}
	}
	names := make([]string, 0, len(byRoute))
	for name := range byRoute {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		j.addRoute(now, share/fullPercent, name, byRoute[name])
	}
	j.state.proved = j.state.proved || j.remainingRequests() == 0
}

func (j *Judge) addRoute(now time.Time, share float64, name string, samples []Sample) {
	r := j.routes[name]
	if r == nil {
		r = newRouteJudge(name, j.limit)
		j.routes[name] = r
	}
	r.knownUpstreams = j.upstreams
	if evidence := r.add(now, share, samples); evidence != "" && !j.state.takenBack {
		j.state.takenBack, j.state.evidence = true, evidence
	}
}

// Finding returns the decision so far. TakeBack, once true, stays true; Proved
// stays true unless TakeBack becomes true.
func (j *Judge) Finding() Finding {
	f := Finding{
		TakeBack: j.state.takenBack, Proved: j.state.proved && !j.state.takenBack, Evidence: j.state.evidence,
		NewRequests: j.state.newRequests, OldRequests: j.state.oldRequests,
	}
	if !f.Proved {
		f.RemainingRequests = j.remainingRequests()
	}
	for _, r := range j.routes {
		for upstream := range r.faulty {
			if !slices.Contains(f.FaultyUpstreams, upstream) {
				f.FaultyUpstreams = append(f.FaultyUpstreams, upstream)
			}
		}
	}
	slices.Sort(f.FaultyUpstreams)
	return f
}
