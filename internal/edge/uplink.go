package edge

import (
	"context"
	"net"

	"github.com/pkg/errors"

	"github.com/dogwoodrudder/dogwoodrudder/internal/exchange"
	"github.com/dogwoodrudder/dogwoodrudder/internal/tunnel"
	"github.com/dogwoodrudder/dogwoodrudder/internal/uplink"
)

// tunnelDescriptorShare is the share of the descriptors that tunnels of other daemons may
// use. Each takes two.
const tunnelDescriptorShare = 1.0 / 4

// buildPool builds the pool of connections to instances, the monitor of the links to them,
// and both ends of the tunnels through other daemons.
func (d *Daemon) buildPool() *exchange.Pool {
	config := exchange.Config{DialTimeout: dialTimeout, AckTimeout: ackTimeout, IdleTimeout: instanceIdleTimeout}
	d.dialInstance = func(ctx context.Context, address string) (net.Conn, error) {
		return exchange.Dial(ctx, address, config)
	}
	dialInstance := func(ctx context.Context, address string) (net.Conn, error) { return d.dialInstance(ctx, address) }
	var pool *exchange.Pool
	d.links = uplink.New(uplink.Config{
		Log: d.log, Sample: d.instances.Sample, Connect: d.tryInstance, OnChange: func() { pool.CloseUnusable() },
	})
	d.tunnels = tunnel.NewServer(tunnel.ServerConfig{
		Dial: dialInstance, Links: d.links, Known: d.instances.Owns,
		Accepts: func() bool { return !d.draining.Load() },
		Limit:   int(tunnelDescriptorShare * float64(d.settings.Descriptors) / 2),
	})
	client := tunnel.NewClient(tunnel.ClientConfig{
		Dial: func(ctx context.Context, address string) (*net.TCPConn, error) {
			return exchange.Dial(ctx, address, config)
		},
		Peers: d.members.tunnelPeers,
	})
	pooled := config
	pooled.Dial, pooled.Links, pooled.Detour = dialInstance, d.links, client.Dial
	pool = exchange.NewPool(pooled)
	return pool
}

// tryInstance connects to an instance directly and closes the connection.
func (d *Daemon) tryInstance(ctx context.Context, address string) error {
	c, err := d.dialInstance(ctx, address)
	if err != nil {
		return err
	}
	return errors.Wrap(c.Close(), "close connection")
}

// tunnelPeers returns the daemons that accept tunnels, in proportion to the capacity of
// their machines.
func (m *members) tunnelPeers() []tunnel.Peer {
	var peers []tunnel.Peer
	for _, other := range m.reachable() {
		if other.Tunnels != "" {
			peers = append(peers, tunnel.Peer{Address: other.Tunnels, Weight: other.capacity()})
		}
	}
	return peers
}

// listenForTunnels opens the listener for tunnels, if one is configured.
func (d *Daemon) listenForTunnels() error {
	address := d.settings.TunnelsAddress
	if address == "" {
		return nil
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, "listen for tunnels")
	}
	go func() {
		if err := d.tunnels.Serve(listener); !errors.Is(err, net.ErrClosed) {
			d.log.Error("listener failed", "address", address, "error", err)
		}
	}()
	d.tunnelListener = listener
	return nil
}
