package replyconn

import (
	"bytes"
	"net/http"
	"strconv"

	"github.com/pkg/errors"
	"golang.org/x/net/http/httpguts"
)

const (
	// minStatus and maxStatus are the range of valid status codes (RFC 9110, section 15).
	minStatus = 100
	maxStatus = 599
	// maxInterimReplies is the maximum number of interim (1xx) replies to a request.
	maxInterimReplies = 8
	// statusLinePattern is the start of a status line, with d for a digit.
	statusLinePattern = "HTTP/1.d ddd"
)

// ErrMalformed is returned for bytes that are not the head of an HTTP/1.x reply. The
// request may have been executed.
var ErrMalformed = errors.New("malformed reply")

// Limits bounds the head of a reply. Each interim reply has a head of its own.
type Limits struct {
	Bytes int
	Lines int // 0 means no limit
}

// HeadScanner checks the heads of the replies to one request as their bytes arrive: those
// of interim replies, and that of the final one. It accepts what RFC 9112 defines, and line
// feeds without carriage returns. Folded lines are part of a field's value.
type HeadScanner struct {
	limits  Limits
	line    []byte // start of the current line; empty if it begins with the next byte
	lines   int    // whole lines of the current head
	bytes   int    // of the current head
	status  int    // of the current head, 0 before its first line
	length  string // value of its Content-Length, "" if there is none
	interim int    // interim replies, the current one included
	ended   bool   // the last byte was the end of a head
	// lineFeeds reports that a line of the current head ended without a carriage return.
	lineFeeds bool
}

// NewHeadScanner returns a scanner for the replies to a request.
func NewHeadScanner(limits Limits) *HeadScanner { return &HeadScanner{limits: limits} }

// Scan checks the next bytes. It stops at the end of a head, and returns the number of bytes
// up to there. ended reports that this head has ended; it is that of the final reply unless
// Interim returns true. An error wraps ErrMalformed.
func (s *HeadScanner) Scan(data []byte) (n int, ended bool, err error) {
	if s.ended {
		*s = HeadScanner{limits: s.limits, interim: s.interim}
	}
	for n < len(data) && !s.ended {
		rest := data[n:]
		end := bytes.IndexByte(rest, '\n')
		part := rest[:end+1]
		if end < 0 {
			part = rest
		}
		n += len(part)
		if s.bytes += len(part); s.bytes > s.limits.Bytes {
			return n, false, errors.Wrapf(ErrMalformed, "the head exceeds %d bytes", s.limits.Bytes)
		}
		if end < 0 {
			s.line = append(s.line, part...)
			break
		}
		if len(s.line) > 0 {
			part = append(s.line, part...)
			s.line = nil
		}
		if err := s.endLine(part[:len(part)-1]); err != nil {
			return n, false, err
		}
	}
	return n, s.ended, nil
}

// Interim reports whether the current head is that of an interim reply.
func (s *HeadScanner) Interim() bool { return s.status < http.StatusOK }

// endLine checks a line without its line feed.
func (s *HeadScanner) endLine(line []byte) error {
	line, found := bytes.CutSuffix(line, []byte("\r"))
	s.lineFeeds = s.lineFeeds || !found
	if s.lines > 0 && len(line) == 0 {
		s.ended = true
		return nil
	}
	if s.lines++; s.limits.Lines > 0 && s.lines > s.limits.Lines {
		return errors.Wrapf(ErrMalformed, "the head exceeds %d lines", s.limits.Lines)
	}
	if s.lines == 1 {
		return s.checkStatusLine(line)
	}
	return s.checkField(line)
}

// checkStatusLine checks the first line of a head.
func (s *HeadScanner) checkStatusLine(line []byte) error {
	const length = len(statusLinePattern)
	isStatusLine := len(line) >= length && StatusLineStart(line) && (len(line) == length || line[length] == ' ')
	if !isStatusLine || !httpguts.ValidHeaderFieldValue(string(line)) {
		return errors.Wrapf(ErrMalformed, "status line %.60q", line)
	}
	s.status, _ = strconv.Atoi(string(line[length-3 : length]))
	switch {
	case s.status < minStatus || s.status > maxStatus:
		return errors.Wrapf(ErrMalformed, "status %03d, want %d to %d", s.status, minStatus, maxStatus)
	case s.status == http.StatusSwitchingProtocols:
		return errors.Wrap(ErrMalformed, "the reply switches to a protocol that was not requested")
	case s.Interim():
		if s.interim++; s.interim > maxInterimReplies {
			return errors.Wrapf(ErrMalformed, "more than %d interim replies", maxInterimReplies)
		}
	}
	return nil
}

// StatusLineStart reports whether data begins a status line, as far as it goes.
func StatusLineStart(data []byte) bool {
	for i := range min(len(data), len(statusLinePattern)) {
		isDigit := data[i] >= '0' && data[i] <= '9'
		if want := statusLinePattern[i]; want == 'd' && !isDigit || want != 'd' && data[i] != want {
			return false
		}
	}
	return true
}

// checkField checks a line with a field, or a folded line, which continues the field before.
func (s *HeadScanner) checkField(line []byte) error {
	name, value, found := bytes.Cut(line, []byte(":"))
	isName := found && httpguts.ValidHeaderFieldName(string(name))
	if s.lines > 2 && (line[0] == ' ' || line[0] == '\t') {
		isName, value = true, line
	}
	if !isName || !httpguts.ValidHeaderFieldValue(string(value)) {
		return errors.Wrapf(ErrMalformed, "field %.60q", line)
	}
	return s.checkFraming(name, bytes.TrimSpace(value))
}

// checkFraming checks a field that tells where the body ends. Readers that differ in how
// they take a contradiction would differ in the body.
func (s *HeadScanner) checkFraming(name, value []byte) error {
	switch {
	case bytes.EqualFold(name, []byte("Content-Length")):
		length := string(value)
		if _, err := strconv.ParseUint(length, 10, 63); err != nil || s.length != "" && s.length != length {
			return errors.Wrapf(ErrMalformed, "length %.30q after %.30q", length, s.length)
		}
		s.length = length
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		if !bytes.EqualFold(value, []byte("chunked")) && !bytes.EqualFold(value, []byte("identity")) {
			return errors.Wrapf(ErrMalformed, "transfer encoding %.30q", value)
		}
	}
	return nil
}
