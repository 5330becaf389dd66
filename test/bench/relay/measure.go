package main

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"

	"github.com/dogwoodrudder/dogwoodrudder/internal/apiclient"
	"github.com/dogwoodrudder/dogwoodrudder/test/standin/engine"
)

// series holds the latencies of streams in microseconds.
type series struct{ first, gaps *hdrhistogram.Histogram }

func newSeries() series {
	histogram := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, 60_000_000, 3) }
	return series{first: histogram(), gaps: histogram()}
}

func body(prompt string, tokens int) []byte {
	return fmt.Appendf(nil, `{"model":"bench","stream":true,"stream_options":{"include_usage":true},`+
		`"max_tokens":%d,"min_tokens":%d,"ignore_eos":true,"messages":[{"role":"user","content":%q}]}`, tokens, tokens, prompt)
}

// stream runs one completion and records its latencies.
func (s series) stream(client *apiclient.Client, address, prompt string, tokens int, each func(int)) error {
	start := time.Now()
	last, n := start, 0
	end, err := client.Stream(context.Background(), []string{address}, apiclient.Request{
		Method: "POST", Path: "/v1/chat/completions", Body: body(prompt, tokens), Timeout: 30 * time.Second,
	}, func(apiclient.Event) error {
		now := time.Now()
		if n == 0 {
			_ = s.first.RecordValue(now.Sub(start).Microseconds())
		} else {
			_ = s.gaps.RecordValue(now.Sub(last).Microseconds())
		}
		last = now
		n++
		each(n)
		return nil
	})
	if err == nil && !end.Whole {
		err = errors.New("the stream is not whole")
	}
	return err
}

func measure(o options, r *report) error {
	s, err := newSite(2)
	if err != nil {
		return err
	}
	defer s.close()
	if err := measureOverhead(o, r, s); err != nil {
		return err
	}
	return measureLeaving(o, r, s)
}

// measureOverhead alternates streams through the daemon with streams that go
// to an engine directly.
func measureOverhead(o options, r *report, s *site) error {
	direct, relayed := newSeries(), newSeries()
	none := func(int) {}
	for i := range o.Streams {
		prompt := fmt.Sprintf("question %d about a reference number", i)
		if err := direct.stream(s.client, s.engines[0].Address(), prompt, o.Tokens, none); err != nil {
			return errors.Wrap(err, "direct stream")
		}
		if err := relayed.stream(s.client, s.address, prompt+" again", o.Tokens, none); err != nil {
			return errors.Wrap(err, "relayed stream")
		}
	}
	ms := func(h *hdrhistogram.Histogram, q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	share := func(d time.Duration) float64 { return d.Seconds() * 1000 * daemonShare }
	for _, q := range []float64{50, 95} {
		r.add(fmt.Sprintf("added to the first token, p%g", q), ms(relayed.first, q)-ms(direct.first, q), "ms",
			share(firstTokenTarget), ms(direct.first, q))
		r.add(fmt.Sprintf("added between tokens, p%g", q), ms(relayed.gaps, q)-ms(direct.gaps, q), "ms",
			share(tokenGapTarget), ms(direct.gaps, q))
	}
	return nil
}

// promptWords gives a prompt of about 1,500 tokens.
const promptWords = 1000

// measureLeaving lets an upstream leave in the middle of a stream. The baseline
// is the whole prompt, which a caller that starts again would have computed anew.
func measureLeaving(o options, r *report, s *site) error {
	prompt := strings.Repeat("provenance ", promptWords)
	before := s.totals()
	err := newSeries().stream(s.client, s.address, prompt, o.Tokens, func(n int) {
		if n == o.Tokens/2 {
			s.leaveBusy(before)
		}
	})
	if err != nil {
		return errors.Wrap(err, "stream of a leaving upstream")
	}
	recomputed, prompts := 0, 0
	for i, total := range s.totals() {
		recomputed += total.Total.RecomputedTokens - before[i].Total.RecomputedTokens
		prompts = max(prompts, total.Total.PromptTokens-before[i].Total.PromptTokens)
	}
	r.add("recomputed tokens for each stream of a leaving upstream", float64(recomputed), "tokens", -1, float64(prompts))
	return nil
}

func (s *site) totals() []engine.Stats {
	totals := make([]engine.Stats, 0, len(s.engines))
	for _, e := range s.engines {
		totals = append(totals, e.Stats())
	}
	return totals
}

// leaveBusy lets the engine leave that has received a request since before.
func (s *site) leaveBusy(before []engine.Stats) {
	for i, e := range s.engines {
		if e.Stats().Requests > before[i].Requests {
			e.Leave(5 * time.Second)
		}
	}
}
