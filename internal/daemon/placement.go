package daemon

import (
	"math/rand/v2"
	"time"

	"github.com/dogwoodrudder/dogwoodrudder/internal/duty"
	"github.com/dogwoodrudder/dogwoodrudder/internal/placement"
	"github.com/dogwoodrudder/dogwoodrudder/internal/store"
	"github.com/dogwoodrudder/dogwoodrudder/internal/upstreams"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/lease"
	planner "github.com/dogwoodrudder/dogwoodrudder/pkg/placement"
)

// minLeaseTTL is the minimum time to live that pkg/lease supports.
const minLeaseTTL = 3 * time.Second

// placementDuties returns the duties that hold the placement lease and run
// placement, or none if the settings disable placement or contain no address of a
// cloud.
func (d *Daemon) placementDuties() []duty.Duty {
	if !d.settings.Platform.Placement || d.cloud == nil {
		return nil
	}
	d.placementLease = lease.New(lease.Config{
		Backend: store.LeaseBackend{Store: d.store}, Clock: d.clock, Logger: d.log, Duty: placement.Name,
		Key: placement.LeaseKey, DaemonID: d.id, TTL: max(minLeaseTTL, d.settings.Store.LeaseTTL),
		Candidate: func() bool {
			return d.state() == "serving" && d.gossip.Overlay().Candidate(placement.Name, placement.Candidates)
		},
	})
	limits := planner.DefaultLimits()
	limits.Seed = rand.Uint64()
	limits.DefaultSlots = float64(d.settings.Platform.PlacementSlots)
	controller := placement.New(placement.Options{
		Clock: d.clock, Log: d.log, Lease: d.placementLease, Cloud: d.cloud, Engines: d.engine, Objects: d.operator,
		Directory: d.directory, Config: d.config.Current, Admission: d.admission.Stats, Limits: limits,
		Daemons: func() int { return countLive(d.gossip.Members()) },
	})
	d.directory.OnNotice(func(upstreams.Notice) { controller.Wake() })
	return []duty.Duty{
		{Name: "placement-lease", Run: d.placementLease.Run},
		{Name: placement.Name, Run: controller.Run},
	}
}

// abandonPlacement gives up the placement lease without waiting for its expiry.
func (d *Daemon) abandonPlacement() {
	if d.placementLease != nil {
		d.placementLease.Abandon()
	}
}
