package harness

import (
	"path/filepath"
	"testing"

	"github.com/dogwoodrudder/dogwoodrudder/test/knownred"
)

// SkipKnownFailure skips a test that KNOWN-RED.txt lists, and prints its entry.
// Outside CI it does nothing.
func SkipKnownFailure(t testing.TB) {
	t.Helper()
	if entry := knownred.EntryInCI(filepath.Join(moduleRoot(), knownred.File), t.Name()); entry != "" {
		t.Skipf("known to fail:\n%s", entry)
	}
}
