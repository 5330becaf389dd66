package main

import (
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/dogwoodrudder/dogwoodrudder/internal/apiclient"
	"github.com/dogwoodrudder/dogwoodrudder/test/standin/app"
	"github.com/dogwoodrudder/dogwoodrudder/test/standin/engine"
)

// fault names what is wrong with an answer that the daemon reported as complete.
type fault string

// Faults of answers.
const (
	faultNone     fault = ""
	faultLost     fault = "lost tokens"
	faultRepeated fault = "repeated tokens"
	faultForeign  fault = "not the caller's own"
	faultShort    fault = "not whole"
)

// allFaults lists the faults in the order of the figures.
var allFaults = []fault{faultLost, faultRepeated, faultForeign, faultShort}

// receivedText collects the text of a stream and the times of its tokens.
type receivedText struct {
	arrival    time.Time
	last       time.Time
	firstToken time.Duration
	gaps       []time.Duration
	text       strings.Builder
	finished   bool
}

type chunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason string `json:"finish_reason"`
	} `json:"choices"`
}

func (t *receivedText) event(e apiclient.Event) error {
	var c chunk
	if err := json.Unmarshal(e.Data, &c); err != nil {
		return errors.Wrapf(err, "decode event %s", e.ID)
	}
	for _, choice := range c.Choices {
		t.finished = t.finished || choice.FinishReason != ""
		if choice.Delta.Content != "" {
			t.token(choice.Delta.Content, time.Now())
		}
	}
	return nil
}

func (t *receivedText) token(text string, now time.Time) {
	if t.firstToken == 0 {
		t.firstToken = now.Sub(t.arrival)
	} else {
		t.gaps = append(t.gaps, now.Sub(t.last))
	}
	t.last = now
	t.text.WriteString(text)
}

// checkCompletion checks a stream that ended with [DONE].
func (w *work) checkCompletion(prompt string, got *receivedText) fault {
	if !got.finished || got.text.Len() == 0 {
		return faultShort
	}
	if !w.runner.scenario.VerifyOutput {
		return faultNone
	}
	want, err := engine.Output([]engine.Message{engine.Text("user", prompt)}, w.class.Tokens)
	if err != nil {
		return faultForeign
	}
	return compareTokens(strings.Fields(got.text.String()), trimmed(want))
}

func trimmed(tokens []string) []string {
	result := make([]string, len(tokens))
	for i, token := range tokens {
		result[i] = strings.TrimSpace(token)
	}
	return result
}

// compareTokens classifies the first difference. Every token of the stand-in
// is unique within its answer.
func compareTokens(got, want []string) fault {
	for i, token := range got {
		if i < len(want) && token == want[i] {
			continue
		}
		switch at := slices.Index(want, token); {
		case at < 0:
			return faultForeign
		case at < i:
			return faultRepeated
		default:
			return faultLost
		}
	}
	if len(got) < len(want) {
		return faultShort
	}
	return faultNone
}

// checkOrder checks the answer of the application stand-in to an order.
func checkOrder(path, key string, body, answer []byte) fault {
	var r app.Result
	if err := json.Unmarshal(answer, &r); err != nil {
		return faultShort
	}
	if r.IdempotencyKey != key || r.Operation != path || r.BodyHash != xxhash.Sum64(body) {
		return faultForeign
	}
	return faultNone
}

// checkLookup checks the answer of the application stand-in to a stock lookup.
func checkLookup(item string, answer []byte) fault {
	var s app.Stock
	if err := json.Unmarshal(answer, &s); err != nil {
		return faultShort
	}
	if s.Item != item || s.Count != app.StockOf(item) {
		return faultForeign
	}
	return faultNone
}
