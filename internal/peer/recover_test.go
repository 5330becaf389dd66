package peer_test

import (
	"context"
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	coordinatorv1 "github.com/dogwoodrudder/dogwoodrudder/api/coordinator/v1"
	"github.com/dogwoodrudder/dogwoodrudder/internal/peer"
)

// panicking panics on reports that name no daemon.
type panicking struct {
	coordinatorv1.UnimplementedCoordinatorServer
}

func (panicking) Report(_ context.Context, r *coordinatorv1.ReportRequest) (*coordinatorv1.ReportResponse, error) {
	if r.Daemon == "" {
		panic("no daemon")
	}
	return &coordinatorv1.ReportResponse{Token: 1}, nil
}

// Guards against one odd message that ends the process of the daemon that gets it.
func TestPanicOfAHandlerEndsOnlyItsCall(t *testing.T) {
	g := NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	server := grpc.NewServer(peer.ServerOptions()...)
	coordinatorv1.RegisterCoordinatorServer(server, panicking{})
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Stop)
	pool := peer.NewPool(time.Minute, time.Now)
	conn, err := pool.Conn(listener.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { pool.CloseConn(listener.Addr().String()) })
	client := coordinatorv1.NewCoordinatorClient(conn)
	_, err = client.Report(t.Context(), &coordinatorv1.ReportRequest{})
	g.Expect(status.Code(err)).To(Equal(codes.Internal))
	response, err := client.Report(t.Context(), &coordinatorv1.ReportRequest{Daemon: "one"})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(response.Token).To(Equal(int64(1)))
}
