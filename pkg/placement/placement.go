// Package placement plans which instances run which version of a service, so
// that the capacity covers the demand even after the loss of any one data centre,
// at low cost. It only plans; internal/placement executes the actions.
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

// maxNamePrefix is the maximum length in bytes of the service and version part of
// an instance name. It keeps instance names within the 63 bytes of an object name.
const maxNamePrefix = 45

// namePrefix returns the common prefix of the group's instance names. Its checksum
// distinguishes groups whose joined names are equal or were truncated.
func (g Group) namePrefix() string {
	name := g.Service + "-" + g.Version
	if len(name) > maxNamePrefix {
		name = name[:maxNamePrefix]
	}
	sum := xxhash.Sum64String(g.Service + "/" + g.Version)
	return fmt.Sprintf("%s-%06x-", name, sum&0xffffff)
}

// InstanceName returns the name of the group's instance with a number. The
// same number always gives the same name, so a repeated start is idempotent.
func (g Group) InstanceName(number int) string { return g.namePrefix() + strconv.Itoa(number) }

// Number returns the number in an instance name of this group, or false if the
// name is not one of this group.
func (g Group) Number(name string) (int, bool) {
	digits, ok := strings.CutPrefix(name, g.namePrefix())
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
	Leaving // the cloud has announced its reclaim
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
	// Managed means that placement started the instance; others are not changed.
	Managed bool
	// Registered means that an upstream object with this address exists.
	Registered bool
	// Loaded means that the engine has the group's model, version and role.
	Loaded bool
	// InFlight is the number of requests on the instance, from all daemons.
	// InFlightKnown means that there is a load report from after the drain.
	InFlight      int
	InFlightKnown bool
	// Serving means that the upstream's health checks succeed, Ejected that they
	// fail. Neither is set if the health is unknown.
	Serving, Ejected bool
	// DrainedAt is when daemons were told to send no new requests; zero if they were not.
	DrainedAt time.Time

	failed bool // ejected for at least EjectedGrace
}

// countsAsCapacity reports whether the instance is capacity for future demand.
func (i Instance) countsAsCapacity() bool {
	return (i.Phase == Running || i.Phase == Starting) && i.DrainedAt.IsZero() && !i.failed
}

// Offer is a machine class on sale in a data centre.
type Offer struct {
	Class, DataCentre               string
	OnDemandPrice, ReclaimablePrice float64 // per hour
	Capacity                        int     // instances; 0 means no stated limit
}

// Demand is the demand for one version, in slots (concurrent requests).
type Demand struct {
	Group Group
	// Offered is the expected demand in slots, SlotsInUse the number of running
	// requests and Waiting that of queued ones. The demand is the larger of Offered
	// and SlotsInUse + Waiting.
	Offered, SlotsInUse, Waiting float64
	// Floor is the minimum demand in slots, which keeps capacity for an idle version.
	Floor float64
}

func (d Demand) slots() float64 { return max(d.Offered, d.SlotsInUse+d.Waiting, d.Floor) }

// State is the input of a plan.
type State struct {
	Instances []Instance
	Offers    []Offer
	// Demands lists every version that placement manages. The instances of other
	// versions are not changed.
	Demands []Demand
}

// Kind is the type of an action.
type Kind string

// Kinds of actions. Each names an end state, so an action can be repeated.
const (
	Start      Kind = "start"      // the instance runs
	Load       Kind = "load"       // the engine has the group's model, version and role
	Register   Kind = "register"   // the upstream object exists
	Drain      Kind = "drain"      // daemons send no new requests to the upstream
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
	// SlotsPerInstance is the number of concurrent requests that an instance serves
	// within the latency target, by class; DefaultSlots applies to other classes.
	SlotsPerInstance map[string]float64
	DefaultSlots     float64
	// Reserve is the spare capacity as a fraction of the demand.
	Reserve float64
	// OnDemandShare is the fraction of the demand that on-demand instances cover.
	OnDemandShare float64
	// StopMargin is the additional spare capacity that a stop must leave, as a
	// fraction of the demand. Stops are planned for the highest demand of the last
	// StopDelay.
	StopMargin float64
	StopDelay  time.Duration
	// DrainSettle is the minimum time from a drain to the deletion of the upstream
	// object, and from the deletion to the stop.
	DrainSettle time.Duration
	// MaxDraining is the maximum number of instances of a version that drain at once.
	MaxDraining int
	// StartsPerMinute limits the start calls for all versions, including refused ones.
	StartsPerMinute int
	// MaxPending is the maximum number of starting instances of all versions.
	MaxPending int
	// LoadsPerMinute is the rate limit of the weight store.
	LoadsPerMinute int
	// RefusalBackoff is the first backoff after a refusal. It doubles with each
	// refusal, up to MaxRefusalBackoff.
	RefusalBackoff, MaxRefusalBackoff time.Duration
	// PendingTimeout is how long a started instance may be missing from the cloud's
	// list.
	PendingTimeout time.Duration
	// StartTimeout is how long a starting instance counts as capacity. It is stopped
	// afterwards.
	StartTimeout time.Duration
	// GoneGrace is how long an instance must be missing from the cloud's list before
	// its upstream object is deleted.
	GoneGrace time.Duration
	// EjectedGrace is how long an ejected upstream counts as capacity, and
	// UnknownTimeout how long a drained one without load reports is kept. An upstream
	// gets no new requests after its drain, so UnknownTimeout must exceed the request
	// timeouts.
	EjectedGrace, UnknownTimeout time.Duration
	// ReclaimCooldown is how long a data centre is avoided after a reclaim.
	ReclaimCooldown time.Duration
	Seed            uint64 // of the backoff jitter
}

// DefaultLimits returns the limits for a fleet of a few dozen instances.
func DefaultLimits() Limits {
	return Limits{
		DefaultSlots: 8, Reserve: 0.2, OnDemandShare: 0.3,
		StopMargin: 0.15, StopDelay: 2 * time.Minute, DrainSettle: 10 * time.Second, MaxDraining: 2,
		StartsPerMinute: 30, MaxPending: 20, LoadsPerMinute: 30,
		RefusalBackoff: 5 * time.Second, MaxRefusalBackoff: 5 * time.Minute,
		PendingTimeout: 30 * time.Second, StartTimeout: 5 * time.Minute,
		GoneGrace: 15 * time.Second, EjectedGrace: time.Minute, UnknownTimeout: 10 * time.Minute, ReclaimCooldown: 5 * time.Minute,
	}
}

func (l Limits) slots(class string) float64 {
	if n, ok := l.SlotsPerInstance[class]; ok {
		return n
	}
	return l.DefaultSlots
}
