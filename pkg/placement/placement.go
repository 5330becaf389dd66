// Package placement plans which instances run which version of a service, so
// that the capacity covers the demand, also after the loss of any one data
// centre, at least cost. It decides only; a duty carries the actions out.
package placement

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Group is the set of instances that run one version of a service.
type Group struct{ Service, Version string }

// maxStem keeps instance names within the 63 bytes of an object name.
const maxStem = 45

// stem is unique to the group: the checksum separates groups whose joined
// names are equal or were cut.
func (g Group) stem() string {
	name := g.Service + "-" + g.Version
	if len(name) > maxStem {
		name = name[:maxStem]
	}
	sum := xxhash.Sum64String(g.Service + "/" + g.Version)
	return fmt.Sprintf("%s-%06x-", name, sum&0xffffff)
}

// InstanceName returns the name of the group's instance with a number. The
// same number always gives the same name, so a repeated start is idempotent.
func (g Group) InstanceName(number int) string { return g.stem() + strconv.Itoa(number) }

// Number returns the number in an instance name of this group, or false if the
// name belongs to something else.
func (g Group) Number(name string) (int, bool) {
	digits, ok := strings.CutPrefix(name, g.stem())
	if !ok {
		return 0, false
	}
	n, err := strconv.Atoi(digits)
	return n, err == nil && n > 0 && strconv.Itoa(n) == digits
}

// Phase is the state of an instance.
type Phase int

// Phases of an instance.
const (
	Starting Phase = iota
	Running
	Leaving // a reclaim was announced
	Gone    // the upstream object exists, but the cloud lists no such instance
)

// Instance is a machine, or an upstream that operators placed by hand.
type Instance struct {
	Name         string
	Group        Group
	Phase        Phase
	Class        string
	DataCentre   string
	PricePerHour float64
	Reclaimable  bool
	Address      string // ip:port; empty until it runs
	// Managed instances were started by placement; only these are changed.
	Managed bool
	// Registered means that an upstream object with this address exists.
	Registered bool
	// Loaded means that the engine has the group's model, version and role.
	Loaded bool
	// InFlight is the number of requests on the instance, of all daemons.
	// InFlightKnown is false without a load report from after the drain.
	InFlight      int
	InFlightKnown bool
	// Serving means that health checks of the upstream succeed, Ejected that
	// they fail. Neither is set if the health is not known.
	Serving, Ejected bool
	// DrainedAt is when daemons were told to send no new work; zero if not.
	DrainedAt time.Time

	failed bool // ejected for EjectedGrace
}

// counts reports whether the instance is capacity for future demand.
func (i Instance) counts() bool {
	return (i.Phase == Running || i.Phase == Starting) && i.DrainedAt.IsZero() && !i.failed
}

// Offer is a machine class on sale in a data centre.
type Offer struct {
	Class, DataCentre               string
	OnDemandPrice, ReclaimablePrice float64 // per hour
	Capacity                        int     // instances; 0 means no stated limit
}

// Demand is what callers ask of one version.
type Demand struct {
	Group Group
	// Offered is the offered work in slots, SlotsInUse the running requests
	// and Waiting those in queues. The demand is the larger one of Offered and
	// SlotsInUse + Waiting.
	Offered, SlotsInUse, Waiting float64
	// Floor is the smallest demand assumed, so that an idle version is ready.
	Floor float64
}

func (d Demand) slots() float64 { return max(d.Offered, d.SlotsInUse+d.Waiting, d.Floor) }

// State is what is known when a plan is made.
type State struct {
	Instances []Instance
	Offers    []Offer
	// Demands lists every version that placement is in charge of. The
	// instances of a version that is not listed are left alone.
	Demands []Demand
}

// Kind is what an action does.
type Kind string

// Kinds of actions. Each states an end state and can be repeated.
const (
	Start      Kind = "start"      // the instance runs
	Load       Kind = "load"       // the engine has the group's model, version and role
	Register   Kind = "register"   // the upstream object exists
	Drain      Kind = "drain"      // daemons send no new work to the upstream
	Stop       Kind = "stop"       // the instance does not run
	Unregister Kind = "unregister" // the upstream object does not exist
)

// Action is one step of a plan.
type Action struct {
	Kind     Kind
	Instance Instance
}

// Limits are the parameters of a Planner.
type Limits struct {
	// SlotsPerInstance is the number of concurrent requests within the latency
	// target, by class; DefaultSlots applies to other classes.
	SlotsPerInstance map[string]float64
	DefaultSlots     float64
	// Reserve is the spare capacity relative to the demand.
	Reserve float64
	// OnDemandShare is the part of the demand that on-demand instances cover.
	OnDemandShare float64
	// StopMargin is the further spare capacity that a stop must leave, and
	// StopDelay the time over which the highest demand counts for stops.
	StopMargin float64
	StopDelay  time.Duration
	// DrainSettle is the least time from a drain to the deletion of the
	// upstream object, and from there to the stop.
	DrainSettle time.Duration
	MaxDraining int // instances of a version that drain at once
	// StartsPerMinute bounds start calls, also refused ones, of all versions.
	StartsPerMinute int
	MaxPending      int // instances that are starting, of all versions
	LoadsPerMinute  int // rate of the weight store
	// RefusalBackoff doubles up to MaxRefusalBackoff with each refusal.
	RefusalBackoff, MaxRefusalBackoff time.Duration
	// PendingTimeout is how long a start may be missing in the cloud's list.
	PendingTimeout time.Duration
	// StartTimeout is how long an instance may be starting and count as capacity.
	StartTimeout time.Duration
	// AbsentGrace is how long an instance must be missing before its upstream
	// object is deleted.
	AbsentGrace time.Duration
	// EjectedGrace is how long an ejected upstream counts as capacity, and
	// UnknownTimeout how long a drained one without load reports is kept. No
	// request is older than its drain, so it must exceed request timeouts.
	EjectedGrace, UnknownTimeout time.Duration
	// ReclaimHold is how long a data centre is avoided after a reclaim.
	ReclaimHold time.Duration
	Seed        uint64 // of the jitter
}

// DefaultLimits returns the limits for a fleet of a few dozen instances.
func DefaultLimits() Limits {
	return Limits{
		DefaultSlots: 8, Reserve: 0.2, OnDemandShare: 0.3,
		StopMargin: 0.15, StopDelay: 2 * time.Minute, DrainSettle: 10 * time.Second, MaxDraining: 2,
		StartsPerMinute: 30, MaxPending: 20, LoadsPerMinute: 30,
		RefusalBackoff: 5 * time.Second, MaxRefusalBackoff: 5 * time.Minute,
		PendingTimeout: 30 * time.Second, StartTimeout: 5 * time.Minute,
		AbsentGrace: 15 * time.Second, EjectedGrace: time.Minute, UnknownTimeout: 10 * time.Minute, ReclaimHold: 5 * time.Minute,
	}
}

func (l Limits) slots(class string) float64 {
	if n, ok := l.SlotsPerInstance[class]; ok {
		return n
	}
	return l.DefaultSlots
}
