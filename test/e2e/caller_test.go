package e2e

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/dogwoodrudder/dogwoodrudder/internal/engine"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/client"
	"github.com/dogwoodrudder/dogwoodrudder/test/harness"
)

// readAll returns the text of a stream and the number of its events.
func readAll(s *client.Stream) (text string, events int64, err error) {
	defer s.Close()
	var b strings.Builder
	for {
		event, err := s.Next()
		if errors.Is(err, io.EOF) {
			return b.String(), events, nil
		}
		if err != nil {
			return b.String(), events, err
		}
		if events++; event.ID != events {
			return b.String(), events, fmt.Errorf("event ID %d, want %d", event.ID, events)
		}
		b.WriteString(engine.ContentOf(event.Data))
	}
}

// Guards against a client library that closes and resumes a connection on which
// events still arrive because the stream takes longer than IdleTimeout.
func TestCallerLibraryKeepsConnection(t *testing.T) {
	t.Parallel()
	c := harness.New(t, harness.Options{Daemons: 1, DataCentres: 1, Apps: 1})
	caller, err := client.New(client.Options{
		Addresses: harness.Addresses(c.Daemons...), Key: harness.CallerKey, IdleTimeout: 700 * time.Millisecond,
	})
	if err != nil {
		t.Fatal(err)
	}
	defer caller.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	asked, body := harness.ChatBody(harness.ChatOptions{Tokens: 600})
	stream, err := caller.Stream(ctx, client.Request{Path: "/v1/chat/completions", Body: body, RequestID: asked.ID,
		Header: http.Header{"Content-Type": []string{"application/json"}}})
	if err != nil {
		t.Fatal(err)
	}
	text, events, err := readAll(stream)
	if err != nil {
		t.Fatalf("after %d events: %v", events, err)
	}
	if err := asked.CheckText(text); err != nil {
		t.Error(err)
	}
	if n := c.Metric(c.Daemons[0], "rudder_stream_resumes_total"); n != 0 {
		t.Errorf("the stream was resumed %g times", n)
	}
}

// Guards against lost or repeated events when a daemon stops during a stream: the
// client library must resume the stream at the daemon that continues it.
func TestCallerLibraryFollowsStop(t *testing.T) {
	t.Parallel()
	c := harness.New(t, harness.Options{Apps: 1, Settings: map[string]string{"daemon.drain_timeout": "2s"}})
	caller, err := client.New(client.Options{Addresses: harness.Addresses(c.Daemons...), Key: harness.CallerKey})
	if err != nil {
		t.Fatal(err)
	}
	defer caller.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	results := make(chan error, 8)
	for range cap(results) {
		go func() {
			asked, body := harness.ChatBody(harness.ChatOptions{Tokens: longTokens})
			stream, err := caller.Stream(ctx, client.Request{Path: "/v1/chat/completions", Body: body, RequestID: asked.ID,
				Header: http.Header{"Content-Type": []string{"application/json"}}})
			if err != nil {
				results <- err
				return
			}
			text, _, err := readAll(stream)
			if err == nil {
				err = asked.CheckText(text)
			}
			results <- err
		}()
	}
	time.Sleep(500 * time.Millisecond)
	for _, d := range c.Daemons[:3] {
		d.Terminate()
	}
	for range cap(results) {
		if err := <-results; err != nil {
			t.Error(err)
		}
	}
}
