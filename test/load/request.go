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
	// maxOrderAttempts and orderRetryInterval bound the time in which a caller
	// retries an order to about 5 s. By then, a daemon that does not answer has
	// been declared dead.
	maxOrderAttempts   = 25
	orderRetryInterval = 200 * time.Millisecond
)

// loadRequest is one request of a run.
type loadRequest struct {
	runner  *runner
	class   *Class
	caller  *caller
	params  requestParams
	arrival time.Time // planned time of the request
}

// outcome is the result of a request as the caller sees it.
type outcome struct {
	firstToken  time.Duration   // from the planned arrival; 0 if no token arrived
	total       time.Duration   // from the planned arrival to the end
	gaps        []time.Duration // between tokens
	resumptions int
	err         error
	fault       fault // defect of an answer that was reported as complete
}

func (lr *loadRequest) send(ctx context.Context) outcome {
	switch lr.class.Kind {
	case KindOrder:
		return lr.order(ctx)
	case KindLookup:
		return lr.lookup(ctx)
	}
	return lr.completion(ctx)
}

// remaining returns the time until the timeout of the request, at least 1 ms.
func (lr *loadRequest) remaining() time.Duration {
	return max(time.Until(lr.arrival.Add(lr.runner.scenario.Timeout)), time.Millisecond)
}

// header returns the headers that all requests carry.
func (lr *loadRequest) header() map[string]string {
	header := map[string]string{}
	if lr.class.Deadline > 0 {
		header["X-Request-Deadline"] = lr.arrival.Add(lr.class.Deadline).Format(time.RFC3339Nano)
	}
	return header
}

// prompt returns the prompt of a completion request: the document of the session
// and a question that is unique to the request.
func (lr *loadRequest) prompt() string {
	var b strings.Builder
	document := lr.params.number
	if lr.class.Sessions > 0 {
		document = uint64(lr.params.session)
	}
	for i := range lr.class.PromptWords {
		fmt.Fprintf(&b, "%s-%x-%d ", lr.class.Name, document, i)
	}
	fmt.Fprintf(&b, "question %x", lr.params.number)
	return b.String()
}

type chatBody struct {
	Model     string        `json:"model"`
	Messages  []chatMessage `json:"messages"`
	MaxTokens int           `json:"max_tokens"`
	// IgnoreEOS makes the length of the answer exactly max_tokens.
	IgnoreEOS bool `json:"ignore_eos"`
	Stream    bool `json:"stream"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

func (lr *loadRequest) completion(ctx context.Context) (o outcome) {
	answer, err := lr.caller.lookup(ctx, lr.remaining(), false)
	if err != nil {
		o.err = err
		return o
	}
	prompt := lr.prompt()
	body, _ := json.Marshal(chatBody{ // text and numbers can always be encoded
		Model: lr.class.Service, Messages: []chatMessage{{Role: "user", Content: prompt}},
		MaxTokens: lr.class.Tokens, IgnoreEOS: true, Stream: true,
	})
	request := apiclient.Request{
		Method: http.MethodPost, Path: "/v1/chat/completions", Body: body, ContentType: jsonType,
		Header: lr.header(), Timeout: lr.remaining(),
	}
	if lr.class.Sessions > 0 {
		request.Header["X-Session-Id"] = fmt.Sprintf("%s-%d", lr.class.Name, lr.params.session)
	}
	text := &receivedText{arrival: lr.arrival}
	end, err := lr.caller.api.Stream(ctx, answer.Addresses, request, text.addEvent)
	o.firstToken, o.gaps, o.resumptions, o.err = text.firstToken, text.gaps, end.Resumptions, err
	if err == nil {
		o.fault = lr.checkCompletion(prompt, text)
	}
	if result.CodeOf(err) == result.PeerUnreachable || end.Resumptions > 0 {
		lr.caller.invalidate()
	}
	return o
}

// lookup gets the stock of an item and checks that the answer is about this item.
func (lr *loadRequest) lookup(ctx context.Context) (o outcome) {
	answer, err := lr.caller.lookup(ctx, lr.remaining(), false)
	if err != nil {
		o.err = err
		return o
	}
	item := fmt.Sprintf("ref-%d", lr.params.number%1000)
	resp, err := lr.caller.doFirst(ctx, answer.Addresses, apiclient.Request{
		Method: http.MethodGet, Path: lr.path() + url.PathEscape(item), Header: lr.header(), Timeout: lr.remaining(),
	})
	if err != nil {
		o.err = err
		lr.caller.invalidate()
		return o
	}
	o.fault = checkLookup(item, resp.Body)
	return o
}

func (lr *loadRequest) path() string {
	return "/app/" + url.PathEscape(lr.class.Service) + lr.class.Path
}

// order sends an order with one key until its outcome is known or
// maxOrderAttempts is reached.
func (lr *loadRequest) order(ctx context.Context) (o outcome) {
	answer, err := lr.caller.lookup(ctx, lr.remaining(), true)
	if err != nil {
		o.err = err
		return o
	}
	key := answer.OrderToken + "." + uuid.NewString()
	body := fmt.Appendf(nil, `{"item":"ref-%x"}`, lr.params.number)
	request := apiclient.Request{
		Method: http.MethodPost, Path: lr.path(), Body: body, ContentType: jsonType, Header: lr.header(),
	}
	request.Header["Idempotency-Key"] = key
	resp, err := lr.sendOrder(ctx, answer.Addresses, request)
	if err == nil {
		o.fault = checkOrder(lr.class.Path, key, body, resp.Body)
	}
	o.err = err
	lr.runner.orders.add(key, err)
	return o
}

// sendOrder sends an order and retries it with the same key while its outcome is
// not known. An attempt without an answer makes the outcome unknown, even if a
// later attempt is refused: the refusal says nothing about the earlier attempt.
func (lr *loadRequest) sendOrder(ctx context.Context, addresses []string, r apiclient.Request) (*apiclient.Response, error) {
	var last error
	unknown := false
	for attempt := range maxOrderAttempts {
		if attempt > 0 && !sleepUntil(ctx, time.Now().Add(orderRetryInterval)) {
			break
		}
		r.Timeout = lr.remaining()
		resp, err := lr.sendOrderOnce(ctx, addresses[attempt%len(addresses)], r)
		if err == nil {
			return resp, nil
		}
		last = err
		e := result.From(err)
		if !retryableOrder(e) {
			break
		}
		unknown = unknown || e.Execution != result.NotRun
		if updated, err := lr.newAddresses(ctx); err == nil {
			addresses = updated
		}
	}
	if e := result.From(last); unknown && e.Execution == result.NotRun {
		last = result.Wrap(last, result.OrderOutcomeUnknown, result.Unknown, "an earlier attempt had no answer")
	}
	return nil, last
}

// retryableOrder reports whether a retry with the same key can give the outcome of
// an order.
func retryableOrder(e *result.Error) bool {
	switch e.Code {
	case result.PeerUnreachable, result.OrderInProgress, result.Draining, result.OrderFrozen:
		return true
	}
	return false
}

func (lr *loadRequest) sendOrderOnce(ctx context.Context, address string, r apiclient.Request) (*apiclient.Response, error) {
	resp, err := lr.caller.api.Do(ctx, address, r)
	if err != nil {
		return nil, result.Wrap(err, result.PeerUnreachable, attemptExecution(err), "daemon %s", address)
	}
	if resp.Status >= http.StatusMultipleChoices {
		return nil, apiclient.Problem(resp.Status, resp.Body)
	}
	return resp, nil
}

// newAddresses looks up the addresses again after a failed attempt.
func (lr *loadRequest) newAddresses(ctx context.Context) ([]string, error) {
	lr.caller.invalidate()
	answer, err := lr.caller.lookup(ctx, lr.remaining(), false)
	return answer.Addresses, errors.WithMessage(err, "look up daemon addresses")
}
