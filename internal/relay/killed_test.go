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
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dogwoodrudder/dogwoodrudder/internal/fleet"
	"github.com/dogwoodrudder/dogwoodrudder/test/standin/rawreply"
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
// streams, nothing on paths that end with "silent", more than is buffered on those that end
// with "long", or a few bytes.
func partOfReply(r *http.Request) string {
	id := r.Header.Get("X-Request-Id")
	switch {
	case strings.HasPrefix(r.URL.Path, "/query/"), strings.HasPrefix(r.URL.Path, "/report/"):
		return head(id, "Content-Type: text/event-stream\r\n\r\n") + events(0, 2)
	case strings.HasSuffix(r.URL.Path, "silent"):
		return ""
	case strings.HasSuffix(r.URL.Path, "long"):
		return head(id, "\r\n") + strings.Repeat("p", 2<<20)
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
