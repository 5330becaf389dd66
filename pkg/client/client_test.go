package client

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/dogwoodrudder/dogwoodrudder/pkg/result"
)

// fleet is a set of fake daemons with a common script and a common record of
// requests. The next step of the script handles each request, except address
// lookups.
type fleet struct {
	servers  []*httptest.Server
	refusing string // an address that refuses connections

	mu         sync.Mutex
	script     []step
	keys       []string // Idempotency-Key of each request
	requestIDs []string // X-Request-Id of each request
	hosts      []string // daemon that got each request
	knownIDs   map[string]bool
}

type step func(f *fleet, w http.ResponseWriter, r *http.Request)

func newFleet(cleanup func(func())) *fleet {
	f := &fleet{knownIDs: make(map[string]bool)}
	for range 3 { // the third one is not in the lookup
		s := httptest.NewServer(http.HandlerFunc(f.serve))
		cleanup(func() {
			s.CloseClientConnections() // hertz keeps the connection of a cancelled call until its timeout
			s.Close()
		})
		f.servers = append(f.servers, s)
	}
	closed := httptest.NewServer(nil)
	f.refusing = closed.Listener.Addr().String()
	closed.Close()
	return f
}

func (f *fleet) address(i int) string { return f.servers[i].Listener.Addr().String() }

func (f *fleet) client(tb interface{ Fatal(...any) }) *Client {
	c, err := New(Options{Addresses: []string{f.refusing, f.address(0)}, Key: "secret", IdleTimeout: 300 * time.Millisecond})
	if err != nil {
		tb.Fatal(err)
	}
	return c
}

func (f *fleet) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == addressPath {
		fmt.Fprintf(w, `{"addresses":[%q,%q,%q],"ttlSeconds":60,"orderToken":"token","orderTokenExpires":%q}`,
			f.refusing, f.address(0), f.address(1), time.Now().Add(time.Hour).Format(time.RFC3339))
		return
	}
	f.mu.Lock()
	f.keys = append(f.keys, r.Header.Get(headerIdempotencyKey))
	f.hosts = append(f.hosts, r.Host)
	f.requestIDs = append(f.requestIDs, r.Header.Get(headerRequestID))
	next := streamTo(nEvents)
	if len(f.script) > 0 {
		next, f.script = f.script[0], f.script[1:]
	}
	f.mu.Unlock()
	next(f, w, r)
}

func refuse(code result.Code, x result.Execution) step {
	return func(_ *fleet, w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/problem+json")
		w.WriteHeader(code.HTTPStatus())
		fmt.Fprintf(w, `{"code":%d,"execution":%q,"detail":"scripted"}`, code, x)
	}
}

func reply(_ *fleet, w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "receipt") }

func closeConnection(_ *fleet, w http.ResponseWriter, _ *http.Request) {
	conn, _, _ := w.(http.Hijacker).Hijack()
	_ = conn.Close()
}

func truncateBody(_ *fleet, w http.ResponseWriter, _ *http.Request) {
	conn, _, _ := w.(http.Hijacker).Hijack()
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\npart")
	_ = conn.Close()
}

// Guards against two keys for one order, against the execution state "not run"
// after an attempt without a reply, and against retries that increase an
// overload.
func TestOrder(t *testing.T) {
	busy := refuse(result.Overloaded, result.NotRun)
	draining := refuse(result.Draining, result.NotRun)
	cases := map[string]struct {
		script    []step
		execution result.Execution
		code      result.Code
		requests  int
	}{
		"first try":            {[]step{reply}, result.Ran, result.OK, 1},
		"lost reply":           {[]step{closeConnection, reply}, result.Ran, result.OK, 2},
		"cut reply":            {[]step{truncateBody, reply}, result.Ran, result.OK, 2},
		"in progress":          {[]step{refuse(result.OrderInProgress, result.Unknown), reply}, result.Ran, result.OK, 2},
		"draining":             {[]step{draining, reply}, result.Ran, result.OK, 2},
		"overload":             {[]step{busy}, result.NotRun, result.Overloaded, 1},
		"lost, then overload":  {[]step{closeConnection, busy}, result.Unknown, result.Overloaded, 2},
		"drain, then overload": {[]step{draining, busy}, result.NotRun, result.Overloaded, 2},
		"incomplete":           {[]step{refuse(result.UpstreamIncomplete, result.Ran)}, result.Ran, result.UpstreamIncomplete, 1},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t.Cleanup)
			f.script = tc.script
			response, err := f.client(t).Order(context.Background(), Request{Method: http.MethodPut, Path: "/app/shop/reserve", Body: []byte("{}")})
			execution := result.Ran
			if err != nil {
				execution = result.From(err).Execution
			} else if string(response.Body) != "receipt" || !strings.HasPrefix(response.IdempotencyKey, "token.") {
				t.Errorf("response %+v", response)
			}
			if execution != tc.execution || result.CodeOf(err) != tc.code || len(f.keys) != tc.requests {
				t.Errorf("%q after %d requests: %v", execution, len(f.keys), err)
			}
			for _, key := range f.keys {
				if key != f.keys[0] || key == "" {
					t.Errorf("keys differ: %q", f.keys)
				}
			}
		})
	}
}

// Guards against calls that fail although another daemon can answer, and
// against calls that continue after their context has ended.
func TestCall(t *testing.T) {
	f := newFleet(t.Cleanup)
	f.script = []step{closeConnection, truncateBody, refuse(result.Draining, result.NotRun), reply,
		func(_ *fleet, _ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }}
	c := f.client(t)
	response, err := c.Call(context.Background(), Request{Method: http.MethodGet, Path: "/app/shop/stock"})
	if err != nil || string(response.Body) != "receipt" {
		t.Fatalf("%+v, %v", response, err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(50*time.Millisecond, cancel)
	start := time.Now()
	if _, err := c.Call(ctx, Request{Path: "/app/shop/stock"}); err == nil || time.Since(start) > time.Second {
		t.Errorf("cancelled call: %v after %v", err, time.Since(start))
	}
}

const nEvents = 8

// stream writes the events from the first one that the client asks for, offset
// by shift, up to event to. After event nEvents it writes the end of the
// stream.
func stream(f *fleet, w http.ResponseWriter, r *http.Request, shift, to int) {
	id := r.Header.Get(headerRequestID)
	f.mu.Lock()
	known := f.knownIDs[id]
	f.knownIDs[id] = true
	f.mu.Unlock()
	if r.Method == http.MethodGet && !known {
		refuse(result.StreamUnknown, result.Unknown)(f, w, r)
		return
	}
	w.Header().Set("Content-Type", contentTypeSSE)
	last, _ := strconv.Atoi(r.Header.Get(headerLastEventID))
	for i := max(1, last+1+shift); i <= to; i++ {
		fmt.Fprintf(w, "id: %d\ndata: text %d\n\n", i, i)
	}
	if to == nEvents {
		fmt.Fprint(w, "data: [DONE]\n\n")
	}
	w.(http.Flusher).Flush()
}

func streamTo(to int) step {
	return func(f *fleet, w http.ResponseWriter, r *http.Request) { stream(f, w, r, 0, to) }
}

func faultAfter(to, shift int, fault func(w http.ResponseWriter, r *http.Request, next int)) step {
	return func(f *fleet, w http.ResponseWriter, r *http.Request) {
		stream(f, w, r, shift, to)
		fault(w, r, to+1)
	}
}

func faults(f *fleet) map[string]func(w http.ResponseWriter, r *http.Request, next int) {
	return map[string]func(w http.ResponseWriter, r *http.Request, next int){
		"end":    func(http.ResponseWriter, *http.Request, int) {},
		"silent": func(_ http.ResponseWriter, r *http.Request, _ int) { <-r.Context().Done() },
		"hang up in an event": func(w http.ResponseWriter, _ *http.Request, next int) {
			fmt.Fprintf(w, "id: %d\ndata: te", next)
			w.(http.Flusher).Flush()
			panic(http.ErrAbortHandler)
		},
		"end in an event": func(w http.ResponseWriter, _ *http.Request, next int) { fmt.Fprintf(w, "id: %d\ndata: te", next) },
		"moved": func(w http.ResponseWriter, _ *http.Request, _ int) {
			fmt.Fprintf(w, "event: moved\ndata: {\"addresses\":[%q]}\n\n", f.address(2))
		},
	}
}

// Guards against repeated, dropped and truncated events when a stream breaks
// off, moves, is silent, repeats events or has gaps, after any event.
func TestStreamIsComplete(t *testing.T) {
	f := newFleet(t.Cleanup)
	all := faults(f)
	rapid.Check(t, func(t *rapid.T) {
		var script []step
		gaps := 0
		for range rapid.IntRange(0, 4).Draw(t, "faults") {
			name := rapid.SampledFrom([]string{"end", "hang up in an event", "end in an event", "moved", "silent"}).Draw(t, "fault")
			if name == "silent" && rapid.IntRange(0, 9).Draw(t, "rare") > 0 {
				name = "end" // each silence takes the idle timeout
			}
			to := rapid.IntRange(0, nEvents-1).Draw(t, "after")
			shift := rapid.IntRange(-2, 1).Draw(t, "shift")
			gaps += max(shift, 0)
			script = append(script, faultAfter(to, shift, all[name]))
		}
		f.mu.Lock()
		f.script, f.knownIDs = script, make(map[string]bool)
		f.mu.Unlock()
		c := f.client(t)
		defer c.Close()
		s, err := c.Stream(context.Background(), Request{Path: "/v1/chat/completions", Body: []byte("{}")})
		if err != nil {
			t.Fatal(err)
		}
		defer s.Close()
		for want := int64(1); ; want++ {
			event, err := s.Next()
			if errors.Is(err, io.EOF) {
				if want != nEvents+1 {
					t.Fatalf("the stream ended before event %d", want)
				}
				return
			}
			if gaps > maxGaps && result.From(err).Code == result.StreamGone {
				return // the client resumes after maxGaps gaps and returns an error after one more
			}
			if err != nil || event.ID != want || string(event.Data) != fmt.Sprintf("text %d", want) {
				t.Fatalf("event %d: %+v, %v", want, event, err)
			}
		}
	})
}

// Guards against a stream that restarts from the beginning after its caller has
// received events, instead of returning an error.
func TestStreamIsNotRestarted(t *testing.T) {
	f := newFleet(t.Cleanup)
	unknown := refuse(result.StreamUnknown, result.Unknown)
	f.script = []step{streamTo(3)}
	for range 5 { // the daemon of the interrupted stream, and two rounds over two daemons
		f.script = append(f.script, unknown)
	}
	c := f.client(t)
	c.options.MaxRounds = 2
	s, err := c.Stream(context.Background(), Request{Path: "/v1/chat/completions"})
	if err != nil {
		t.Fatal(err)
	}
	for range 3 {
		if _, err := s.Next(); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := s.Next(); result.CodeOf(err) != result.StreamUnknown {
		t.Errorf("forgotten stream: %v", err)
	}
}

// Guards against two executions with one request ID: a later resumption could
// reach the execution whose output the caller has not received.
func TestRepeatedStreamRequestHasANewID(t *testing.T) {
	f := newFleet(t.Cleanup)
	f.script = []step{closeConnection, refuse(result.StreamUnknown, result.Unknown), streamTo(nEvents)}
	s, err := f.client(t).Stream(context.Background(), Request{Path: "/v1/chat/completions", RequestID: "first"})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	if len(f.requestIDs) != 3 || f.requestIDs[1] != "first" || f.requestIDs[2] == "first" || s.RequestID() != f.requestIDs[2] {
		t.Errorf("request IDs %q", f.requestIDs)
	}
}

// Guards against a moved stream that is resumed only on the daemons of the
// address lookup and not on the daemon that the moved event names.
func TestMovedStreamUsesNamedDaemon(t *testing.T) {
	f := newFleet(t.Cleanup)
	f.script = []step{faultAfter(3, 0, faults(f)["moved"])}
	s, err := f.client(t).Stream(context.Background(), Request{Path: "/v1/chat/completions"})
	if err != nil {
		t.Fatal(err)
	}
	for err == nil {
		_, err = s.Next()
	}
	if !errors.Is(err, io.EOF) || len(f.hosts) != 2 || f.hosts[1] != f.address(2) {
		t.Errorf("requests went to %q: %v", f.hosts, err)
	}
}
