package routing_test

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/dogwoodrudder/dogwoodrudder/pkg/object"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/routing"
)

// Guards against subsets that change by more than one entry, and so lose
// connections and cached prefixes, when a single upstream is added or removed.
func TestSubsetStability(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 80).Draw(t, "n")
		members := make([]routing.Member, n)
		for i := range members {
			members[i] = routing.Member{Name: fmt.Sprint(i), DataCentre: fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "dc"))}
		}
		self := routing.Member{Name: rapid.String().Draw(t, "self"), DataCentre: "0"}
		size := rapid.IntRange(1, 40).Draw(t, "size")
		all := routing.Subset(members, self, size)
		if len(all) != min(size, n) {
			t.Fatalf("size %d, want %d", len(all), min(size, n))
		}
		removed := rapid.IntRange(0, n-1).Draw(t, "gone")
		reduced := routing.Subset(slices.Delete(slices.Clone(members), removed, removed+1), self, size)
		added := 0
		for _, m := range reduced {
			if !slices.Contains(all, m) {
				added++
			}
		}
		if added > 1 || (added == 1 && !slices.Contains(all, members[removed])) {
			t.Fatalf("%d members were added when %s was removed", added, members[removed].Name)
		}
	})
}

// Guards against a subset that has too few or too many upstreams of the daemon's
// own data centre.
func TestSubsetDataCentres(t *testing.T) {
	var members []routing.Member
	for i := range 12_000 {
		members = append(members, routing.Member{Name: fmt.Sprint(i), DataCentre: fmt.Sprint(i % 20)})
	}
	own := 0
	for _, m := range routing.Subset(members, routing.Member{Name: "d", DataCentre: "7"}, 400) {
		if m.DataCentre == "7" {
			own++
		}
	}
	if own != 300 {
		t.Errorf("%d of 400 in the own data centre, want 300", own)
	}
}

// Guards against sessions that change version unnecessarily: a session may only
// move to a version whose share grew relative to that of its old version.
func TestVersionForIsSticky(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 4).Draw(t, "n")
		draw := func(label string) []object.Share {
			shares := make([]object.Share, n)
			for i := range shares {
				shares[i] = object.Share{Version: fmt.Sprint(i), Percent: rapid.Float64Range(0, 100).Draw(t, label)}
			}
			return shares
		}
		before, after := draw("before"), draw("after")
		share := func(shares []object.Share, version string) float64 {
			for _, s := range shares {
				if s.Version == version {
					return s.Percent
				}
			}
			return 0
		}
		for i := range 50 {
			hash := routing.SessionHash(fmt.Sprint(i))
			from, to := routing.VersionFor(before, hash), routing.VersionFor(after, hash)
			if to != "" && share(after, to) <= 0 {
				t.Fatalf("version %s has no share", to)
			}
			if from == "" || to == "" || from == to {
				continue
			}
			grown := share(after, to) * share(before, from)
			kept := share(before, to) * share(after, from)
			if grown < kept*(1-1e-9) {
				t.Fatalf("moved from %s to %s: %v, %v", from, to, before, after)
			}
		}
	})
}

// Guards against a distribution of many sessions that doesn't match the shares.
func TestVersionForShares(t *testing.T) {
	shares := []object.Share{{Version: "old", Percent: 95}, {Version: "new", Percent: 5}}
	const sessions = 100_000
	hits := 0
	for i := range sessions {
		if routing.VersionFor(shares, routing.SessionHash(fmt.Sprint(i))) == "new" {
			hits++
		}
	}
	// Six standard deviations of the binomial distribution.
	if hits < 4587 || hits > 5413 {
		t.Errorf("%d of %d sessions, want about 5%%", hits, sessions)
	}
}
