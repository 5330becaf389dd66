package cli

import (
	"bytes"
	"context"
	"net"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/network/standard"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestCLI(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "cli")
}

// fakeDaemon starts an HTTP server with the routes and returns its address.
func fakeDaemon(routes func(*server.Hertz)) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	h := server.New(server.WithListener(listener), server.WithTransport(standard.NewTransporter),
		server.WithExitWaitTime(10*time.Millisecond))
	routes(h)
	go func() { _ = h.Run() }()
	DeferCleanup(func() { _ = h.Close() })
	return listener.Addr().String()
}

// unusedAddress returns an address at which nothing listens.
func unusedAddress() string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

// run runs rudderctl and returns its exit code, standard output and standard error.
func run(args ...string) (int, string, string) {
	var out, errOut bytes.Buffer
	code := Run(context.Background(), args, &out, &errOut)
	return code, out.String(), errOut.String()
}
