// Package explain finds the cause of a request's outcome in the logs of the
// daemons that handled it.
package explain

import (
	"bufio"
	"cmp"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
	"github.com/pkg/errors"
)

// Line is one structured log line.
type Line struct {
	Time    time.Time
	Source  string // name of the log, which is the name of the daemon
	Message string
	Fields  map[string]string
}

// String formats the line as time, source, message and fields sorted by key.
func (l Line) String() string {
	var b strings.Builder
	b.WriteString(l.Time.Format("15:04:05.000") + " " + l.Source + " " + l.Message)
	for _, key := range slices.Sorted(maps.Keys(l.Fields)) {
		b.WriteString(" " + key + "=" + l.Fields[key])
	}
	return b.String()
}

// maxLineBytes is the maximum length of a line. It exceeds the 64 KiB default of
// bufio.Scanner because the output of a crash may have longer lines.
const maxLineBytes = 1 << 20

// Read decodes a log of key=value lines. skipped is the number of lines without
// a time or a message, such as the output of a crash.
func Read(r io.Reader, source string) (lines []Line, skipped int, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		line, ok := decode(scanner.Text())
		if !ok {
			skipped++
			continue
		}
		line.Source = source
		lines = append(lines, line)
	}
	return lines, skipped, errors.Wrapf(scanner.Err(), "read log of %s", source)
}

// decode decodes one log line. It returns false if the text is not a log line.
func decode(text string) (Line, bool) {
	line := Line{Fields: map[string]string{}}
	decoder := logfmt.NewDecoder(strings.NewReader(text))
	for decoder.ScanRecord() {
		for decoder.ScanKeyval() {
			key, value := string(decoder.Key()), string(decoder.Value())
			switch key {
			case "time":
				at, err := time.Parse(time.RFC3339Nano, value)
				if err != nil {
					return line, false
				}
				line.Time = at
			case "msg":
				line.Message = value
			case "level":
			default:
				line.Fields[key] = value
			}
		}
	}
	return line, decoder.Err() == nil && !line.Time.IsZero() && line.Message != ""
}

// sortLines sorts lines by time. The clocks of the daemons may differ, so that
// the order of lines of different daemons is approximate.
func sortLines(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.Source, b.Source)) })
}
