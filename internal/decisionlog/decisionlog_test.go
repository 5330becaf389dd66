package decisionlog_test

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dogwoodrudder/dogwoodrudder/internal/decisionlog"
)

// blockedWriter is a writer whose writes block until release is closed.
type blockedWriter struct{ release chan struct{} }

func (s blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

// Guards against blocking requests when the log output does not accept data.
func TestLogNeverBlocks(t *testing.T) {
	g := NewWithT(t)
	out := blockedWriter{make(chan struct{})}
	lines := decisionlog.New(out)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = lines.Run(ctx) // ends with ctx
	}()
	log := lines.Logger(slog.LevelInfo)
	began := time.Now()
	for i := range 20_000 {
		log.Info("request finished", "request", i, decisionlog.KeyCode, 1201)
	}
	g.Expect(time.Since(began)).To(BeNumerically("<", 2*time.Second))
	cancel()
	close(out.release)
	<-done
}

// safeBuffer is a buffer that is safe for concurrent use.
type safeBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (s *safeBuffer) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(p)
}

var _ io.Writer = (*safeBuffer)(nil)

// Guards against dropping lines of failed requests because lines of successful ones
// fill the ring.
func TestFailuresArePreferredToSuccesses(t *testing.T) {
	g := NewWithT(t)
	out := &safeBuffer{}
	lines := decisionlog.New(out)
	log := lines.Logger(slog.LevelInfo)
	for i := range 3000 {
		log.Info("request finished", "request", i, decisionlog.KeyCode, 0)
		if i%10 == 0 {
			log.Info("request finished", "request", i, decisionlog.KeyCode, 1300)
		}
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	g.Expect(lines.Run(ctx)).To(Succeed())
	text := out.b.String()
	g.Expect(strings.Count(text, "code=1300")).To(Equal(300))
	g.Expect(strings.Count(text, "code=0")).To(BeNumerically("<", 1000))
}
