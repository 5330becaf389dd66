package scaling

import (
	"time"

	"github.com/dogwoodrudder/dogwoodrudder/internal/traffic"
)

// evacuatedCentres returns the data centres of the service under evacuation, and removes
// their instances from counts: they don't count as capacity. What was ordered there stays,
// so that it is back when the order is taken back. A surplus that was seen there before is
// forgotten; otherwise the instances would be released at once on their return.
func (d *Duty) evacuatedCentres(scaling *traffic.Scaling, s *serviceState, counts map[InstancePool]poolCount) map[string]bool {
	if d.config.Evacuated == nil {
		return nil
	}
	evacuated := map[string]bool{}
	for centre := range scaling.Prices {
		if !d.config.Evacuated(centre) {
			continue
		}
		evacuated[centre] = true
		for _, reclaimable := range []bool{false, true} {
			pool := InstancePool{centre, reclaimable}
			delete(counts, pool)
			s.pools[pool].surplusSince = 0
		}
	}
	return evacuated
}

// anyEvacuated reports whether a data centre with instances of a service is evacuated.
func (d *Duty) anyEvacuated(scaling *traffic.Scaling) bool {
	if d.config.Evacuated == nil {
		return false
	}
	for centre := range scaling.Prices {
		if d.config.Evacuated(centre) {
			return true
		}
	}
	return false
}

// observeEvacuated keeps the instances that replaced those of a data centre until the
// latter, which may have restarted, are warm.
func (s *serviceState) observeEvacuated(evacuated map[string]bool, now, warmupTime time.Duration) {
	for centre := range s.evacuated {
		if !evacuated[centre] {
			s.releaseAfter = now + max(scaleDownDelay, warmupTime)
		}
	}
	s.evacuated = evacuated
}
