package edge

import (
	"context"

	"github.com/pkg/errors"

	"github.com/dogwoodrudder/dogwoodrudder/internal/exchange"
	"github.com/dogwoodrudder/dogwoodrudder/internal/uplink"
)

// buildPool builds the pool of connections to instances and the monitor of the links to
// them.
func (d *Daemon) buildPool() *exchange.Pool {
	config := exchange.Config{DialTimeout: dialTimeout, AckTimeout: ackTimeout, IdleTimeout: instanceIdleTimeout}
	d.links = uplink.New(uplink.Config{
		Log: d.log, Sample: d.instances.Sample,
		Connect: func(ctx context.Context, address string) error {
			c, err := exchange.Dial(ctx, address, config)
			if err != nil {
				return err
			}
			return errors.Wrap(c.Close(), "close connection")
		},
	})
	config.Links = d.links
	return exchange.NewPool(config)
}
