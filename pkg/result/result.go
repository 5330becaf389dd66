// Package result defines the numbered result codes and the typed error that
// carries one of them together with the execution state of the request.
package result

import (
	"fmt"

	"github.com/pkg/errors"
)

// Execution states whether an upstream executed the request.
type Execution string

// Execution states as they appear in problem documents.
const (
	// NotRun is only used when no byte of the request reached an upstream or the
	// upstream sent a documented refusal.
	NotRun Execution = "not run"
	// Ran means that an upstream executed the request.
	Ran Execution = "ran"
	// Unknown means that the request may or may not have been executed.
	Unknown Execution = "unknown"
)

// Error is an error with a result code and an execution state.
type Error struct {
	Code      Code
	Execution Execution
	// Detail is a sentence for the caller. It names the field, object or
	// limit that caused the error.
	Detail string
	// RetryAfterSeconds is a hint for the Retry-After header; 0 means none.
	RetryAfterSeconds int
	// CoversAllAttempts means that Execution applies to all attempts with the
	// same Idempotency-Key and not only to this one.
	CoversAllAttempts bool
	// Addresses are ip:port pairs of daemons that may accept the request.
	Addresses []string
	cause     error
}

// New returns an error with code, execution state and a formatted detail.
func New(code Code, execution Execution, format string, args ...any) *Error {
	return &Error{Code: code, Execution: execution, Detail: fmt.Sprintf(format, args...)}
}

// Wrap is like New, with an underlying error that Unwrap returns.
func Wrap(cause error, code Code, execution Execution, format string, args ...any) *Error {
	e := New(code, execution, format, args...)
	e.cause = errors.WithStack(cause)
	return e
}

// WithRetryAfter sets the retry hint in seconds and returns e.
func (e *Error) WithRetryAfter(seconds int) *Error {
	e.RetryAfterSeconds = seconds
	return e
}

// WithAddresses sets alternative daemon addresses and returns e.
func (e *Error) WithAddresses(addresses []string) *Error {
	e.Addresses = addresses
	return e
}

// Error implements error.
func (e *Error) Error() string {
	if e.cause != nil {
		return fmt.Sprintf("%d %s: %s: %v", e.Code, e.Code.Title(), e.Detail, e.cause)
	}
	return fmt.Sprintf("%d %s: %s", e.Code, e.Code.Title(), e.Detail)
}

// Unwrap returns the underlying error, or nil if there is none.
func (e *Error) Unwrap() error { return e.cause }

// From returns the *Error in err's chain, or wraps err as Internal with
// execution state Unknown.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return Wrap(err, Internal, Unknown, "unexpected error")
}

// CodeOf returns the code in err's chain, OK for nil and Internal otherwise.
func CodeOf(err error) Code {
	if err == nil {
		return OK
	}
	return From(err).Code
}
