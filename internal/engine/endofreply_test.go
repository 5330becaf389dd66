package engine_test

import (
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/dogwoodrudder/dogwoodrudder/internal/engine"
	"github.com/dogwoodrudder/dogwoodrudder/internal/upstreamhttp"
	"github.com/dogwoodrudder/dogwoodrudder/test/standin/rawreply"
)

// Guards against taking a part of a KV cache for the whole, and against refusing JSON replies
// whose end is that of the connection.
func TestRepliesThatEndWithTheConnection(t *testing.T) {
	g := NewWithT(t)
	answer := ""
	server, err := rawreply.Start(rawreply.Whole(func(*http.Request) string { return "HTTP/1.1 200 OK\r\n\r\n" + answer }))
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(server.Close)
	client, err := upstreamhttp.New(time.Second)
	g.Expect(err).NotTo(HaveOccurred())
	openAI := engine.NewOpenAI(client)
	answer = `{"running":3,"waiting":2}`
	load, err := openAI.Load(t.Context(), server.Address())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(load.Running).To(Equal(3))
	_, err = openAI.ExportKV(t.Context(), server.Address(), "a")
	g.Expect(errors.Is(err, engine.ErrFailed)).To(BeTrue(), "%v", err)
	g.Expect(openAI.ImportKV(t.Context(), server.Address(), "a", []byte("x"))).To(Succeed())
	g.Expect(openAI.Control(t.Context(), server.Address(), engine.ControlOrder{Role: "both"})).To(Succeed())
	for _, answer = range []string{"", `{"running":3`} {
		_, err = openAI.Load(t.Context(), server.Address())
		g.Expect(errors.Is(err, engine.ErrFailed)).To(BeTrue(), "%v", err)
		_, err = openAI.ControlState(t.Context(), server.Address())
		g.Expect(errors.Is(err, engine.ErrFailed)).To(BeTrue(), "%v", err)
	}
}
