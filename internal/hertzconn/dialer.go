package hertzconn

import (
	"crypto/tls"
	"net"
	"time"

	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/pkg/errors"
)

// ErrNotConnected means that no connection was established, so that no byte of
// the request was sent.
var ErrNotConnected = errors.New("no connection")

// NewDialer returns a dialer whose connections are wrapped by Wrap and whose
// errors wrap ErrNotConnected. The errors of hertz itself don't distinguish a
// failed dial from a failed write.
func NewDialer() network.Dialer { return dialer{standard.NewDialer()} }

// dialer implements network.Dialer.
type dialer struct{ network.Dialer }

func (d dialer) DialConnection(netw, address string, timeout time.Duration, cfg *tls.Config) (network.Conn, error) {
	conn, err := d.Dialer.DialConnection(netw, address, timeout, cfg)
	if err != nil {
		return nil, errors.Wrapf(ErrNotConnected, "dial %s: %v", address, err)
	}
	return Wrap(conn), nil
}

func (d dialer) DialTimeout(netw, address string, timeout time.Duration, cfg *tls.Config) (net.Conn, error) {
	conn, err := d.Dialer.DialTimeout(netw, address, timeout, cfg)
	if err != nil {
		return nil, errors.Wrapf(ErrNotConnected, "dial %s: %v", address, err)
	}
	return conn, nil
}
