package explain

import (
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/dogwoodrudder/dogwoodrudder/pkg/result"
)

// Window is the time before and after a request within which log lines count as
// related. The loss of a dependency is logged at most 1.5 s late, a change of an
// instance's health at most 0.5 s late.
const Window = 5 * time.Second

// ErrRequestNotFound means that no log line has the ID of the request.
var ErrRequestNotFound = errors.New("no log line has the request ID; log lines of successful requests are sampled")

// Report describes what happened to one request.
type Report struct {
	Request string // ID of the request
	// RequestLines have the ID of the request. RelatedLines are about its
	// daemons, its instances or a duty around that time.
	RequestLines, RelatedLines []Line
	Code                       result.Code
	// Cause describes the cause of the outcome. NextStep is what the operator
	// should look at.
	Cause, NextStep string
}

// Explain builds the report of a request, given by its ID, from the log lines of
// all daemons.
func Explain(lines []Line, request string) (Report, error) {
	report := Report{Request: request}
	for _, line := range lines {
		if line.Fields["request"] == request {
			report.RequestLines = append(report.RequestLines, line)
		}
	}
	if len(report.RequestLines) == 0 {
		return report, ErrRequestNotFound
	}
	sortLines(report.RequestLines)
	s := scopeOf(report.RequestLines)
	for _, line := range lines {
		if s.related(line) {
			report.RelatedLines = append(report.RelatedLines, line)
		}
	}
	sortLines(report.RelatedLines)
	report.Code = s.code
	report.Cause, report.NextStep = cause(s, report.RelatedLines)
	return report, nil
}

// scope holds what the log lines of a request say about it. It selects the
// related lines.
type scope struct {
	from, to  time.Time
	daemons   map[string]bool // by name of the log
	instances map[string]bool // by ID
	code      result.Code
	finished  Line   // "request finished"; zero if it is missing
	attempts  []Line // failed attempts
}

func scopeOf(requestLines []Line) scope {
	s := scope{
		from: requestLines[0].Time, to: requestLines[len(requestLines)-1].Time, daemons: map[string]bool{}, instances: map[string]bool{},
	}
	for _, line := range requestLines {
		s.daemons[line.Source] = true
		if instance := line.Fields["instance"]; instance != "" {
			s.instances[instance] = true
		}
		switch line.Message {
		case "request finished":
			s.finished = line
			s.from = earlier(s.from, line.Time.Add(-durationOf(line)))
			s.code = codeOf(line)
		case "attempt failed":
			s.attempts = append(s.attempts, line)
		}
	}
	return s
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// durationOf returns the duration of a request, 0 if the line has none.
func durationOf(line Line) time.Duration {
	ms, err := strconv.Atoi(line.Fields["duration_ms"])
	if err != nil {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}

// codeOf returns the result code of a line, Internal if it has none.
func codeOf(line Line) result.Code {
	code, err := strconv.Atoi(line.Fields["code"])
	if err != nil {
		return result.Internal
	}
	return result.Code(code)
}

// relatedMessages are log messages about events of a daemon that can decide the
// outcome of a request.
var relatedMessages = map[string]bool{
	"dependency lost": true, "dependency regained": true, "coordinator changed": true, "daemon draining": true,
	"daemon started": true, "configuration applied": true, "requests cut at the end of the grace": true,
	"daemon not reached": true, "log lines dropped": true,
	"evacuation ordered": true, "evacuation in full force": true, "evacuation taken back": true,
}

// related reports whether a line within Window of the request is about its daemon
// or one of its instances, or about a duty, which affects all daemons.
func (s scope) related(line Line) bool {
	if line.Time.Before(s.from.Add(-Window)) || line.Time.After(s.to.Add(Window)) || line.Fields["request"] != "" {
		return false
	}
	if line.Message == "duty acquired" || line.Message == "duty lost" || line.Message == "instances ordered" && line.Fields["error"] != "<nil>" {
		return true
	}
	if !s.daemons[line.Source] {
		return false
	}
	return relatedMessages[line.Message] || s.instances[line.Fields["instance"]]
}
