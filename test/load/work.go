package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/dogwoodrudder/dogwoodrudder/internal/apiclient"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/result"
)

const (
	jsonType = "application/json"
	// orderAttempts and orderPause bound the time in which a caller asks for
	// the outcome of an order to about 5 s, after which a daemon that was lost
	// has been declared dead.
	orderAttempts = 25
	orderPause    = 200 * time.Millisecond
)

// work is one request.
type work struct {
	runner  *runner
	class   *Class
	caller  *caller
	draw    draw
	arrival time.Time
}

// outcome is what the caller saw of a request.
type outcome struct {
	firstToken  time.Duration // 0 if there was none
	total       time.Duration
	gaps        []time.Duration // between tokens
	resumptions int
	err         error
	fault       fault // what is wrong with a complete answer
}

func (w *work) send(ctx context.Context) outcome {
	switch w.class.Kind {
	case KindOrder:
		return w.order(ctx)
	case KindLookup:
		return w.lookup(ctx)
	}
	return w.completion(ctx)
}

// remaining returns the time until the request counts as failed.
func (w *work) remaining() time.Duration {
	return max(time.Until(w.arrival.Add(w.runner.scenario.Timeout)), time.Millisecond)
}

// header returns the headers that all requests carry.
func (w *work) header() map[string]string {
	header := map[string]string{}
	if w.class.Deadline > 0 {
		header["X-Request-Deadline"] = w.arrival.Add(w.class.Deadline).Format(time.RFC3339Nano)
	}
	return header
}

// prompt returns the text of a completion request: the document of the session
// and a question that no other request has.
func (w *work) prompt() string {
	var b strings.Builder
	document := w.draw.number
	if w.class.Sessions > 0 {
		document = uint64(w.draw.session)
	}
	for i := range w.class.PromptWords {
		fmt.Fprintf(&b, "%s-%x-%d ", w.class.Name, document, i)
	}
	fmt.Fprintf(&b, "question %x", w.draw.number)
	return b.String()
}

type chatBody struct {
	Model     string        `json:"model"`
	Messages  []chatMessage `json:"messages"`
	MaxTokens int           `json:"max_tokens"`
	// IgnoreEOS makes the answer exactly max_tokens long.
	IgnoreEOS bool `json:"ignore_eos"`
	Stream    bool `json:"stream"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

func (w *work) completion(ctx context.Context) (o outcome) {
	answer, err := w.caller.lookup(ctx, w.remaining(), false)
	if err != nil {
		o.err = err
		return o
	}
	prompt := w.prompt()
	body, _ := json.Marshal(chatBody{ // text and numbers can always be encoded
		Model: w.class.Service, Messages: []chatMessage{{Role: "user", Content: prompt}},
		MaxTokens: w.class.Tokens, IgnoreEOS: true, Stream: true,
	})
	request := apiclient.Request{
		Method: http.MethodPost, Path: "/v1/chat/completions", Body: body, ContentType: jsonType,
		Header: w.header(), Timeout: w.remaining(),
	}
	if w.class.Sessions > 0 {
		request.Header["X-Session-Id"] = fmt.Sprintf("%s-%d", w.class.Name, w.draw.session)
	}
	text := &receivedText{arrival: w.arrival}
	end, err := w.caller.api.Stream(ctx, answer.Addresses, request, text.event)
	o.firstToken, o.gaps, o.resumptions, o.err = text.firstToken, text.gaps, end.Resumptions, err
	if err == nil {
		o.fault = w.checkCompletion(prompt, text)
	}
	if result.CodeOf(err) == result.PeerUnreachable || end.Resumptions > 0 {
		w.caller.forget()
	}
	return o
}

// lookup asks for an item and checks that the answer is about it.
func (w *work) lookup(ctx context.Context) (o outcome) {
	answer, err := w.caller.lookup(ctx, w.remaining(), false)
	if err != nil {
		o.err = err
		return o
	}
	item := fmt.Sprintf("ref-%d", w.draw.number%1000)
	resp, err := w.caller.first(ctx, answer.Addresses, apiclient.Request{
		Method: http.MethodGet, Path: w.path() + url.PathEscape(item), Header: w.header(), Timeout: w.remaining(),
	})
	if err != nil {
		o.err = err
		w.caller.forget()
		return o
	}
	o.fault = checkLookup(item, resp.Body)
	return o
}

func (w *work) path() string { return "/app/" + url.PathEscape(w.class.Service) + w.class.Path }

// order sends an order under one key until its outcome is known or the
// attempts are used up.
func (w *work) order(ctx context.Context) (o outcome) {
	answer, err := w.caller.lookup(ctx, w.remaining(), true)
	if err != nil {
		o.err = err
		return o
	}
	key := answer.OrderToken + "." + uuid.NewString()
	body := fmt.Appendf(nil, `{"item":"ref-%x"}`, w.draw.number)
	request := apiclient.Request{
		Method: http.MethodPost, Path: w.path(), Body: body, ContentType: jsonType, Header: w.header(),
	}
	request.Header["Idempotency-Key"] = key
	resp, err := w.settleOrder(ctx, answer.Addresses, request)
	if err == nil {
		o.fault = checkOrder(w.class.Path, key, body, resp.Body)
	}
	o.err = err
	w.runner.orders.add(key, err)
	return o
}

// settleOrder repeats an order with the same key while its outcome is open. An
// attempt without an answer makes the outcome unknown, even if a later attempt
// was refused: the refusal is about the later attempt only.
func (w *work) settleOrder(ctx context.Context, addresses []string, r apiclient.Request) (*apiclient.Response, error) {
	var last error
	unknown := false
	for attempt := range orderAttempts {
		if attempt > 0 && !sleepUntil(ctx, time.Now().Add(orderPause)) {
			break
		}
		r.Timeout = w.remaining()
		resp, err := w.tryOrder(ctx, addresses[attempt%len(addresses)], r)
		if err == nil {
			return resp, nil
		}
		last = err
		e := result.From(err)
		if !openOrder(e) {
			break
		}
		unknown = unknown || e.Execution != result.NotRun
		if fresh, err := w.refreshed(ctx); err == nil {
			addresses = fresh
		}
	}
	if e := result.From(last); unknown && e.Execution == result.NotRun {
		last = result.Wrap(last, result.OrderOutcomeUnknown, result.Unknown, "an earlier attempt had no answer")
	}
	return nil, last
}

// openOrder reports whether asking again with the same key can settle an order.
func openOrder(e *result.Error) bool {
	switch e.Code {
	case result.PeerUnreachable, result.OrderInProgress, result.Draining, result.OrderFrozen:
		return true
	}
	return false
}

func (w *work) tryOrder(ctx context.Context, address string, r apiclient.Request) (*apiclient.Response, error) {
	resp, err := w.caller.api.Do(ctx, address, r)
	if err != nil {
		return nil, result.Wrap(err, result.PeerUnreachable, executionOf(err), "daemon %s", address)
	}
	if resp.Status >= http.StatusMultipleChoices {
		return nil, apiclient.Problem(resp.Status, resp.Body)
	}
	return resp, nil
}

// refreshed asks for new addresses after a failed attempt.
func (w *work) refreshed(ctx context.Context) ([]string, error) {
	w.caller.forget()
	answer, err := w.caller.lookup(ctx, w.remaining(), false)
	return answer.Addresses, errors.WithMessage(err, "ask for addresses")
}
