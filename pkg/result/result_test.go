package result

import (
	"os"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
)

// Guards against a result code that the documentation lacks or lists with
// another title, status or cause.
func TestCodesAreDocumented(t *testing.T) {
	g := NewWithT(t)
	page, err := os.ReadFile("../../docs/errors.md")
	g.Expect(err).NotTo(HaveOccurred())
	for _, c := range Codes() {
		g.Expect(string(page)).To(ContainSubstring(c.Row() + "\n"))
	}
}

// Guards against an error without a result code that is reported as "not run",
// and against a code that is lost when the error is wrapped.
func TestFromKeepsCodesAndTreatsOthersAsUnknown(t *testing.T) {
	g := NewWithT(t)
	wrapped := errors.Wrap(New(Conflict, NotRun, "x"), "outer")
	g.Expect(CodeOf(wrapped)).To(Equal(Conflict))
	g.Expect(From(errors.New("plain")).Execution).To(Equal(Unknown))
	g.Expect(CodeOf(nil)).To(Equal(OK))
}
