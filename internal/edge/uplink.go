package edge

import (
	"context"
	"net"

	"github.com/pkg/errors"

	"github.com/dogwoodrudder/dogwoodrudder/internal/exchange"
	"github.com/dogwoodrudder/dogwoodrudder/internal/uplink"
)

// buildPool builds the pool of connections to instances and the monitor of the links to
// them.
func (d *Daemon) buildPool() *exchange.Pool {
	config := exchange.Config{DialTimeout: dialTimeout, AckTimeout: ackTimeout, IdleTimeout: instanceIdleTimeout}
	d.dialInstance = func(ctx context.Context, address string) (net.Conn, error) {
		return exchange.Dial(ctx, address, exchange.Config{DialTimeout: dialTimeout, AckTimeout: ackTimeout})
	}
	config.Dial = func(ctx context.Context, address string) (net.Conn, error) { return d.dialInstance(ctx, address) }
	d.links = uplink.New(uplink.Config{Log: d.log, Sample: d.instances.Sample, Connect: d.tryInstance})
	config.Links = d.links
	return exchange.NewPool(config)
}

// tryInstance connects to an instance directly and closes the connection.
func (d *Daemon) tryInstance(ctx context.Context, address string) error {
	c, err := d.dialInstance(ctx, address)
	if err != nil {
		return err
	}
	return errors.Wrap(c.Close(), "close connection")
}
