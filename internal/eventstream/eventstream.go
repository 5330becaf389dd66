// Package eventstream reads server-sent events from a hertz response.
package eventstream

import (
	"context"
	"io"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/sse"
	"github.com/pkg/errors"
)

// Read passes the events of resp to f until the stream ends, f returns an
// error or ctx ends. The event is valid only during the call of f. Read returns
// nil if the stream ends without an error.
//
// Read doesn't use Reader.ForEach of hertz, which doesn't wait for its goroutine.
// If ctx ends directly after ForEach has returned, the goroutine may close the
// connection of a later request, because hertz reuses the body streams of
// responses.
func Read(ctx context.Context, resp *protocol.Response, maxEventBytes int, f func(*sse.Event) error) error {
	reader, err := sse.NewReader(resp)
	if err != nil {
		return errors.Wrap(err, "read event stream")
	}
	reader.SetMaxBufferSize(maxEventBytes)
	defer closeWhenDone(ctx, resp)()
	e := sse.NewEvent()
	defer e.Release()
	for {
		err := reader.Read(e)
		if errors.Is(err, io.EOF) {
			return ctx.Err()
		}
		if err != nil {
			return errors.Wrap(err, "read event stream")
		}
		if err := f(e); err != nil {
			return err
		}
	}
}

// closeWhenDone closes the connection of resp when ctx ends, so that reads return.
// The returned function cancels this, and waits if the connection is being closed.
func closeWhenDone(ctx context.Context, resp *protocol.Response) func() {
	closed := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(closed)
		if body, ok := resp.BodyStream().(interface{ ForceClose() error }); ok {
			_ = body.ForceClose()
		}
	})
	return func() {
		if !stop() {
			<-closed
		}
	}
}
