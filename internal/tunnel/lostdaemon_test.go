package tunnel

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/dogwoodrudder/dogwoodrudder/internal/exchange"
)

// serverProcess is the environment variable that makes the test binary a daemon that serves
// tunnels, until its standard input ends. Its value tells whether it frames.
const (
	serverProcess = "TUNNEL_TEST_SERVER"
	framing       = "framing"
	noFraming     = "no framing"
)

func TestMain(m *testing.M) {
	if kind := os.Getenv(serverProcess); kind != "" {
		runServerProcess(kind)
	}
	os.Exit(m.Run())
}

// runServerProcess writes the address of the daemon to the standard output.
func runServerProcess(kind string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		os.Exit(1)
	}
	if kind == framing {
		go func() { _ = NewServer(serverConfig()).Serve(listener) }()
	} else {
		go serveWithoutFraming(listener)
	}
	fmt.Println(listener.Addr())
	_, _ = io.Copy(io.Discard, os.Stdin)
	os.Exit(0)
}

// startServerProcess starts a daemon in a process of its own. It returns its address, and
// functions that kill it and let it exit.
func startServerProcess(t *testing.T, kind string) (address string, kill, exit func()) {
	t.Helper()
	g := NewWithT(t)
	command := exec.Command(os.Args[0])
	command.Env = append(os.Environ(), serverProcess+"="+kind)
	input, err := command.StdinPipe()
	g.Expect(err).NotTo(HaveOccurred())
	output, err := command.StdoutPipe()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(command.Start()).To(Succeed())
	t.Cleanup(func() {
		_ = command.Process.Kill()
		_ = command.Wait()
	})
	line, err := bufio.NewReader(output).ReadString('\n')
	g.Expect(err).NotTo(HaveOccurred())
	return strings.TrimSpace(line), func() { _ = command.Process.Kill() }, func() { _ = input.Close() }
}

// countTaken has the daemon end, 10 times, while a reply without a length is being sent
// through it. It returns how many parts of the reply were taken for the whole.
func countTaken(t *testing.T, kind, way string, newPool func(server string) *exchange.Pool) int {
	t.Helper()
	g := NewWithT(t)
	instance := startEarlyInstance(t, headWithoutLength+"part", func(c *net.TCPConn) { _, _ = io.Copy(io.Discard, c) })
	taken := 0
	for range 10 {
		address, kill, exit := startServerProcess(t, kind)
		reply, err := send(t.Context(), newPool(address), instance, "x")
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(io.ReadFull(reply, make([]byte, len("part")))).To(Equal(len("part")))
		map[string]func(){"killed": kill, "exits": exit}[way]()
		if _, err = io.ReadAll(reply); err == nil {
			taken++
		}
		reply.Close()
	}
	return taken
}

// The daemon that serves the tunnel ends while a reply without a length is being sent.
// Guards against taking the end of its connections, which the system ends in order, for that
// of the instance's.
func TestEndOfTheDaemonIsNoOrderlyEnd(t *testing.T) {
	for _, way := range []string{"killed", "exits"} {
		t.Run(way, func(t *testing.T) {
			taken := countTaken(t, framing, way, func(server string) *exchange.Pool { return newPool(server) })
			NewWithT(t).Expect(taken).To(BeZero(), "parts of a body taken for the whole, of 10")
		})
	}
}
