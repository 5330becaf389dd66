package proxy

import (
	"encoding/json"
	"strings"

	"github.com/pkg/errors"

	"github.com/dogwoodrudder/dogwoodrudder/pkg/result"
)

// chatRequest is a chat completion request. JSON members that the proxy does not
// use are sent to the upstream unchanged.
type chatRequest struct {
	members  map[string]json.RawMessage // all members of the body by name
	messages []chatMessage

	service      string
	stream       bool
	includeUsage bool
	maxTokens    int // 0 means that the caller set no limit
	user         string
	promptBytes  int // total size of the message contents
}

type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// chatMembers holds the members of the body that the proxy uses.
type chatMembers struct {
	Model               string        `json:"model"`
	Messages            []chatMessage `json:"messages"`
	Stream              bool          `json:"stream"`
	N                   *int          `json:"n"`
	MaxTokens           *int          `json:"max_tokens"`
	MaxCompletionTokens *int          `json:"max_completion_tokens"`
	User                string        `json:"user"`
	StreamOptions       struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
}

// badField returns a BadRequest error whose detail names the field.
func badField(field, format string, args ...any) error {
	e := result.New(result.BadRequest, result.NotRun, format, args...)
	e.Detail = "field " + field + ": " + e.Detail
	return e
}

// parseChat decodes and checks the body of a chat completion request.
func parseChat(body []byte) (*chatRequest, error) {
	var m chatMembers
	if err := json.Unmarshal(body, &m); err != nil {
		var typeError *json.UnmarshalTypeError
		if errors.As(err, &typeError) && typeError.Field != "" {
			return nil, badField(typeError.Field, "the value has the wrong type")
		}
		return nil, result.Wrap(err, result.BadRequest, result.NotRun, "the body is not a JSON object")
	}
	if err := m.check(); err != nil {
		return nil, err
	}
	r := &chatRequest{
		messages: m.Messages, service: m.Model, stream: m.Stream,
		includeUsage: m.StreamOptions.IncludeUsage, user: m.User,
	}
	if err := json.Unmarshal(body, &r.members); err != nil {
		return nil, result.Wrap(err, result.BadRequest, result.NotRun, "the body is not a JSON object")
	}
	if m.MaxTokens != nil {
		r.maxTokens = *m.MaxTokens
	}
	if m.MaxCompletionTokens != nil {
		r.maxTokens = *m.MaxCompletionTokens
	}
	for _, message := range m.Messages {
		r.promptBytes += len(message.Content)
	}
	return r, nil
}

// check returns an error that names the first invalid field.
func (m *chatMembers) check() error {
	if m.Model == "" {
		return badField("model", "a service name is required")
	}
	if len(m.Messages) == 0 {
		return badField("messages", "at least one message is required")
	}
	for i, message := range m.Messages {
		if message.Role == "" {
			return badField("messages", "message %d has no role", i)
		}
	}
	if m.N != nil && *m.N != 1 {
		return badField("n", "only one choice is supported")
	}
	for _, n := range []*int{m.MaxTokens, m.MaxCompletionTokens} {
		if n != nil && *n < 1 {
			return badField("max_tokens", "the value must be positive")
		}
	}
	return nil
}

// promptText returns the roles and contents of the messages as one text, of
// which prefix hashes are computed.
func (r *chatRequest) promptText() []byte {
	text := make([]byte, 0, r.promptBytes+16*len(r.messages))
	for _, m := range r.messages {
		text = append(text, m.Role...)
		text = append(text, '\n')
		text = append(text, m.Content...)
		text = append(text, '\n')
	}
	return text
}

// conversationKey identifies a conversation by its first two messages. They stay
// the same when messages are appended.
func (r *chatRequest) conversationKey() string {
	var key strings.Builder
	for i, m := range r.messages {
		if i == 2 {
			break
		}
		key.WriteString(m.Role)
		key.Write(m.Content)
	}
	return key.String()
}

// upstreamBody returns the body of an attempt. emitted is the text that was
// already emitted to the caller, emittedTokens its number of tokens; the engine
// continues after it.
func (r *chatRequest) upstreamBody(model string, priority int, emitted string, emittedTokens int) ([]byte, error) {
	members := make(map[string]any, len(r.members)+6)
	for name, value := range r.members {
		members[name] = value
	}
	members["model"] = model
	members["stream"] = true
	members["stream_options"] = map[string]bool{"include_usage": true}
	members["priority"] = priority
	if emitted != "" {
		text, err := json.Marshal(emitted)
		if err != nil {
			return nil, errors.Wrap(err, "encode emitted text")
		}
		messages := append(append([]chatMessage{}, r.messages...), chatMessage{Role: "assistant", Content: text})
		members["messages"] = messages
		members["continue_final_message"] = true
		members["add_generation_prompt"] = false
	}
	if r.maxTokens > 0 {
		delete(members, "max_completion_tokens")
		members["max_tokens"] = r.maxTokens - emittedTokens
	}
	body, err := json.Marshal(members)
	return body, errors.Wrap(err, "encode upstream request")
}

// completion is the response to a request without streaming.
type completion struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   usage              `json:"usage"`
}

type completionChoice struct {
	Index        int               `json:"index"`
	Message      map[string]string `json:"message"`
	FinishReason string            `json:"finish_reason"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// usageChunk is the last chunk of a stream, with the token counts.
type usageChunk struct {
	ID      string     `json:"id"`
	Object  string     `json:"object"`
	Created int64      `json:"created"`
	Model   string     `json:"model"`
	Choices []struct{} `json:"choices"`
	Usage   usage      `json:"usage"`
}
