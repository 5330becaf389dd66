// Package settings reads the INI file of a daemon. Each key has a type and, where
// they apply, a unit, a default and a range. An unknown key or an invalid value is
// an error that names the file, section and key.
package settings

import "time"

// Settings are the static settings of one daemon process. The texts of the keys in
// settingsKeys describe the fields.
type Settings struct {
	Daemon    Daemon
	Peers     Peers
	Store     Store
	Orders    Orders
	Limits    Limits
	Upstreams Upstreams
	Operators Operators
	Platform  Platform
	Log       Log
}

// Daemon identifies the process and its listeners.
type Daemon struct {
	Name          string
	DataCentre    string
	Region        string
	HTTPAddress   string
	PeerAddress   string
	DrainTimeout  time.Duration
	AddressTTL    time.Duration
	DutyWorkers   int
	UpstreamCalls int
}

// Peers configures membership.
type Peers struct {
	Seeds         []string
	ProbeInterval time.Duration
	ProbeTimeout  time.Duration
	SuspectAfter  time.Duration
}

// Store configures access to the key-value service.
type Store struct {
	Endpoints       []string
	CallTimeout     time.Duration
	WritesPerSecond float64
	ReadsPerSecond  float64
	LeaseTTL        time.Duration
}

// Orders configures order tokens.
type Orders struct {
	SecretID         string
	Secret           string
	PreviousSecretID string
	PreviousSecret   string
	TokenTTL         time.Duration
	MaxEntries       int
	MaxBytes         int64
}

// Limits bounds what callers may send and what the daemon queues.
type Limits struct {
	MaxBodyBytes   int
	MaxHeaderBytes int
	MaxStreamBytes int
	QueueLength    int
	ResumeWindow   time.Duration
	RequestTimeout time.Duration
}

// Upstreams configures calls to upstreams.
type Upstreams struct {
	DialTimeout       time.Duration
	FirstByteTimeout  time.Duration
	TokenTimeout      time.Duration
	HealthInterval    time.Duration
	LoadInterval      time.Duration
	SubsetSize        int
	MigrationDeadline time.Duration
}

// Operators holds the operator key that works before any client account exists.
type Operators struct {
	BootstrapKeyHash string
}

// Platform configures access to the cloud API and the placement of engines.
type Platform struct {
	CloudAddress   string
	NoticeInterval time.Duration
	Placement      bool
	PlacementSlots int
}

// Log configures logging.
type Log struct {
	Level string
}
