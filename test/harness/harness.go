// Package harness runs daemon processes together with in-process stand-ins for
// the external systems, for failure tests. Every wait has a timeout. Signals go
// only to processes that the harness started, by process ID.
package harness

import (
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/dogwoodrudder/dogwoodrudder/internal/apiclient"
	"github.com/dogwoodrudder/dogwoodrudder/test/standin/app"
	"github.com/dogwoodrudder/dogwoodrudder/test/standin/cloud"
	"github.com/dogwoodrudder/dogwoodrudder/test/standin/engine"
	"github.com/dogwoodrudder/dogwoodrudder/test/standin/store"
)

const (
	// maxParallelClusters bounds the clusters that run at the same time. Each
	// loads the machine like about ten processes, and the machine is shared.
	maxParallelClusters = 3
	readyTimeout        = 15 * time.Second
	pollInterval        = 20 * time.Millisecond
	// seedVariable is the environment variable with the random seed of every
	// cluster.
	seedVariable = "RUDDER_TEST_SEED"
)

var clusterSlots = make(chan struct{}, maxParallelClusters)

// Options configure a Cluster. Zero values mean the defaults.
type Options struct {
	DataCentres int // default 3
	Daemons     int // default 7, assigned to the data centres round-robin
	Engines     int // in each data centre; default 2
	Apps        int // in each data centre; default 1
	// Engine and App configure the stand-ins; Engine.Model is overwritten.
	Engine engine.Options
	App    app.Options
	Cloud  cloud.Options
	// Settings override settings of the daemons, by "section.key".
	Settings map[string]string
}

func (o Options) withDefaults() Options {
	for field, value := range map[*int]int{&o.DataCentres: 3, &o.Daemons: 7, &o.Engines: 2, &o.Apps: 1} {
		if *field == 0 {
			*field = value
		}
	}
	return o
}

// Cluster is a set of daemons with their upstreams, store and cloud.
type Cluster struct {
	T       testing.TB
	Options Options
	Seed    uint64
	Store   *store.Server
	Cloud   *cloud.Server
	Engines []*Engine
	Apps    []*App
	Daemons []*Daemon

	network  int64 // second byte of the loopback addresses
	dir      string
	caller   *apiclient.Client
	operator *apiclient.Client
	orders   orderRecord

	mu     sync.Mutex // guards random
	random *rand.Rand
}

// Engine is a model engine on an instance of its own.
type Engine struct {
	Name       string
	DataCentre string
	*engine.Server
}

// App is an application service on an instance of its own.
type App struct {
	Name       string
	DataCentre string
	*app.Server
}

// New starts a cluster, applies the sample objects and waits until every
// daemon serves them. The cluster stops at the end of the test.
func New(t testing.TB, options Options) *Cluster {
	t.Helper()
	SkipKnownFailure(t)
	clusterSlots <- struct{}{}
	t.Cleanup(func() { <-clusterSlots })
	c := &Cluster{T: t, Options: options.withDefaults(), Seed: seed(), dir: t.TempDir(), network: networkByte(clusters.Add(1))}
	t.Logf("%s=%d", seedVariable, c.Seed)
	c.random = rand.New(rand.NewPCG(c.Seed, 0))
	t.Cleanup(c.stop)
	c.startDependencies()
	c.startDaemons()
	c.caller, c.operator = c.client(CallerKey), c.client(operatorKey)
	c.WaitReady(c.Daemons...)
	c.WaitMembers(len(c.Daemons), c.Daemons...)
	c.WaitRevision(c.Apply(c.Daemons[0], c.objects()), c.Daemons...)
	return c
}

func seed() uint64 {
	if n, err := strconv.ParseUint(os.Getenv(seedVariable), 10, 64); err == nil {
		return n
	}
	return rand.Uint64()
}

// Random returns the next pseudo-random number in [0, n), which the seed
// determines.
func (c *Cluster) Random(n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.random.IntN(n)
}

func (c *Cluster) client(key string) *apiclient.Client {
	client, err := apiclient.New(key, false)
	c.must(err)
	return client
}

func (c *Cluster) must(err error) {
	c.T.Helper()
	if err != nil {
		c.T.Fatal(err)
	}
}

func dataCentre(i int) string { return "dc" + strconv.Itoa(i+1) }

// clusters counts the clusters of this process.
var clusters atomic.Int64

// networkByte returns the second byte of a cluster's loopback addresses. It
// differs between the clusters of a process and usually between processes.
func networkByte(cluster int64) int64 { return 2 + (int64(os.Getpid())*7+cluster)%250 }

func (c *Cluster) loopback(dataCentre, n int) string {
	return fmt.Sprintf("127.%d.%d.%d", c.network, dataCentre+1, n)
}

// startDependencies starts the store, the cloud and the upstreams.
func (c *Cluster) startDependencies() {
	c.Store = store.New(store.Options{})
	c.must(c.Store.Start("127.0.0.1:0"))
	options := c.Options.Cloud
	options.OnStop = c.onInstanceStop
	c.Cloud = cloud.New(options)
	c.must(c.Cloud.Start("127.0.0.1:0"))
	for dc := range c.Options.DataCentres {
		for i := range c.Options.Engines {
			c.startEngine(dc, i)
		}
		for i := range c.Options.Apps {
			c.startApp(dc, i)
		}
	}
}

func (c *Cluster) startEngine(dc, i int) {
	options := c.Options.Engine
	options.Model, options.Seed = modelName, c.Seed+uint64(len(c.Engines))
	e := &Engine{fmt.Sprintf("engine-%s-%d", dataCentre(dc), i+1), dataCentre(dc), engine.New(options)}
	c.must(e.Start(c.loopback(dc, 100+i) + ":0"))
	c.Engines = append(c.Engines, e)
	c.startInstance(e.Name, e.DataCentre)
}

func (c *Cluster) startApp(dc, i int) {
	options := c.Options.App
	options.Version, options.Seed = "shop-v1", c.Seed+uint64(1000+len(c.Apps))
	a := &App{fmt.Sprintf("app-%s-%d", dataCentre(dc), i+1), dataCentre(dc), app.New(options)}
	c.must(a.Start(c.loopback(dc, 200+i) + ":0"))
	c.Apps = append(c.Apps, a)
	c.startInstance(a.Name, a.DataCentre)
}

func (c *Cluster) startInstance(name, dataCentre string) {
	_, err := c.Cloud.StartInstance(cloud.Instance{
		Name: name, Class: "small", DataCentre: dataCentre, Reclaimable: true,
	})
	c.must(err)
}

// onInstanceStop stops the engine, application service or daemon on an instance
// that the cloud stopped.
func (c *Cluster) onInstanceStop(i cloud.Instance) {
	if c.Options.Cloud.OnStop != nil {
		c.Options.Cloud.OnStop(i)
	}
	for _, e := range c.Engines {
		if e.Name == i.Name {
			e.Close()
		}
	}
	for _, a := range c.Apps {
		if a.Name == i.Name {
			a.Close()
		}
	}
	for _, d := range c.Daemons {
		if d.Name == i.Name {
			d.Kill()
		}
	}
}

// EnginesIn returns the engines of a data centre.
func (c *Cluster) EnginesIn(dataCentre string) []*Engine {
	var list []*Engine
	for _, e := range c.Engines {
		if e.DataCentre == dataCentre {
			list = append(list, e)
		}
	}
	return list
}

func (c *Cluster) stop() {
	for _, d := range c.Daemons {
		d.Kill()
	}
	if c.T.Failed() {
		for _, d := range c.Daemons {
			c.T.Logf("--- last log lines of %s in %s\n%s", d.Name, d.DataCentre, d.log.tail())
		}
	}
	for _, e := range c.Engines {
		e.Close()
	}
	for _, a := range c.Apps {
		a.Close()
	}
	if c.Cloud != nil {
		c.Cloud.Close()
	}
	if c.Store != nil {
		c.Store.Close()
	}
}

// Wait polls f until it returns nil, and fails the test after the timeout.
// condition names what is waited for.
func (c *Cluster) Wait(condition string, timeout time.Duration, f func() error) {
	c.T.Helper()
	deadline := time.Now().Add(timeout)
	for {
		err := f()
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			c.T.Fatalf("wait for %s: timed out after %s: %v", condition, timeout, err)
		}
		time.Sleep(pollInterval)
	}
}

var (
	buildOnce sync.Once
	buildDir  string
	errBuild  error
)

// Main runs the tests of a package, removes the built rudderd binary and returns
// the exit code.
func Main(m *testing.M) int {
	defer func() {
		if buildDir != "" {
			_ = os.RemoveAll(buildDir)
		}
	}()
	return m.Run()
}

// moduleRoot returns the root directory of the module.
func moduleRoot() string {
	_, file, _, _ := runtime.Caller(0)
	return filepath.Dir(filepath.Dir(filepath.Dir(file)))
}

// program builds rudderd on the first call and returns its path.
func program() (string, error) {
	buildOnce.Do(func() {
		if buildDir, errBuild = os.MkdirTemp("", "rudderd"); errBuild != nil {
			return
		}
		build := exec.Command("go", "build", "-o", buildDir, "./cmd/rudderd")
		build.Dir = moduleRoot()
		if out, err := build.CombinedOutput(); err != nil {
			errBuild = fmt.Errorf("build rudderd: %w\n%s", err, out)
		}
	})
	return filepath.Join(buildDir, "rudderd"), errBuild
}
