package engine_test

import (
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/dogwoodrudder/dogwoodrudder/internal/engine"
	"github.com/dogwoodrudder/dogwoodrudder/internal/upstreamhttp"
	"github.com/dogwoodrudder/dogwoodrudder/test/standin/rawreply"
)

const (
	streamHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
	idField    = "X-Request-Id: a\r\n"
	chunk      = `data: {"id":"c","choices":[{"delta":{"content":"x"}}]}` + "\n\n"
)

// Guards against joining the events of a second, late copy of a stream to those of the first
// one, which ended early, and against taking any end of a connection for that of a stream.
func TestStreamOfOneReplyIsTaken(t *testing.T) {
	for name, c := range map[string]struct {
		parts  []string
		chunks int // at most
	}{
		"ends in order":          {[]string{streamHead + "\r\n" + chunk}, 1},
		"ends within [DONE]":     {[]string{streamHead + "\r\n" + chunk, stream[:len(stream)-len("]\n\n")]}, 2},
		"copy":                   {[]string{streamHead + "\r\n" + chunk, streamHead + "\r\n" + stream}, 1},
		"copy at once":           {[]string{streamHead + "\r\n" + chunk + streamHead + "\r\n" + stream}, 1},
		"copy with ID":           {[]string{streamHead + idField + "\r\n" + chunk, streamHead + idField + "\r\n" + stream}, 1},
		"copy with ID, length":   {[]string{streamHead + idField + "\r\n" + chunk, streamHead + idField + "Content-Length: 5\r\n\r\n" + stream}, 1},
		"copy within an event":   {[]string{streamHead + "\r\n" + chunk + chunk[:30], streamHead + "\r\n" + stream}, 1},
		"copy of a longer part":  {[]string{streamHead + "\r\n" + longStream(), streamHead + "\r\n" + stream}, 200},
		"copy in parts":          {[]string{streamHead + "\r\n" + longStream(), streamHead, "\r\n", stream}, 200},
		"copy with ID, in parts": {[]string{streamHead + idField + "\r\n" + longStream(), streamHead[:20], streamHead[20:], idField + "\r\n", stream}, 200},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			chunks, err := streamFrom(t, rawreply.Parts(func(*http.Request) []string { return c.parts }))
			g.Expect(errors.Is(err, engine.ErrIncomplete) || errors.Is(err, engine.ErrFailed)).To(BeTrue(), "%d chunks, %v", chunks, err)
			g.Expect(chunks).To(BeNumerically("<=", c.chunks))
		})
	}
}

// longStream returns 200 chunks, more than hertz reads before it returns the head.
func longStream() string {
	text := ""
	for range 200 {
		text += chunk
	}
	return text
}

// streamFrom streams from an engine.
func streamFrom(t *testing.T, serve func(*net.TCPConn, *http.Request)) (chunks int, err error) {
	t.Helper()
	server, err := rawreply.Start(serve)
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	client, err := upstreamhttp.New(time.Second)
	if err != nil {
		t.Fatal(err)
	}
	call := engine.Call{Address: server.Address(), AttemptID: "a", FirstByteTimeout: time.Second, TokenTimeout: time.Second}
	err = engine.NewOpenAI(client).Stream(t.Context(), call, func(engine.Load) {}, func(engine.Chunk) error {
		chunks++
		return nil
	})
	return chunks, err
}

// Guards against taking a part of a KV cache for the whole, and against refusing JSON replies
// whose end is that of the connection.
func TestRepliesThatEndWithTheConnection(t *testing.T) {
	g := NewWithT(t)
	answer := ""
	server, err := rawreply.Start(rawreply.Whole(func(*http.Request) string { return "HTTP/1.1 200 OK\r\n\r\n" + answer }))
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(server.Close)
	client, err := upstreamhttp.New(time.Second)
	g.Expect(err).NotTo(HaveOccurred())
	openAI := engine.NewOpenAI(client)
	answer = `{"running":3,"waiting":2}`
	load, err := openAI.Load(t.Context(), server.Address())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(load.Running).To(Equal(3))
	_, err = openAI.ExportKV(t.Context(), server.Address(), "a")
	g.Expect(errors.Is(err, engine.ErrFailed)).To(BeTrue(), "%v", err)
	g.Expect(openAI.ImportKV(t.Context(), server.Address(), "a", []byte("x"))).To(Succeed())
	g.Expect(openAI.Control(t.Context(), server.Address(), engine.ControlOrder{Role: "both"})).To(Succeed())
	for _, answer = range []string{"", `{"running":3`} {
		_, err = openAI.Load(t.Context(), server.Address())
		g.Expect(errors.Is(err, engine.ErrFailed)).To(BeTrue(), "%v", err)
		_, err = openAI.ControlState(t.Context(), server.Address())
		g.Expect(errors.Is(err, engine.ErrFailed)).To(BeTrue(), "%v", err)
	}
}
