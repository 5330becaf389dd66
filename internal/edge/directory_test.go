package edge

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
)

func machines(large, small int) []member {
	var all []member
	for i := range large {
		all = append(all, member{Name: fmt.Sprintf("large-%d", i), CPUShare: 0.8, LinkMbps: 200})
	}
	for i := range small {
		all = append(all, member{Name: fmt.Sprintf("small-%d", i), CPUShare: 0.192, LinkMbps: 10})
	}
	return all
}

// The larger ("grown") deployments have six machines with 0.8 cores and
// 200 Mbit/s, and many with 0.192 cores and 10 Mbit/s. Guards against requests
// through slow links while the fast ones have spare capacity, and against listing
// too few machines when the load needs more or most large ones are gone.
func TestLoadGoesToLargeMachines(t *testing.T) {
	g := NewWithT(t)
	g.Expect(selectListed(machines(6, 56), 400)).To(HaveLen(6))
	g.Expect(len(selectListed(machines(6, 56), 2400))).To(BeNumerically(">", 6))
	g.Expect(len(selectListed(machines(2, 56), 900))).To(BeNumerically(">=", 10))
	g.Expect(selectListed(machines(6, 56), 100_000)).To(HaveLen(62))
	g.Expect(selectListed(machines(1, 2), 0)).To(HaveLen(3))
}

// Guards against leaving some of several equal machines idle.
func TestEqualMachinesAreAllListed(t *testing.T) {
	NewWithT(t).Expect(selectListed(machines(7, 0), 10)).To(HaveLen(7))
}
