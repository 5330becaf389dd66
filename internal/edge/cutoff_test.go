package edge

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dogwoodrudder/dogwoodrudder/internal/exchange"
	"github.com/dogwoodrudder/dogwoodrudder/internal/settings"
	standin "github.com/dogwoodrudder/dogwoodrudder/test/standin/platform"
	"github.com/dogwoodrudder/dogwoodrudder/test/standin/worker"
)

// cutKind is what a machine without links to the instances sees.
type cutKind string

const (
	cutHanging cutKind = "hang"                  // no answer, also on connections made before
	cutReset   cutKind = "reset"                 // connections are reset, new ones get no answer
	cutRefused cutKind = "refused"               // connections are reset, new ones refused
	cutNew     cutKind = "refused, others go on" // only new connections are refused
)

// uplinkCut is the link of one daemon to the instances.
type uplinkCut struct {
	kind atomic.Pointer[cutKind]

	mu    sync.Mutex
	conns []*cutConn
}

// cutConn is a connection over the link.
type cutConn struct {
	*net.TCPConn
	cut *uplinkCut
}

// Write drops the bytes while the link hangs.
func (c *cutConn) Write(b []byte) (int, error) {
	if kind := c.cut.kind.Load(); kind != nil && *kind == cutHanging {
		return len(b), nil
	}
	return c.TCPConn.Write(b)
}

func (u *uplinkCut) dial(ctx context.Context, address string) (net.Conn, error) {
	if kind := u.kind.Load(); kind != nil {
		if *kind == cutRefused || *kind == cutNew {
			return nil, exchange.ErrRefused
		}
		select {
		case <-ctx.Done():
		case <-time.After(dialTimeout):
		}
		return nil, exchange.ErrNotSent
	}
	c, err := exchange.Dial(ctx, address, exchange.Config{DialTimeout: dialTimeout, AckTimeout: ackTimeout})
	if err != nil {
		return nil, err
	}
	conn := &cutConn{c, u}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.conns = append(u.conns, conn)
	return conn, nil
}

func (u *uplinkCut) begin(kind cutKind) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.kind.Store(&kind)
	for _, c := range u.conns {
		switch kind {
		case cutReset, cutRefused:
			_ = c.SetLinger(0)
			_ = c.Close()
		case cutHanging:
			// What the acknowledgement timeout does to a request sent at the start of the cut.
			_ = c.SetReadDeadline(time.Now().Add(ackTimeout))
		}
	}
}

func (u *uplinkCut) end() { u.kind.Store(nil) }

// linkedFleet is a running fleet with instances and callers.
type linkedFleet struct {
	daemons []*Daemon
	links   []*uplinkCut
	workers []*worker.Worker
}

// freeAddress returns an address on a random loopback IP, with a port that isn't given to
// outgoing connections: between this check and its use, others may take a port on 127.0.0.1.
func freeAddress(t *testing.T) string {
	t.Helper()
	address := fmt.Sprintf("127.%d.%d.%d:%d", 1+rand.N(250), rand.N(250), 1+rand.N(250), 20000+rand.N(10000))
	listener, err := net.Listen("tcp", address)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	defer func() { _ = listener.Close() }()
	return address
}

// startLinkedFleet starts daemons and two instances of each of two services: plain answers
// at /plain/, and streams at /stream/.
func startLinkedFleet(t *testing.T, n int) *linkedFleet {
	t.Helper()
	g := NewWithT(t)
	f := &linkedFleet{}
	store := standin.NewStore()
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	store.Put("op/config", []byte(`{"configVer":1,"routes":[
		{"name":"plain","host":"h.example","pathPrefix":"/plain/","type":"idempotent","timeoutMs":5000,"service":"p","attempts":2,"public":true},
		{"name":"order","host":"h.example","pathPrefix":"/order/","type":"non-idempotent","timeoutMs":5000,"service":"p","attempts":1,"public":true},
		{"name":"stream","host":"h.example","pathPrefix":"/stream/","type":"streaming","timeoutMs":5000,"service":"s","attempts":2,"public":true}],
		"services":[{"name":"p"},{"name":"s"}]}`))
	for i, service := range []string{"p", "s", "p", "s"} {
		events := 0
		if service == "s" {
			events = 5
		}
		w, err := worker.Start(fmt.Sprintf("w%d", i), service, "127.0.0.1:0", events)
		g.Expect(err).NotTo(HaveOccurred())
		t.Cleanup(w.Stop)
		f.workers = append(f.workers, w)
		store.Put("servers/"+w.ID, w.Entry("a", "ready"))
	}
	for i := range n {
		d := newTestDaemonWith(fmt.Sprintf("d%d", i), func(s *settings.Edge) {
			s.StoreAddress = strings.TrimPrefix(server.URL, "http://")
			s.CallersAddress, s.CoordinatorAddress, s.TunnelsAddress = freeAddress(t), freeAddress(t), freeAddress(t)
			s.MemoryMB, s.Descriptors = 160, 1024
			s.Bounds.Grace, s.Bounds.Lease, s.Bounds.LeaveTime = time.Second, 3*time.Second, 2*time.Second
		})
		link := &uplinkCut{}
		d.dialInstance = link.dial
		f.daemons, f.links = append(f.daemons, d), append(f.links, link)
		ctx, cancel := context.WithCancel(context.Background())
		stopped := make(chan error, 1)
		go func() { stopped <- d.Run(ctx) }()
		t.Cleanup(func() {
			cancel()
			if err := <-stopped; err != nil {
				t.Error(err)
			}
		})
	}
	g.Eventually(f.settled, 10*time.Second, 20*time.Millisecond).Should(BeTrue())
	return f
}

func (f *linkedFleet) settled() bool {
	for _, d := range f.daemons {
		if !d.Ready() || d.members.count() != len(f.daemons) || len(d.instances.Snapshot("")) != len(f.workers) {
			return false
		}
	}
	return true
}

// tunnels returns the number of open tunnels.
func (f *linkedFleet) tunnels() int {
	sum := 0
	for _, d := range f.daemons {
		sum += d.tunnels.Active()
	}
	return sum
}

var requestCount atomic.Int64

// send sends a request to a daemon and returns the status and the body, or 0 and the error.
func (f *linkedFleet) send(ctx context.Context, daemon int, path string) (int, string) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+f.daemons[daemon].settings.CallersAddress+path, strings.NewReader("x"))
	if err != nil {
		return 0, err.Error()
	}
	request.Host = "h.example"
	request.Header.Set("X-Request-Id", fmt.Sprintf("r%d", requestCount.Add(1)))
	request.Header.Set("X-Deadline-Ms", "3000")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, string(body)
}

var paths = []string{"/plain/1", "/order/1", "/stream/1"}

// sendAll sends some requests of each kind to a daemon, and returns those served by their
// path and what became of the others.
func (f *linkedFleet) sendAll(ctx context.Context, daemon, each int) (served map[string]int, others []string) {
	var mu sync.Mutex
	var wait sync.WaitGroup
	served = map[string]int{}
	for range each {
		for _, path := range paths {
			wait.Go(func() {
				status, body := f.send(ctx, daemon, path)
				mu.Lock()
				defer mu.Unlock()
				if status == http.StatusOK {
					served[path]++
				} else {
					others = append(others, fmt.Sprintf("%s: %d %s", path, status, body))
				}
			})
		}
		time.Sleep(20 * time.Millisecond)
	}
	wait.Wait()
	return served, others
}

// One of three daemons loses its links to all instances. Guards against callers of such a
// daemon getting 503 while other daemons reach the instances.
func TestDaemonWithoutLinksToInstancesServes(t *testing.T) {
	skipIfKnownRed(t)
	for _, kind := range []cutKind{cutHanging, cutReset, cutRefused, cutNew} {
		t.Run(string(kind), func(t *testing.T) {
			g := NewWithT(t)
			f := startLinkedFleet(t, 3)
			all := map[string]int{"/plain/1": 10, "/order/1": 10, "/stream/1": 10}
			served, others := f.sendAll(t.Context(), 0, 10)
			g.Expect(served).To(Equal(all), "before the cut: %v", others)
			f.links[0].begin(kind)
			f.sendAll(t.Context(), 0, 5)
			time.Sleep(time.Second)
			served, others = f.sendAll(t.Context(), 0, 10)
			g.Expect(served).To(Equal(all), "during the cut: %v", others)
			f.links[0].end()
			g.Eventually(f.daemons[0].links.Lost, 2*time.Second, 20*time.Millisecond).Should(BeFalse())
			g.Eventually(f.tunnels, time.Second).Should(BeZero(), "idle tunnels are closed")
			served, others = f.sendAll(t.Context(), 0, 10)
			g.Expect(served).To(Equal(all), "after the cut: %v", others)
		})
	}
}

// Guards against a client's leaving that doesn't reach the instance through the other daemon.
func TestClientLeavesDaemonWithoutLinks(t *testing.T) {
	g := NewWithT(t)
	f := startLinkedFleet(t, 2)
	f.links[0].begin(cutRefused)
	g.Eventually(func() int { status, _ := f.send(t.Context(), 0, "/plain/1"); return status }, 3*time.Second).Should(Equal(http.StatusOK))
	for _, w := range f.workers {
		w.Set(worker.Behaviour{Delay: 2 * time.Second})
	}
	active := func() int {
		sum := 0
		for _, w := range f.workers {
			sum += w.Active()
		}
		return sum
	}
	ctx, cancel := context.WithCancel(t.Context())
	go f.send(ctx, 0, "/order/1")
	g.Eventually(active, time.Second, 5*time.Millisecond).Should(Equal(1))
	cancel()
	g.Eventually(active, 400*time.Millisecond, 5*time.Millisecond).Should(BeZero())
}

// Guards against daemons that forward to each other, or answer late, when none of them
// reaches an instance.
func TestNoDaemonHasLinksToInstances(t *testing.T) {
	g := NewWithT(t)
	f := startLinkedFleet(t, 3)
	for _, link := range f.links {
		link.begin(cutRefused)
	}
	for i := range f.daemons {
		f.sendAll(t.Context(), i, 2)
		g.Expect(f.daemons[i].links.Lost()).To(BeTrue())
	}
	began := time.Now()
	served, others := f.sendAll(t.Context(), 0, 3)
	g.Expect(served).To(BeEmpty())
	g.Expect(others).To(HaveLen(9))
	g.Expect(others).To(HaveEach(ContainSubstring(": 503 ")))
	g.Expect(time.Since(began)).To(BeNumerically("<", time.Second))
	for _, w := range f.workers {
		g.Expect(w.Runs()).To(BeEmpty())
	}
	for _, link := range f.links {
		link.end()
	}
	g.Eventually(f.daemons[0].links.Lost, 2*time.Second, 20*time.Millisecond).Should(BeFalse())
	served, others = f.sendAll(t.Context(), 0, 3)
	g.Expect(others).To(BeEmpty(), "instances are in use at once")
	g.Expect(served).To(HaveLen(len(paths)))
}
