package tunnel

import (
	"bufio"
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"

	"github.com/dogwoodrudder/dogwoodrudder/internal/exchange"
)

const (
	// maxPeers is the maximum number of daemons that are asked for one tunnel.
	maxPeers = 3
	// answerTimeout bounds the answer of a daemon, which connects to the instance first.
	answerTimeout = connectTimeout + 100*time.Millisecond
	// avoidTime is the time for which a daemon isn't asked that gave no tunnel for a reason
	// that doesn't depend on the instance.
	avoidTime = time.Second
)

// Peer is a daemon that accepts tunnels.
type Peer struct {
	Address string  // ip:port
	Weight  float64 // part of the tunnels that it gets, relative to other daemons
}

// ClientConfig holds the parameters of a Client.
type ClientConfig struct {
	// Dial connects to a daemon.
	Dial func(ctx context.Context, address string) (*net.TCPConn, error)
	// Peers returns the other daemons.
	Peers func() []Peer
}

// Client opens tunnels. It is safe for concurrent use.
type Client struct {
	config ClientConfig

	mu      sync.Mutex
	avoided map[string]time.Time // address of a daemon to the end of avoidTime
}

// NewClient returns a client without tunnels.
func NewClient(config ClientConfig) *Client {
	return &Client{config: config, avoided: map[string]time.Time{}}
}

// errUnavailable means that a daemon gives no tunnel to any instance, errUnknown that it
// doesn't know the instance.
var (
	errUnavailable = errors.New("daemon gives no tunnel")
	errUnknown     = errors.New("daemon doesn't know the instance")
)

// Dial connects to an instance through another daemon. Read of the connection returns io.EOF
// only if the instance has ended its connection in order. The errors of Dial wrap exchange.ErrNotSent;
// exchange.ErrRefused if the machine of the instance refused the connection, and
// exchange.ErrLinksLost if no daemon gave a tunnel.
func (c *Client) Dial(ctx context.Context, address string) (exchange.DetourConn, error) {
	candidates := c.candidates()
	last := errors.New("no daemon to ask")
	for range min(maxPeers, len(candidates)) {
		if ctx.Err() != nil {
			break
		}
		var peer string
		peer, candidates = choose(candidates)
		conn, err := c.dialThrough(ctx, peer, address)
		if err == nil {
			count("open")
			return conn, nil
		}
		last = err
		switch {
		case errors.Is(err, errUnavailable):
			c.avoid(peer)
		case !errors.Is(err, errUnknown):
			count("failed")
			return nil, err
		}
	}
	count("unavailable")
	return nil, errors.Wrapf(exchange.ErrLinksLost, "tunnel: %v", last)
}

func count(end string) {
	metrics.GetOrCreateCounter(`rudder_tunnels_total{end="` + end + `"}`).Inc()
}

// candidates returns the daemons that are not avoided.
func (c *Client) candidates() []Peer {
	peers := c.config.Peers()
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for address, until := range c.avoided {
		if now.After(until) {
			delete(c.avoided, address)
		}
	}
	candidates := peers[:0:0]
	for _, p := range peers {
		if _, avoided := c.avoided[p.Address]; !avoided {
			candidates = append(candidates, p)
		}
	}
	return candidates
}

func (c *Client) avoid(peer string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.avoided[peer] = time.Now().Add(avoidTime)
}

// choose picks a daemon at random by weight, and returns the others.
func choose(candidates []Peer) (string, []Peer) {
	total := 0.0
	for _, p := range candidates {
		total += p.Weight
	}
	at := rand.Float64() * total
	chosen := len(candidates) - 1
	for i, p := range candidates {
		if at -= p.Weight; at < 0 {
			chosen = i
			break
		}
	}
	others := append(append([]Peer{}, candidates[:chosen]...), candidates[chosen+1:]...)
	return candidates[chosen].Address, others
}

// dialThrough opens a tunnel through one daemon.
func (c *Client) dialThrough(ctx context.Context, peer, address string) (*clientConn, error) {
	conn, err := c.config.Dial(ctx, peer)
	if err != nil {
		return nil, errors.Wrapf(errUnavailable, "%v", err)
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	buffer := bufio.NewReaderSize(conn, copyBytes+chunkOverhead)
	status, framed, err := request(conn, buffer, address)
	if !stop() {
		err = errors.Wrapf(exchange.ErrNotSent, "tunnel: %v", ctx.Err())
		return nil, err
	}
	switch {
	case err != nil:
		err = errors.Wrapf(errUnavailable, "%v", err)
	case status == http.StatusOK:
		return newClientConn(conn, buffer, framed), nil
	case status == http.StatusBadGateway:
		err = errors.Wrapf(exchange.ErrRefused, "tunnel through %s", peer)
	case status == http.StatusServiceUnavailable:
		err = errors.Wrapf(errUnavailable, "%s", peer)
	case status == http.StatusForbidden:
		err = errors.Wrapf(errUnknown, "%s", peer)
	default:
		err = errors.Wrapf(exchange.ErrNotSent, "tunnel through %s: status %d", peer, status)
	}
	_ = conn.Close()
	return nil, err
}

// request asks for a tunnel. It reads the head of the response from buffer, which reads from
// conn, and reports whether the bytes of the instance are framed.
func request(conn net.Conn, buffer *bufio.Reader, address string) (status int, framed bool, err error) {
	if err := conn.SetDeadline(time.Now().Add(answerTimeout)); err != nil {
		return 0, false, errors.Wrap(err, "set deadline")
	}
	head := "CONNECT " + address + " HTTP/1.1\r\nHost: " + address + "\r\n" +
		framingHeader + ": " + framingChunked + "\r\n\r\n"
	if _, err := conn.Write([]byte(head)); err != nil {
		return 0, false, errors.Wrap(err, "write")
	}
	response, err := http.ReadResponse(buffer, &http.Request{Method: http.MethodConnect})
	if err != nil {
		return 0, false, errors.Wrap(err, "read")
	}
	framed = response.Header.Get(framingHeader) == framingChunked
	return response.StatusCode, framed, errors.Wrap(conn.SetDeadline(time.Time{}), "set deadline")
}
