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

// fault is a defect of an answer that the daemon reported as complete. The text is
// part of a figure's name.
type fault string

// Faults of answers.
const (
	faultNone       fault = ""
	faultLost       fault = "lost tokens"
	faultRepeated   fault = "repeated tokens"
	faultMismatch   fault = "not the caller's own"
	faultIncomplete fault = "not whole"
)

// allFaults lists the faults in the order of the figures.
var allFaults = []fault{faultLost, faultRepeated, faultMismatch, faultIncomplete}

// receivedText collects the text of a stream and the latencies of its tokens.
type receivedText struct {
	arrival    time.Time       // planned time of the request
	last       time.Time       // time of the last token
	firstToken time.Duration   // from the planned arrival
	gaps       []time.Duration // between tokens
	text       strings.Builder
	finished   bool // a finish_reason was received
}

type chunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason string `json:"finish_reason"`
	} `json:"choices"`
}

func (t *receivedText) addEvent(e apiclient.Event) error {
	var c chunk
	if err := json.Unmarshal(e.Data, &c); err != nil {
		return errors.Wrapf(err, "decode event %s", e.ID)
	}
	for _, choice := range c.Choices {
		t.finished = t.finished || choice.FinishReason != ""
		if choice.Delta.Content != "" {
			t.addToken(choice.Delta.Content, time.Now())
		}
	}
	return nil
}

func (t *receivedText) addToken(text string, now time.Time) {
	if t.firstToken == 0 {
		t.firstToken = now.Sub(t.arrival)
	} else {
		t.gaps = append(t.gaps, now.Sub(t.last))
	}
	t.last = now
	t.text.WriteString(text)
}

// checkCompletion checks a stream that ended with [DONE].
func (lr *loadRequest) checkCompletion(prompt string, got *receivedText) fault {
	if !got.finished || got.text.Len() == 0 {
		return faultIncomplete
	}
	if !lr.runner.scenario.VerifyOutput {
		return faultNone
	}
	want, err := engine.Output([]engine.Message{engine.Text("user", prompt)}, lr.class.Tokens)
	if err != nil {
		return faultMismatch
	}
	return compareTokens(strings.Fields(got.text.String()), trimSpaces(want))
}

func trimSpaces(tokens []string) []string {
	result := make([]string, len(tokens))
	for i, token := range tokens {
		result[i] = strings.TrimSpace(token)
	}
	return result
}

// compareTokens classifies the first difference. This works because each token of
// the stand-in is unique within its answer.
func compareTokens(got, want []string) fault {
	for i, token := range got {
		if i < len(want) && token == want[i] {
			continue
		}
		switch at := slices.Index(want, token); {
		case at < 0:
			return faultMismatch
		case at < i:
			return faultRepeated
		default:
			return faultLost
		}
	}
	if len(got) < len(want) {
		return faultIncomplete
	}
	return faultNone
}

// checkOrder checks the answer of the application stand-in to an order.
func checkOrder(path, key string, body, answer []byte) fault {
	var r app.Result
	if err := json.Unmarshal(answer, &r); err != nil {
		return faultIncomplete
	}
	if r.IdempotencyKey != key || r.Operation != path || r.BodyHash != xxhash.Sum64(body) {
		return faultMismatch
	}
	return faultNone
}

// checkLookup checks the answer of the application stand-in to a stock lookup.
func checkLookup(item string, answer []byte) fault {
	var s app.Stock
	if err := json.Unmarshal(answer, &s); err != nil {
		return faultIncomplete
	}
	if s.Item != item || s.Count != app.StockOf(item) {
		return faultMismatch
	}
	return faultNone
}
