package harness

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// SkipKnownRed skips a test that KNOWN-RED.txt lists, and prints its entry. It
// does so only if the environment variable CI is "true". An entry starts with
// the name of the test at the beginning of a line; indented lines continue it.
func SkipKnownRed(t testing.TB) {
	t.Helper()
	if os.Getenv("CI") != "true" {
		return
	}
	data, err := os.ReadFile(filepath.Join(root(), "KNOWN-RED.txt"))
	if err != nil {
		return
	}
	if entry := knownRedEntry(string(data), t.Name()); entry != "" {
		t.Skipf("known to fail:\n%s", entry)
	}
}

func knownRedEntry(text, name string) string {
	var entry []string
	for _, line := range strings.Split(text, "\n") {
		fields := strings.Fields(line)
		indented := strings.HasPrefix(line, " ") || strings.HasPrefix(line, "\t")
		switch {
		case len(fields) == 0:
			continue
		case !indented && len(entry) > 0:
			return strings.Join(entry, "\n")
		case !indented && strings.TrimSuffix(fields[0], ":") == name, indented && len(entry) > 0:
			entry = append(entry, line)
		}
	}
	return strings.Join(entry, "\n")
}
