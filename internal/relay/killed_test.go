package relay_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/gomega"

	"github.com/dogwoodrudder/dogwoodrudder/internal/fleet"
	"github.com/dogwoodrudder/dogwoodrudder/test/knownred"
	"github.com/dogwoodrudder/dogwoodrudder/test/standin/rawreply"
	"github.com/dogwoodrudder/dogwoodrudder/test/standin/worker"
)

// instanceProcess is the environment variable with which the test binary runs as an
// instance that is killed when it has written a part of its first reply.
const instanceProcess = "RUDDER_TEST_INSTANCE_PROCESS"

const (
	// killedProcesses is the number of processes that are killed in each test.
	killedProcesses = 10
	// otherConnections is the number of connections that others keep to such a process.
	otherConnections = 50
	// settledAfter is longer than the data of a reply takes to arrive.
	settledAfter = 10 * time.Millisecond
)

func TestMain(m *testing.M) {
	if os.Getenv(instanceProcess) != "" {
		runInstanceProcess()
		return
	}
	os.Exit(m.Run())
}

// runInstanceProcess serves requests until the first one has got a part of its reply.
func runInstanceProcess() {
	server, err := rawreply.Start(func(c *net.TCPConn, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "held") {
			select {}
		}
		writePart(c, r)
		time.Sleep(settledAfter)
		_ = syscall.Kill(os.Getpid(), syscall.SIGKILL)
	})
	if err != nil {
		return
	}
	fmt.Println(server.Address())
	time.Sleep(time.Minute)
}

// writePart reads the whole request and writes the start of a reply without framing.
func writePart(c *net.TCPConn, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err == nil {
		_, _ = io.WriteString(c, partOfReply(r)) // fails if the client has gone
	}
}

// partOfReply returns the start of a reply without framing: whole events on the routes of
// streams; by the end of other paths nothing ("silent"), more than is buffered ("long") or a
// failure ("unknown"); or else a few bytes, after a notice that the instance is leaving
// ("leaving").
func partOfReply(r *http.Request) string {
	id := r.Header.Get("X-Request-Id")
	switch {
	case strings.HasPrefix(r.URL.Path, "/query/"), strings.HasPrefix(r.URL.Path, "/report/"):
		return head(id, "Content-Type: text/event-stream\r\n\r\n") + events(0, 2)
	case strings.HasSuffix(r.URL.Path, "silent"):
		return ""
	case strings.HasSuffix(r.URL.Path, "long"):
		return head(id, "\r\n") + strings.Repeat("p", 2<<20)
	case strings.HasSuffix(r.URL.Path, "unknown"):
		return strings.Replace(head(id, "\r\n"), "200 OK", "404 Not Found", 1) + "part"
	}
	if strings.HasSuffix(r.URL.Path, "leaving") {
		id += "\r\nServer-Leaving: 1"
	}
	return head(id, "\r\n") + "part"
}

// killedInstance announces an instance whose process is killed in the middle of its first
// reply. The channel is closed when the process has ended.
func (s *fixture) killedInstance(service string) <-chan struct{} {
	s.t.Helper()
	process := exec.CommandContext(s.t.Context(), os.Args[0])
	process.Env = append(os.Environ(), instanceProcess+"=1")
	output, err := process.StdoutPipe()
	if err != nil {
		s.t.Fatal(err)
	}
	if err := process.Start(); err != nil {
		s.t.Fatal(err)
	}
	line, err := bufio.NewReader(output).ReadString('\n')
	if err != nil {
		s.t.Fatal(err)
	}
	address := strings.TrimSpace(line)
	for range otherConnections {
		c, err := net.Dial("tcp", address)
		if err != nil {
			s.t.Fatal(err)
		}
		s.t.Cleanup(func() { _ = c.Close() })
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = process.Wait() // reports the kill
	}()
	s.t.Cleanup(func() { <-ended })
	s.set.Put(fleet.Description{ID: "killed", Service: service, Address: address, DataCentre: "dc", Slots: 800})
	return ended
}

// An instance's process is killed while it runs a request. Guards against taking it for alive
// because its listener ends after its connections, so that the crash isn't recorded.
func TestKilledInstanceCrashed(t *testing.T) {
	g := NewWithT(t)
	recorded := 0
	for range killedProcesses {
		s := newFixture(t)
		ended := s.killedInstance("order")
		a := s.send(t.Context(), "/order/silent", map[string]string{"X-Prefix-Hash": "a1:500,b1:40"})
		g.Expect(a.status).To(Equal(http.StatusBadGateway))
		<-ended
		for range 50 {
			if state, _ := s.guard.Export(); len(state) > 0 {
				recorded++
				break
			}
			time.Sleep(settledAfter)
		}
	}
	g.Expect(recorded).To(Equal(killedProcesses))
}

// An instance's process is killed in the middle of a reply without framing, so that its
// system ends the connection in order. Guards against a part that reaches the client as a
// complete answer, and against a crash that isn't recorded.
func TestReplyOfAKilledInstanceIsNotComplete(t *testing.T) {
	for _, path := range []string{"/order/1", "/order/long", "/lookup/long", "/report/1"} {
		t.Run(strings.Trim(path, "/"), func(t *testing.T) {
			g := NewWithT(t)
			complete, recorded := 0, 0
			for range killedProcesses {
				s := newFixture(t)
				ended := s.killedInstance(strings.Split(path, "/")[1])
				a := s.send(t.Context(), path, map[string]string{"X-Prefix-Hash": "a1:500,b1:40"})
				<-ended
				if state, _ := s.guard.Export(); len(state) > 0 {
					recorded++
				}
				if a.err == nil && a.status == http.StatusOK {
					complete++
				}
				if path == "/order/1" {
					g.Expect(a.status).To(BeElementOf(http.StatusOK, http.StatusBadGateway))
				}
			}
			g.Expect(complete).To(BeZero(), "of %d", killedProcesses)
			g.Expect(recorded).To(Equal(killedProcesses))
		})
	}
}

// Where the request may be repeated or resumed, another instance can serve it. Guards against
// a part in place of its answer.
func TestReplyOfAKilledInstanceIsRepeated(t *testing.T) {
	for path, whole := range map[string]func(answer) bool{
		"/lookup/1": func(a answer) bool { return a.body != "part" },
		// The end of a leaving instance is no proof.
		"/lookup/leaving": func(a answer) bool { return a.body != "part" },
		"/query/1":        func(a answer) bool { return a.body == events(0, 6) },
	} {
		t.Run(strings.Trim(path, "/"), func(t *testing.T) {
			g := NewWithT(t)
			broken := 0
			for range killedProcesses {
				s := newFixture(t)
				service := strings.Split(path, "/")[1]
				ended := s.killedInstance(service)
				s.worker("sound", service, worker.Behaviour{})
				for alive := true; alive; {
					if a := s.send(t.Context(), path, nil); a.err != nil || a.status != http.StatusOK || !whole(a) {
						broken++
					}
					select {
					case <-ended:
						alive = false
					case <-time.After(2 * settledAfter):
					}
				}
			}
			g.Expect(broken).To(BeZero(), "of %d", killedProcesses)
		})
	}
}

// A leaving instance is killed while it runs several requests. Guards against a part of a
// reply that reaches the client as complete although another request broke off with it.
func TestReplyOfAKilledLeavingInstanceIsNotComplete(t *testing.T) {
	g := NewWithT(t)
	complete := 0
	for range killedProcesses {
		s := newFixture(t)
		ended := s.killedInstance("order")
		held := make(chan answer)
		go func() { held <- s.send(t.Context(), "/order/held", nil) }()
		time.Sleep(2 * settledAfter)
		if a := s.send(t.Context(), "/order/leaving", nil); a.status == http.StatusOK {
			complete++
		}
		g.Expect((<-held).status).To(Equal(http.StatusBadGateway))
		<-ended
	}
	g.Expect(complete).To(BeZero(), "of %d", killedProcesses)
}

// A leaving instance is killed while it runs requests of this daemon that all have replies
// without framing. Guards against parts of them that reach clients as complete answers.
func TestPartsOfAKilledLeavingInstanceAreNotComplete(t *testing.T) {
	if entry := knownred.EntryInCI("../../"+knownred.File, t.Name()); entry != "" {
		t.Skipf("known to fail:\n%s", entry)
	}
	for _, service := range []string{"order", "query", "report"} {
		t.Run(service, func(t *testing.T) {
			complete := 0
			for range killedProcesses {
				s := newFixture(t)
				ended := s.killedInstance(service)
				answers := make(chan answer)
				for range 3 {
					go func() { answers <- s.send(t.Context(), "/"+service+"/1", nil) }()
				}
				time.Sleep(settledAfter / 3)
				leaving := s.set.Snapshot(service)[0].Description
				leaving.Leaving = true
				s.set.Put(leaving)
				for range 3 {
					if a := <-answers; a.err == nil && a.status == http.StatusOK {
						complete++
					}
				}
				<-ended
			}
			NewWithT(t).Expect(complete).To(BeZero(), "of %d", 3*killedProcesses)
		})
	}
}

// Guards against refusing the last reply of a leaving instance because no retry is left, or
// no other instance can take the request, and against taking retries beyond the budget.
func TestLastReplyIsRepeatedOnlyWithinTheBudget(t *testing.T) {
	for name, budget := range map[string]int64{"budget left": 1, "budget spent": 0} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := newFixture(t)
			s.retryBudget.Store(budget)
			s.endingInstance("lookup", func(c *net.TCPConn, r *http.Request, closeListener func()) {
				closeListener()
				s.worker("other", "lookup", worker.Behaviour{})
				_, _ = io.Copy(io.Discard, r.Body)
				_, _ = io.WriteString(c, head(r.Header.Get("X-Request-Id"), "Server-Leaving: 1\r\n\r\n")+"whole")
			})
			a := s.send(t.Context(), "/lookup/1", nil)
			g.Expect(a.err).NotTo(HaveOccurred())
			g.Expect(a.status).To(Equal(http.StatusOK))
			g.Expect(a.body == "whole").To(Equal(budget == 0), "body %q", a.body)
			g.Expect(s.runs()).To(BeEquivalentTo(budget))
			g.Expect(s.failures.Load()).To(BeZero())
		})
	}
}

// The connections of a killed process end before its listener does, which accepts connections
// in between that the process doesn't see. Guards against taking the instance for alive, and
// against refused replies that no metric shows.
func TestListenerThatOutlivesAReplyIsNoProof(t *testing.T) {
	for _, path := range []string{"/order/1", "/order/long", "/order/unknown", "/lookup/long", "/report/1"} {
		t.Run(strings.Trim(path, "/"), func(t *testing.T) {
			g := NewWithT(t)
			refuted := metrics.GetOrCreateCounter(`rudder_relay_unframed_replies_total{verdict="refuted"}`)
			before := refuted.Get()
			s := newFixture(t)
			s.dyingInstance(strings.Split(path, "/")[1])
			a := s.send(t.Context(), path, nil)
			g.Expect(a.err != nil || a.status == http.StatusBadGateway).To(BeTrue(), "status %d, %d bytes", a.status, len(a.body))
			g.Expect(refuted.Get() - before).To(BeEquivalentTo(1))
		})
	}
}

// dyingInstance announces an instance "w1" that ends in its first reply like a killed process
// that loses its processor for a while.
func (s *fixture) dyingInstance(service string) {
	s.t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = listener.Close() })
	go func() {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			writePart(c.(*net.TCPConn), r)
		}
		_ = c.Close()
		time.Sleep(3 * settledAfter)
		_ = listener.Close()
	}()
	s.set.Put(fleet.Description{ID: "w1", Service: service, Address: listener.Addr().String(), DataCentre: "dc", Slots: 8})
}

// endingInstance announces an instance "w1" that can close its listener while it serves.
func (s *fixture) endingInstance(service string, serve func(c *net.TCPConn, r *http.Request, closeListener func())) {
	s.t.Helper()
	var server *rawreply.Server
	ready := make(chan struct{})
	server, err := rawreply.Start(func(c *net.TCPConn, r *http.Request) {
		<-ready
		serve(c, r, server.Close)
	})
	if err != nil {
		s.t.Fatal(err)
	}
	close(ready)
	s.t.Cleanup(server.Close)
	s.set.Put(fleet.Description{ID: "w1", Service: service, Address: server.Address(), DataCentre: "dc", Slots: 8})
}

// An instance closes its listener, answers its last request without framing and exits.
// Guards against refusing the whole answer of an instance that has announced its end.
func TestLastReplyOfALeavingInstanceIsForwarded(t *testing.T) {
	for name, announce := range map[string]func(s *fixture, d fleet.Description) string{
		"marked in the store": func(s *fixture, d fleet.Description) string {
			d.Leaving = true
			s.set.Put(d)
			return ""
		},
		"removed from the store": func(s *fixture, d fleet.Description) string {
			s.set.Remove(d.ID)
			return ""
		},
		"notice in the reply": func(*fixture, fleet.Description) string { return "Server-Leaving: 1\r\n" },
	} {
		for _, service := range []string{"order", "lookup", "query", "report"} {
			t.Run(name+", "+service, func(t *testing.T) {
				g := NewWithT(t)
				s := newFixture(t)
				s.endingInstance(service, func(c *net.TCPConn, r *http.Request, closeListener func()) {
					closeListener()
					fields := announce(s, s.set.Snapshot(service)[0].Description)
					_, _ = io.Copy(io.Discard, r.Body)
					_, _ = io.WriteString(c, head(r.Header.Get("X-Request-Id"), fields+"\r\n")+events(0, 6))
				})
				a := s.send(t.Context(), "/"+service+"/1", nil)
				g.Expect(a.err).NotTo(HaveOccurred())
				g.Expect(a.status).To(Equal(http.StatusOK))
				g.Expect(a.body).To(Equal(events(0, 6)))
			})
		}
	}
}

// Guards against refusing whole replies without framing of an instance that lives on, and
// against holding them back for long.
func TestRepliesWithoutFramingAreForwarded(t *testing.T) {
	for _, service := range []string{"order", "lookup", "query", "report"} {
		t.Run(service, func(t *testing.T) {
			g := NewWithT(t)
			s := newFixture(t)
			s.rawServer("w1", service, rawreply.Whole(func(r *http.Request) string {
				return head(r.Header.Get("X-Request-Id"), "\r\n") + events(0, 6)
			}))
			var clients sync.WaitGroup
			answers := make(chan answer, 200)
			for range 8 {
				clients.Go(func() {
					for range cap(answers) / 8 {
						answers <- s.send(t.Context(), "/"+service+"/1", nil)
					}
				})
			}
			clients.Wait()
			close(answers)
			for a := range answers {
				g.Expect(a.err).NotTo(HaveOccurred())
				g.Expect(a.status).To(Equal(http.StatusOK))
				g.Expect(a.body).To(Equal(events(0, 6)))
			}
		})
	}
}
