package settings

import (
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Edge holds the settings of a daemon that serves callers directly from the
// platform's store. Bounds come from the deployment's sheet.
type Edge struct {
	Name       string
	DataCentre string
	Region     string
	LogLevel   string

	CallersAddress     string
	ReadyAddress       string
	DirectoryAddress   string
	CoordinatorAddress string
	MetricsAddress     string

	CPUShare    float64
	LinkMbps    float64
	MemoryMB    int
	Descriptors int

	StoreAddress    string
	WritesPerSecond float64
	ReadsPerSecond  float64
	CloudAddress    string
	CloudCalls      float64
	Duties          string

	Bounds Bounds
}

// Bounds are what the deployment promises its users.
type Bounds struct {
	LeaveTime      time.Duration // from an instance's notice until it gets no work
	Grace          time.Duration // from SIGTERM to SIGKILL
	KeyRevocation  time.Duration // from a removed key's acknowledgement until it is refused everywhere
	Contact        time.Duration // calm time after which a daemon is bound by the others
	RetryRatio     float64
	RetryWindow    time.Duration
	RetryExtra     float64
	QuotaWindow    time.Duration
	QuotaSlack     float64
	Lease          time.Duration // least time between holders of a duty
	UsageWindow    time.Duration
	UsageLateness  time.Duration
	ExposureShare  float64
	ExposureSlack  float64
	Rollback       time.Duration
	PromptReuse    time.Duration // a shared prompt that was used so recently should still be cached
	LookupLifetime time.Duration
}

// HasDuty reports whether the deployment asks for a single-writer duty.
func (e *Edge) HasDuty(name string) bool {
	for duty := range strings.SplitSeq(e.Duties, ",") {
		if strings.TrimSpace(duty) == name {
			return true
		}
	}
	return false
}

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
	l.choice("log", "level", &e.LogLevel, "info", "Lowest level that is logged.", "debug", "info", "warn", "error")
	l.address("listen", "callers", &e.CallersAddress, "", "Listener for callers' requests.")
	l.address("listen", "ready", &e.ReadyAddress, "", "Listener for readiness checks.")
	l.address("listen", "directory", &e.DirectoryAddress, "", "Listener for callers that ask for addresses; empty turns it off.")
	l.address("listen", "coordinator", &e.CoordinatorAddress, "", "Listener for other daemons.")
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
	l.number("cloud", "calls_per_second", &e.CloudCalls, "1/s", 10, 0.1, 1e6, "Largest rate of duty calls of all daemons together.")
	l.text("cloud", "duties", &e.Duties, "metering,autoscaler", "Single-writer duties, separated by commas: metering, autoscaler.")
}

func (l *keyList) edgeBounds(b *Bounds) {
	const most = 10 * time.Minute
	l.duration("bounds", "leave_time", &b.LeaveTime, 2*time.Second, 0, most, "Time in which a leaving instance stops getting work.")
	l.duration("bounds", "grace", &b.Grace, 8*time.Second, time.Second, most, "Time from SIGTERM to the end of the process.")
	l.duration("bounds", "key_revocation", &b.KeyRevocation, 5*time.Second, 500*time.Millisecond, most,
		"Time after which a removed account key is refused, also by a daemon without contact.")
	l.duration("bounds", "contact", &b.Contact, 3*time.Second, 0, most, "Time without disturbance after which a daemon counts as in contact.")
	l.number("bounds", "retry_ratio", &b.RetryRatio, "share", 0.2, 0, 1, "Repeated attempts by request of a service.")
	l.duration("bounds", "retry_window", &b.RetryWindow, 10*time.Second, time.Second, most, "Window of the retry budget.")
	l.number("bounds", "retry_extra", &b.RetryExtra, "attempts", 0, 0, 1e6, "Repeated attempts in a window beside the ratio, of all daemons.")
	l.duration("bounds", "quota_window", &b.QuotaWindow, 8*time.Second, time.Second, most, "Window in which account quotas hold.")
	l.number("bounds", "quota_slack", &b.QuotaSlack, "cost units", 0, 0, 1e12, "Use beyond a quota that is tolerated in a window.")
	l.duration("bounds", "lease", &b.Lease, 3*time.Second, time.Second, most, "Least time between two holders of a duty.")
	l.duration("bounds", "usage_window", &b.UsageWindow, 5*time.Second, time.Second, most, "Length of a metering window.")
	l.duration("bounds", "usage_lateness", &b.UsageLateness, 10*time.Second, time.Second, most, "Time after a window in which its usage is due.")
	l.number("bounds", "exposure_share", &b.ExposureShare, "share", 0.1, 0, 1, "Requests that a bad version may get.")
	l.number("bounds", "exposure_slack", &b.ExposureSlack, "requests", 50, 0, 1e6, "Requests that a bad version may get beside the share.")
	l.duration("bounds", "rollback", &b.Rollback, 5*time.Second, 0, most, "Time in which a bad version loses its requests.")
	l.duration("bounds", "prompt_reuse", &b.PromptReuse, 5*time.Second, 0, most, "Time in which a shared prompt should stay cached.")
	l.duration("bounds", "lookup_lifetime", &b.LookupLifetime, 2*time.Second, time.Second, most, "How long callers keep addresses.")
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

// EdgeReference returns the table of all keys of an edge daemon.
func EdgeReference() []Key { return edgeKeys(&Edge{}) }
