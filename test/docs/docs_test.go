// Package docs_test checks that the pages in docs name only what exists.
package docs_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

const root = "../.."

var (
	testFunction = regexp.MustCompile(`(?m)^func (Test\w+)\(`)
	testName     = regexp.MustCompile(`\bTest[A-Z]\w+`)
	metricName   = regexp.MustCompile(`\brudder_[a-z_]+[a-z]`)
	pathName     = regexp.MustCompile("[`(/ ](?:\\./)?((?:api|charts|cmd|deploy|examples|internal|pkg|platform|test)/[\\w/-]*\\w(?:\\.(?:go|ini|json|md|proto|sh|tmpl|toml|yaml)\\b)*)")
	// runCommand matches a package and the pattern of its tests, such as
	// `./pkg/move -run Judge` or `./internal/fleet -run 'Copied\|Sources'`.
	runCommand = regexp.MustCompile(`\./((?:internal|pkg|platform|test)[\w/]*) -run (?:'([^']+)'|([\w|]+))`)
)

const (
	placeholder = "NAME"       // stands for any name in an example of a command
	library     = "pkg/errors" // a module, not a folder of the tree
)

// page is a file of prose and its text.
type page struct{ path, text string }

func pages(g *WithT) []page {
	var found []page
	for _, path := range []string{"README.md", "KNOWN-RED.txt"} {
		text, err := os.ReadFile(filepath.Join(root, path))
		g.Expect(err).NotTo(HaveOccurred())
		found = append(found, page{path, string(text)})
	}
	g.Expect(filepath.WalkDir(filepath.Join(root, "docs"), func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || filepath.Ext(path) != ".md" {
			return err
		}
		text, err := os.ReadFile(path)
		found = append(found, page{path, string(text)})
		return err
	})).To(Succeed())
	return found
}

// goSource returns the text of the Go files below a folder, the files of this
// package left out.
func goSource(g *WithT, dir string) string {
	var source strings.Builder
	g.Expect(filepath.WalkDir(filepath.Join(root, dir), func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() && (entry.Name() == ".git" || entry.Name() == ".tools" || path == filepath.Join(root, "test", "docs")) {
			return fs.SkipDir
		}
		if entry.IsDir() || filepath.Ext(path) != ".go" {
			return nil
		}
		text, err := os.ReadFile(path)
		source.Write(text)
		source.WriteByte('\n')
		return err
	})).To(Succeed())
	return source.String()
}

func testFunctions(source string) []string {
	var names []string
	for _, match := range testFunction.FindAllStringSubmatch(source, -1) {
		names = append(names, match[1])
	}
	return names
}

// Guards against a page that names a test by an earlier name. A name may be a
// prefix, because go test -run takes a pattern.
func TestPagesNameExistingTests(t *testing.T) {
	g := NewWithT(t)
	functions := testFunctions(goSource(g, "."))
	for _, p := range pages(g) {
		for _, name := range testName.FindAllString(p.text, -1) {
			g.Expect(functions).To(ContainElement(HavePrefix(name)), p.path)
		}
	}
}

// Guards against a -run pattern of a page that no longer selects a test, so that
// the proof which it names passes without running anything.
func TestRunPatternsSelectTests(t *testing.T) {
	g := NewWithT(t)
	for _, p := range pages(g) {
		for _, match := range runCommand.FindAllStringSubmatch(p.text, -1) {
			pattern := strings.ReplaceAll(match[2]+match[3], `\|`, "|")
			if pattern == placeholder {
				continue
			}
			for _, alternative := range strings.Split(pattern, "|") {
				g.Expect(testFunctions(goSource(g, match[1]))).To(ContainElement(MatchRegexp(alternative)), "%s: %s", p.path, match[0])
			}
		}
	}
}

// Guards against a page that names a metric or a path that no longer exists.
func TestPagesNameExistingMetricsAndPaths(t *testing.T) {
	g := NewWithT(t)
	source := goSource(g, ".")
	for _, p := range pages(g) {
		for _, name := range metricName.FindAllString(p.text, -1) {
			g.Expect(strings.Contains(source, name)).To(BeTrue(), "%s: metric %s", p.path, name)
		}
		for _, match := range pathName.FindAllStringSubmatch(p.text, -1) {
			path := match[1]
			if path == library || filepath.Base(path) == placeholder {
				continue
			}
			_, err := os.Stat(filepath.Join(root, path))
			g.Expect(err).NotTo(HaveOccurred(), "%s: path %s", p.path, path)
		}
	}
}
