package harness

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/dogwoodrudder/dogwoodrudder/internal/apiclient"
	modelengine "github.com/dogwoodrudder/dogwoodrudder/internal/engine"
	"github.com/dogwoodrudder/dogwoodrudder/test/standin/app"
)

// LookUpStock looks up the stock of a unique item, an idempotent operation.
// mismatch describes an answer with status 200 that is malformed or belongs to
// another request; err is a reported failure.
func (c *Cluster) LookUpStock(d *Daemon) (mismatch, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), OrderTimeout)
	defer cancel()
	item, id := uuid.NewString(), uuid.NewString()
	resp, err := c.caller.Do(ctx, d.HTTP, apiclient.Request{
		Method: http.MethodGet, Path: "/app/shop/stock/" + item, Header: map[string]string{"X-Request-Id": id},
		Timeout: OrderTimeout,
	})
	if err != nil {
		return nil, err
	}
	if resp.Status != http.StatusOK {
		return nil, apiclient.Problem(resp.Status, resp.Body)
	}
	var got app.Stock
	if err := json.Unmarshal(resp.Body, &got); err != nil {
		return fmt.Errorf("answer %q: %w", resp.Body, err), nil
	}
	if got.Item != item || got.Count != app.StockOf(item) || resp.RequestID != id {
		return fmt.Errorf("asked for %s, got %s (request %s)", item, resp.Body, resp.RequestID), nil
	}
	return nil, nil
}

// ResumedStream is the answer of GET /v1/requests/{id}.
type ResumedStream struct {
	IDs      []int64 // of the events
	Text     string
	Complete bool // [DONE] was received
}

// Resume asks a daemon for the rest of a stream after the event with ID last.
func (c *Cluster) Resume(d *Daemon, id string, last int64) (ResumedStream, error) {
	ctx, cancel := context.WithTimeout(context.Background(), streamTimeout)
	defer cancel()
	resp, err := c.caller.Do(ctx, d.HTTP, apiclient.Request{
		Method: http.MethodGet, Path: "/v1/requests/" + id, Timeout: streamReadTimeout,
		Header: map[string]string{"Accept": "text/event-stream", "Last-Event-ID": strconv.FormatInt(last, 10)},
	})
	if err != nil {
		return ResumedStream{}, err
	}
	if resp.Status != http.StatusOK {
		return ResumedStream{}, apiclient.Problem(resp.Status, resp.Body)
	}
	if resp.RequestID != id {
		return ResumedStream{}, fmt.Errorf("answer has request ID %q, want %q", resp.RequestID, id)
	}
	var got ResumedStream
	var text strings.Builder
	for _, block := range strings.Split(string(resp.Body), "\n\n") {
		for _, line := range strings.Split(block, "\n") {
			name, value, _ := strings.Cut(line, ":")
			value = strings.TrimPrefix(value, " ")
			switch {
			case name == "id":
				n, err := strconv.ParseInt(value, 10, 64)
				if err != nil {
					return got, err
				}
				got.IDs = append(got.IDs, n)
			case name == "data" && value == "[DONE]":
				got.Complete = true
			case name == "data":
				text.WriteString(modelengine.ContentOf([]byte(value)))
			}
		}
	}
	got.Text = text.String()
	return got, nil
}

// CheckOutput waits for the end of the chat. It returns an error if the chat was
// reported as complete but its output is not, or if the tokens received before a
// failure are not the beginning of the engine's output.
func (chat *Chat) CheckOutput() error {
	<-chat.Done
	if chat.Err == nil {
		return chat.Check()
	}
	received := chat.ChatOptions
	received.Tokens = chat.Received()
	if err := received.CheckText(chat.Text); err != nil {
		return fmt.Errorf("chat %s failed (%w) after wrong output: %w", chat.ID, chat.Err, err)
	}
	return nil
}

// Latency is the time from the start to the end of a chat.
func (chat *Chat) Latency() time.Duration { return chat.Ended.Sub(chat.Started) }
