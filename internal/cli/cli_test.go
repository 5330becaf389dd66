package cli

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/protocol/sse"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dogwoodrudder/dogwoodrudder/internal/operatorapi"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/result"
)

// problemHandler responds with a problem document.
func problemHandler(code result.Code, execution result.Execution, addresses ...string) app.HandlerFunc {
	return func(_ context.Context, c *app.RequestContext) {
		c.JSON(code.HTTPStatus(), map[string]any{
			"code": code, "execution": execution, "detail": "from the test", "addresses": addresses,
		})
	}
}

// closeConnection closes the connection without a response.
func closeConnection(_ context.Context, c *app.RequestContext) { _ = c.GetConn().Close() }

var _ = Describe("exit codes", func() {
	// Scripts rely on the exit code to tell a conflict or an unknown outcome from
	// other failures.
	DescribeTable("of problem documents", func(code result.Code, execution result.Execution, want int) {
		address := fakeDaemon(func(h *server.Hertz) {
			h.DELETE("/operator/v1/objects/Service/shop", problemHandler(code, execution))
		})
		got, _, errOut := run("--address", address, "delete", "Service", "shop")
		Expect(got).To(Equal(want))
		Expect(errOut).To(ContainSubstring("from the test"))
	},
		Entry("conflict", result.Conflict, result.NotRun, ExitConflict),
		Entry("invalid", result.InvalidObject, result.NotRun, ExitUsage),
		Entry("store outcome unknown", result.StoreOutcomeUnknown, result.Unknown, ExitUnknown),
		Entry("forbidden", result.Forbidden, result.NotRun, ExitFailed),
	)

	It("reports that no daemon is reachable", func() {
		code, _, _ := run("--address", unusedAddress(), "status")
		Expect(code).To(Equal(ExitUnreachable))
	})

	It("refuses bad arguments", func() {
		code, _, errOut := run("move", "start", "m", "--service", "s", "--from", "a", "--to", "b")
		Expect(code).To(Equal(ExitUsage))
		Expect(errOut).To(ContainSubstring("--deadline"))
	})

	// Sending a change again after its response was lost could apply it twice.
	It("does not repeat a change whose response was lost", func() {
		var repeated atomic.Int32
		first := fakeDaemon(func(h *server.Hertz) { h.DELETE("/operator/v1/objects/Service/shop", closeConnection) })
		second := fakeDaemon(func(h *server.Hertz) {
			h.DELETE("/operator/v1/objects/Service/shop", func(_ context.Context, c *app.RequestContext) {
				repeated.Add(1)
				c.JSON(200, operatorapi.ApplyResponse{})
			})
		})
		code, _, _ := run("--address", first, "--address", second, "delete", "Service", "shop")
		Expect(code).To(Equal(ExitUnknown))
		Expect(repeated.Load()).To(BeZero())
	})

	It("uses the next address if the first is down or draining", func() {
		draining := fakeDaemon(func(h *server.Hertz) {
			h.GET(operatorapi.PathAddress, problemHandler(result.Draining, result.NotRun))
		})
		good := fakeDaemon(func(h *server.Hertz) {
			h.GET(operatorapi.PathAddress, func(_ context.Context, c *app.RequestContext) {
				c.JSON(200, operatorapi.AddressResponse{Addresses: []string{"127.0.1.1:8080"}, TTLSeconds: 10})
			})
		})
		code, out, _ := run("--address", unusedAddress(), "--address", draining, "--address", good, "where")
		Expect(code).To(Equal(ExitOK))
		Expect(out).To(ContainSubstring("127.0.1.1:8080"))
		Expect(out).To(ContainSubstring("10s"))
	})
})

var _ = Describe("call", func() {
	It("derives the Idempotency-Key of an order from the order token", func() {
		var key, body, auth string
		address := fakeDaemon(func(h *server.Hertz) {
			h.GET(operatorapi.PathAddress, func(_ context.Context, c *app.RequestContext) {
				c.JSON(200, operatorapi.AddressResponse{OrderToken: "t.1"})
			})
			h.POST("/app/shop/reservations", func(_ context.Context, c *app.RequestContext) {
				key, auth = string(c.GetHeader("Idempotency-Key")), string(c.GetHeader("Authorization"))
				body = string(c.Request.Body())
				c.JSON(200, map[string]int{"execution": 1})
			})
		})
		stopping := fakeDaemon(func(h *server.Hertz) {
			h.GET(operatorapi.PathAddress, func(_ context.Context, c *app.RequestContext) { c.JSON(200, operatorapi.AddressResponse{}) })
		})
		code, out, _ := run("--address", stopping, "--address", address, "--key", "k", "call", "shop", "post", "/reservations", "--data", `{"item":"1"}`, "--order")
		Expect(code).To(Equal(ExitOK))
		Expect(out).To(Equal("{\"execution\":1}\n"))
		Expect(key).To(MatchRegexp(`^t\.1\.[0-9a-f-]{36}$`))
		Expect(body).To(Equal(`{"item":"1"}`))
		Expect(auth).To(Equal("Bearer k"))
	})

	// An order whose response is lost must not look like one that did not run.
	It("reports an order whose response is lost as unknown", func() {
		address := fakeDaemon(func(h *server.Hertz) {
			h.GET(operatorapi.PathAddress, func(_ context.Context, c *app.RequestContext) {
				c.JSON(200, operatorapi.AddressResponse{OrderToken: "t.1"})
			})
			h.POST("/app/shop/payouts", closeConnection)
		})
		code, _, errOut := run("--address", address, "call", "shop", "POST", "/payouts", "--order")
		Expect(code).To(Equal(ExitUnknown))
		Expect(errOut).To(ContainSubstring("t.1."))
	})
})

var _ = Describe("hash-key", func() {
	DescribeTable("ignores the line end", func(input string) {
		standardInput = strings.NewReader(input)
		DeferCleanup(func() { standardInput = os.Stdin })
		code, out, _ := run("hash-key")
		Expect(code).To(Equal(ExitOK))
		Expect(out).To(Equal("sha256:2c70e12b7a0646f92279f427c7b38e7334d8e5389cff167a1dc30e73f826b683\n"))
	}, Entry("none", "key"), Entry("unix", "key\n"), Entry("windows", "key\r\n"))
})

// chunk is an event of a completion stream.
func chunk(text string) []byte {
	return fmt.Appendf(nil, `{"choices":[{"delta":{"content":%q}}]}`, text)
}

// writeEvents streams texts as events whose IDs start at first, and [DONE] if done
// is set.
func writeEvents(c *app.RequestContext, first int, done bool, texts ...string) {
	c.Response.Header.Set("X-Request-Id", "r1")
	w := sse.NewWriter(c)
	for i, text := range texts {
		_ = w.WriteEvent(fmt.Sprint(first+i), "", chunk(text))
	}
	if done {
		_ = w.WriteEvent("", "", []byte("[DONE]"))
	}
	_ = w.Close()
}

var _ = Describe("chat", func() {
	It("prints the text of a response that is not streamed", func() {
		var body, session string
		address := fakeDaemon(func(h *server.Hertz) {
			h.POST(pathChat, func(_ context.Context, c *app.RequestContext) {
				body, session = string(c.Request.Body()), string(c.GetHeader("X-Session-Id"))
				c.JSON(200, map[string]any{"choices": []any{map[string]any{"message": map[string]string{"content": "yes"}}}})
			})
		})
		code, out, _ := run("--address", address, "chat", "--service", "appraisal", "--prompt", "ok?", "--max-tokens", "5", "--session", "s1")
		Expect(code).To(Equal(ExitOK))
		Expect(out).To(Equal("yes\n"))
		Expect(session).To(Equal("s1"))
		Expect(body).To(MatchJSON(`{"model":"appraisal","messages":[{"role":"user","content":"ok?"}],"max_tokens":5}`))
	})

	// Text must neither be lost nor printed twice when the connection breaks.
	It("resumes a broken stream after the last event", func() {
		var last string
		address := fakeDaemon(func(h *server.Hertz) {
			h.POST(pathChat, func(_ context.Context, c *app.RequestContext) { writeEvents(c, 1, false, "a", "b") })
			h.GET("/v1/requests/r1", func(_ context.Context, c *app.RequestContext) {
				last = string(c.GetHeader("Last-Event-ID"))
				writeEvents(c, 3, true, "c")
			})
		})
		code, out, _ := run("--address", address, "chat", "--service", "s", "--prompt", "p", "--stream")
		Expect(code).To(Equal(ExitOK))
		Expect(out).To(Equal("abc\n"))
		Expect(last).To(Equal("2"))
	})

	// A caller must get its response after the daemon handed the request over.
	It("follows a request that moved", func() {
		next := fakeDaemon(func(h *server.Hertz) {
			h.GET("/v1/requests/r1", func(_ context.Context, c *app.RequestContext) {
				if string(c.GetHeader("Last-Event-ID")) == "1" {
					writeEvents(c, 2, true, "b")
					return
				}
				c.JSON(200, map[string]any{"choices": []any{map[string]any{"message": map[string]string{"content": "ab"}}}})
			})
		})
		first := fakeDaemon(func(h *server.Hertz) {
			h.POST(pathChat, func(ctx context.Context, c *app.RequestContext) {
				c.Response.Header.Set("X-Request-Id", "r1")
				if !strings.Contains(string(c.Request.Body()), `"stream"`) {
					problemHandler(result.StreamMoved, result.Unknown, next)(ctx, c)
					return
				}
				w := sse.NewWriter(c)
				_ = w.WriteEvent("1", "", chunk("a"))
				_ = w.WriteEvent("", "moved", fmt.Appendf(nil, `{"requestId":"r1","addresses":[%q]}`, next))
				_ = w.Close()
			})
		})
		for _, args := range [][]string{{}, {"--stream"}} {
			code, out, errOut := run(append([]string{"--address", first, "chat", "--service", "s", "--prompt", "p"}, args...)...)
			Expect(errOut).To(BeEmpty())
			Expect(code).To(Equal(ExitOK))
			Expect(out).To(Equal("ab\n"))
		}
	})

	// A stream that fails must not look like a short, complete response.
	It("fails on a problem inside the stream", func() {
		address := fakeDaemon(func(h *server.Hertz) {
			h.POST(pathChat, func(_ context.Context, c *app.RequestContext) {
				c.Response.Header.Set("X-Request-Id", "r1")
				w := sse.NewWriter(c)
				_ = w.WriteEvent("1", "", chunk("a"))
				_ = w.WriteEvent("", "error", []byte(`{"code":1302,"execution":"ran","detail":"broken"}`))
				_ = w.Close()
			})
		})
		code, out, errOut := run("--address", address, "chat", "--service", "s", "--prompt", "p", "--stream")
		Expect(code).To(Equal(ExitFailed))
		Expect(out).To(Equal("a\n"))
		Expect(errOut).To(ContainSubstring("1302"))
	})
})

var _ = Describe("bench report", func() {
	write := func(name, content string) string {
		file := filepath.Join(GinkgoT().TempDir(), name)
		Expect(os.WriteFile(file, []byte(content), 0o600)).To(Succeed())
		return file
	}

	It("compares runs and draws a chart", func() {
		first := write("a.json", `{"run":"a","results":[{"name":"p95","measured":2,"unit":"s","bound":3},{"name":"gone","measured":1,"unit":"s"}]}`)
		later := write("b.json", `{"run":"b","results":[{"name":"p95","measured":3,"unit":"s"}]}`)
		svg := filepath.Join(filepath.Dir(first), "out.svg")
		code, out, errOut := run("bench", "report", first, later, "--plot", svg)
		Expect(errOut).To(BeEmpty())
		Expect(code).To(Equal(ExitOK))
		Expect(out).To(MatchRegexp(`p95 +s +3 +- +2 +3 +\+50\.0%`))
		Expect(out).To(MatchRegexp(`gone +s +- +- +1 +- +-`))
		Expect(os.ReadFile(svg)).To(ContainSubstring("<svg"))
	})

	// Values in different units must not be compared.
	It("refuses a changed unit", func() {
		first := write("a.json", `{"run":"a","results":[{"name":"p95","measured":2,"unit":"s"}]}`)
		later := write("b.json", `{"run":"b","results":[{"name":"p95","measured":3,"unit":"ms"}]}`)
		code, _, errOut := run("bench", "report", first, later)
		Expect(code).To(Equal(ExitUsage))
		Expect(errOut).To(ContainSubstring("p95"))
	})
})

// Guards against a statechart that the program runs but rudderctl does not print.
var _ = It("prints every statechart", func() {
	code, out, _ := run("charts")
	Expect(code).To(Equal(ExitOK))
	for _, name := range []string{"attempt", "daemon", "move", "order", "request", "upstream"} {
		Expect(out).To(ContainSubstring("// " + name + ": "))
	}
	Expect(strings.Count(out, "digraph {")).To(Equal(6))
})
