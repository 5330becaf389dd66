package edge

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// loggingPackages are the packages whose log lines the edge daemon writes.
var loggingPackages = []string{
	".", "../relay", "../exchange", "../mirror", "../fleet", "../crashwatch", "../uplink", "../coordination", "../metering", "../scaling",
	"../rollout", "../traffic", "../decisionlog", "../cloudduty", "../../platform", "../../pkg/lease",
}

var quoted = regexp.MustCompile("`([^`]+)`")

// Guards against log lines and fields of the code that are missing from the table
// in docs/OPERATIONS.md, and against lines in the table that the code doesn't write.
func TestOperationsPageListsAllLogLines(t *testing.T) {
	g := NewWithT(t)
	written := map[string]map[string]bool{}
	for _, directory := range loggingPackages {
		files, err := filepath.Glob(filepath.Join(directory, "*.go"))
		g.Expect(err).NotTo(HaveOccurred())
		for _, name := range files {
			if !strings.HasSuffix(name, "_test.go") {
				file, err := parser.ParseFile(token.NewFileSet(), name, nil, 0)
				g.Expect(err).NotTo(HaveOccurred())
				collectLines(file, written)
			}
		}
	}
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	g.Expect(err).NotTo(HaveOccurred())
	listed := listedLines(string(page))
	for message, fields := range written {
		g.Expect(listed).To(HaveKey(message))
		for field := range fields {
			g.Expect(listed[message]).To(HaveKey(field), message)
		}
	}
	for message := range listed {
		g.Expect(written).To(HaveKey(message))
	}
}

// collectLines adds the log messages of a file, with the names of their fields, to
// written.
func collectLines(file *ast.File, written map[string]map[string]bool) {
	ast.Inspect(file, func(n ast.Node) bool {
		call, ok := n.(*ast.CallExpr)
		if !ok || len(call.Args) == 0 {
			return true
		}
		method, ok := call.Fun.(*ast.SelectorExpr)
		if !ok || (method.Sel.Name != "Info" && method.Sel.Name != "Warn" && method.Sel.Name != "Error") {
			return true
		}
		message, ok := literal(call.Args[0])
		if !ok {
			return true
		}
		if written[message] == nil {
			written[message] = map[string]bool{}
		}
		for i := 1; i < len(call.Args); i += 2 {
			if field, ok := literal(call.Args[i]); ok {
				written[message][field] = true
			}
		}
		return true
	})
}

func literal(e ast.Expr) (string, bool) {
	l, ok := e.(*ast.BasicLit)
	if !ok || l.Kind != token.STRING {
		return "", false
	}
	text, err := strconv.Unquote(l.Value)
	return text, err == nil
}

// listedLines returns the messages in the page's table, with their fields.
func listedLines(page string) map[string]map[string]bool {
	_, section, _ := strings.Cut(page, "\n## Log lines\n")
	section, _, _ = strings.Cut(section, "\n## ")
	listed := map[string]map[string]bool{}
	for _, line := range strings.Split(section, "\n") {
		cells := strings.Split(line, "|")
		if len(cells) != 5 {
			continue
		}
		fields := map[string]bool{}
		for _, field := range quoted.FindAllStringSubmatch(cells[3], -1) {
			fields[field[1]] = true
		}
		for _, message := range quoted.FindAllStringSubmatch(cells[1], -1) {
			listed[message[1]] = fields
		}
	}
	return listed
}
