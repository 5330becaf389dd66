// Package decisionlog writes structured log lines without ever blocking the
// code that logs. Lines wait in a bounded ring; when it is full, or when lines
// of success exceed their rate, lines are dropped and counted.
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
	// capacity bounds the memory of waiting lines: about 300 bytes each.
	capacity = 4096
	// reserve is kept free of lines of success, for failures and refusals.
	reserve = capacity / 2
	// successRate and successBurst bound lines of success. Formatting and
	// writing one takes about 5 µs, so that the rate costs 0.1% of a core.
	successRate  = 200
	successBurst = 400
	// reportInterval is the time between two lines about dropped ones.
	reportInterval = 5 * time.Second
	// batchBytes bounds one write.
	batchBytes = 32 << 10
)

// KeyCode is the attribute with the result code of a request; 0 is success.
const KeyCode = "code"

// Log owns the ring and the writing thread.
type Log struct {
	out     io.Writer
	lines   *ring.Ring[[]byte]
	limiter *rate.Limiter
	dropped *metrics.Counter
}

// New returns a log that writes to out when Run is called.
func New(out io.Writer) *Log {
	return &Log{
		out: out, lines: ring.New[[]byte]("log", capacity, ring.DropNewest),
		limiter: rate.NewLimiter(successRate, successBurst),
		dropped: metrics.GetOrCreateCounter("rudder_log_lines_dropped_total"),
	}
}

// Logger returns a logger that writes lines of key=value pairs.
func (l *Log) Logger(level slog.Level) *slog.Logger {
	return slog.New(&handler{log: l, level: level})
}

// Run writes lines until ctx ends and then what still waits.
func (l *Log) Run(ctx context.Context) error {
	ticker := time.NewTicker(reportInterval)
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

// flush writes a line and those that wait, in few writes.
func (l *Log) flush(line []byte) {
	var batch bytes.Buffer
	batch.Write(line)
	for {
		select {
		case next := <-l.lines.C():
			batch.Write(next)
			if batch.Len() < batchBytes {
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

// handler formats a record and puts it into the ring.
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
	if isSuccess(record) && (h.log.lines.Depth() > reserve || !h.log.limiter.Allow()) {
		h.log.dropped.Inc()
		return nil
	}
	buffer := buffers.Get().(*bytes.Buffer)
	buffer.Reset()
	defer buffers.Put(buffer)
	text := slog.NewTextHandler(buffer, &slog.HandlerOptions{Level: h.level, ReplaceAttr: shortError}).WithAttrs(h.attrs)
	if err := text.Handle(ctx, record); err != nil {
		return err
	}
	if !h.log.lines.Put(ctx, bytes.Clone(buffer.Bytes())) {
		h.log.dropped.Inc()
	}
	return nil
}

// shortError writes an error's message without its stack.
func shortError(_ []string, a slog.Attr) slog.Attr {
	if err, ok := a.Value.Any().(error); ok {
		a.Value = slog.StringValue(err.Error())
	}
	return a
}

// isSuccess reports whether the line tells that a request succeeded.
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

// WithGroup implements slog.Handler. Groups aren't used: every line is flat.
func (h *handler) WithGroup(string) slog.Handler { return h }
