package proxy

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/dogwoodrudder/dogwoodrudder/internal/engine"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/result"
)

// Streams reports whether the caller asked for a stream of server-sent events
// instead of one response body.
func (f *Inflight) Streams() bool { return f.chat.stream }

// Attach counts a connected reader of f. The returned function must be called
// once when the reader disconnects.
func (p *Proxy) Attach(f *Inflight) func() { return f.attach(p.options.Clock.Now) }

// Completion waits for the end of the request and returns its JSON body for a
// caller that did not ask for a stream.
func (f *Inflight) Completion(ctx context.Context) ([]byte, error) {
	lastID := int64(0)
	for {
		progress, err := f.Next(ctx, lastID)
		if err != nil {
			return nil, result.Wrap(err, result.StreamGone, result.Unknown, "the caller disconnected")
		}
		lastID += int64(len(progress.Events))
		switch {
		case progress.Moved != nil:
			return nil, result.New(result.StreamMoved, result.Unknown,
				"request %s continues on another daemon; ask for /v1/requests/%s there", f.ID, f.ID).WithAddresses(progress.Moved)
		case progress.Failure != nil:
			return nil, progress.Failure
		case progress.Done:
			return f.assemble()
		}
	}
}

// assembledChunk is the part of an emitted chunk that goes into the completion.
type assembledChunk struct {
	Model   string `json:"model"`
	Choices []struct {
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Usage *usage `json:"usage"`
}

// assemble builds one completion from the emitted chunks.
func (f *Inflight) assemble() ([]byte, error) {
	answer := completion{ID: completionID(f.ID), Object: "chat.completion", Created: f.created.Unix(), Model: f.Service}
	var text []byte
	finish := ""
	for _, e := range f.After(0).Events {
		if e.Last {
			break
		}
		text = append(text, engine.ContentOf(e.Data)...)
		var chunk assembledChunk
		if err := json.Unmarshal(e.Data, &chunk); err != nil {
			return nil, errors.Wrap(err, "decode emitted chunk")
		}
		if len(chunk.Choices) > 0 && chunk.Choices[0].FinishReason != nil {
			finish = *chunk.Choices[0].FinishReason
		}
		if chunk.Usage != nil {
			answer.Usage = *chunk.Usage
		}
	}
	answer.Choices = []completionChoice{{
		Message: map[string]string{"role": "assistant", "content": string(text)}, FinishReason: finish,
	}}
	body, err := json.Marshal(answer)
	return body, errors.Wrap(err, "encode completion")
}
