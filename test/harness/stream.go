package harness

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"github.com/dogwoodrudder/dogwoodrudder/internal/apiclient"
	modelengine "github.com/dogwoodrudder/dogwoodrudder/internal/engine"
	"github.com/dogwoodrudder/dogwoodrudder/test/standin/engine"
)

const (
	// streamReadTimeout bounds the wait for one event of a stream.
	streamReadTimeout = 8 * time.Second
	// streamTimeout bounds a whole chat.
	streamTimeout = 45 * time.Second
	chatPath      = "/v1/chat/completions"
)

// ChatOptions describe a streamed chat completion.
type ChatOptions struct {
	ID     string // X-Request-Id; generated if empty
	Prompt string // unique prompt if empty
	Tokens int    // exact length of the answer; default 40
}

// Chat is a streamed chat completion and what the caller received of it.
type Chat struct {
	ChatOptions
	Started time.Time
	Done    chan struct{}
	// The fields below are valid when Done is closed.
	Text  string
	IDs   []int64 // of the events
	End   apiclient.StreamEnd
	Err   error
	Ended time.Time

	tokens atomic.Int64
}

func (o ChatOptions) messages() []engine.Message {
	return []engine.Message{engine.Text("user", o.Prompt)}
}

func (o ChatOptions) withDefaults() ChatOptions {
	if o.ID == "" {
		o.ID = uuid.NewString()
	}
	if o.Prompt == "" {
		o.Prompt = "Assess the provenance of piece " + uuid.NewString()
	}
	if o.Tokens == 0 {
		o.Tokens = 40
	}
	return o
}

func (o ChatOptions) body(stream bool) []byte {
	body, _ := json.Marshal(map[string]any{ // strings and numbers can always be encoded
		"model": "appraisal", "messages": o.messages(), "stream": stream,
		"max_tokens": o.Tokens, "ignore_eos": true,
	})
	return body
}

// ChatBody sets the defaults of the options and returns them with the body of a
// streamed request.
func ChatBody(o ChatOptions) (ChatOptions, []byte) {
	o = o.withDefaults()
	return o, o.body(true)
}

// Addresses returns the HTTP addresses of daemons.
func Addresses(daemons ...*Daemon) []string {
	list := make([]string, len(daemons))
	for i, d := range daemons {
		list[i] = d.HTTP
	}
	return list
}

// StartChat streams a chat completion in the background. The caller uses the
// first daemon that answers, and resumes the stream at any of the daemons.
func (c *Cluster) StartChat(o ChatOptions, daemons ...*Daemon) *Chat {
	chat := &Chat{ChatOptions: o.withDefaults(), Started: time.Now(), Done: make(chan struct{})}
	go func() {
		defer close(chat.Done)
		ctx, cancel := context.WithTimeout(context.Background(), streamTimeout)
		defer cancel()
		var text strings.Builder
		chat.End, chat.Err = c.caller.Stream(ctx, Addresses(daemons...), apiclient.Request{
			Method: http.MethodPost, Path: chatPath, Body: chat.body(true), ContentType: "application/json",
			Header:  map[string]string{"X-Request-Id": chat.ID, "Accept": "text/event-stream"},
			Timeout: streamReadTimeout,
		}, func(e apiclient.Event) error { return chat.receive(e, &text) })
		chat.Text, chat.Ended = text.String(), time.Now()
	}()
	return chat
}

func (chat *Chat) receive(e apiclient.Event, text *strings.Builder) error {
	id, err := strconv.ParseInt(e.ID, 10, 64)
	if err != nil {
		return fmt.Errorf("event ID %q: %w", e.ID, err)
	}
	chat.IDs = append(chat.IDs, id)
	if content := modelengine.ContentOf(e.Data); content != "" {
		text.WriteString(content)
		chat.tokens.Add(int64(strings.Count(content, " ")))
	}
	return nil
}

// Received returns the number of tokens received so far.
func (chat *Chat) Received() int { return int(chat.tokens.Load()) }

// WaitTokens waits until each chat has received n tokens or has ended.
func (c *Cluster) WaitTokens(n int, chats ...*Chat) {
	c.T.Helper()
	for _, chat := range chats {
		c.Wait(fmt.Sprintf("%d tokens of chat %s", n, chat.ID), streamReadTimeout, func() error {
			select {
			case <-chat.Done:
				return nil
			default:
			}
			if chat.Received() < n {
				return fmt.Errorf("%d tokens", chat.Received())
			}
			return nil
		})
	}
}

// Check waits for the end of the chat. It returns an error unless the answer
// is exactly the engine's output, with consecutive event IDs.
func (chat *Chat) Check() error {
	<-chat.Done
	fail := func(format string, args ...any) error {
		return fmt.Errorf("chat %s after %s (%d of %d tokens, %d resumptions): %w", chat.ID,
			chat.Ended.Sub(chat.Started).Round(time.Millisecond), chat.Received(), chat.Tokens,
			chat.End.Resumptions, fmt.Errorf(format, args...))
	}
	if chat.Err != nil {
		return fail("%w", chat.Err)
	}
	if !chat.End.Whole {
		return fail("stream ended without [DONE]")
	}
	for i, id := range chat.IDs {
		if i > 0 && id != chat.IDs[i-1]+1 {
			return fail("event %d follows event %d, want %d", id, chat.IDs[i-1], chat.IDs[i-1]+1)
		}
	}
	if err := chat.CheckText(chat.Text); err != nil {
		return fail("%w", err)
	}
	return nil
}

// CheckText returns an error that names the first token that differs from the
// engine's output.
func (o ChatOptions) CheckText(text string) error {
	want, err := engine.Output(o.messages(), o.Tokens)
	if err != nil {
		return err
	}
	if text == strings.Join(want, "") {
		return nil
	}
	got := strings.SplitAfter(strings.ReplaceAll(text, " ", "\n "), "\n")
	for i, token := range want {
		if i+1 >= len(got) || strings.TrimSuffix(got[i+1], "\n") != token {
			return fmt.Errorf("token %d differs: got %q, want %q", i, got[min(i+1, len(got)-1)], token)
		}
	}
	return fmt.Errorf("answer has %d tokens too many", len(got)-1-len(want))
}

// CompleteChat requests a chat completion without streaming from one daemon. It
// returns the options with their defaults set and the text.
func (c *Cluster) CompleteChat(d *Daemon, o ChatOptions) (ChatOptions, string, error) {
	o = o.withDefaults()
	ctx, cancel := context.WithTimeout(context.Background(), streamTimeout)
	defer cancel()
	resp, err := c.caller.Do(ctx, d.HTTP, apiclient.Request{
		Method: http.MethodPost, Path: chatPath, Body: o.body(false), ContentType: "application/json",
		Header: map[string]string{"X-Request-Id": o.ID}, Timeout: streamTimeout,
	})
	if err != nil {
		return o, "", err
	}
	if resp.Status != http.StatusOK {
		return o, "", apiclient.Problem(resp.Status, resp.Body)
	}
	var answer struct {
		Choices []struct {
			Message struct {
				Content string `json:"content"`
			} `json:"message"`
		} `json:"choices"`
	}
	if err := json.Unmarshal(resp.Body, &answer); err != nil || len(answer.Choices) != 1 {
		return o, "", fmt.Errorf("completion %s: %w", resp.Body, err)
	}
	return o, answer.Choices[0].Message.Content, nil
}

// Load keeps a fixed number of short chats in progress.
type Load struct {
	stop  chan struct{}
	group sync.WaitGroup
	mu    sync.Mutex
	chats []*Chat
}

// StartLoad starts n callers. Until Stop, each sends short chats one after
// another; each chat tries the daemons from a random one on.
func (c *Cluster) StartLoad(n int, daemons ...*Daemon) *Load {
	load := &Load{stop: make(chan struct{})}
	for range n {
		load.group.Go(func() {
			for {
				select {
				case <-load.stop:
					return
				default:
				}
				first := c.Random(len(daemons))
				order := append(append([]*Daemon{}, daemons[first:]...), daemons[:first]...)
				chat := c.StartChat(ChatOptions{}, order...)
				<-chat.Done
				load.mu.Lock()
				load.chats = append(load.chats, chat)
				load.mu.Unlock()
				time.Sleep(pollInterval)
			}
		})
	}
	return load
}

// Stop ends the load and returns the chats.
func (l *Load) Stop() []*Chat {
	close(l.stop)
	l.group.Wait()
	return l.chats
}

// CheckChats waits for the chats. It fails the test if an answer is incomplete or
// wrong, and returns the number of such answers.
func (c *Cluster) CheckChats(chats ...*Chat) int {
	c.T.Helper()
	failed := 0
	for _, chat := range chats {
		if err := chat.Check(); err != nil {
			if failed++; failed <= 5 {
				c.T.Error(err)
			}
		}
	}
	if failed > 0 {
		c.T.Errorf("%d of %d answers are incomplete or wrong", failed, len(chats))
	}
	return failed
}
