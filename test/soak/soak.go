// Command soak runs daemons as processes against stand-ins of the platform,
// injects faults from outside, and checks what clients and workers observe.
package main

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"
)

// options are the flags of the command.
type options struct {
	Binary   string        `required:"" help:"Path of rudderd." type:"existingfile"`
	Previous string        `help:"Path of rudderd of the landing before. The daemons begin with it and are upgraded in turn." type:"existingfile"`
	Seed     uint64        `default:"0" help:"First seed; 0 takes one from the clock."`
	Seeds    int           `default:"1" help:"Number of seeds."`
	Length   time.Duration `default:"15s" help:"Time with faults for each seed."`
	Daemons  int           `default:"4" help:"Number of daemons."`
	Clients  int           `default:"12" help:"Number of clients."`
	Planned  bool          `help:"Only planned operations: stops, leaving workers, revoked keys, configurations."`
	Trouble  bool          `help:"Adds faults of workers in trouble and of other writers: pauses, bytes without end, odd entries."`
	Broken   bool          `help:"Adds workers that send malformed answers, four times as often as other faults."`
	Early    bool          `help:"Adds workers whose answers end early, four times as often as other faults, and long uploads."`
	Moves    bool          `help:"Plays series in which the coordinator loses the store, a worker leaves, and the duty moves, instead of other faults."`
	Restores bool          `help:"Plays series in which the store comes back from older copies, beside other faults, instead of other faults."`
	Keep     string        `default:"" help:"Folder that keeps the logs of failed seeds."`
}

// result is the result of the run of one seed.
type result struct {
	violations     []string
	faults         []string // log of the injected faults
	requests       int
	faultShare     float64 // share of successful requests while faults were injected
	recoveredShare float64 // share of successful requests after recoveryTime
}

const (
	// startTimeout is the time within which all daemons must be ready.
	startTimeout = 15 * time.Second
	// recoveryTime is the time after the last fault in which the cluster must
	// recover. The requests of the following measureTime show whether it has.
	recoveryTime = 12 * time.Second
	measureTime  = 2 * time.Second
)

// runSeed runs one seed. Settings and logs are written to dir.
func runSeed(o options, seed uint64, dir string) (result, error) {
	addressPrefix := fmt.Sprintf("127.%d.%d", 64+os.Getpid()%64, seed%250)
	c, err := newCluster(cmp.Or(o.Previous, o.Binary), dir, addressPrefix, o.Daemons, o.Restores)
	if err != nil {
		return result{}, err
	}
	defer c.stop()
	if err := awaitReady(c); err != nil {
		return result{}, err
	}
	callers := &clients{cluster: c, longUploads: o.Early}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	callers.start(ctx, o.Clients, seed)
	p := &faultInjector{
		cluster: c, random: rand.New(rand.NewPCG(seed, 1)),
		record: &faultLog{
			leaving: map[string]time.Time{}, revoked: map[string]time.Time{}, removed: map[string]time.Time{},
			disturbed: map[string]time.Time{}, onlyPlanned: !o.Moves && !o.Restores,
		},
	}
	upgraded := make(chan struct{})
	go func() {
		defer close(upgraded)
		if o.Previous != "" {
			c.upgrade(o.Binary, o.Length)
		}
	}()
	faultsBegan := time.Now()
	kinds := faults
	if o.Trouble {
		kinds = slices.Concat(faults, troubledFaults, troubledFaults)
	}
	if o.Broken {
		kinds = slices.Concat(kinds, slices.Repeat(brokenFaults, 4*len(faults)))
	}
	if o.Early {
		kinds = slices.Concat(kinds, slices.Repeat(earlyFaults, len(faults)))
	}
	moves := moveFaults{cluster: c, random: p.random, record: p.record, began: faultsBegan}
	switch {
	case o.Moves:
		moves.run()
	case o.Restores:
		c.cloud.SetUnfenced(p.random.IntN(2) == 0)
		(&restoreFaults{moveFaults: moves}).run(o.Length)
	default:
		p.run(o.Length, kinds, func(f fault) bool { return !o.Planned || f.planned })
	}
	<-upgraded
	faultsEnded := time.Now()
	time.Sleep(recoveryTime)
	measureFrom := time.Now()
	time.Sleep(measureTime)
	cancel()
	outcomes := callers.wait()
	r := result{violations: checkOutcomes(outcomes, c.workers, p.record, c.cloud.Problems()), faults: p.record.lines, requests: len(outcomes)}
	r.violations = append(r.violations, checkRemoved(outcomes, c.workers, p.record)...)
	r.violations = append(r.violations, c.exits()...)
	if o.Restores {
		r.violations = append(r.violations, checkVersions(outcomes, c.written, p.record)...)
		r.violations = append(r.violations, checkReports(c.cloud.Reports())...)
	}
	r.faultShare = successShare(outcomes, faultsBegan, faultsEnded)
	r.recoveredShare = successShare(outcomes, measureFrom, time.Now())
	if p.record.onlyPlanned && r.faultShare < minPlannedShare {
		r.violations = append(r.violations, fmt.Sprintf("with planned operations only, %.3f of the requests succeeded", r.faultShare))
	}
	if r.recoveredShare < minRecoveredShare {
		r.violations = append(r.violations, fmt.Sprintf("after the faults, %.3f of the requests succeeded", r.recoveredShare))
	}
	return r, nil
}

// awaitReady waits until all daemons are ready.
func awaitReady(c *cluster) error {
	deadline := time.Now().Add(startTimeout)
	for _, d := range c.daemons {
		for !d.ready() {
			if time.Now().After(deadline) {
				return errors.Errorf("daemon %s is not ready", d.name)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

// Run runs all seeds. It keeps the logs of those that failed.
func (o *options) Run() error {
	if o.Seed == 0 {
		o.Seed = uint64(time.Now().UnixNano()) % 1_000_000
	}
	failed := 0
	for seed := o.Seed; seed < o.Seed+uint64(o.Seeds); seed++ {
		dir, err := os.MkdirTemp(o.Keep, fmt.Sprintf("soak-%d-", seed))
		if err != nil {
			return errors.Wrap(err, "create folder for logs")
		}
		r, err := runSeed(*o, seed, dir)
		if err != nil {
			return err
		}
		fmt.Printf("seed %d: %d requests, %.3f succeeded, %.3f after the faults, %d violations\n",
			seed, r.requests, r.faultShare, r.recoveredShare, len(r.violations))
		if len(r.violations) == 0 {
			_ = os.RemoveAll(dir) // a folder that is left behind does no harm
			continue
		}
		failed++
		fmt.Printf("  logs: %s\n", filepath.Base(dir))
		for _, line := range append(r.faults, r.violations[:min(len(r.violations), 12)]...) {
			fmt.Println("  " + line)
		}
	}
	if failed > 0 {
		return errors.Errorf("%d of %d seeds violated a guarantee", failed, o.Seeds)
	}
	return nil
}

func main() {
	var o options
	parsed := kong.Parse(&o, kong.Name("soak"), kong.Description("Soak test of the edge daemon under injected faults."))
	parsed.FatalIfErrorf(parsed.Run())
}
