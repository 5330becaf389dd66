package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"

	"github.com/pkg/errors"

	"github.com/dogwoodrudder/dogwoodrudder/internal/apiclient"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/result"
)

const (
	pathChat = "/v1/chat/completions"
	// maxRedirects is the maximum number of times that a request which was handed
	// over is followed to another daemon.
	maxRedirects = 10
)

type chatCmd struct {
	Service    string `required:"" help:"Service that generates the answer."`
	Prompt     string `help:"Text of the request." xor:"prompt" required:""`
	PromptFile string `help:"File with the text of the request; - reads standard input." xor:"prompt" required:""`
	MaxTokens  int    `help:"Maximum number of generated tokens; 0 means no limit."`
	Stream     bool   `help:"Print the answer while it is generated."`
	Session    string `help:"Session of the request; the requests of a session prefer the same upstream."`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type chatBody struct {
	Model     string        `json:"model"`
	Messages  []chatMessage `json:"messages"`
	MaxTokens int           `json:"max_tokens,omitempty"`
	Stream    bool          `json:"stream,omitempty"`
}

// chatResponse has the printed fields of a completion (Message) and of a chunk of
// a stream (Delta).
type chatResponse struct {
	Choices []struct {
		Message chatMessage `json:"message"`
		Delta   chatMessage `json:"delta"`
	} `json:"choices"`
}

func (c *chatCmd) Run(ctx context.Context, g *Globals) error {
	r, err := c.request()
	if err != nil {
		return err
	}
	client, timeout, err := g.client()
	if err != nil {
		return err
	}
	r.Timeout = timeout
	if c.Stream {
		return g.streamChat(ctx, client, r)
	}
	resp, err := sendWithFailover(ctx, client, g.Address, r, true)
	for redirects := 0; err == nil && redirects < maxRedirects; redirects++ {
		e := apiclient.Problem(resp.Status, resp.Body)
		if resp.Status < http.StatusMultipleChoices || e.Code != result.StreamMoved || len(e.Addresses) == 0 {
			break
		}
		redirected := apiclient.Request{Method: http.MethodGet, Path: "/v1/requests/" + url.PathEscape(resp.RequestID), Timeout: timeout}
		resp, err = sendWithFailover(ctx, client, e.Addresses, redirected, true)
	}
	if err != nil {
		return err
	}
	return g.printChat(resp)
}

func (c *chatCmd) request() (apiclient.Request, error) {
	if c.MaxTokens < 0 {
		return apiclient.Request{}, result.New(result.BadRequest, result.NotRun, "--max-tokens: %d is negative", c.MaxTokens)
	}
	prompt := c.Prompt
	if c.PromptFile != "" {
		data, err := readFile(c.PromptFile)
		if err != nil {
			return apiclient.Request{}, err
		}
		prompt = string(data)
	}
	body, err := json.Marshal(chatBody{
		Model: c.Service, Messages: []chatMessage{{Role: "user", Content: prompt}},
		MaxTokens: c.MaxTokens, Stream: c.Stream,
	})
	r := apiclient.Request{Method: http.MethodPost, Path: pathChat, Body: body, ContentType: contentTypeJSON, Header: map[string]string{}}
	if c.Session != "" {
		r.Header["X-Session-Id"] = c.Session
	}
	return r, errors.Wrap(err, "encode request")
}

// streamChat prints the text of each event, or with -o json each event on a line
// of its own.
func (g *Globals) streamChat(ctx context.Context, client *apiclient.Client, r apiclient.Request) error {
	printed := false
	end, err := client.Stream(ctx, g.Address, r, func(e apiclient.Event) error {
		if g.Output == "json" {
			_, err := fmt.Fprintf(g.out, `{"id":%q,"data":%s}`+"\n", e.ID, e.Data)
			return err
		}
		var chunk chatResponse
		if err := json.Unmarshal(e.Data, &chunk); err != nil {
			return errors.Wrapf(err, "decode event %s", e.ID)
		}
		for _, choice := range chunk.Choices {
			printed = printed || choice.Delta.Content != ""
			if _, err := io.WriteString(g.out, choice.Delta.Content); err != nil {
				return err
			}
		}
		return nil
	})
	if printed {
		_, _ = fmt.Fprintln(g.out)
	}
	if err != nil && end.RequestID != "" {
		return errors.WithMessagef(err, "request %s after event %s", end.RequestID, end.LastEventID)
	}
	return err
}

func (g *Globals) printChat(resp *apiclient.Response) error {
	if resp.Status >= http.StatusMultipleChoices {
		return apiclient.Problem(resp.Status, resp.Body)
	}
	if g.Output == "json" {
		_, err := fmt.Fprintf(g.out, "%s\n", resp.Body)
		return err
	}
	var response chatResponse
	if err := json.Unmarshal(resp.Body, &response); err != nil {
		return errors.Wrap(err, "decode response")
	}
	for _, choice := range response.Choices {
		if _, err := fmt.Fprintln(g.out, choice.Message.Content); err != nil {
			return err
		}
	}
	return nil
}
