package fleet_test

import (
	"log/slog"
	"testing"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"

	"github.com/dogwoodrudder/dogwoodrudder/internal/fleet"
)

// Another writer leaves an entry with the address of an instance. Guards against that
// instance getting no more requests, after the entry was removed or its address was
// found to belong to another instance.
func TestAddressReturnsToItsInstance(t *testing.T) {
	for name, end := range map[string]func(*fleet.Set){
		"removed":   func(s *fleet.Set) { s.Remove("copy") },
		"displaced": func(s *fleet.Set) { s.MarkDisplaced("copy") },
		"moved": func(s *fleet.Set) {
			s.Put(fleet.Description{ID: "copy", Service: "other", Address: "10.0.0.2:80", Slots: 1})
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := fleet.NewSet(clockwork.NewFakeClock(), slog.New(slog.DiscardHandler))
			entry := fleet.Description{ID: "own", Service: "s", Address: "10.0.0.1:80", Slots: 1}
			s.Put(entry)
			entry.ID = "copy"
			s.Put(entry)
			end(s)
			r, err := s.Pick(fleet.Query{Service: "s"})
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(r.ID).To(Equal("own"))
		})
	}
}
