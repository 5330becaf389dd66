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

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/gomega"

	"github.com/dogwoodrudder/dogwoodrudder/test/standin/rawreply"
)

// rawExchangeTime bounds the time of an exchange over a raw connection.
const rawExchangeTime = 10 * time.Second

// dialRaw sends a request with a version of HTTP and more fields, and returns the connection.
func dialRaw(t *testing.T, url, version, path, fields string) net.Conn {
	t.Helper()
	g := NewWithT(t)
	c, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = c.Close() })
	g.Expect(c.SetDeadline(time.Now().Add(rawExchangeTime))).To(Succeed())
	_, err = fmt.Fprintf(c, "POST %s HTTP/%s\r\nHost: h.example\r\nX-Request-Id: r%d\r\nAuthorization: Bearer %s\r\nContent-Length: 4\r\n%s\r\nbody",
		path, version, time.Now().UnixNano(), key, fields)
	g.Expect(err).NotTo(HaveOccurred())
	return c
}

// readUntil reads up to and including text.
func readUntil(t *testing.T, c io.Reader, text string) {
	t.Helper()
	part, read := make([]byte, 1), ""
	for !strings.HasSuffix(read, text) {
		if _, err := c.Read(part); err != nil {
			t.Fatalf("%v after %q", err, read)
		}
		read += string(part)
	}
}

// chunk returns text as a chunk of a body.
func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// partialReplies are replies of unknown length of which the client gets a part only.
var partialReplies = map[string]struct {
	path, fields string
	reply        string // after the head
	stalls       bool   // the connection to the instance stays open
	// cut ends the client's connection once a part of the reply has come; nil leaves that
	// to the relay.
	cut func(s *fixture)
}{
	"instance breaks a stream off":    {path: "/report/1", reply: chunk(events(0, 2))},
	"instance breaks a long body off": {path: "/lookup/1", reply: chunk(strings.Repeat("x", 2<<20))},
	"deadline passes":                 {path: "/report/1", fields: "X-Deadline-Ms: 300\r\n", reply: chunk(events(0, 2)), stalls: true},
	"server is closed":                {path: "/report/1", reply: chunk(events(0, 2)), stalls: true, cut: func(s *fixture) { s.server.CloseClientConnections() }},
}

// startPartial starts instances that send a part of a reply. If they stall, the connection
// stays open until the test ends.
func (s *fixture) startPartial(reply string, stalls bool) {
	ended := make(chan struct{})
	s.t.Cleanup(func() { close(ended) })
	for _, service := range []string{"report", "lookup"} {
		s.rawServer("w-"+service, service, func(c *net.TCPConn, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = io.WriteString(c, head(r.Header.Get("X-Request-Id"), "Transfer-Encoding: chunked\r\n\r\n")+reply)
			if stalls {
				<-ended
			}
		})
	}
}

// A client can't take chunks, so that its connection's end is the end of a body of unknown
// length. Guards against a part that ends like a whole body, because the relay closes the
// connection in order.
func TestPartOfAReplyIsResetWithoutChunks(t *testing.T) {
	for name, c := range partialReplies {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := newFixture(t)
			s.startPartial(c.reply, c.stalls)
			conn := dialRaw(t, s.url, "1.0", c.path, c.fields)
			readUntil(t, conn, "\r\n\r\n")
			if c.cut != nil {
				readUntil(t, conn, events(0, 2))
				c.cut(s)
			}
			body, err := io.ReadAll(conn)
			g.Expect(err).To(MatchError(syscall.ECONNRESET), "%d bytes", len(body))
		})
	}
}

// Guards against a whole body of unknown length that a reset cuts.
func TestWholeReplyEndsInOrderWithoutChunks(t *testing.T) {
	long := strings.Repeat("x", 8<<20)
	for path, body := range map[string]string{"/report/1": events(0, 6), "/lookup/1": long, "/order/1": "short"} {
		t.Run(path, func(t *testing.T) {
			g := NewWithT(t)
			s := newFixture(t)
			service, _, _ := strings.Cut(path[1:], "/")
			s.rawServer("w1", service, rawreply.Whole(func(r *http.Request) string {
				return head(r.Header.Get("X-Request-Id"), "Transfer-Encoding: chunked\r\n\r\n") + chunk(body) + "0\r\n\r\n"
			}))
			for range 5 {
				conn := dialRaw(t, s.url, "1.0", path, "")
				response, err := http.ReadResponse(bufio.NewReader(conn), nil)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(response.TransferEncoding).To(BeEmpty())
				received, err := io.ReadAll(response.Body)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(len(received)).To(Equal(len(body)))
			}
		})
	}
}

// Guards against a part that ends with the last chunk, also on connections that the client
// or the daemon closes after the reply.
func TestPartOfAReplyHasNoLastChunk(t *testing.T) {
	for name, c := range partialReplies {
		for _, connection := range []string{"kept", "closed by the client", "closed by the daemon"} {
			t.Run(name+", "+connection, func(t *testing.T) {
				g := NewWithT(t)
				s := newFixture(t)
				s.startPartial(c.reply, c.stalls)
				fields := c.fields
				if connection == "closed by the client" {
					fields += "Connection: close\r\n"
				}
				s.draining.Store(connection == "closed by the daemon")
				conn := dialRaw(t, s.url, "1.1", c.path, fields)
				response, err := http.ReadResponse(bufio.NewReader(conn), nil)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(response.TransferEncoding).To(Equal([]string{"chunked"}))
				g.Expect(response.Close).To(Equal(connection != "kept"))
				if c.cut != nil {
					readUntil(t, response.Body, events(0, 2))
					c.cut(s)
				}
				body, err := io.ReadAll(response.Body)
				g.Expect(err).To(HaveOccurred(), "%d bytes", len(body))
			})
		}
	}
}

// servesForKill marks the process that TestPartOfAReplyOfAKilledDaemonIsReset kills.
const servesForKill = "RELAY_TEST_SERVE"

// A daemon is killed in the middle of a body of unknown length. Guards against a part that
// ends like a whole body, because the system closes the connections of a killed process.
func TestPartOfAReplyOfAKilledDaemonIsReset(t *testing.T) {
	if os.Getenv(servesForKill) != "" {
		s := newFixture(t)
		s.startPartial(chunk(events(0, 2)), true)
		fmt.Println("serving", s.url)
		time.Sleep(rawExchangeTime)
		return
	}
	for _, version := range []string{"1.0", "1.1"} {
		t.Run(version, func(t *testing.T) {
			g := NewWithT(t)
			daemon := exec.Command(os.Args[0], "-test.run=^"+strings.Split(t.Name(), "/")[0]+"$")
			daemon.Env = append(os.Environ(), servesForKill+"=1")
			output, err := daemon.StdoutPipe()
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(daemon.Start()).To(Succeed())
			t.Cleanup(func() {
				_ = daemon.Process.Kill()
				_ = daemon.Wait()
			})
			url := ""
			_, err = fmt.Fscanf(output, "serving %s\n", &url)
			g.Expect(err).NotTo(HaveOccurred())
			conn := dialRaw(t, url, version, "/report/1", "")
			readUntil(t, conn, events(0, 2))
			g.Expect(daemon.Process.Kill()).To(Succeed())
			rest, err := io.ReadAll(conn)
			if version == "1.0" {
				g.Expect(err).To(MatchError(syscall.ECONNRESET))
			}
			g.Expect(string(rest)).NotTo(ContainSubstring("0\r\n\r\n"))
		})
	}
}

// Guards against responses that are broken off and that no metric tells apart from those
// that came to the client whole.
func TestBrokenOffResponsesAreCounted(t *testing.T) {
	for version, framing := range map[string]string{"1.0": "connection", "1.1": "chunks"} {
		t.Run(version, func(t *testing.T) {
			g := NewWithT(t)
			s := newFixture(t)
			s.startPartial(chunk(events(0, 2)), false)
			counter := metrics.GetOrCreateCounter(`rudder_relay_responses_broken_off_total{status="502",code="1304",framing="` + framing + `"}`)
			before := counter.Get()
			_, _ = io.ReadAll(dialRaw(t, s.url, version, "/report/1", "")) // its end is tested elsewhere
			g.Expect(counter.Get() - before).To(BeEquivalentTo(1))
		})
	}
}
