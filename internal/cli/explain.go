package cli

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/pkg/errors"

	"github.com/dogwoodrudder/dogwoodrudder/internal/explain"
)

type explainCmd struct {
	Request string   `arg:"" help:"ID of the request."`
	Logs    []string `arg:"" help:"Log files of the daemons." type:"existingfile"`
}

// Run prints the log lines about a request and the cause of its outcome.
func (c *explainCmd) Run(g *Globals) error {
	var lines []explain.Line
	for _, path := range c.Logs {
		logLines, err := readLog(g, path)
		if err != nil {
			return err
		}
		lines = append(lines, logLines...)
	}
	report, err := explain.Explain(lines, c.Request)
	if err != nil {
		return errors.WithMessagef(err, "request %s", c.Request)
	}
	var b strings.Builder
	for _, section := range []struct {
		title string
		lines []explain.Line
	}{{"lines of the request", report.RequestLines}, {"related lines", report.RelatedLines}} {
		fmt.Fprintf(&b, "%s:\n", section.title)
		for _, line := range section.lines {
			fmt.Fprintf(&b, "  %s\n", line)
		}
	}
	fmt.Fprintf(&b, "code: %d %s\ncause: %s\nlook at: %s\n", report.Code, report.Code.Title(), report.Cause, report.NextStep)
	_, err = fmt.Fprint(g.out, b.String())
	return errors.Wrap(err, "write report")
}

// readLog reads a log. Its file is named after the daemon.
func readLog(g *Globals, path string) ([]explain.Line, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, errors.Wrap(err, "open log")
	}
	defer func() { _ = file.Close() }()
	lines, skipped, err := explain.Read(file, strings.TrimSuffix(filepath.Base(path), filepath.Ext(path)))
	if skipped > 0 {
		_, _ = fmt.Fprintf(g.errOut, "%s: skipped %d lines without time or message\n", path, skipped) // a failed write must not hide the report
	}
	return lines, err
}
