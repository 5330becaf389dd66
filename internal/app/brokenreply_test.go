package app_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"golang.org/x/net/http/httpguts"

	"github.com/dogwoodrudder/dogwoodrudder/internal/app"
	"github.com/dogwoodrudder/dogwoodrudder/internal/upstreamhttp"
	"github.com/dogwoodrudder/dogwoodrudder/test/standin/rawreply"
)

func newClient(t *testing.T) *app.HTTP {
	t.Helper()
	client, err := upstreamhttp.New(time.Second)
	if err != nil {
		t.Fatal(err)
	}
	return app.NewHTTP(client, 1<<20)
}

// Guards against taking a part of a body without a length for the whole when the service
// resets the connection while a long request is still being written.
func TestResetDuringAnUploadIsNoAnswer(t *testing.T) {
	g := NewWithT(t)
	client := newClient(t)
	for _, status := range []string{"200 OK", "400 Bad Request", "500 Failed"} {
		server, err := rawreply.Start(rawreply.ResetEarly(func(*http.Request) string { return "HTTP/1.1 " + status + "\r\n\r\npart" }))
		g.Expect(err).NotTo(HaveOccurred())
		t.Cleanup(server.Close)
		for range 20 {
			reply, outcome, err := client.Call(t.Context(), app.Call{
				Address: server.Address(), AttemptID: "a", Method: http.MethodPost, Path: "/",
				Body: []byte(strings.Repeat("x", 16<<20)), Timeout: 5 * time.Second,
			})
			g.Expect(outcome).To(Equal(app.Lost), "%s: status %d, body %q", status, reply.Status, reply.Body)
			g.Expect(err).To(HaveOccurred())
		}
	}
}

// call makes a call to a service that answers with a text.
func call(t *testing.T, text string) (app.Reply, app.Outcome, error) {
	t.Helper()
	server, err := rawreply.Start(rawreply.Whole(func(*http.Request) string { return text }))
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	return newClient(t).Call(t.Context(), app.Call{
		Address: server.Address(), AttemptID: "a", Method: http.MethodPost, Path: "/", Timeout: time.Second,
	})
}

// Guards against passing on a reply with a malformed head, and against taking one that says
// that the call was refused for a refusal.
func TestBrokenHeadIsNoAnswer(t *testing.T) {
	for name, head := range rawreply.Broken {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			reply, outcome, err := call(t, head.Text(upstreamhttp.HeaderRefused+": busy\r\n", "body"))
			g.Expect(outcome).To(Equal(app.Lost), "%+v", reply)
			g.Expect(err).To(HaveOccurred())
		})
	}
}

// Guards against refusing a head that is unusual but sound.
func TestUnusualHeadIsAnAnswer(t *testing.T) {
	for name, head := range rawreply.Sound {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			reply, outcome, err := call(t, head.Text("", "body"))
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(outcome).To(Equal(app.Answered))
			g.Expect(reply.Status).To(Equal(http.StatusOK))
			g.Expect(string(reply.Body)).To(Equal("body"))
			for _, header := range reply.Headers {
				g.Expect(httpguts.ValidHeaderFieldName(header.Name)).To(BeTrue(), "%q", header)
				if header.Name == "X-Folded" {
					value := strings.Join(strings.Fields(header.Value), " ")
					g.Expect(value).To(BeElementOf("a", "a b c: d"))
				}
			}
		})
	}
}

// Guards against trailers that reach the caller, malformed or not, and against one that
// changes the body.
func TestTrailersAreNotForwarded(t *testing.T) {
	for _, trailer := range []string{"X-Sound: 1", "X Trouble: 1", "X-Trouble : 1", "X-\x01: 1", "X-Trouble: \x00", "Content-Length: 1", "X-Trouble"} {
		t.Run(trailer, func(t *testing.T) {
			g := NewWithT(t)
			reply, outcome, _ := call(t, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n"+trailer+"\r\n\r\n")
			g.Expect(outcome).To(BeElementOf(app.Answered, app.Lost))
			if outcome == app.Answered || trailer == "X-Sound: 1" {
				g.Expect(string(reply.Body)).To(Equal("body"))
				for _, header := range reply.Headers {
					g.Expect(strings.ToLower(header.Name)).NotTo(Or(HavePrefix("x"), Equal("content-length")))
				}
			}
		})
	}
}

// Guards against refusing a long head, and against header lines without end.
func TestLengthOfAHeadIsLimited(t *testing.T) {
	g := NewWithT(t)
	line := "X-Long: " + strings.Repeat("v", 1<<10) + "\r\n"
	reply, outcome, err := call(t, rawreply.Head{Lines: strings.Repeat(line, 900)}.Text("", "body"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(outcome).To(Equal(app.Answered))
	g.Expect(string(reply.Body)).To(Equal("body"))
	_, outcome, err = call(t, rawreply.Head{Lines: strings.Repeat(line, 1100)}.Text("", "body"))
	g.Expect(err).To(HaveOccurred())
	g.Expect(outcome).To(Equal(app.Lost))
}
