package settings

import (
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Edge holds the settings of a daemon that serves callers directly from the
// platform's store. The platform fills in the file from deploy/rudderd.ini.tmpl,
// with the bounds of the deployment.
type Edge struct {
	Name       string
	DataCentre string
	Region     string
	Regions    map[string]string // region of each data centre
	LogLevel   string

	CallersAddress     string
	ReadyAddress       string
	DirectoryAddress   string
	CoordinatorAddress string
	// TunnelsAddress is the listener for connections of other daemons to instances; empty
	// if there is none.
	TunnelsAddress string
	MetricsAddress string

	CPUShare    float64 // cores
	LinkMbps    float64 // bandwidth of the machine's link in Mbit/s; 0 if unknown
	MemoryMB    int     // the process is ended if it exceeds this
	Descriptors int     // maximum number of file descriptors

	StoreAddress        string
	WritesPerSecond     float64 // to the store, by all daemons together
	ReadsPerSecond      float64 // from the store, by all daemons together
	CloudAddress        string  // empty if duties are off
	CloudCallsPerSecond float64 // of duties, by all daemons together
	Duties              string  // single-writer duties, separated by commas

	Bounds Bounds
}

// Bounds are the guarantees of the deployment to its users, and the parameters on
// which they depend.
type Bounds struct {
	LeaveTime      time.Duration // from the notice that an instance leaves until it gets no more requests
	Grace          time.Duration // from SIGTERM to SIGKILL
	KeyRevocation  time.Duration // from the acknowledgement that a key is removed until all daemons refuse it
	Contact        time.Duration // time without a fault after which a daemon counts as in contact with the others
	RetryRatio     float64       // retries per request of a service
	RetryWindow    time.Duration // window of the retry budget
	RetryExtra     float64       // retries of all daemons per RetryWindow in addition to RetryRatio
	QuotaWindow    time.Duration // window in which account quotas hold
	QuotaSlack     float64       // cost units beyond a quota that are tolerated per QuotaWindow
	QuotaOverrun   float64       // share by which the use of a quota may exceed it per QuotaWindow
	Lease          time.Duration // minimum time between two holders of a duty
	UsageWindow    time.Duration // length of a metering window
	UsageLateness  time.Duration // from the end of a metering window until its usage is due
	ExposureShare  float64       // share of requests that a bad version may get
	ExposureSlack  float64       // requests that a bad version may get in addition to ExposureShare
	Rollback       time.Duration // time within which a bad version stops getting requests
	PromptReuse    time.Duration // time since its last use for which a shared prompt should stay cached
	LookupLifetime time.Duration // how long callers keep addresses
	Evacuation     time.Duration // from the order to evacuate a data centre until its instances get no more requests; 0 if there are no such orders
	WarmupOverrun  float64       // factor by which the requests of a second may exceed the rate that a cold instance bears
	WarmupSlack    float64       // requests of a second beyond WarmupOverrun that a cold instance tolerates
}

// HasDuty reports whether Duties lists a single-writer duty, which only one daemon
// at a time may perform.
func (e *Edge) HasDuty(name string) bool {
	for duty := range strings.SplitSeq(e.Duties, ",") {
		if strings.TrimSpace(duty) == name {
			return true
		}
	}
	return false
}

// edgeKeys returns the keys bound to the fields of e.
func edgeKeys(e *Edge) []Key {
	var l keyList
	l.edgeDaemon(e)
	l.edgeMachine(e)
	l.edgeBounds(&e.Bounds)
	return l
}

func (l *keyList) edgeDaemon(e *Edge) {
	l.required("daemon", "name", &e.Name, "Name of the entry instance.")
	l.required("daemon", "data_centre", &e.DataCentre, "Data centre in which the daemon runs.")
	l.text("daemon", "region", &e.Region, "", "Region of the data centre.")
	l.pairs("daemon", "regions", &e.Regions, "Region of each data centre, as DATA_CENTRE=REGION separated by commas.")
	l.choice("log", "level", &e.LogLevel, "info", "Lowest level that is logged.", "debug", "info", "warn", "error")
	l.address("listen", "callers", &e.CallersAddress, "", "Listener for callers' requests.")
	l.address("listen", "ready", &e.ReadyAddress, "", "Listener for readiness checks.")
	l.address("listen", "directory", &e.DirectoryAddress, "", "Listener for callers that ask for addresses; empty turns it off.")
	l.address("listen", "coordinator", &e.CoordinatorAddress, "", "Listener for other daemons.")
	l.address("listen", "tunnels", &e.TunnelsAddress, "", "Listener for connections of other daemons to instances that they can't reach; empty turns it off.")
	l.address("listen", "metrics", &e.MetricsAddress, "", "Listener for metrics; empty turns it off.")
}

func (l *keyList) edgeMachine(e *Edge) {
	l.number("limits", "cpu_share", &e.CPUShare, "cores", 1, 0.01, 1024, "Processor share of the machine.")
	l.number("limits", "link_mbps", &e.LinkMbps, "Mbit/s", 0, 0, 1e6, "Bandwidth of the machine's link; 0 means unknown.")
	l.integer("limits", "memory_mb", &e.MemoryMB, "MB", 256, 16, 1<<20, "Memory that ends the process when exceeded.")
	l.integer("limits", "descriptors", &e.Descriptors, "descriptors", 1024, 64, 1<<24, "Largest number of descriptors.")
	l.address("store", "address", &e.StoreAddress, "", "Address of the platform's store.")
	l.number("store", "writes_per_second", &e.WritesPerSecond, "1/s", 300, 1, 1e6, "Largest rate of writes of all daemons together.")
	l.number("store", "reads_per_second", &e.ReadsPerSecond, "1/s", 1500, 1, 1e6, "Largest rate of reads of all daemons together.")
	l.address("cloud", "address", &e.CloudAddress, "", "Address of the cloud API; empty turns duties off.")
	l.number("cloud", "calls_per_second", &e.CloudCallsPerSecond, "1/s", 10, 0.1, 1e6, "Largest rate of duty calls of all daemons together.")
	l.text("cloud", "duties", &e.Duties, "metering,autoscaler", "Single-writer duties, separated by commas: metering, autoscaler.")
}

func (l *keyList) edgeBounds(b *Bounds) {
	const maxBound = 10 * time.Minute
	l.duration("bounds", "leave_time", &b.LeaveTime, 2*time.Second, 0, maxBound, "Time in which a leaving instance stops getting work.")
	l.duration("bounds", "grace", &b.Grace, 8*time.Second, time.Second, maxBound, "Time from SIGTERM to the end of the process.")
	l.duration("bounds", "key_revocation", &b.KeyRevocation, 5*time.Second, 500*time.Millisecond, maxBound,
		"Time after which a removed account key is refused, also by a daemon without contact.")
	l.duration("bounds", "contact", &b.Contact, 3*time.Second, 0, maxBound, "Time without disturbance after which a daemon counts as in contact.")
	l.number("bounds", "retry_ratio", &b.RetryRatio, "share", 0.2, 0, 1, "Repeated attempts by request of a service.")
	l.duration("bounds", "retry_window", &b.RetryWindow, 10*time.Second, time.Second, maxBound, "Window of the retry budget.")
	l.number("bounds", "retry_extra", &b.RetryExtra, "attempts", 0, 0, 1e6, "Repeated attempts in a window beside the ratio, of all daemons.")
	l.duration("bounds", "quota_window", &b.QuotaWindow, 8*time.Second, time.Second, maxBound, "Window in which account quotas hold.")
	l.number("bounds", "quota_slack", &b.QuotaSlack, "cost units", 0, 0, 1e12, "Use beyond a quota that is tolerated in a window.")
	l.number("bounds", "quota_overrun", &b.QuotaOverrun, "share", 0, 0, 1, "Share by which a quota may be exceeded in a window, beside quota_slack.")
	l.duration("bounds", "lease", &b.Lease, 3*time.Second, time.Second, maxBound, "Least time between two holders of a duty.")
	l.duration("bounds", "usage_window", &b.UsageWindow, 5*time.Second, time.Second, maxBound, "Length of a metering window.")
	l.duration("bounds", "usage_lateness", &b.UsageLateness, 10*time.Second, time.Second, maxBound, "Time after a window in which its usage is due.")
	l.number("bounds", "exposure_share", &b.ExposureShare, "share", 0.1, 0, 1, "Requests that a bad version may get.")
	l.number("bounds", "exposure_slack", &b.ExposureSlack, "requests", 50, 0, 1e6, "Requests that a bad version may get beside the share.")
	l.duration("bounds", "rollback", &b.Rollback, 5*time.Second, 0, maxBound, "Time in which a bad version loses its requests.")
	l.duration("bounds", "prompt_reuse", &b.PromptReuse, 5*time.Second, 0, maxBound, "Time in which a shared prompt should stay cached.")
	l.duration("bounds", "evacuation", &b.Evacuation, 0, 0, maxBound, "Time in which an evacuated data centre stops getting requests; 0 if there are no evacuations.")
	l.number("bounds", "warmup_overrun", &b.WarmupOverrun, "factor", 1, 1, 100, "Requests of a second at a cold instance, relative to the rate that it bears.")
	l.number("bounds", "warmup_slack", &b.WarmupSlack, "requests", 0, 0, 1e6, "Requests of a second at a cold instance beside warmup_overrun.")
	l.duration("bounds", "lookup_lifetime", &b.LookupLifetime, 2*time.Second, time.Second, maxBound, "How long callers keep addresses.")
}

// LoadEdge reads and checks the settings of an edge daemon.
func LoadEdge(path string) (*Edge, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	e := &Edge{}
	if err := parseKeys(path, data, edgeKeys(e)); err != nil {
		return nil, err
	}
	return e, nil
}

// EdgeReference returns all keys of an edge daemon, for the reference table.
func EdgeReference() []Key { return edgeKeys(&Edge{}) }
