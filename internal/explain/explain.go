package explain

import (
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/dogwoodrudder/dogwoodrudder/pkg/result"
)

// Window is how long before and after a request lines count as related: a lost
// dependency is logged at most 1.5 s late, and an instance's health 0.5 s.
const Window = 5 * time.Second

// ErrUnknown means that no line names the request.
var ErrUnknown = errors.New("no line names the request; lines of success are sampled")

// Report tells what happened to one request.
type Report struct {
	Request string
	// Own lines name the request, Related ones its daemon or instances at that time.
	Own, Related []Line
	Code         result.Code
	// Cause is one sentence, Next what the operator should look at.
	Cause, Next string
}

// Explain builds the report of a request from the lines of all daemons.
func Explain(lines []Line, request string) (Report, error) {
	report := Report{Request: request}
	for _, line := range lines {
		if line.Fields["request"] == request {
			report.Own = append(report.Own, line)
		}
	}
	if len(report.Own) == 0 {
		return report, ErrUnknown
	}
	sortLines(report.Own)
	s := scopeOf(report.Own)
	for _, line := range lines {
		if s.related(line) {
			report.Related = append(report.Related, line)
		}
	}
	sortLines(report.Related)
	report.Code = s.code
	report.Cause, report.Next = cause(s, report.Related)
	return report, nil
}

// scope is what a request touched.
type scope struct {
	from, to  time.Time
	daemons   map[string]bool
	instances map[string]bool
	code      result.Code
	finished  Line // the line about its end; zero if it is missing
	attempts  []Line
}

func scopeOf(own []Line) scope {
	s := scope{
		from: own[0].Time, to: own[len(own)-1].Time, daemons: map[string]bool{}, instances: map[string]bool{},
	}
	for _, line := range own {
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

// durationOf returns how long a request took, 0 if the line doesn't tell.
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

// relatedMessages are lines about a daemon that can decide a request's outcome.
var relatedMessages = map[string]bool{
	"dependency lost": true, "dependency regained": true, "coordinator changed": true, "daemon draining": true,
	"daemon started": true, "configuration applied": true, "requests cut at the end of the grace": true,
	"daemon not reached": true, "log lines dropped": true,
}

// related reports whether a line is about the request's daemon or one of its
// instances near that time, or about a duty that changes what all daemons may do.
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
