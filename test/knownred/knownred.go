// Package knownred reads KNOWN-RED.txt, the list of tests and checks that are
// known to fail because of a fault that is not fixed yet.
package knownred

import (
	"os"
	"strings"
)

// File is the name of the list in the root of the repository.
const File = "KNOWN-RED.txt"

// Entry returns the entry of text that begins with name and a colon, or an empty
// string. Indented lines continue an entry.
func Entry(text, name string) string {
	var entry []string
	for _, line := range strings.Split(text, "\n") {
		indented := strings.HasPrefix(line, " ") || strings.HasPrefix(line, "\t")
		switch {
		case strings.TrimSpace(line) == "":
		case !indented && len(entry) > 0:
			return strings.Join(entry, "\n")
		case strings.HasPrefix(line, name+":"), indented && len(entry) > 0:
			entry = append(entry, line)
		}
	}
	return strings.Join(entry, "\n")
}

// EntryInCI returns the entry of a test or check in the file at path. It returns
// an empty string outside CI, because only CI skips known failures, and if the
// file cannot be read.
func EntryInCI(path, name string) string {
	if os.Getenv("CI") != "true" {
		return ""
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return ""
	}
	return Entry(string(data), name)
}
