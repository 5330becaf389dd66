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

// dutyKey is the store key of the coordinator duty. Its holder coordinates the
// other daemons and performs the single-writer duties.
const dutyKey = ownPrefix + "duty/coordinator"

// holderID returns the identity that a holder writes into dutyKey.
func holderID(name, address string) string { return name + "@" + address }

// holderAddress returns the coordinator address in the value of dutyKey, which
// begins with a holderID and a space.
func holderAddress(value string) string {
	id, _, _ := strings.Cut(value, " ")
	_, address, _ := strings.Cut(id, "@")
	return address
}

// coordinatorLink provides clients of the current coordinator and of its
// deputy, in this process or another.
type coordinatorLink struct {
	log     *slog.Logger
	self    string // coordinator address of this daemon
	members *members
	local   coordinatorv1.CoordinatorServer
	peers   *peer.Pool
	// vacated receives an item when dutyKey is deleted.
	vacated chan struct{}
	// dial returns a client of another daemon.
	dial func(address string) (coordinatorv1.CoordinatorClient, error)

	mu           sync.Mutex
	holder       string                   // coordinator address; empty if unknown
	lastHolder   string                   // the latest known holder
	changedAt    time.Duration            // time of the last call of setHolder
	avoidedUntil map[string]time.Duration // by coordinator address, until when it is not chosen as deputy or reader
}

// deputyAvoidTime is the time for which a daemon that didn't answer is not chosen as
// deputy. It is about the time in which a new coordinator is found.
const deputyAvoidTime = 3 * time.Second

// lastHolderChange returns the time at which the holder of the duty last
// changed. While the duty is vacant, that is when it became vacant.
func (l *coordinatorLink) lastHolderChange() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changedAt
}

// lostHolder returns the latest known holder, which may no longer be one, unless it is
// this daemon.
func (l *coordinatorLink) lostHolder() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lastHolder == l.self {
		return ""
	}
	return l.lastHolder
}

func (l *coordinatorLink) setHolder(address string) {
	l.mu.Lock()
	old := l.holder
	l.holder = address
	if address != "" {
		l.lastHolder = address
	}
	l.changedAt = bootclock.Now()
	l.mu.Unlock()
	if address == "" {
		select {
		case l.vacated <- struct{}{}:
		default:
		}
	}
	if old != "" && old != address && old != l.self {
		l.peers.CloseConn(old)
	}
}

// Coordinator implements coordination.Link.
func (l *coordinatorLink) Coordinator() (coordinatorv1.CoordinatorClient, bool) {
	l.mu.Lock()
	address := l.holder
	l.mu.Unlock()
	if address == "" {
		return nil, false
	}
	return l.client(address)
}

func (l *coordinatorLink) client(address string) (coordinatorv1.CoordinatorClient, bool) {
	if address == l.self {
		return localClient{l.local}, true
	}
	client, err := l.dial(address)
	if err != nil {
		l.log.Warn("daemon not reached", "address", address, "error", err)
		return nil, false
	}
	return client, true
}

// dialPeer returns a client over a pooled connection.
func (l *coordinatorLink) dialPeer(address string) (coordinatorv1.CoordinatorClient, error) {
	conn, err := l.peers.Conn(address)
	if err != nil {
		return nil, err
	}
	return coordinatorv1.NewCoordinatorClient(conn), nil
}

// Deputy implements coordination.Link. It chooses the daemon with the largest CPU
// share. The latest coordinator is excluded, because a deputy is needed only when
// that one doesn't answer.
func (l *coordinatorLink) Deputy() (coordinatorv1.CoordinatorClient, string, bool) {
	candidates := append(l.members.others(), l.members.self)
	now := bootclock.Now()
	l.mu.Lock()
	candidates = slices.DeleteFunc(candidates, func(m member) bool {
		return m.Coordinator == l.lastHolder || l.avoidedUntil[m.Coordinator] > now
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
func (l *coordinatorLink) AvoidDeputy(address string) { l.avoid(address, deputyAvoidTime) }

// avoid excludes the daemon at address from the choice of deputies and readers.
func (l *coordinatorLink) avoid(address string, duration time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := bootclock.Now()
	maps.DeleteFunc(l.avoidedUntil, func(_ string, until time.Duration) bool { return until <= now })
	l.avoidedUntil[address] = now + duration
}

// avoided reports whether avoid applies to the daemon at address.
func (l *coordinatorLink) avoided(address string, now time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.avoidedUntil[address] > now
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

// Follow implements coordinatorv1.CoordinatorClient.
func (c localClient) Follow(ctx context.Context, r *coordinatorv1.FollowRequest, _ ...grpc.CallOption) (*coordinatorv1.FollowResponse, error) {
	return c.server.Follow(ctx, r)
}
