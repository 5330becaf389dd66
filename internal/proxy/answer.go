package proxy

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/dogwoodrudder/dogwoodrudder/internal/engine"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/result"
)

// Streams reports whether the caller asked for server-sent events.
func (f *Inflight) Streams() bool { return f.chat.stream }

// Attach counts a connected reader; the returned function ends it.
func (p *Proxy) Attach(f *Inflight) func() { return f.attach(p.options.Clock.Now) }

// Whole waits for the end of the answer and returns it as one completion.
func (f *Inflight) Whole(ctx context.Context) ([]byte, error) {
	last := int64(0)
	for {
		progress, err := f.Next(ctx, last)
		if err != nil {
			return nil, result.Wrap(err, result.StreamGone, result.Unknown, "the caller disconnected")
		}
		last += int64(len(progress.Events))
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

type assembledChunk struct {
	Model   string `json:"model"`
	Choices []struct {
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Usage *usage `json:"usage"`
}

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
