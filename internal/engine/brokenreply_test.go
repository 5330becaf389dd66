package engine_test

import (
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/dogwoodrudder/dogwoodrudder/internal/engine"
	"github.com/dogwoodrudder/dogwoodrudder/internal/upstreamhttp"
	"github.com/dogwoodrudder/dogwoodrudder/test/standin/rawreply"
)

const stream = `data: {"id":"c","choices":[{"delta":{"content":"x"},"finish_reason":"stop"}],"usage":{"prompt_tokens":1,"completion_tokens":1}}` +
	"\n\ndata: [DONE]\n\n"

// streamOf streams from an engine that answers with a text.
func streamOf(t *testing.T, text string) (chunks int, err error) {
	t.Helper()
	server, err := rawreply.Start(rawreply.Whole(func(*http.Request) string { return text }))
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

// Guards against taking a reply with a malformed head for a completion, a refusal or a
// rejection of the request.
func TestBrokenHeadIsNoCompletion(t *testing.T) {
	for name, head := range rawreply.Broken {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			for _, fields := range []string{"", upstreamhttp.HeaderRefused + ": busy\r\n"} {
				chunks, err := streamOf(t, head.Text("Content-Type: text/event-stream\r\n"+fields, stream))
				g.Expect(errors.Is(err, engine.ErrFailed)).To(BeTrue(), "%v", err)
				g.Expect(chunks).To(BeZero())
			}
		})
	}
}

// Guards against refusing a head that is unusual but sound.
func TestUnusualHeadBeginsACompletion(t *testing.T) {
	for name, head := range rawreply.Sound {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			chunks, err := streamOf(t, head.Text("Content-Type: text/event-stream\r\n", stream))
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(chunks).To(Equal(1))
		})
	}
}
