package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"path/filepath"
	"sync"
	"testing"
	"time"

	hertzapp "github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cloudwego/hertz/pkg/protocol/sse"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cespare/xxhash/v2"

	"github.com/dogwoodrudder/dogwoodrudder/internal/operatorapi"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/result"
	"github.com/dogwoodrudder/dogwoodrudder/test/standin/app"
	"github.com/dogwoodrudder/dogwoodrudder/test/standin/engine"
)

func TestLoad(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "load")
}

// Guards against a comparison that does not detect a wrong answer: every run would
// then report good answers only.
var _ = DescribeTable("comparison of tokens", func(got []string, want fault) {
	Expect(compareTokens(got, []string{"a", "b", "c"})).To(Equal(want))
},
	Entry("equal", []string{"a", "b", "c"}, faultNone),
	Entry("short", []string{"a", "b"}, faultIncomplete),
	Entry("lost", []string{"a", "c"}, faultLost),
	Entry("repeated", []string{"a", "b", "b", "c"}, faultRepeated),
	Entry("repeated at the end", []string{"a", "b", "c", "c"}, faultRepeated),
	Entry("foreign", []string{"a", "x", "c"}, faultMismatch),
)

// Guards against a wrong execution state (G4) or a second execution (G5) that is
// not counted.
var _ = DescribeTable("execution states of an order", func(err error, executions int, want orderChecks) {
	var log orderLog
	log.add("key", err)
	Expect(log.check(map[string]int{"key": executions})).To(Equal(want))
},
	Entry("ran once", nil, 1, orderChecks{}),
	Entry("ran twice", nil, 2, orderChecks{executedTwice: 1}),
	Entry("reported but not run", nil, 0, orderChecks{falseRan: 1}),
	Entry("false not run", result.New(result.Draining, result.NotRun, ""), 1, orderChecks{falseNotRun: 1}),
	Entry("true not run", result.New(result.Draining, result.NotRun, ""), 0, orderChecks{}),
	Entry("unknown, ran", result.New(result.OrderOutcomeUnknown, result.Unknown, ""), 1, orderChecks{unknownRan: 1}),
	Entry("unknown, twice", result.New(result.OrderOutcomeUnknown, result.Unknown, ""), 2, orderChecks{executedTwice: 1, unknownRan: 1}),
)

var _ = Describe("scenarios", func() {
	It("reads the sample scenarios", func() {
		files, err := filepath.Glob("scenarios/*.yaml")
		Expect(err).NotTo(HaveOccurred())
		Expect(files).To(HaveLen(2))
		for _, file := range files {
			_, err := readScenario(file)
			Expect(err).NotTo(HaveOccurred())
		}
	})

	// Guards against a misspelt key that is ignored, so that the run differs from
	// the intended one.
	It("refuses unknown keys", func() {
		_, err := parseScenario([]byte("name: x\nrates: 3\n"))
		Expect(err).To(MatchError(ContainSubstring("rates")))
	})

	// Guards against runs that send different requests for the same seed and cannot
	// be compared.
	It("draws the same requests for the same seed", func() {
		r := &runner{scenario: &Scenario{Accounts: []Account{{Weight: 1}, {Weight: 3}}}, callers: [][]*caller{make([]*caller, 2), make([]*caller, 5)}}
		draws := func() (all []requestParams) {
			rng := rand.New(rand.NewPCG(7, 0))
			for range 100 {
				all = append(all, r.drawParams(rng, &Class{Sessions: 3}))
			}
			return all
		}
		Expect(draws()).To(Equal(draws()))
	})
})

// fakeDaemon answers like a daemon with an engine and an application behind it.
type fakeDaemon struct {
	mu         sync.Mutex
	executions map[string]int
	reexecute  bool // executes an order again for each repeated attempt
	loseReply  bool // executes the first attempt of each order, then closes its connection
	dropToken  bool // omits the second token of each completion
}

func (d *fakeDaemon) start() string {
	d.executions = map[string]int{}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	h := server.New(server.WithListener(listener), server.WithTransport(standard.NewTransporter))
	h.GET(operatorapi.PathAddress, func(_ context.Context, c *hertzapp.RequestContext) {
		c.JSON(200, operatorapi.AddressResponse{TTLSeconds: 60, OrderToken: "t.1"})
	})
	h.GET("/stats", func(_ context.Context, c *hertzapp.RequestContext) {
		d.mu.Lock()
		defer d.mu.Unlock()
		c.JSON(200, app.Stats{Executions: d.executions})
	})
	h.GET("/app/shop/stock/:item", func(_ context.Context, c *hertzapp.RequestContext) {
		c.JSON(200, app.Stock{Item: c.Param("item"), Count: app.StockOf(c.Param("item"))})
	})
	h.POST("/app/shop/payouts", d.order)
	h.POST("/v1/chat/completions", d.chat)
	go func() { _ = h.Run() }()
	DeferCleanup(func() { _ = h.Close() })
	return listener.Addr().String()
}

func (d *fakeDaemon) order(_ context.Context, c *hertzapp.RequestContext) {
	key := string(c.GetHeader("Idempotency-Key"))
	d.mu.Lock()
	first := d.executions[key] == 0
	if first || d.reexecute {
		d.executions[key]++
	}
	d.mu.Unlock()
	if d.loseReply && first {
		_ = c.GetConn().Close()
		return
	}
	c.JSON(200, app.Result{IdempotencyKey: key, Operation: "/payouts", BodyHash: xxhash.Sum64(c.Request.Body())})
}

func (d *fakeDaemon) chat(_ context.Context, c *hertzapp.RequestContext) {
	var body engine.ChatRequest
	Expect(json.Unmarshal(c.Request.Body(), &body)).To(Succeed())
	tokens, err := engine.Output(body.Messages, body.MaxTokens)
	Expect(err).NotTo(HaveOccurred())
	if d.dropToken {
		tokens = append(tokens[:1:1], tokens[2:]...)
	}
	c.Response.Header.Set("X-Request-Id", "r")
	w := sse.NewWriter(c)
	for i, token := range tokens {
		_ = w.WriteEvent(fmt.Sprint(i+1), "", fmt.Appendf(nil, `{"choices":[{"delta":{"content":%q}}]}`, token))
	}
	_ = w.WriteEvent(fmt.Sprint(len(tokens)+1), "", []byte(`{"choices":[{"delta":{},"finish_reason":"length"}]}`))
	_ = w.WriteEvent("", "", []byte("[DONE]"))
	_ = w.Close()
}

func runAgainst(d *fakeDaemon) map[string]float64 {
	address := d.start()
	r, err := newRunner(&Scenario{
		Name: "test", Seed: 1, Duration: time.Second, Timeout: 5 * time.Second, MaxInFlight: 100, VerifyOutput: true,
		Addresses: []string{address}, AppStats: []string{address}, Accounts: []Account{{Clients: 2, Weight: 1}},
		Classes: []Class{
			{Name: "report", Kind: KindReport, Service: "s", Rate: 20, PromptWords: 50, Tokens: 20, Sessions: 2},
			{Name: "payout", Kind: KindOrder, Service: "shop", Rate: 20, Path: "/payouts"},
			{Name: "stock", Kind: KindLookup, Service: "shop", Rate: 20, Path: "/stock/"},
		},
	})
	Expect(err).NotTo(HaveOccurred())
	Expect(r.run(context.Background())).To(Succeed())
	figures := map[string]float64{}
	for _, f := range r.report().Results {
		figures[f.Name] = f.Measured
	}
	return figures
}

var _ = Describe("a run", func() {
	It("counts good answers of every class", func() {
		figures := runAgainst(&fakeDaemon{})
		for _, class := range []string{"report", "payout", "stock"} {
			Expect(figures[class+": sent"]).To(BeNumerically(">", 5))
			Expect(figures[class+": good answers"]).To(Equal(figures[class+": sent"]))
		}
		Expect(figures["report: first token p95"]).To(BeNumerically(">", 0))
		Expect(figures["orders: executed more than once"]).To(BeZero())
	})

	It("settles orders whose first answer was lost", func() {
		figures := runAgainst(&fakeDaemon{loseReply: true})
		Expect(figures["payout: good answers"]).To(Equal(figures["payout: sent"]))
		Expect(figures["orders: executed more than once"]).To(BeZero())
	})

	It("finds orders that were executed twice", func() {
		figures := runAgainst(&fakeDaemon{loseReply: true, reexecute: true})
		Expect(figures["orders: executed more than once"]).To(Equal(figures["payout: sent"]))
	})

	It("finds lost tokens", func() {
		figures := runAgainst(&fakeDaemon{dropToken: true})
		Expect(figures["report: answers lost tokens"]).To(Equal(figures["report: sent"]))
		Expect(figures["report: good answers"]).To(BeZero())
	})
})
