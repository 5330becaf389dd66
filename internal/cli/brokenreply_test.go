package cli

import (
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dogwoodrudder/dogwoodrudder/test/standin/rawreply"
)

// A change may have been stored when its answer is broken; a query must not print it.
var _ = Describe("a daemon whose answers have a malformed head", func() {
	for name, head := range rawreply.Broken {
		It("is not believed: "+name, func() {
			body := `{"revision":7,"addresses":["127.0.1.1:8080"]}`
			server, err := rawreply.Start(rawreply.Whole(func(*http.Request) string { return head.Text("", body) }))
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(server.Close)
			code, out, _ := run("--address", server.Address(), "delete", "Service", "shop")
			Expect(code).To(Equal(ExitUnknown))
			Expect(out).To(BeEmpty())
			code, out, _ = run("--address", server.Address(), "where")
			Expect(code).To(Equal(ExitUnreachable))
			Expect(out).To(BeEmpty())
		})
	}
})
