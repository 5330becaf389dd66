package main

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/dogwoodrudder/dogwoodrudder/internal/apiclient"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/result"
	"github.com/dogwoodrudder/dogwoodrudder/test/standin/app"
	"github.com/dogwoodrudder/dogwoodrudder/test/standin/engine"
)

const statsTimeout = 10 * time.Second

// counts holds the sums of the counts that the stand-ins report.
type counts struct {
	executions       map[string]int // by Idempotency-Key
	promptTokens     int
	recomputedTokens int
	emittedTokens    int
}

func (r *runner) readCounts(ctx context.Context) (counts, error) {
	total := counts{executions: map[string]int{}}
	for _, address := range r.scenario.AppStats {
		var stats app.Stats
		if err := readStats(ctx, address, &stats); err != nil {
			return total, err
		}
		for key, n := range stats.Executions {
			total.executions[key] += n
		}
	}
	for _, address := range r.scenario.EngineStats {
		var stats engine.Stats
		if err := readStats(ctx, address, &stats); err != nil {
			return total, err
		}
		total.promptTokens += stats.Total.PromptTokens
		total.recomputedTokens += stats.Total.RecomputedTokens
		total.emittedTokens += stats.Total.EmittedTokens
	}
	return total, nil
}

func readStats(ctx context.Context, address string, stats any) error {
	api, err := apiclient.New("", false)
	if err != nil {
		return err
	}
	resp, err := api.Do(ctx, address, apiclient.Request{Method: http.MethodGet, Path: "/stats", Timeout: statsTimeout})
	if err != nil {
		return errors.Wrapf(err, "read counts of %s", address)
	}
	if resp.Status != http.StatusOK {
		return errors.Errorf("read counts of %s: status %d", address, resp.Status)
	}
	return errors.Wrapf(json.Unmarshal(resp.Body, stats), "decode counts of %s", address)
}

// orderLog records the execution state that callers got for each order.
type orderLog struct {
	mu     sync.Mutex
	states map[string]result.Execution // by Idempotency-Key
}

func (l *orderLog) add(key string, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.states == nil {
		l.states = map[string]result.Execution{}
	}
	l.states[key] = executionState(err)
}

// executionState returns the execution state that the error of a request reports;
// without an error the request ran.
func executionState(err error) result.Execution {
	if err == nil {
		return result.Ran
	}
	return result.From(err).Execution
}

// orderChecks counts the orders by the reported state and by the executions that
// the stand-ins counted.
type orderChecks struct {
	executedTwice int64 // executed more than once
	falseNotRun   int64 // reported as not run and executed
	falseRan      int64 // reported as run and not executed
	unknownRan    int64 // reported as unknown and executed
	unknownNoRun  int64 // reported as unknown and not executed
}

func (l *orderLog) check(executions map[string]int) (v orderChecks) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for key, state := range l.states {
		n := executions[key]
		if n > 1 {
			v.executedTwice++
		}
		switch {
		case state == result.NotRun && n > 0:
			v.falseNotRun++
		case state == result.Ran && n == 0:
			v.falseRan++
		case state == result.Unknown && n > 0:
			v.unknownRan++
		case state == result.Unknown:
			v.unknownNoRun++
		}
	}
	return v
}
