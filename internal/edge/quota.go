package edge

import (
	"math"

	"github.com/dogwoodrudder/dogwoodrudder/internal/bootclock"
	"github.com/dogwoodrudder/dogwoodrudder/internal/settings"
	"github.com/dogwoodrudder/dogwoodrudder/internal/traffic"
)

// quotaOverdraft returns the cost units by which the coordinator may exceed the quota of an
// account. The other half of the tolerated overrun is for a change of the coordinator.
func quotaOverdraft(b settings.Bounds) func(*traffic.Account) float64 {
	return func(a *traffic.Account) float64 {
		return b.QuotaOverrun / 2 * (a.Rate*b.QuotaWindow.Seconds() + a.Burst)
	}
}

// quotaMaxInitialLevel returns the most cost units that a new coordinator may have of an
// account. As many may follow one another in a window as the lease allows, and together they
// keep within the overrun and slack less the overdraft of the one before them: what daemons
// use without a coordinator comes out of the rate of that time. It is nil where no
// overrun is set.
func quotaMaxInitialLevel(b settings.Bounds) func(*traffic.Account) float64 {
	if b.QuotaOverrun == 0 {
		return nil
	}
	overdraft := quotaOverdraft(b)
	changes := math.Ceil(b.QuotaWindow.Seconds() / max(b.Lease, minLeaseTTL).Seconds())
	return func(a *traffic.Account) float64 {
		return (b.QuotaOverrun*(a.Rate*b.QuotaWindow.Seconds()+a.Burst) + b.QuotaSlack - overdraft(a)) / changes
	}
}

// loadShare returns the daemon's part of what all daemons share: half of it equal, and half
// in proportion to the requests that each receives, as far as that is known.
func (d *Daemon) loadShare() float64 {
	equal := 1 / float64(max(d.members.count(), 1))
	if d.fleetRateBits.Load() == 0 {
		return equal
	}
	return (equal + min(d.rate.update(bootclock.Now())/d.fleetRequestRate(), 1)) / 2
}
