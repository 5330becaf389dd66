package apiclient_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/dogwoodrudder/dogwoodrudder/internal/apiclient"
	"github.com/dogwoodrudder/dogwoodrudder/internal/hertzconn"
	"github.com/dogwoodrudder/dogwoodrudder/test/standin/rawreply"
)

// Guards against taking a part of a body without a length for the whole when the daemon
// resets the connection while a long request is still being written.
func TestResetDuringAnUploadIsNoResponse(t *testing.T) {
	g := NewWithT(t)
	server, err := rawreply.Start(rawreply.ResetEarly(func(*http.Request) string { return "HTTP/1.1 200 OK\r\n\r\npart" }))
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(server.Close)
	for _, keepAlive := range []bool{false, true} {
		client, err := apiclient.New("key", keepAlive)
		g.Expect(err).NotTo(HaveOccurred())
		t.Cleanup(client.Close)
		for range 20 {
			response, err := client.Do(t.Context(), server.Address(), apiclient.Request{
				Method: http.MethodPost, Path: "/", Body: []byte(strings.Repeat("x", 16<<20)), Timeout: 5 * time.Second,
			})
			g.Expect(err).To(HaveOccurred(), "%+v", response)
		}
	}
}

// Guards against taking a reply with a malformed head for a response or a stream.
func TestBrokenHeadIsNoResponse(t *testing.T) {
	for name, head := range rawreply.Broken {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			stream := head.Text("Content-Type: text/event-stream\r\n", "id: 1\ndata: x\n\ndata: [DONE]\n\n")
			server, err := rawreply.Start(rawreply.Whole(func(*http.Request) string { return stream }))
			g.Expect(err).NotTo(HaveOccurred())
			t.Cleanup(server.Close)
			client, err := apiclient.New("key", true)
			g.Expect(err).NotTo(HaveOccurred())
			t.Cleanup(client.Close)
			request := apiclient.Request{Method: http.MethodPost, Path: "/", Timeout: time.Second}
			response, err := client.Do(t.Context(), server.Address(), request)
			g.Expect(err).To(HaveOccurred(), "%+v", response)
			_, err = client.Stream(t.Context(), []string{server.Address()}, request, func(apiclient.Event) error {
				t.Error("an event of a broken reply")
				return nil
			})
			g.Expect(err).To(HaveOccurred())
		})
	}
}

// Guards against refusing a head that is unusual but sound, and against taking a body that
// ends with its connection for a whole one: daemons state a length or send chunks.
func TestUnusualHeadIsAResponse(t *testing.T) {
	for name, head := range rawreply.Sound {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			server, err := rawreply.Start(rawreply.Whole(func(*http.Request) string { return head.Text("", "body") }))
			g.Expect(err).NotTo(HaveOccurred())
			t.Cleanup(server.Close)
			client, err := apiclient.New("key", true)
			g.Expect(err).NotTo(HaveOccurred())
			t.Cleanup(client.Close)
			response, err := client.Do(t.Context(), server.Address(), apiclient.Request{Method: http.MethodPost, Path: "/", Timeout: time.Second})
			if head.WithoutLength {
				g.Expect(errors.Is(err, hertzconn.ErrEndsWithConnection)).To(BeTrue(), "%v", err)
				return
			}
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(response.Status).To(Equal(http.StatusOK))
			g.Expect(string(response.Body)).To(Equal("body"))
		})
	}
}
