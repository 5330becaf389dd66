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

// latencies holds the times to the first token and between tokens of streams, in
// microseconds.
type latencies struct{ firstToken, betweenTokens *hdrhistogram.Histogram }

func newLatencies() latencies {
	histogram := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, 60_000_000, 3) }
	return latencies{firstToken: histogram(), betweenTokens: histogram()}
}

func body(prompt string, tokens int) []byte {
	return fmt.Appendf(nil, `{"model":"bench","stream":true,"stream_options":{"include_usage":true},`+
		`"max_tokens":%d,"min_tokens":%d,"ignore_eos":true,"messages":[{"role":"user","content":%q}]}`, tokens, tokens, prompt)
}

// stream sends one completion request and records its latencies. It calls onToken
// with the number of tokens received so far.
func (l latencies) stream(client *apiclient.Client, address, prompt string, tokens int, onToken func(int)) error {
	start := time.Now()
	last, n := start, 0
	end, err := client.Stream(context.Background(), []string{address}, apiclient.Request{
		Method: "POST", Path: "/v1/chat/completions", Body: body(prompt, tokens), Timeout: 30 * time.Second,
	}, func(apiclient.Event) error {
		now := time.Now()
		if n == 0 {
			_ = l.firstToken.RecordValue(now.Sub(start).Microseconds())
		} else {
			_ = l.betweenTokens.RecordValue(now.Sub(last).Microseconds())
		}
		last = now
		n++
		onToken(n)
		return nil
	})
	if err == nil && !end.Whole {
		err = errors.New("stream ended before its last event")
	}
	return err
}

func measure(o options, r *report) error {
	s, err := newDeployment(2)
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
func measureOverhead(o options, r *report, s *deployment) error {
	direct, relayed := newLatencies(), newLatencies()
	noop := func(int) {}
	for i := range o.Streams {
		prompt := fmt.Sprintf("question %d about a reference number", i)
		if err := direct.stream(s.client, s.engines[0].Address(), prompt, o.Tokens, noop); err != nil {
			return errors.Wrap(err, "direct stream")
		}
		if err := relayed.stream(s.client, s.address, prompt+" again", o.Tokens, noop); err != nil {
			return errors.Wrap(err, "relayed stream")
		}
	}
	ms := func(h *hdrhistogram.Histogram, q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	share := func(d time.Duration) float64 { return d.Seconds() * 1000 * maxDaemonShare }
	for _, q := range []float64{50, 95} {
		r.add(fmt.Sprintf("added to the first token, p%g", q), ms(relayed.firstToken, q)-ms(direct.firstToken, q), "ms",
			share(firstTokenTarget), ms(direct.firstToken, q))
		r.add(fmt.Sprintf("added between tokens, p%g", q), ms(relayed.betweenTokens, q)-ms(direct.betweenTokens, q), "ms",
			share(betweenTokensTarget), ms(direct.betweenTokens, q))
	}
	return nil
}

// promptWords is the number of words in a prompt of about 1,500 tokens.
const promptWords = 1000

// measureLeaving makes an upstream leave in the middle of a stream. The baseline
// is the whole prompt, which would be computed again if the client restarted the
// request.
func measureLeaving(o options, r *report, s *deployment) error {
	prompt := strings.Repeat("provenance ", promptWords)
	before := s.totals()
	err := newLatencies().stream(s.client, s.address, prompt, o.Tokens, func(n int) {
		if n == o.Tokens/2 {
			s.leaveBusy(before)
		}
	})
	if err != nil {
		return errors.Wrap(err, "stream with a leaving upstream")
	}
	recomputed, prompts := 0, 0
	for i, total := range s.totals() {
		recomputed += total.Total.RecomputedTokens - before[i].Total.RecomputedTokens
		prompts = max(prompts, total.Total.PromptTokens-before[i].Total.PromptTokens)
	}
	r.add("recomputed tokens for each stream of a leaving upstream", float64(recomputed), "tokens", -1, float64(prompts))
	return nil
}

func (s *deployment) totals() []engine.Stats {
	totals := make([]engine.Stats, 0, len(s.engines))
	for _, e := range s.engines {
		totals = append(totals, e.Stats())
	}
	return totals
}

// leaveBusy makes each engine leave that has received a request since before was
// taken.
func (s *deployment) leaveBusy(before []engine.Stats) {
	for i, e := range s.engines {
		if e.Stats().Requests > before[i].Requests {
			e.Leave(5 * time.Second)
		}
	}
}
