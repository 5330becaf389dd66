package move

import (
	"math"
	"slices"
	"time"
)

// DefaultAlarm is the probability that a pooled judge ever takes back a
// version that equals the old one, over a whole move and its watch time. Three
// evaluators that see the same counters are counted as three: together with
// the daemons' own judges (JudgeConfig.Judges) the total stays below 1%.
const DefaultAlarm = 0.001

// Signal is a property of requests that the versions are compared by.
type Signal string

// Signals.
const (
	Failures Signal = "failures"
	Slow     Signal = "slow replies"
)

// Sample counts requests of one version since the previous sample of the same
// sender. Samples of both versions that are passed together cover the same
// interval.
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
	// Alarm is the probability of a false alarm of all Judges together,
	// DefaultAlarm if zero.
	Alarm float64
	// Judges is the number of judges that share Alarm, 1 if zero.
	Judges int
	// Routes is the number of routes that share Alarm, 1 if zero. More routes
	// may appear; each has the same part.
	Routes int
}

// Judge compares the new version of a move with the old one. It isn't safe for
// concurrent use.
type Judge struct {
	limit  float64 // ln(1/alpha) of each test
	routes map[string]*routeJudge
	state  judgeState
	// upstreams is the number of upstreams of the new version, 0 if unknown.
	upstreams int
}

type judgeState struct {
	takenBack bool
	evidence  string
	proved    bool
	newCount  float64
	oldCount  float64
}

// Finding is what a Judge knows.
type Finding struct {
	TakeBack bool
	Proved   bool
	Evidence string
	// NewRequests and OldRequests are all counted requests.
	NewRequests, OldRequests float64
	// Missing is the number of clean requests of the new version still needed
	// for the proof; 0 if proved.
	Missing float64
	// Faulty lists upstreams of the new version that were set aside because
	// they fail alone.
	Faulty []string
}

// NewJudge returns a judge without evidence.
func NewJudge(c JudgeConfig) *Judge {
	if c.Alarm == 0 {
		c.Alarm = DefaultAlarm
	}
	tests := float64(max(c.Judges, 1) * max(c.Routes, 1) * 2 * testsPerSignal)
	return &Judge{limit: math.Log(tests / c.Alarm), routes: make(map[string]*routeJudge)}
}

// SetUpstreams tells how many upstreams serve the new version. Samples may
// leave the upstream empty for requests that show no fault.
func (j *Judge) SetUpstreams(n int) { j.upstreams = n }

// Add takes the samples of one interval of one sender. share is the percentage
// of the new version by the ramp.
func (j *Judge) Add(now time.Time, share float64, samples []Sample) {
	byRoute := make(map[string][]Sample)
	for _, s := range samples {
		if s.Requests <= 0 {
			continue
		}
		byRoute[s.Route] = append(byRoute[s.Route], s)
		if s.New {
			j.state.newCount += s.Requests
		} else {
			j.state.oldCount += s.Requests
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
	j.state.proved = j.state.proved || j.missing() == 0
}

func (j *Judge) addRoute(now time.Time, share float64, name string, samples []Sample) {
	r := j.routes[name]
	if r == nil {
		r = newRouteJudge(name, j.limit)
		j.routes[name] = r
	}
	r.known = j.upstreams
	if evidence := r.add(now, share, samples); evidence != "" && !j.state.takenBack {
		j.state.takenBack, j.state.evidence = true, evidence
	}
}

// Finding returns the decision so far. TakeBack and Proved are never reset.
func (j *Judge) Finding() Finding {
	f := Finding{
		TakeBack: j.state.takenBack, Proved: j.state.proved && !j.state.takenBack, Evidence: j.state.evidence,
		NewRequests: j.state.newCount, OldRequests: j.state.oldCount,
	}
	if !f.Proved {
		f.Missing = j.missing()
	}
	for _, r := range j.routes {
		for upstream := range r.faulty {
			if !slices.Contains(f.Faulty, upstream) {
				f.Faulty = append(f.Faulty, upstream)
			}
		}
	}
	slices.Sort(f.Faulty)
	return f
}
