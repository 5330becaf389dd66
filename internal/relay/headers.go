// Package relay forwards plain HTTP requests to upstream instances. It checks the
// account and its quota, picks an instance, retries requests that are safe to
// repeat, and relays streams event by event. The status of each response tells
// whether the request ran, did not run, or may have run.
package relay

import (
	"net/http"
	"time"
)

// RequestInfo holds the values that are parsed from the headers of a request.
type RequestInfo struct {
	ID       string
	Key      string        // account key; empty if none
	Deadline time.Duration // time that the client waits for; 0 if not stated
	// PromptTokens and OutputTokens are the size of a model request. HasTokens
	// reports whether they were stated.
	PromptTokens, OutputTokens int
	HasTokens                  bool
	// AffinityKey identifies the longest prefix of the prompt that other requests share.
	AffinityKey  string
	SharedTokens int // length of that prefix
	// PromptParts are the IDs of the parts of the prompt that other requests may share.
	PromptParts []string
	// OwnPart is the ID of the part of the prompt that belongs to the request itself;
	// empty if the request tells none.
	OwnPart   string
	LastEvent string // ID of the last event that the client has received
}

// Attempt holds the values for the headers of a request to an instance.
type Attempt struct {
	InstanceID string
	Account    string        // empty if the route is public
	Remaining  time.Duration // time to the deadline
	Priority   int           // 0 is the highest
	LastEvent  string        // ID of the event after which a stream is resumed
	// PromptSource is the address of the instance from which the receiver of the
	// request copies the cached prompt prefix; if empty, it processes the whole
	// prompt.
	PromptSource string
}

// ReplyClass is the class of a reply by its status and headers.
type ReplyClass int

// Classes of replies.
const (
	// Success is a reply whose body is the result.
	Success ReplyClass = iota
	// Failure is an error reply of the instance. The request ran.
	Failure
	// NotExecuted means that the instance refused the request without running it.
	NotExecuted
	// WrongInstance means that another instance uses the address. The request
	// did not run.
	WrongInstance
	// InvalidReply means that the reply does not come from an instance. The
	// request may have run.
	InvalidReply
)

// Notice is what an instance says about itself in a reply.
type Notice struct {
	Leaving bool          // it is about to stop
	Pause   time.Duration // it wants no requests from this daemon for this long
	// Fragile tells that it fails when it rejects more than RejectionsBorne requests in a
	// second.
	Fragile         bool
	RejectionsBorne int
}

// HeaderCodec translates between the headers of the deployment and the values
// that the relay uses.
type HeaderCodec interface {
	// Parse reads the headers of a client's request.
	Parse(h http.Header) RequestInfo
	// ForInstance returns the headers to send to an instance, derived from those
	// of the client.
	ForInstance(client http.Header, a Attempt) http.Header
	// ForClient returns the headers to send to the client, derived from those of
	// the instance.
	ForClient(instance http.Header) http.Header
	// Classify returns the class of a reply.
	Classify(status int, h http.Header) ReplyClass
	// Notice returns what the instance says about itself in a reply.
	Notice(status int, h http.Header) Notice
	// Matches reports whether a reply belongs to the request with this ID. On a reused
	// connection a reply without an ID may be a late one to an earlier request.
	Matches(h http.Header, requestID string, reused bool) bool
}
