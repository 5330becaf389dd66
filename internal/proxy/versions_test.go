package proxy

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/dogwoodrudder/dogwoodrudder/pkg/object"
)

// Guards against a request whose retries all go to a faulty new version, and
// against retries that give a new version more than its share.
func TestFallbackLeavesOnlyVersionsWithSmallerShare(t *testing.T) {
	g := NewWithT(t)
	shares := []object.Share{{Version: "old", Percent: 95}, {Version: "new", Percent: 5}}
	g.Expect(fallback(shares, "new")).To(Equal("old"))
	g.Expect(fallback(shares, "old")).To(Equal("old"))
	even := []object.Share{{Version: "old", Percent: 50}, {Version: "new", Percent: 50}}
	g.Expect(fallback(even, "new")).To(Equal("new"))
	g.Expect(fallback(even, "old")).To(Equal("old"))
}
