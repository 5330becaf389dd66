// Package etcdv3 implements store.Store over the etcd v3 gRPC API. Each
// connection goes to one IP address; name resolution, load balancing and retries
// of gRPC are disabled.
package etcdv3

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"

	etcdpb "github.com/dogwoodrudder/dogwoodrudder/api/etcd"
	"github.com/dogwoodrudder/dogwoodrudder/internal/store"
)

// DefaultTimeout bounds a call whose context has no deadline.
const DefaultTimeout = 2 * time.Second

const (
	maxMessageBytes  = 64 << 20         // a list of the whole configuration must fit into one reply
	keepaliveTime    = 10 * time.Second // etcd disconnects clients that ping more often than every 5 s
	keepaliveTimeout = 3 * time.Second
	minBackoff       = 50 * time.Millisecond
	maxBackoff       = 5 * time.Second
	backoffJitter    = 0.5
)

// Options configure a Client.
type Options struct {
	// Addresses are the ip:port pairs of the store's endpoints. One is used at
	// a time; the next one is tried after a call found the endpoint unavailable.
	Addresses []string
	// Timeout bounds calls without a deadline; 0 means DefaultTimeout.
	Timeout time.Duration
	// MinBackoff and MaxBackoff bound the delay between two attempts to
	// connect or to restart a watch; 0 means 50 ms and 5 s.
	MinBackoff, MaxBackoff time.Duration
	// DialOptions are added to the defaults, for example transport credentials.
	DialOptions []grpc.DialOption
}

// Client is a store.Store that uses one endpoint at a time. It is safe for
// concurrent use.
type Client struct {
	options Options

	mu      sync.Mutex
	current int                // index of the endpoint in use
	conns   []*grpc.ClientConn // by index of Options.Addresses; nil until used
	closed  bool
}

var _ store.Store = (*Client)(nil)

var errClosed = errors.Wrap(store.ErrUnavailable, "store client is closed")

// New returns a client. It does not connect before the first call.
func New(options Options) (*Client, error) {
	if len(options.Addresses) == 0 {
		return nil, errors.New("no store address is configured")
	}
	for _, address := range options.Addresses {
		if _, err := netip.ParseAddrPort(address); err != nil {
			return nil, errors.Wrapf(err, "store address %q is not ip:port", address)
		}
	}
	if options.Timeout <= 0 {
		options.Timeout = DefaultTimeout
	}
	if options.MinBackoff <= 0 {
		options.MinBackoff = minBackoff
	}
	if options.MaxBackoff <= 0 {
		options.MaxBackoff = maxBackoff
	}
	return &Client{options: options, conns: make([]*grpc.ClientConn, len(options.Addresses))}, nil
}

func (c *Client) dialOptions() []grpc.DialOption {
	options := []grpc.DialOption{
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDisableServiceConfig(),
		grpc.WithDisableRetry(),
		grpc.WithNoProxy(),
		grpc.WithStatsHandler(sentTracker{}),
		grpc.WithDefaultCallOptions(
			grpc.MaxCallRecvMsgSize(maxMessageBytes),
			grpc.MaxCallSendMsgSize(maxMessageBytes),
		),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveTime, Timeout: keepaliveTimeout}),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff: backoff.Config{
				BaseDelay: c.options.MinBackoff, Multiplier: 1.6,
				Jitter: backoffJitter, MaxDelay: c.options.MaxBackoff,
			},
			MinConnectTimeout: c.options.Timeout,
		}),
	}
	return append(options, c.options.DialOptions...)
}

// conn returns the connection in use and its index.
func (c *Client) conn() (*grpc.ClientConn, int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, 0, errClosed
	}
	i := c.current
	if c.conns[i] == nil {
		// The passthrough scheme keeps gRPC from resolving names.
		conn, err := grpc.NewClient("passthrough:///"+c.options.Addresses[i], c.dialOptions()...)
		if err != nil {
			return nil, i, errors.Wrapf(err, "create connection to store %s", c.options.Addresses[i])
		}
		c.conns[i] = conn
	}
	return c.conns[i], i, nil
}

// failOver switches from endpoint i to the next one, unless another call already
// did.
func (c *Client) failOver(i int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current == i {
		c.current = (i + 1) % len(c.conns)
	}
}

// Close implements store.Store.
func (c *Client) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	var first error
	for i, conn := range c.conns {
		if conn == nil {
			continue
		}
		if err := conn.Close(); err != nil && first == nil {
			first = err
		}
		c.conns[i] = nil
	}
	return errors.Wrap(first, "close store connection")
}

// call runs f with a deadline, translates its error and fails over if the endpoint
// didn't answer. write tells whether f may change the store.
func (c *Client) call(ctx context.Context, name string, write bool, f func(context.Context, *grpc.ClientConn) error) error {
	conn, i, err := c.conn()
	if err != nil {
		return err
	}
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.options.Timeout)
		defer cancel()
	}
	ctx, sent := trackSent(ctx)
	err = translate(f(ctx, conn), name, write, sent)
	if errors.Is(err, store.ErrUnavailable) || errors.Is(err, store.ErrOutcomeUnknown) {
		c.failOver(i)
	}
	return err
}

// Get implements store.Store.
func (c *Client) Get(ctx context.Context, key string) (store.KeyValue, error) {
	result := store.KeyValue{Key: key}
	err := c.call(ctx, "get", false, func(ctx context.Context, conn *grpc.ClientConn) error {
		response, err := etcdpb.NewKVClient(conn).Range(ctx, &etcdpb.RangeRequest{Key: []byte(key)})
		if err == nil && len(response.Kvs) > 0 {
			result = fromWire(response.Kvs[0])
		}
		return err
	})
	return result, err
}

// List implements store.Store.
func (c *Client) List(ctx context.Context, prefix string) ([]store.KeyValue, int64, error) {
	var entries []store.KeyValue
	var revision int64
	err := c.call(ctx, "list", false, func(ctx context.Context, conn *grpc.ClientConn) error {
		key, end := prefixRange(prefix)
		response, err := etcdpb.NewKVClient(conn).Range(ctx, &etcdpb.RangeRequest{Key: key, RangeEnd: end})
		if err != nil {
			return err
		}
		revision = response.Header.GetRevision()
		entries = make([]store.KeyValue, 0, len(response.Kvs))
		for _, kv := range response.Kvs {
			entries = append(entries, fromWire(kv))
		}
		return nil
	})
	return entries, revision, err
}

// Txn implements store.Store.
func (c *Client) Txn(ctx context.Context, conditions []store.Condition, ops []store.Op) (store.TxnResult, error) {
	var result store.TxnResult
	request := txnRequest(conditions, ops)
	err := c.call(ctx, "txn", len(ops) > 0, func(ctx context.Context, conn *grpc.ClientConn) error {
		response, err := etcdpb.NewKVClient(conn).Txn(ctx, request)
		if err == nil {
			result = txnResult(conditions, response)
		}
		return err
	})
	return result, err
}

func txnResult(conditions []store.Condition, response *etcdpb.TxnResponse) store.TxnResult {
	result := store.TxnResult{Succeeded: response.Succeeded, Revision: response.Header.GetRevision()}
	if response.Succeeded {
		return result
	}
	for i, condition := range conditions {
		entry := store.KeyValue{Key: condition.Key}
		if i < len(response.Responses) {
			if kvs := response.Responses[i].GetResponseRange().GetKvs(); len(kvs) > 0 {
				entry = fromWire(kvs[0])
			}
		}
		result.Current = append(result.Current, entry)
	}
	return result
}

// Grant implements store.Store. The time to live is rounded up to whole
// seconds, the unit of the protocol.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	var id store.LeaseID
	seconds := int64((ttl + time.Second - 1) / time.Second)
	err := c.call(ctx, "grant", true, func(ctx context.Context, conn *grpc.ClientConn) error {
		response, err := etcdpb.NewLeaseClient(conn).LeaseGrant(ctx, &etcdpb.LeaseGrantRequest{TTL: seconds})
		if err == nil {
			id = store.LeaseID(response.ID)
		}
		return err
	})
	return id, err
}

// KeepAlive implements store.Store.
func (c *Client) KeepAlive(ctx context.Context, id store.LeaseID) (time.Duration, error) {
	var ttl time.Duration
	err := c.call(ctx, "keepalive", true, func(ctx context.Context, conn *grpc.ClientConn) error {
		var err error
		ttl, err = renew(ctx, conn, int64(id))
		return err
	})
	if err == nil && ttl <= 0 {
		err = errors.Wrapf(store.ErrLeaseExpired, "keepalive of lease %x", int64(id))
	}
	return ttl, err
}

// renew renews a lease. It opens a stream for a single request, so that the
// context's deadline applies to the renewal.
func renew(ctx context.Context, conn *grpc.ClientConn, id int64) (time.Duration, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := etcdpb.NewLeaseClient(conn).LeaseKeepAlive(ctx)
	if err != nil {
		return 0, err
	}
	// A failed Send returns io.EOF; Recv returns the cause.
	if err := stream.Send(&etcdpb.LeaseKeepAliveRequest{ID: id}); err == nil {
		_ = stream.CloseSend()
	}
	response, err := stream.Recv()
	if err != nil {
		return 0, err
	}
	return time.Duration(response.TTL) * time.Second, nil
}

// Revoke implements store.Store.
func (c *Client) Revoke(ctx context.Context, id store.LeaseID) error {
	return c.call(ctx, "revoke", true, func(ctx context.Context, conn *grpc.ClientConn) error {
		_, err := etcdpb.NewLeaseClient(conn).LeaseRevoke(ctx, &etcdpb.LeaseRevokeRequest{ID: int64(id)})
		return err
	})
}
