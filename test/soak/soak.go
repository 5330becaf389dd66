// Command soak runs daemons as processes against stand-ins of the platform and
// disturbs them from outside, and checks what clients and workers see.
package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"time"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"
)

// options of one soak.
type options struct {
	Binary  string        `required:"" help:"Path of rudderd." type:"existingfile"`
	Seed    uint64        `default:"0" help:"First seed; 0 takes one from the clock."`
	Seeds   int           `default:"1" help:"Number of seeds."`
	Length  time.Duration `default:"15s" help:"Time with faults for each seed."`
	Daemons int           `default:"4" help:"Number of daemons."`
	Clients int           `default:"12" help:"Number of clients."`
	Planned bool          `help:"Only planned work: stops, leaving workers, configurations."`
	Keep    string        `default:"" help:"Folder that keeps the logs of failed seeds."`
}

// result is the end of one seed.
type result struct {
	broken   []string
	notes    []string
	requests int
	share    float64 // of whole answers while faults were played
	after    float64 // of whole answers after they ended
}

const (
	// startTime is how long daemons may take to be ready.
	startTime = 15 * time.Second
	// settleTime is the time after the last fault, in which everything recovers,
	// and calmTime the time that is judged after it.
	settleTime = 12 * time.Second
	calmTime   = 2 * time.Second
)

// run plays one seed in a folder.
func run(o options, seed uint64, dir string) (result, error) {
	base := fmt.Sprintf("127.%d.%d", 64+os.Getpid()%64, seed%250)
	c, err := newCluster(o.Binary, dir, base, o.Daemons)
	if err != nil {
		return result{}, err
	}
	defer c.stop()
	if err := awaitReady(c); err != nil {
		return result{}, err
	}
	callers := &clients{cluster: c}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	callers.start(ctx, o.Clients, seed)
	p := &player{
		cluster: c, random: rand.New(rand.NewPCG(seed, 1)),
		notes: &notes{leaving: map[string]time.Time{}, revoked: map[string]time.Time{}, planned: true},
	}
	began := time.Now()
	p.play(o.Length, func(f fault) bool { return !o.Planned || f.planned })
	ended := time.Now()
	time.Sleep(settleTime)
	calm := time.Now()
	time.Sleep(calmTime)
	cancel()
	outcomes := callers.finish()
	r := result{broken: check(outcomes, c.workers, p.notes, c.cloud.Problems()), notes: p.notes.lines, requests: len(outcomes)}
	r.share = served(outcomes, began, ended)
	r.after = served(outcomes, calm, time.Now())
	if p.notes.planned && r.share < servedShare {
		r.broken = append(r.broken, fmt.Sprintf("planned work alone: %.3f of the requests answered", r.share))
	}
	if r.after < recoveredShare {
		r.broken = append(r.broken, fmt.Sprintf("after all faults: %.3f of the requests answered", r.after))
	}
	return r, nil
}

func awaitReady(c *cluster) error {
	until := time.Now().Add(startTime)
	for _, d := range c.daemons {
		for !d.ready() {
			if time.Now().After(until) {
				return errors.Errorf("daemon %s is not ready", d.name)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

// Run plays all seeds.
func (o *options) Run() error {
	if o.Seed == 0 {
		o.Seed = uint64(time.Now().UnixNano()) % 1_000_000
	}
	failed := 0
	for seed := o.Seed; seed < o.Seed+uint64(o.Seeds); seed++ {
		dir, err := os.MkdirTemp(o.Keep, fmt.Sprintf("soak-%d-", seed))
		if err != nil {
			return errors.Wrap(err, "make folder")
		}
		r, err := run(*o, seed, dir)
		if err != nil {
			return err
		}
		fmt.Printf("seed %d: %d requests, %.3f whole, %.3f after the faults, %d broken promises\n",
			seed, r.requests, r.share, r.after, len(r.broken))
		if len(r.broken) == 0 {
			_ = os.RemoveAll(dir) // a folder that stays does no harm
			continue
		}
		failed++
		fmt.Printf("  logs: %s\n", filepath.Base(dir))
		for _, line := range append(r.notes, r.broken[:min(len(r.broken), 12)]...) {
			fmt.Println("  " + line)
		}
	}
	if failed > 0 {
		return errors.Errorf("%d of %d seeds broke a promise", failed, o.Seeds)
	}
	return nil
}

func main() {
	var o options
	parsed := kong.Parse(&o, kong.Name("soak"), kong.Description("Fault soak of the edge daemon."))
	parsed.FatalIfErrorf(parsed.Run())
}
