package edge

import (
	"cmp"
	"context"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"google.golang.org/grpc"

	coordinatorv1 "github.com/dogwoodrudder/dogwoodrudder/api/coordinator/v1"
	"github.com/dogwoodrudder/dogwoodrudder/internal/bootclock"
	"github.com/dogwoodrudder/dogwoodrudder/internal/peer"
)

// dutyKey is held by the daemon that coordinates the others and performs the
// single-writer duties.
const dutyKey = ownPrefix + "duty/coordinator"

// holderID is the identity that a holder writes into the duty's key.
func holderID(name, address string) string { return name + "@" + address }

// holderAddress returns the coordinator address in the value of the duty's key.
func holderAddress(value string) string {
	id, _, _ := strings.Cut(value, " ")
	_, address, _ := strings.Cut(id, "@")
	return address
}

// link reaches the current coordinator, in this process or another.
type link struct {
	log     *slog.Logger
	self    string // coordinator address of this daemon
	members *members
	local   coordinatorv1.CoordinatorServer
	peers   *peer.Pool
	// vacant gets an item when the duty's key was deleted.
	vacant chan struct{}

	mu     sync.Mutex
	holder string                   // coordinator address; empty if unknown
	last   string                   // the holder before it became unknown
	since  time.Duration            // when the holder changed
	doubts map[string]time.Duration // until when a deputy is passed over
}

// doubtTime is the time for which a deputy that didn't answer is passed over:
// about that of finding a coordinator.
const doubtTime = 3 * time.Second

// vacantSince returns when the duty became vacant, or when it last changed hands.
func (l *link) vacantSince() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.since
}

func (l *link) setHolder(address string) {
	l.mu.Lock()
	old := l.holder
	l.holder = address
	if address != "" {
		l.last = address
	}
	l.since = bootclock.Now()
	l.mu.Unlock()
	if address == "" {
		select {
		case l.vacant <- struct{}{}:
		default:
		}
	}
	if old != "" && old != address && old != l.self {
		l.peers.Forget(old)
	}
}

// Coordinator implements coordination.Link.
func (l *link) Coordinator() (coordinatorv1.CoordinatorClient, bool) {
	l.mu.Lock()
	address := l.holder
	l.mu.Unlock()
	if address == "" {
		return nil, false
	}
	return l.client(address)
}

func (l *link) client(address string) (coordinatorv1.CoordinatorClient, bool) {
	if address == l.self {
		return localClient{l.local}, true
	}
	conn, err := l.peers.Conn(address)
	if err != nil {
		l.log.Warn("daemon not reached", "address", address, "error", err)
		return nil, false
	}
	return coordinatorv1.NewCoordinatorClient(conn), true
}

// Deputy implements coordination.Link. The machine that can carry most comes
// first. The latest coordinator is left out, because it is missed.
func (l *link) Deputy() (coordinatorv1.CoordinatorClient, string, bool) {
	candidates := append(l.members.list(), l.members.self)
	now := bootclock.Now()
	l.mu.Lock()
	candidates = slices.DeleteFunc(candidates, func(m member) bool {
		return m.Coordinator == l.last || l.doubts[m.Coordinator] > now
	})
	l.mu.Unlock()
	if len(candidates) == 0 {
		return nil, "", false
	}
	chosen := slices.MinFunc(candidates, func(a, b member) int {
		return cmp.Or(cmp.Compare(b.CPUShare, a.CPUShare), cmp.Compare(a.Name, b.Name))
	})
	client, ok := l.client(chosen.Coordinator)
	return client, chosen.Coordinator, ok
}

// AvoidDeputy implements coordination.Link.
func (l *link) AvoidDeputy(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := bootclock.Now()
	maps.DeleteFunc(l.doubts, func(_ string, until time.Duration) bool { return until <= now })
	l.doubts[address] = now + doubtTime
}

// localClient calls the coordinator in the same process.
type localClient struct {
	server coordinatorv1.CoordinatorServer
}

// Report implements coordinatorv1.CoordinatorClient.
func (c localClient) Report(ctx context.Context, r *coordinatorv1.ReportRequest, _ ...grpc.CallOption) (*coordinatorv1.ReportResponse, error) {
	return c.server.Report(ctx, r)
}

// Borrow implements coordinatorv1.CoordinatorClient.
func (c localClient) Borrow(ctx context.Context, r *coordinatorv1.BorrowRequest, _ ...grpc.CallOption) (*coordinatorv1.BorrowResponse, error) {
	return c.server.Borrow(ctx, r)
}

// BorrowPooled implements coordinatorv1.CoordinatorClient.
func (c localClient) BorrowPooled(ctx context.Context, r *coordinatorv1.BorrowRequest, _ ...grpc.CallOption) (*coordinatorv1.BorrowResponse, error) {
	return c.server.BorrowPooled(ctx, r)
}
