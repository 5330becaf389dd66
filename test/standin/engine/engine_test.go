package engine_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dogwoodrudder/dogwoodrudder/test/standin/engine"
	"github.com/dogwoodrudder/dogwoodrudder/test/standin/fault"
)

func fast() engine.Options {
	return engine.Options{
		PrefillPerToken: time.Microsecond, DecodeBase: 200 * time.Microsecond,
		DecodePerSequence: time.Microsecond, CacheEventDelay: time.Millisecond,
	}
}

func start(t *testing.T, options engine.Options) *engine.Server {
	t.Helper()
	s := engine.New(options)
	NewWithT(t).Expect(s.Start("127.0.0.1:0")).To(Succeed())
	t.Cleanup(s.Close)
	return s
}

type outcome struct {
	status   int
	header   http.Header
	text     string
	finish   string
	done     bool
	usage    bool
	complete bool // the HTTP body ended properly
}

func post(ctx context.Context, s *engine.Server, id string, request engine.ChatRequest) (*http.Response, error) {
	body, _ := json.Marshal(request)
	call, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.Address()+"/v1/chat/completions", bytes.NewReader(body))
	call.Header.Set(fault.HeaderRequestID, id)
	call.Close = true
	return http.DefaultClient.Do(call)
}

type choice struct {
	Delta, Message struct {
		Content string `json:"content"`
	}
	FinishReason string `json:"finish_reason"`
}

// chat sends a request and reads the response, streamed or not.
func chat(s *engine.Server, id string, request engine.ChatRequest) outcome {
	var o outcome
	response, err := post(context.Background(), s, id, request)
	if err != nil {
		return o
	}
	defer func() { _ = response.Body.Close() }()
	o.status, o.header = response.StatusCode, response.Header
	reader := bufio.NewScanner(response.Body)
	reader.Buffer(nil, 1<<20)
	for reader.Scan() {
		data := strings.TrimPrefix(reader.Text(), "data: ")
		if data == "[DONE]" {
			o.done = true
		}
		var body struct {
			Choices []choice
			Usage   *engine.Usage
		}
		if json.Unmarshal([]byte(data), &body) != nil {
			continue
		}
		for _, c := range body.Choices {
			o.text += c.Delta.Content + c.Message.Content
			o.finish += c.FinishReason
		}
		o.usage = o.usage || body.Usage != nil
	}
	o.complete = reader.Err() == nil
	return o
}

func question(text string, stream bool) engine.ChatRequest {
	r := engine.ChatRequest{Messages: []engine.Message{engine.Text("user", text)}, Stream: stream}
	r.StreamOptions.IncludeUsage = stream
	return r
}

func resumed(text, emitted string) engine.ChatRequest {
	r := question(text, true)
	r.Messages = append(r.Messages, engine.Text("assistant", emitted))
	r.ContinueFinalMessage, r.AddGenerationPrompt = true, new(bool)
	return r
}

func expected(t *testing.T, text string, n int) string {
	t.Helper()
	tokens, err := engine.Output(question(text, false).Messages, n)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return strings.Join(tokens, "")
}

// Guards against output that depends on the engine, its state or streaming, and
// against token limits that change the tokens.
func TestOutputIsAFunctionOfThePrompt(t *testing.T) {
	g := NewWithT(t)
	n, err := engine.NaturalLength(question("what is ref 5513?", false).Messages)
	g.Expect(err).NotTo(HaveOccurred())
	want := expected(t, "what is ref 5513?", n)
	a, b := start(t, fast()), start(t, fast())
	for _, s := range []*engine.Server{a, b, a} {
		plain := chat(s, "p", question("what is ref 5513?", false))
		g.Expect(plain.text).To(Equal(want))
		g.Expect(plain.finish).To(Equal("stop"))
		streamed := chat(s, "s", question("what is ref 5513?", true))
		g.Expect(streamed.text).To(Equal(want))
		g.Expect(streamed.finish).To(Equal("stop"))
		g.Expect(streamed.done && streamed.usage && streamed.complete).To(BeTrue())
	}
	limited := question("what is ref 5513?", true)
	limited.MaxTokens = 5
	o := chat(a, "l", limited)
	g.Expect(o.text).To(Equal(expected(t, "what is ref 5513?", 5)))
	g.Expect(o.finish).To(Equal("length"))
	g.Expect(chat(a, "o", question("another question", true)).text).NotTo(HavePrefix(want[:14]))
}

// Guards against repeated or lost text after a resumption at any byte, and
// against valid output after a resumption with text that the engine did not emit.
func TestResumeContinuesExactly(t *testing.T) {
	g := NewWithT(t)
	const text = "long report"
	n, err := engine.NaturalLength(question(text, true).Messages)
	g.Expect(err).NotTo(HaveOccurred())
	want := expected(t, text, n)
	a, b := start(t, fast()), start(t, fast())
	a.Faults().Put(fault.Faults{CutRate: 1, CutAfterTokens: 10})
	cut := chat(a, "r", question(text, true))
	g.Expect(cut.complete).To(BeFalse())
	g.Expect(cut.text).To(Equal(expected(t, text, 10)))
	for _, at := range []int{0, 1, 14, 37, len(cut.text), len(want) - 1, len(want)} {
		rest := chat(b, "r", resumed(text, want[:at]))
		g.Expect(want[:at]+rest.text).To(Equal(want), "resumed at byte %d", at)
		g.Expect(rest.done).To(BeTrue())
	}
	foreign := chat(b, "f", resumed(text, " 0000.00000000"))
	g.Expect(want).NotTo(ContainSubstring(foreign.text[:14]))
}

// Guards against a KV cache transfer that does not save the recomputation,
// and against recomputation that is not counted.
func TestKVTransferAvoidsRecomputation(t *testing.T) {
	g := NewWithT(t)
	text := strings.Repeat("provenance file ", 100)
	a, b, c := start(t, fast()), start(t, fast()), start(t, fast())
	a.Faults().Put(fault.Faults{CutRate: 1, CutAfterTokens: 7})
	cut := chat(a, "r/1", question(text, true))
	g.Eventually(func() int { return a.Stats().ByRequest["r/1"].Cancelled }).Should(Equal(1))
	response, err := http.Get("http://" + a.Address() + "/v1/kv/r/1")
	g.Expect(err).NotTo(HaveOccurred())
	exported, err := io.ReadAll(response.Body)
	g.Expect(err).NotTo(HaveOccurred())
	imported, err := http.Post("http://"+b.Address()+"/v1/kv/r/1", "application/json", bytes.NewReader(exported))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(imported.StatusCode).To(Equal(200))
	g.Expect(chat(b, "r/2", resumed(text, cut.text)).done).To(BeTrue())
	g.Expect(chat(c, "r/2", resumed(text, cut.text)).done).To(BeTrue())
	with, without := b.Stats().ByRequest["r/2"], c.Stats().ByRequest["r/2"]
	g.Expect(with.PromptTokens).To(BeNumerically(">", 200))
	g.Expect(with.RecomputedTokens).To(BeNumerically("<", 16), "only the incomplete last block")
	g.Expect(without.RecomputedTokens).To(Equal(without.PromptTokens))
	again := chat(c, "again", resumed(text, cut.text))
	g.Expect(again.header.Get(engine.HeaderCachedTokens)).NotTo(Equal("0"))
}

// Guards against new requests on an engine that is shutting down, and against
// requests in flight that are aborted before the notice period ends or that
// continue after it.
func TestLeave(t *testing.T) {
	g := NewWithT(t)
	options := fast()
	options.DecodeBase = 2 * time.Millisecond
	s := start(t, options)
	long := question("x", true)
	long.MaxTokens, long.IgnoreEOS = 10_000, true
	short := question("y", true)
	short.MaxTokens, short.IgnoreEOS = 20, true
	results := make(chan outcome, 2)
	go func() { results <- chat(s, "short", short) }()
	go func() { results <- chat(s, "long", long) }()
	g.Eventually(func() int { return s.Stats().Requests }).Should(Equal(2))
	time.Sleep(20 * time.Millisecond)
	s.Leave(300 * time.Millisecond)
	refused := chat(s, "new", short)
	g.Expect(refused.status).To(Equal(503))
	g.Expect(refused.header.Get(fault.HeaderRefused)).To(Equal(fault.RefusedLeaving))
	g.Expect((<-results).done).To(BeTrue())
	g.Expect((<-results).complete).To(BeFalse())
	g.Expect(s.Stats().Total.Dropped).To(Equal(1))
	g.Expect(chat(s, "gone", short).status).To(BeZero())
}

// Guards against sequences that continue after their client disconnected.
func TestDisconnectCancels(t *testing.T) {
	g := NewWithT(t)
	s := start(t, fast())
	long := question("x", true)
	long.MaxTokens, long.IgnoreEOS = 30_000, true
	for _, stream := range []bool{true, false} {
		long.Stream = stream
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		if response, err := post(ctx, s, "c", long); err == nil {
			_, _ = io.ReadAll(response.Body)
		}
		cancel()
	}
	g.Eventually(func() int { return s.Stats().ByRequest["c"].Cancelled }, time.Second).Should(Equal(2))
	g.Expect(s.Stats().Total.EmittedTokens).To(BeNumerically("<", 5000))
}

// Guards against a waiting request that is served after one of lower priority.
func TestPriorityOrdersWaitingRequests(t *testing.T) {
	g := NewWithT(t)
	options := fast()
	options.MaxBatch, options.DecodeBase = 1, 2*time.Millisecond
	s := start(t, options)
	ended := make(chan string, 3)
	for i, c := range []struct {
		id       string
		priority int
	}{{"running", 5}, {"later", 5}, {"urgent", -1}} {
		r := question("x", false)
		r.Priority, r.MaxTokens, r.IgnoreEOS = c.priority, 50, true
		go func() { chat(s, c.id, r); ended <- c.id }()
		g.Eventually(func() int { return s.Stats().Requests }).Should(Equal(i + 1))
		time.Sleep(10 * time.Millisecond)
	}
	g.Expect([]string{<-ended, <-ended, <-ended}).To(Equal([]string{"running", "urgent", "later"}))
}

// Guards against an early end that a client can't tell from a complete response:
// each kind lacks at least one of finish reason, end marker and usage.
func TestEarlyEnds(t *testing.T) {
	g := NewWithT(t)
	s := start(t, fast())
	for kind, want := range map[fault.EarlyEnd]outcome{
		fault.EarlyEndFinish: {finish: "stop", done: true},
		fault.EarlyEndDone:   {done: true},
		fault.EarlyEndBody:   {},
	} {
		s.Faults().Put(fault.Faults{EarlyEndRate: 1, EarlyEndAfterTokens: 3, EarlyEnd: kind})
		o := chat(s, "e", question("x", true))
		g.Expect(o.complete).To(BeTrue())
		g.Expect(o.text).To(Equal(expected(t, "x", 3)))
		g.Expect([]any{o.finish, o.done, o.usage}).To(Equal([]any{want.finish, want.done, false}), string(kind))
	}
}

// Guards against an order with an outdated fencing token that takes effect on an
// engine that checks tokens, and against one refused by an engine that does not.
func TestFencing(t *testing.T) {
	for _, ignore := range []bool{false, true} {
		g := NewWithT(t)
		options := fast()
		options.IgnoreFencing = ignore
		s := start(t, options)
		send := func(version string, token uint64) int {
			body, _ := json.Marshal(engine.Order{Action: engine.ActionLoadVersion, Version: version, FencingToken: token})
			response, err := http.Post("http://"+s.Address()+"/v1/control", "application/json", bytes.NewReader(body))
			g.Expect(err).NotTo(HaveOccurred())
			_ = response.Body.Close()
			return response.StatusCode
		}
		g.Expect(send("v2", 7)).To(Equal(200))
		g.Expect(send("v3", 7)).To(Equal(200))
		if ignore {
			g.Expect(send("v1", 6)).To(Equal(200))
			g.Expect(s.ControlState().Version).To(Equal("v1"))
			continue
		}
		g.Expect(send("v1", 6)).To(Equal(409))
		g.Expect(s.ControlState().Version).To(Equal("v3"))
	}
}

// Guards against cache events that arrive before their delay or without gaps,
// and against an evicted prefix that still counts as cached.
func TestCacheEventsAndEviction(t *testing.T) {
	g := NewWithT(t)
	options := fast()
	options.CacheTokens, options.CacheEventDelay, options.CacheEventLoss = 640, time.Second, 0.3
	s := start(t, options)
	events := func() (events []engine.CacheEvent) {
		response, err := http.Get("http://" + s.Address() + "/v1/cache/events?after=0")
		g.Expect(err).NotTo(HaveOccurred())
		var reply struct{ Events []engine.CacheEvent }
		g.Expect(json.NewDecoder(response.Body).Decode(&reply)).To(Succeed())
		return reply.Events
	}
	first, second := strings.Repeat("first file ", 150), strings.Repeat("second file ", 250)
	began := time.Now()
	chat(s, "1", question(first, true))
	// On a busy machine the delay may have passed since the request; events may
	// then be present.
	if early := events(); time.Since(began) < options.CacheEventDelay {
		g.Expect(early).To(BeEmpty())
	}
	chat(s, "1", question(first, true))
	g.Expect(s.Stats().ByRequest["1"].CachedTokens).To(BeNumerically(">", 250))
	chat(s, "2", question(second, true))
	chat(s, "3", question(first, true))
	again := s.Stats().ByRequest["3"]
	g.Expect(again.CachedTokens).To(BeZero())
	g.Expect(again.RecomputedTokens).To(BeNumerically(">", 250))
	time.Sleep(options.CacheEventDelay)
	gaps, last := 0, uint64(0)
	for _, event := range events() {
		gaps += int(event.Seq - last - 1)
		last = event.Seq
	}
	g.Expect(last).To(BeNumerically(">", 10))
	g.Expect(gaps).To(BeNumerically(">", 0))
}

// Guards against a frozen engine that answers health checks or loses a stream
// when it resumes.
func TestFreeze(t *testing.T) {
	g := NewWithT(t)
	options := fast()
	options.DecodeBase = 3 * time.Millisecond
	s := start(t, options)
	long := question("x", true)
	long.MaxTokens, long.IgnoreEOS = 40, true
	results := make(chan outcome, 1)
	go func() { results <- chat(s, "frozen", long) }()
	g.Eventually(func() int { return s.Stats().Requests }).Should(Equal(1))
	time.Sleep(20 * time.Millisecond)
	s.Faults().Put(fault.Faults{Freeze: true})
	client := &http.Client{Timeout: 200 * time.Millisecond}
	_, err := client.Get("http://" + s.Address() + "/health")
	g.Expect(err).To(HaveOccurred())
	g.Expect(results).NotTo(Receive())
	s.Faults().Put(fault.Faults{})
	var o outcome
	g.Eventually(results, 3*time.Second).Should(Receive(&o))
	g.Expect(o.text).To(Equal(expected(t, "x", 40)))
}
