// Package decisionlog provides an asynchronous log/slog handler that never blocks
// its callers. Lines are queued in a bounded ring buffer. Lines are dropped and
// counted when the ring is full. Lines of successful requests are also dropped when
// the ring is half full or when they exceed their rate limit.
package decisionlog

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/time/rate"

	"github.com/dogwoodrudder/dogwoodrudder/pkg/ring"
)

const (
	// ringCapacity is the maximum number of queued lines, of about 300 bytes each.
	ringCapacity = 4096
	// maxDepthForSuccess is the number of queued lines above which lines of
	// successful requests are dropped. The rest of the ring is reserved for other
	// lines, such as failures and refusals.
	maxDepthForSuccess = ringCapacity / 2
	// maxSuccessRate, in lines per second, and maxSuccessBurst limit the lines of
	// successful requests. Formatting and writing a line takes about 5 µs, so this
	// rate costs 0.1% of a core.
	maxSuccessRate  = 200
	maxSuccessBurst = 400
	// dropReportInterval is the interval of the log lines about dropped lines.
	dropReportInterval = 5 * time.Second
	// maxBatchBytes is the batch size at which queued lines are written.
	maxBatchBytes = 32 << 10
)

// KeyCode is the key of the attribute with the result code of a request; 0 means
// success.
const KeyCode = "code"

// Log owns the ring and writes its lines to the output.
type Log struct {
	out     io.Writer
	lines   *ring.Ring[[]byte]
	limiter *rate.Limiter
	dropped *metrics.Counter
}

// New returns a log that writes to out when Run is called.
func New(out io.Writer) *Log {
	return &Log{
		out: out, lines: ring.New[[]byte]("log", ringCapacity, ring.DropNewest),
		limiter: rate.NewLimiter(maxSuccessRate, maxSuccessBurst),
		dropped: metrics.GetOrCreateCounter("rudder_log_lines_dropped_total"),
	}
}

// Logger returns a logger whose records are queued as lines of key=value pairs.
func (l *Log) Logger(level slog.Level) *slog.Logger {
	return slog.New(&handler{log: l, level: level})
}

// Run writes queued lines until ctx ends, and then the remaining ones.
func (l *Log) Run(ctx context.Context) error {
	ticker := time.NewTicker(dropReportInterval)
	defer ticker.Stop()
	reported := l.dropped.Get()
	for {
		select {
		case <-ctx.Done():
			l.flush(nil)
			return nil
		case line := <-l.lines.C():
			l.flush(line)
		case <-ticker.C:
			if dropped := l.dropped.Get(); dropped > reported {
				l.Logger(slog.LevelWarn).Warn("log lines dropped", "count", dropped-reported)
				reported = dropped
			}
		}
	}
}

// flush writes a line and all queued lines, in batches.
func (l *Log) flush(line []byte) {
	var batch bytes.Buffer
	batch.Write(line)
	for {
		select {
		case next := <-l.lines.C():
			batch.Write(next)
			if batch.Len() < maxBatchBytes {
				continue
			}
			l.write(&batch)
			continue
		default:
		}
		l.write(&batch)
		return
	}
}

func (l *Log) write(batch *bytes.Buffer) {
	if _, err := l.out.Write(batch.Bytes()); err != nil {
		l.dropped.Inc()
	}
	batch.Reset()
}

// handler is a slog.Handler that formats records and puts them into the ring.
type handler struct {
	log   *Log
	level slog.Level
	attrs []slog.Attr
}

// Enabled implements slog.Handler.
func (h *handler) Enabled(_ context.Context, level slog.Level) bool { return level >= h.level }

var buffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// Handle implements slog.Handler.
func (h *handler) Handle(ctx context.Context, record slog.Record) error {
	if isSuccess(record) && (h.log.lines.Depth() > maxDepthForSuccess || !h.log.limiter.Allow()) {
		h.log.dropped.Inc()
		return nil
	}
	buffer := buffers.Get().(*bytes.Buffer)
	buffer.Reset()
	defer buffers.Put(buffer)
	text := slog.NewTextHandler(buffer, &slog.HandlerOptions{Level: h.level, ReplaceAttr: errorWithoutStack}).WithAttrs(h.attrs)
	if err := text.Handle(ctx, record); err != nil {
		return err
	}
	if !h.log.lines.Put(ctx, bytes.Clone(buffer.Bytes())) {
		h.log.dropped.Inc()
	}
	return nil
}

// errorWithoutStack replaces an error by its message, without the stack trace.
func errorWithoutStack(_ []string, a slog.Attr) slog.Attr {
	if err, ok := a.Value.Any().(error); ok {
		a.Value = slog.StringValue(err.Error())
	}
	return a
}

// isSuccess reports whether the record is about a successful request.
func isSuccess(record slog.Record) bool {
	success := false
	record.Attrs(func(a slog.Attr) bool {
		if a.Key == KeyCode {
			success = a.Value.Kind() == slog.KindInt64 && a.Value.Int64() == 0
			return false
		}
		return true
	})
	return success
}

// WithAttrs implements slog.Handler.
func (h *handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &handler{log: h.log, level: h.level, attrs: append(append([]slog.Attr{}, h.attrs...), attrs...)}
}

// WithGroup implements slog.Handler. Groups are ignored: all attributes of a line
// are at the top level.
func (h *handler) WithGroup(string) slog.Handler { return h }
