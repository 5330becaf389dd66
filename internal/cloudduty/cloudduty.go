// Package cloudduty defines the calls to the cloud that only one daemon at a time
// may make: the holder of the duty. Package platform implements Client.
package cloudduty

import (
	"context"

	"github.com/pkg/errors"
)

// Errors of a Client.
var (
	// ErrUnknown means that no response arrived: the call may take effect later.
	ErrUnknown = errors.New("cloud call outcome unknown")
	// ErrConflict means that the cloud has seen a higher fencing token, or that it
	// has no capacity for the order.
	ErrConflict = errors.New("cloud call refused because of a conflict")
	// ErrRefused means that the cloud refused the call for another reason.
	ErrRefused = errors.New("cloud call refused")
)

// Order is the desired number of instances of a service in a data centre.
type Order struct {
	Service    string
	DataCentre string
	Instances  int
	// Reclaimable means that Instances is the number of reclaimable instances;
	// otherwise it is that of on-demand ones.
	Reclaimable bool
}

// Client makes the calls. The token is the fencing token of the duty.
type Client interface {
	// ReportUsage reports how many requests of each account started in a window.
	ReportUsage(ctx context.Context, token int64, window int64, counts map[string]int64) error
	// Order sets the number of instances.
	Order(ctx context.Context, token int64, o Order) error
}
