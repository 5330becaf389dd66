package engine

import (
	"bytes"
	"net/http"
	"strings"

	"github.com/dogwoodrudder/dogwoodrudder/test/standin/fault"
)

const doneMarker = "[DONE]"

type delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

type chunkChoice struct {
	Index        int     `json:"index"`
	Delta        delta   `json:"delta"`
	FinishReason *string `json:"finish_reason"`
}

// Usage counts the tokens of a response.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
	Details          struct {
		CachedTokens int `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

type chunkBody struct {
	ID          string        `json:"id"`
	Object      string        `json:"object"`
	Created     int64         `json:"created"`
	Model       string        `json:"model"`
	Fingerprint string        `json:"system_fingerprint"` // the version
	Choices     []chunkChoice `json:"choices"`
	Usage       *Usage        `json:"usage,omitempty"`
}

type plainChoice struct {
	Index   int `json:"index"`
	Message struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	} `json:"message"`
	FinishReason *string `json:"finish_reason"`
}

type plainBody struct {
	ID          string        `json:"id"`
	Object      string        `json:"object"`
	Created     int64         `json:"created"`
	Model       string        `json:"model"`
	Fingerprint string        `json:"system_fingerprint"`
	Choices     []plainChoice `json:"choices"`
	Usage       Usage         `json:"usage"`
}

// responseID derives the completion's ID from the request ID.
func (j *job) responseID() string { return "chatcmpl-" + j.id }

func (j *job) usage() *Usage {
	u := &Usage{PromptTokens: j.seq.prompt, CompletionTokens: len(j.seq.output)}
	u.TotalTokens = u.PromptTokens + u.CompletionTokens
	u.Details.CachedTokens = j.seq.cached
	return u
}

// newChunk returns a chunk without choices.
func (j *job) newChunk() chunkBody {
	return chunkBody{
		ID: j.responseID(), Object: "chat.completion.chunk", Created: now(),
		Model: j.request.Model, Fingerprint: j.version, Choices: []chunkChoice{},
	}
}

func (j *job) chunk(d delta, finish string) []byte {
	body := j.newChunk()
	choice := chunkChoice{Delta: d}
	if finish != "" {
		choice.FinishReason = &finish
	}
	body.Choices = []chunkChoice{choice}
	return encode(body)
}

// finalEvents returns the events after the last token.
func (j *job) finalEvents() [][]byte {
	events := [][]byte{j.chunk(delta{}, j.finish)}
	if j.request.StreamOptions.IncludeUsage {
		body := j.newChunk()
		body.Usage = j.usage()
		events = append(events, encode(body))
	}
	return append(events, []byte(doneMarker))
}

// earlyEndEvents returns the events that follow the last token when the
// response is ended early, by the kind of early end.
func (j *job) earlyEndEvents() [][]byte {
	switch j.faults.EndKind {
	case fault.EarlyEndBody:
		return nil
	case fault.EarlyEndDone:
		return [][]byte{[]byte(doneMarker)}
	}
	return [][]byte{j.chunk(delta{}, "stop"), []byte(doneMarker)}
}

func (j *job) plainReply(text string) *fault.Reply {
	choice := plainChoice{FinishReason: &j.finish}
	choice.Message.Role, choice.Message.Content = "assistant", text
	body := plainBody{
		ID: j.responseID(), Object: "chat.completion", Created: now(),
		Model: j.request.Model, Fingerprint: j.version,
		Choices: []plainChoice{choice}, Usage: *j.usage(),
	}
	return &fault.Reply{
		Status: http.StatusOK, ContentType: "application/json", RequestID: j.id, Body: encode(body),
	}
}

// wholeReply returns the complete response, which the late and crossed faults
// send to another request.
func (j *job) wholeReply() *fault.Reply {
	if !j.request.Stream {
		return j.plainReply(strings.Join(j.seq.output, ""))
	}
	var b bytes.Buffer
	write := func(data []byte) {
		b.WriteString("data: ")
		b.Write(data)
		b.WriteString("\n\n")
	}
	for _, token := range j.seq.output {
		write(j.chunk(delta{Content: token}, ""))
	}
	for _, data := range j.finalEvents() {
		write(data)
	}
	return &fault.Reply{
		Status: http.StatusOK, ContentType: "text/event-stream; charset=utf-8", RequestID: j.id, Body: b.Bytes(),
	}
}
