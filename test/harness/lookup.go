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

// Stock looks up the stock of a unique item, which is idempotent. wrong is an
// answer that was passed off as whole but belongs to another request; err is a
// reported failure.
func (c *Cluster) Stock(d *Daemon) (wrong, err error) {
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

// Resumed is what GET /v1/requests/{id} answered.
type Resumed struct {
	IDs   []int64
	Text  string
	Whole bool
}

// Resume asks a daemon for the rest of a stream after the event with ID last.
func (c *Cluster) Resume(d *Daemon, id string, last int64) (Resumed, error) {
	ctx, cancel := context.WithTimeout(context.Background(), streamTimeout)
	defer cancel()
	resp, err := c.caller.Do(ctx, d.HTTP, apiclient.Request{
		Method: http.MethodGet, Path: "/v1/requests/" + id, Timeout: streamReadTimeout,
		Header: map[string]string{"Accept": "text/event-stream", "Last-Event-ID": strconv.FormatInt(last, 10)},
	})
	if err != nil {
		return Resumed{}, err
	}
	if resp.Status != http.StatusOK {
		return Resumed{}, apiclient.Problem(resp.Status, resp.Body)
	}
	if resp.RequestID != id {
		return Resumed{}, fmt.Errorf("the answer names request %q instead of %q", resp.RequestID, id)
	}
	var got Resumed
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
				got.Whole = true
			case name == "data":
				text.WriteString(modelengine.ContentOf([]byte(value)))
			}
		}
	}
	got.Text = text.String()
	return got, nil
}

// Wrong returns an error if a chat that has ended was passed off as whole
// without being so, or if what it received before a failure is not the
// beginning of the engine's output.
func (chat *Chat) Wrong() error {
	<-chat.Done
	if chat.Err == nil {
		return chat.Check()
	}
	whole := chat.ChatOptions
	whole.Tokens = chat.Received()
	if err := whole.CheckText(chat.Text); err != nil {
		return fmt.Errorf("chat %s failed (%w) after wrong output: %w", chat.ID, chat.Err, err)
	}
	return nil
}

// Latency is the time from the start to the end of a chat.
func (chat *Chat) Latency() time.Duration { return chat.Ended.Sub(chat.Started) }
