// Package report appends the values that tests measure to a JSON file in the
// format of the benchmark reports.
package report

import (
	"encoding/json"
	"errors"
	"io/fs"
	"os"
	"sync"
	"testing"
	"time"
)

// FileVariable is the environment variable with the path of the report file. If it
// is empty, the values are only logged.
const FileVariable = "RUDDER_E2E_REPORT"

// Result is one measured value.
type Result struct {
	Name     string  `json:"name"`
	Measured float64 `json:"measured"`
	Unit     string  `json:"unit"`
	// Bound is the maximum allowed value.
	Bound float64 `json:"bound"`
	// Baseline is the value of an earlier version; null if there is none.
	Baseline *float64 `json:"baseline"`
}

type document struct {
	Run     time.Time `json:"run"`
	Results []Result  `json:"results"`
}

var mu sync.Mutex

// Add logs a measured value, adds it to the report and fails the test if the value
// exceeds its bound.
func Add(t testing.TB, name string, measured float64, unit string, bound float64) {
	t.Helper()
	t.Logf("figure %s: %.3f %s (at most %.3f)", name, measured, unit, bound)
	if measured > bound {
		t.Errorf("%s is %.3f %s, which exceeds %.3f", name, measured, unit, bound)
	}
	path := os.Getenv(FileVariable)
	if path == "" {
		return
	}
	if err := add(path, Result{Name: name, Measured: measured, Unit: unit, Bound: bound}); err != nil {
		t.Errorf("add %s to the report %s: %v", name, path, err)
	}
}

func add(path string, r Result) error {
	mu.Lock()
	defer mu.Unlock()
	report := document{Run: time.Now().UTC()}
	data, err := os.ReadFile(path)
	switch {
	case errors.Is(err, fs.ErrNotExist):
	case err != nil:
		return err
	default:
		if err := json.Unmarshal(data, &report); err != nil {
			return err
		}
	}
	report.Results = append(report.Results, r)
	if data, err = json.MarshalIndent(report, "", "  "); err != nil {
		return err
	}
	return os.WriteFile(path, append(data, '\n'), 0o644)
}
