package knownred

import "testing"

// Guards against a listed test that still fails the build because its entry is
// not found, and against an entry that also matches another test, for example one
// with the same prefix.
func TestEntry(t *testing.T) {
	const text = "Tests that fail because of a fault that is known.\n\n" +
		"TestLate/store_down: go test ./test/e2e -run TestLate, seed 7\n  seen: 3 s\n  issue: 12\n" +
		"TestLate2: go test ./test/e2e\n"
	for name, want := range map[string]string{
		"TestLate/store_down": "TestLate/store_down: go test ./test/e2e -run TestLate, seed 7\n  seen: 3 s\n  issue: 12",
		"TestLate2":           "TestLate2: go test ./test/e2e",
		"TestLate":            "",
		"seen":                "",
	} {
		if got := Entry(text, name); got != want {
			t.Errorf("%s: got %q, want %q", name, got, want)
		}
	}
}
