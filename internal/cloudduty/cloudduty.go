// Package cloudduty defines the calls to the cloud that only one daemon at a
// time may make. Adapters implement Caller for a deployment's wire.
package cloudduty

import (
	"context"

	"github.com/pkg/errors"
)

// Errors of a Caller.
var (
	// ErrUnknown means that no answer arrived: the call may take effect later.
	ErrUnknown = errors.New("cloud call outcome unknown")
	// ErrConflict means that a higher fencing token was seen, or that the cloud
	// has nothing of what was ordered.
	ErrConflict = errors.New("cloud call refused for a conflict")
	// ErrRefused means that the cloud did nothing for another reason.
	ErrRefused = errors.New("cloud call refused")
)

// Order sets the number of instances of a service in a data centre.
type Order struct {
	Service     string
	DataCentre  string
	Instances   int
	Reclaimable bool // counted apart from the others
}

// Caller makes the calls. token is the fencing token of the duty.
type Caller interface {
	// ReportUsage tells how many requests of each account began in a window.
	ReportUsage(ctx context.Context, token int64, window int64, counts map[string]int64) error
	// Order sets the number of instances.
	Order(ctx context.Context, token int64, o Order) error
}
