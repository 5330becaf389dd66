package result

import (
	"os"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
)

// The table in the documentation must list every code as the program uses it.
func TestCodesAreDocumented(t *testing.T) {
	g := NewWithT(t)
	page, err := os.ReadFile("../../docs/errors.md")
	g.Expect(err).NotTo(HaveOccurred())
	for _, c := range Codes() {
		g.Expect(string(page)).To(ContainSubstring(c.Row() + "\n"))
	}
}

// An error without a code must not be reported as "not run".
func TestFromKeepsCodesAndTreatsOthersAsUnknown(t *testing.T) {
	g := NewWithT(t)
	wrapped := errors.Wrap(New(Conflict, NotRun, "x"), "outer")
	g.Expect(CodeOf(wrapped)).To(Equal(Conflict))
	g.Expect(From(errors.New("plain")).Execution).To(Equal(Unknown))
	g.Expect(CodeOf(nil)).To(Equal(OK))
}
