package edge

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/grpc"

	"github.com/dogwoodrudder/dogwoodrudder/internal/fleet"
	"github.com/dogwoodrudder/dogwoodrudder/internal/traffic"
	"github.com/dogwoodrudder/dogwoodrudder/test/standin/worker"
)

// stopping is a daemon that serves one route and is about to stop.
type stopping struct {
	daemon  *Daemon
	servers *servers
	url     string
	worker  *worker.Worker
}

func newStopping(t *testing.T, grace time.Duration, semantics traffic.Semantics, b worker.Behaviour) *stopping {
	t.Helper()
	g := NewWithT(t)
	d := newTestDaemon("one")
	d.settings.Bounds.Grace = grace
	d.settings.MemoryMB = 160
	route := &traffic.Route{
		Name: "r", Host: "h.example", PathPrefix: "/r/", Semantics: semantics, Attempts: 2, Public: true,
		Shares: []traffic.Share{{Service: "s", Weight: 1}},
	}
	d.state.table.Store(traffic.NewTable(1, []*traffic.Route{route}, []*traffic.Service{{Name: "s"}}, nil, nil, traffic.Limits{}))
	w, err := worker.Start("w1", "s", "127.0.0.1:0", 0)
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(w.Stop)
	w.Set(b)
	d.instances.Put(fleet.Description{ID: w.ID, Service: "s", Address: w.Address(), DataCentre: "a", Slots: 50})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	s := &servers{callers: d.callersServer(), coordinator: grpc.NewServer()}
	go func() { _ = s.callers.Serve(listener) }() // returns after Close
	t.Cleanup(func() { _ = s.callers.Close() })
	return &stopping{daemon: d, servers: s, url: "http://" + listener.Addr().String(), worker: w}
}

type stopAnswer struct {
	status int
	err    error
	took   time.Duration
}

// send sends a request with a deadline.
func (s *stopping) send(deadline string) stopAnswer {
	began := time.Now()
	request, err := http.NewRequest(http.MethodPost, s.url+"/r/1", bytes.NewReader([]byte("x")))
	if err != nil {
		return stopAnswer{err: err}
	}
	request.Host = "h.example"
	request.Header.Set("X-Request-Id", deadline)
	request.Header.Set("X-Deadline-Ms", deadline)
	response, err := (&http.Client{Transport: &http.Transport{}}).Do(request)
	if err != nil {
		return stopAnswer{err: err}
	}
	_, err = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return stopAnswer{response.StatusCode, err, time.Since(began)}
}

// An instance is still at work on requests at the end of the grace period, on one that was
// accepted just after SIGTERM and on one that was accepted late because its deadline is
// within the grace period. Guards against cutting their connections without an answer.
func TestStopAnswersEveryRequest(t *testing.T) {
	for name, semantics := range map[string]traffic.Semantics{"non-idempotent": traffic.NonIdempotent, "idempotent": traffic.Idempotent} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			const grace = 2 * time.Second
			s := newStopping(t, grace, semantics, worker.Behaviour{Delay: 20 * time.Second})
			answers := make(chan stopAnswer, 100)
			stopped := make(chan time.Duration, 1)
			began := time.Now()
			go func() {
				s.daemon.stop(t.Context(), s.servers)
				stopped <- time.Since(began)
			}()
			count := 0
			send := func(deadline string) {
				count++
				go func() { answers <- s.send(deadline) }()
			}
			for range 10 {
				time.Sleep(20 * time.Millisecond)
				send("15000")
			}
			time.Sleep(time.Until(began.Add(700 * time.Millisecond)))
			for _, deadline := range []string{"850", "870", "890", "900", "902", "904", "906", "908", "910"} {
				send(deadline) // ends just before the end of the grace period
			}
			ran := 0
			for range count {
				a := <-answers
				g.Expect(a.err).NotTo(HaveOccurred(), "the connection must not end without an answer")
				if a.status != http.StatusServiceUnavailable {
					ran++
					g.Expect(a.status).To(BeNumerically(">=", http.StatusBadGateway), "the request may have run")
				}
			}
			g.Expect(ran).To(Equal(len(s.worker.Runs())), "a refused request must not have run")
			g.Expect(ran).To(BeNumerically(">=", 10))
			g.Expect(<-stopped).To(BeNumerically("<", grace))
		})
	}
}

// A stream is cut at the end of the grace period. Guards against a part that ends like a
// whole stream: for a caller that can't take chunks, its end is that of the connection.
func TestStopResetsAStreamWithoutChunks(t *testing.T) {
	for _, version := range []string{"1.0", "1.1"} {
		t.Run(version, func(t *testing.T) {
			g := NewWithT(t)
			const grace = time.Second
			s := newStopping(t, grace, traffic.Streaming, worker.Behaviour{EventGap: 50 * time.Millisecond})
			s.worker.Events = 100
			c, err := net.Dial("tcp", strings.TrimPrefix(s.url, "http://"))
			g.Expect(err).NotTo(HaveOccurred())
			t.Cleanup(func() { _ = c.Close() })
			g.Expect(c.SetDeadline(time.Now().Add(10 * grace))).To(Succeed())
			_, err = fmt.Fprintf(c, "GET /r/1 HTTP/%s\r\nHost: h.example\r\nX-Request-Id: 1\r\n\r\n", version)
			g.Expect(err).NotTo(HaveOccurred())
			_, err = c.Read(make([]byte, 1))
			g.Expect(err).NotTo(HaveOccurred())
			s.daemon.stop(t.Context(), s.servers)
			stream, err := io.ReadAll(c)
			g.Expect(string(stream)).To(ContainSubstring("id: 5"))
			if version == "1.0" {
				g.Expect(err).To(MatchError(syscall.ECONNRESET))
			}
			g.Expect(string(stream)).NotTo(ContainSubstring("\r\n0\r\n"))
		})
	}
}
