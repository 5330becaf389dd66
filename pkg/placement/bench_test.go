package placement_test

import (
	"fmt"
	"testing"

	"github.com/jonboulle/clockwork"

	"github.com/dogwoodrudder/dogwoodrudder/pkg/placement"
)

// BenchmarkPlan makes a plan for 12,000 instances in 20 data centres, of which
// one is being reclaimed.
func BenchmarkPlan(b *testing.B) {
	var s placement.State
	for dc := range 20 {
		for class := range 3 {
			s.Offers = append(s.Offers, placement.Offer{
				Class: fmt.Sprint("m", class), DataCentre: fmt.Sprint("dc", dc),
				OnDemandPrice: 3, ReclaimablePrice: 1, Capacity: 400,
			})
		}
	}
	for n := range 12_000 {
		i := placement.Instance{
			Name: chat.InstanceName(n + 1), Group: chat, Phase: placement.Running, Class: "m1",
			DataCentre: fmt.Sprint("dc", n%20), Reclaimable: n%5 < 2, PricePerHour: 2, Managed: true,
			Registered: true, Loaded: true, Serving: true, Address: "127.0.0.1:1",
		}
		if n%20 == 0 {
			i.Phase = placement.Leaving
		}
		s.Instances = append(s.Instances, i)
	}
	s.Demands = []placement.Demand{{Group: chat, SlotsInUse: 85_000}}
	b.ReportAllocs()
	for b.Loop() {
		placement.New(clockwork.NewFakeClock(), placement.DefaultLimits()).Plan(s)
	}
}
