// Package relay forwards plain HTTP requests to upstream instances: it checks
// the account and its quota, picks an instance, repeats what may be repeated,
// relays streams event by event, and answers every request with a status that
// tells the truth about its execution.
package relay

import (
	"net/http"
	"time"
)

// Info is what the headers of a request say.
type Info struct {
	ID       string
	Key      string        // account key; empty if none
	Deadline time.Duration // how long the client waits; 0 if not stated
	// PromptTokens and OutputTokens are the size of a model request.
	PromptTokens, OutputTokens int
	HasTokens                  bool
	// Affinity names the longest part of the prompt that other requests share.
	Affinity     string
	SharedTokens int // prompt tokens up to and including that part
	LastEvent    string
}

// Attempt is what the headers to an instance depend on.
type Attempt struct {
	InstanceID string
	Account    string // empty if the route is public
	Remaining  time.Duration
	Urgency    int    // 0 is first
	LastEvent  string // resume after this event
	// PromptSource is the address of an instance from which the one that gets
	// the request copies the shared part of the prompt; empty: it reads all.
	PromptSource string
}

// Verdict is what the head of a reply says about the request's execution.
type Verdict int

// Verdicts.
const (
	// Success is a reply whose body is the answer.
	Success Verdict = iota
	// Failure is the instance's own failure reply. The request ran.
	Failure
	// NotExecuted means that the instance refused the request.
	NotExecuted
	// WrongInstance means that another instance uses the address. The request
	// did not run.
	WrongInstance
	// Garbled means that the reply is not one of an instance. The request may
	// have run.
	Garbled
)

// Wire translates the headers of the deployment.
type Wire interface {
	// Parse reads the headers of a client's request.
	Parse(h http.Header) Info
	// ForInstance returns the headers to send to an instance, made from those
	// of the client.
	ForInstance(client http.Header, a Attempt) http.Header
	// ForClient returns the headers to send to the client, made from those of
	// the instance.
	ForClient(instance http.Header) http.Header
	// Judge reads the head of a reply.
	Judge(status int, h http.Header) Verdict
	// Matches reports whether a reply belongs to the request with this ID.
	Matches(h http.Header, requestID string) bool
}
