package orders

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/jonboulle/clockwork"
	"google.golang.org/grpc"

	peerv1 "github.com/dogwoodrudder/dogwoodrudder/api/peer/v1"
	"github.com/dogwoodrudder/dogwoodrudder/internal/peer"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/order"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/result"
)

// upstream counts the executions of each key. A response contains the key and the
// number of the execution.
type upstream struct {
	mu    sync.Mutex
	count map[string]int
}

func (u *upstream) execute(key string) *order.Response {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.count[key]++
	return &order.Response{Status: 200, Body: []byte(fmt.Sprintf("%s#%d", key, u.count[key]))}
}

func (u *upstream) executions(key string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.count[key]
}

type directory struct {
	mu      sync.Mutex
	daemons map[string]Daemon
}

func (d *directory) Daemon(id string) (Daemon, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	entry, ok := d.daemons[id]
	return entry, ok
}

func (d *directory) set(id string, change func(*Daemon)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	entry := d.daemons[id]
	change(&entry)
	d.daemons[id] = entry
}

// node is one daemon with its Peer service.
type node struct {
	*Executor
	server      *grpc.Server
	loseReplies atomic.Bool // calls are handled, but fail instead of replying
}

// cluster is a set of nodes that share one upstream.
type cluster struct {
	t        *testing.T
	signer   *order.Signer
	upstream *upstream
	dir      *directory
	pool     *peer.Pool
	nodes    map[string]*node
	serial   atomic.Int64
}

var errLost = errors.New("the reply is lost")

func newCluster(t *testing.T, ids ...string) *cluster {
	signer, err := order.NewSigner(order.SecretKey{ID: "k", Secret: []byte(strings.Repeat("s", order.MinSecretBytes))})
	if err != nil {
		t.Fatal(err)
	}
	c := &cluster{
		t: t, signer: signer, upstream: &upstream{count: make(map[string]int)},
		dir: &directory{daemons: make(map[string]Daemon)}, nodes: make(map[string]*node),
		pool: peer.NewPool(time.Minute, time.Now),
	}
	t.Cleanup(c.pool.Close)
	for _, id := range ids {
		c.start(id)
	}
	return c
}

func (c *cluster) start(id string) {
	ledger, err := order.NewLedger(id, clockwork.NewRealClock(), order.DefaultLimits())
	if err != nil {
		c.t.Fatal(err)
	}
	n := &node{}
	n.Executor = New(Options{
		Self: id, Signer: c.signer, Ledger: ledger, Directory: c.dir, Peers: c.pool,
		Send: c.send, Log: slog.New(slog.DiscardHandler),
	})
	n.server = grpc.NewServer(
		grpc.UnaryInterceptor(func(ctx context.Context, req any, _ *grpc.UnaryServerInfo, h grpc.UnaryHandler) (any, error) {
			reply, err := h(ctx, req)
			if n.loseReplies.Load() {
				return nil, errLost
			}
			return reply, err
		}),
		grpc.StreamInterceptor(func(srv any, s grpc.ServerStream, _ *grpc.StreamServerInfo, h grpc.StreamHandler) error {
			return h(srv, &lossyStream{s, &n.loseReplies})
		}),
	)
	peerv1.RegisterPeerServer(n.server, &peer.Service{OrderHandler: n.Executor})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		c.t.Fatal(err)
	}
	go func() { _ = n.server.Serve(listener) }()
	c.t.Cleanup(n.server.Stop)
	c.nodes[id] = n
	c.dir.set(id, func(d *Daemon) {
		*d = Daemon{Address: listener.Addr().String(), State: peerv1.MemberState_MEMBER_STATE_ALIVE}
	})
}

func (c *cluster) address(id string) string {
	d, _ := c.dir.Daemon(id)
	return d.Address
}

// lossyStream loses the acknowledgement of a transfer after the import.
type lossyStream struct {
	grpc.ServerStream
	loseReplies *atomic.Bool
}

func (s *lossyStream) SendMsg(m any) error {
	if s.loseReplies.Load() {
		return errLost
	}
	return s.ServerStream.SendMsg(m)
}

func (c *cluster) send(_ context.Context, r *peerv1.ExecuteOrderRequest, markSent func() error) (*order.Response, bool, bool, error) {
	if err := markSent(); err != nil {
		return nil, false, false, err
	}
	return c.upstream.execute(r.GetKey()), true, false, nil
}

// newOrder returns an order with a new key of the executor.
func (c *cluster) newOrder(executor string) *peerv1.ExecuteOrderRequest {
	token, err := c.signer.Issue(executor, time.Now().Add(time.Minute))
	if err != nil {
		c.t.Fatal(err)
	}
	key := order.JoinKey(token, fmt.Sprint(c.serial.Add(1)))
	return &peerv1.ExecuteOrderRequest{Key: key, ClientAccount: "dealer", Method: "POST", Path: "/reserve"}
}

// check compares the execution state of a result and the upstream's count of
// executions with the expected ones.
func (c *cluster) check(r *peerv1.ExecuteOrderRequest, err error, want result.Execution, executions int) {
	c.t.Helper()
	got := result.Ran
	if err != nil {
		got = result.From(err).Execution
	}
	if n := c.upstream.executions(r.GetKey()); got != want || n != executions {
		c.t.Errorf("got %q with %d executions, want %q with %d: %v", got, n, want, executions, err)
	}
}

// Guards against a second execution and against a wrong execution state when the
// executor is killed before, between or after the steps of sending an order.
func TestForwardingWhenExecutorIsKilled(t *testing.T) {
	ctx := context.Background()
	kill := func(c *cluster) { c.nodes["b"].server.Stop() }
	cases := []struct {
		name       string
		send       func(c *cluster, inner Send) Send
		executions int
	}{
		{"before MarkSent", func(c *cluster, inner Send) Send {
			return func(ctx context.Context, r *peerv1.ExecuteOrderRequest, markSent func() error) (*order.Response, bool, bool, error) {
				go kill(c)
				<-ctx.Done()
				return nil, false, false, ctx.Err()
			}
		}, 0},
		{"between MarkSent and write", func(c *cluster, inner Send) Send {
			return func(ctx context.Context, r *peerv1.ExecuteOrderRequest, markSent func() error) (*order.Response, bool, bool, error) {
				_ = markSent()
				go kill(c)
				<-ctx.Done()
				return nil, false, false, ctx.Err()
			}
		}, 0},
		{"after the write", func(c *cluster, inner Send) Send {
			return func(ctx context.Context, r *peerv1.ExecuteOrderRequest, markSent func() error) (*order.Response, bool, bool, error) {
				_, _, _, _ = inner(ctx, r, markSent)
				go kill(c)
				<-ctx.Done()
				return nil, true, false, ctx.Err()
			}
		}, 1},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := newCluster(t, "a", "b")
			c.nodes["b"].Send = tc.send(c, c.send)
			r := c.newOrder("b")
			r.DeadlineUnixMs = time.Now().Add(500 * time.Millisecond).UnixMilli()
			_, err := c.nodes["a"].Execute(ctx, r)
			c.check(r, err, result.Unknown, tc.executions)
			c.dir.set("b", func(d *Daemon) { d.State = peerv1.MemberState_MEMBER_STATE_DEAD })
			_, err = c.nodes["a"].Execute(ctx, r)
			c.check(r, err, result.Unknown, tc.executions)
			if code := result.CodeOf(err); code != result.OrderOutcomeUnknown {
				t.Errorf("dead executor: code %d", code)
			}
		})
	}
}

// Guards against execution by another daemon when the executor is unreachable, and
// against a second execution when its reply was lost.
func TestForwardingFailures(t *testing.T) {
	ctx := context.Background()
	c := newCluster(t, "a", "b")
	r := c.newOrder("b")
	c.nodes["b"].loseReplies.Store(true)
	_, err := c.nodes["a"].Execute(ctx, r)
	c.check(r, err, result.Unknown, 1)
	c.nodes["b"].loseReplies.Store(false)
	reply, err := c.nodes["a"].Execute(ctx, r)
	c.check(r, err, result.Ran, 1)
	if !reply.Replayed {
		t.Error("the retry was not answered by a replay")
	}
	other := c.newOrder("b")
	other.Key, other.Path = r.GetKey(), "/cancel"
	_, err = c.nodes["a"].Execute(ctx, other)
	if result.CodeOf(err) != result.OrderKeyReused {
		t.Errorf("reused key: %v", err)
	}
	frozen := c.newOrder("b")
	c.nodes["b"].Ledger.Freeze()
	_, err = c.nodes["a"].Execute(ctx, frozen)
	c.check(frozen, err, result.NotRun, 0)
	c.nodes["b"].server.Stop()
	d, _ := c.dir.Daemon("b")
	c.pool.CloseConn(d.Address) // otherwise the call could be written before the closed connection is detected
	unreachable := c.newOrder("b")
	_, err = c.nodes["a"].Execute(ctx, unreachable)
	c.check(unreachable, err, result.Unknown, 0)
	if result.CodeOf(err) != result.PeerUnreachable {
		t.Errorf("unreachable executor: %v", err)
	}
}

// Guards against a key that both the leaving daemon and its successor execute, or
// that neither does, after the acknowledgement of the hand-over was lost.
func TestHandOverWithLostAcknowledgement(t *testing.T) {
	ctx := context.Background()
	c := newCluster(t, "a", "b", "c")
	done := c.newOrder("a")
	_, err := c.nodes["a"].Execute(ctx, done)
	c.check(done, err, result.Ran, 1)
	c.nodes["b"].loseReplies.Store(true)
	if err := c.nodes["a"].HandOver(ctx, "b", c.address("b")); err == nil {
		t.Fatal("the hand-over succeeded although its acknowledgement was lost")
	}
	c.nodes["b"].loseReplies.Store(false)
	if err := c.nodes["a"].HandOver(ctx, "c", c.address("c")); err == nil {
		t.Fatal("a second successor was accepted")
	}
	later := c.newOrder("a")
	for _, via := range []string{"a", "b", "c"} { // c forwards to a, which forwards to b
		_, err = c.nodes[via].Execute(ctx, later)
		c.check(later, err, result.Ran, 1)
		_, err = c.nodes[via].Execute(ctx, done)
		c.check(done, err, result.Ran, 1)
	}
	if err := c.nodes["a"].HandOver(ctx, "b", c.address("b")); err != nil {
		t.Errorf("repeated hand-over: %v", err)
	}
	c.dir.set("a", func(d *Daemon) { d.State, d.Successor = peerv1.MemberState_MEMBER_STATE_LEFT, "b" })
	c.nodes["a"].server.Stop()
	_, err = c.nodes["c"].Execute(ctx, later)
	c.check(later, err, result.Ran, 1)
}

// operation is the result of one call of Execute.
type operation struct {
	body      string // of the response; empty if there is none
	execution result.Execution
}

// orderModel models a key as a register that is set once, by its execution. "Ran"
// returns the only response, "not run" requires that the register is unset, and
// "unknown" may have set it.
var orderModel = (&porcupine.NondeterministicModel{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := make(map[string][]porcupine.Operation)
		for _, op := range history {
			key := op.Input.(string)
			byKey[key] = append(byKey[key], op)
		}
		var parts [][]porcupine.Operation
		for _, ops := range byKey {
			parts = append(parts, ops)
		}
		return parts
	},
	Init: func() []any { return []any{""} },
	Step: func(state, input, output any) []any {
		out, first := output.(operation), input.(string)+"#1"
		switch {
		case out.execution == result.Ran && out.body == first:
			return []any{first}
		case out.execution == result.NotRun && state == "":
			return []any{""}
		case out.execution == result.Unknown:
			return []any{state, first}
		}
		return nil
	},
}).ToModel()

// Guards against contradictory replies to concurrent callers while a ledger is handed
// over and replies are lost.
func TestConcurrentOrdersAreLinearizable(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	var requests []*peerv1.ExecuteOrderRequest
	for i := range 120 {
		requests = append(requests, c.newOrder([]string{"a", "b"}[i%2]))
	}
	start := time.Now()
	history := make([][]porcupine.Operation, 8)
	var wg sync.WaitGroup
	for caller := range history {
		wg.Go(func() {
			for i := range requests {
				r := requests[(i+caller*3)%len(requests)]
				via := c.nodes[[]string{"a", "b", "c"}[(i+caller)%3]]
				call := time.Since(start).Nanoseconds()
				reply, err := via.Execute(context.Background(), r)
				out := operation{execution: result.Ran}
				if err != nil {
					out.execution = result.From(err).Execution
				} else {
					out.body = string(reply.Response.Body)
				}
				history[caller] = append(history[caller], porcupine.Operation{
					ClientId: caller, Input: r.GetKey(), Call: call, Output: out, Return: time.Since(start).Nanoseconds(),
				})
			}
		})
	}
	time.Sleep(5 * time.Millisecond)
	c.nodes["b"].loseReplies.Store(true)
	time.Sleep(2 * time.Millisecond)
	c.nodes["b"].loseReplies.Store(false)
	if err := c.nodes["a"].HandOver(context.Background(), "c", c.address("c")); err != nil {
		t.Error(err)
	}
	c.dir.set("a", func(d *Daemon) { d.Successor = "c" })
	wg.Wait()
	var all []porcupine.Operation
	executions := make(map[result.Execution]int)
	for _, ops := range history {
		for _, op := range ops {
			executions[op.Output.(operation).execution]++
		}
		all = append(all, ops...)
	}
	t.Logf("replies by execution state: %v", executions)
	if got := porcupine.CheckOperationsTimeout(orderModel, all, 20*time.Second); got != porcupine.Ok {
		t.Errorf("porcupine: %v", got)
	}
}

// Guards against orders that get no outcome because of a hand-over. The successor
// executes an order that was not sent yet. It receives the outcome of one that was
// sent, even if the connection of the hand-over has been closed in the meantime.
func TestHandOverOfOrdersInProgress(t *testing.T) {
	// The timeout bounds the wait if the late outcome never arrives.
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	c := newCluster(t, "a", "b")
	started, proceed := make(chan bool, 2), make(chan bool)
	unsent, sent := c.newOrder("a"), c.newOrder("a")
	c.nodes["a"].Send = func(ctx context.Context, r *peerv1.ExecuteOrderRequest, markSent func() error) (*order.Response, bool, bool, error) {
		if r.GetKey() == sent.GetKey() {
			_ = markSent()
			started <- true
			<-proceed
			return c.upstream.execute(r.GetKey()), true, false, nil
		}
		started <- true
		<-proceed
		return c.send(ctx, r, markSent)
	}
	var wg sync.WaitGroup
	execute := func(id string, r *peerv1.ExecuteOrderRequest) {
		wg.Go(func() {
			_, err := c.nodes[id].Execute(ctx, r)
			c.check(r, err, result.Ran, 1)
		})
	}
	execute("a", unsent)
	execute("a", sent)
	<-started
	<-started
	if err := c.nodes["a"].HandOver(ctx, "b", c.address("b")); err != nil {
		t.Fatal(err)
	}
	c.pool.CloseConn(c.address("b"))
	execute("b", sent) // waits for the late outcome
	close(proceed)
	wg.Wait()
	if n := c.nodes["a"].Ledger.Unsettled(); n != 0 {
		t.Errorf("%d outcomes were not reported to the successor", n)
	}
}

// Guards against reporting an outcome as unknown when the executor stops before its
// reply arrives although its successor has the outcome.
func TestLostReplyOfALeavingExecutor(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	c := newCluster(t, "a", "b", "c")
	started, proceed := make(chan bool), make(chan bool)
	c.nodes["a"].Send = func(_ context.Context, r *peerv1.ExecuteOrderRequest, markSent func() error) (*order.Response, bool, bool, error) {
		if err := markSent(); err != nil {
			return nil, false, false, err
		}
		started <- true
		<-proceed
		return c.upstream.execute(r.GetKey()), true, false, nil
	}
	sent := c.newOrder("a")
	var wg sync.WaitGroup
	wg.Go(func() {
		_, err := c.nodes["c"].Execute(ctx, sent)
		c.check(sent, err, result.Ran, 1)
	})
	<-started
	if err := c.nodes["a"].HandOver(ctx, "b", c.address("b")); err != nil {
		t.Fatal(err)
	}
	c.dir.set("a", func(d *Daemon) { d.Successor = "b" })
	c.nodes["a"].loseReplies.Store(true)
	close(proceed)
	wg.Wait()
}
