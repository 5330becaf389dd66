package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/dogwoodrudder/dogwoodrudder/test/standin/platform"
	"github.com/dogwoodrudder/dogwoodrudder/test/standin/worker"
)

// Ports of every daemon; each has an address of its own.
const (
	portCallers     = 9001
	portReady       = 9002
	portDirectory   = 9003
	portCoordinator = 9004
	portMetrics     = 9005
	portStore       = 9006 // a proxy before the store
	streamEvents    = 12
)

// daemon is one rudderd process.
type daemon struct {
	name   string
	ip     string
	store  *proxy
	binary string
	config string
	logs   *os.File

	mu      sync.Mutex
	process *exec.Cmd
	ended   chan struct{}
}

// cluster is a platform with daemons and workers.
type cluster struct {
	dir     string
	base    string // first three numbers of the addresses
	store   *platform.Store
	cloud   *platform.Cloud
	daemons []*daemon
	workers []*worker.Worker
	servers []*http.Server
	version int64
	keys    map[string]string // key by account
	rates   map[string]int    // quota of an account a second, if not usualRate
}

// usualRate is the quota of an account in tokens a second; a request costs one.
const usualRate = 5000

var zones = []string{"a", "b", "c"}

// newCluster starts everything. base is a loopback prefix that nobody else uses.
func newCluster(binary, dir, base string, daemons int) (*cluster, error) {
	c := &cluster{
		dir: dir, base: base, store: platform.NewStore(), cloud: platform.NewCloud(), version: 1,
		keys: map[string]string{"acme": "k-acme", "bolt": "k-bolt", "core": "k-core"},
	}
	storeAddress, err := c.serve(base+".200:9100", c.store)
	if err != nil {
		return nil, err
	}
	cloudAddress, err := c.serve(base+".201:9100", c.cloud)
	if err != nil {
		return nil, err
	}
	c.putConfig()
	for i, service := range []string{"orders", "orders", "lookups", "lookups", "reports", "reports", "queries", "queries", "queries"} {
		if err := c.startWorker(service, i); err != nil {
			return nil, err
		}
	}
	for i := range daemons {
		d := &daemon{name: fmt.Sprintf("edge-%d", i), ip: fmt.Sprintf("%s.%d", base, i+1), binary: binary}
		if d.store, err = newProxy(fmt.Sprintf("%s:%d", d.ip, portStore), storeAddress); err != nil {
			return nil, err
		}
		if err := d.prepare(dir, zones[i%len(zones)], cloudAddress); err != nil {
			return nil, err
		}
		if err := d.start(); err != nil {
			return nil, err
		}
		c.daemons = append(c.daemons, d)
	}
	return c, nil
}

func (c *cluster) serve(address string, handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return "", errors.Wrap(err, "listen")
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	c.servers = append(c.servers, server)
	go func() { _ = server.Serve(listener) }() // ends with Close
	return address, nil
}

// putConfig writes the next configuration with the accounts' present keys.
func (c *cluster) putConfig() {
	c.version += 2
	route := func(name, kind string, attempts int, resumable bool) map[string]any {
		return map[string]any{
			"name": name, "host": "h.example", "pathPrefix": "/" + name + "/", "type": kind, "timeoutMs": 3000, "sloMs": 500,
			"priority": 1, "service": name, "attempts": attempts, "resumable": resumable,
		}
	}
	var services, tenants []map[string]any
	for _, name := range []string{"orders", "lookups", "reports", "queries"} {
		services = append(services, map[string]any{"name": name, "healthPath": "/healthz", "maxConns": 200})
	}
	for account, key := range c.keys {
		rate := usualRate
		if limit, limited := c.rates[account]; limited {
			rate = limit
		}
		tenants = append(tenants, map[string]any{
			"name": account, "apiKeys": []string{key}, "unit": "tokens", "uncachedTokens": 1, "ratePerS": rate, "burst": rate,
		})
	}
	value, err := json.Marshal(map[string]any{
		"configVer": c.version, "services": services, "tenants": tenants,
		"routes": []map[string]any{
			route("orders", "non_idempotent", 2, false), route("lookups", "idempotent", 2, false),
			route("reports", "streaming", 1, false), route("queries", "streaming", 3, true),
		},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 20, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	if err != nil {
		panic(err) // plain values always encode
	}
	c.store.Put("op/config", value)
}

// limit changes the quota of an account.
func (c *cluster) limit(account string, rate int) {
	c.rates = map[string]int{account: rate}
	c.putConfig()
}

// startWorker starts a worker and announces it.
func (c *cluster) startWorker(service string, i int) error {
	events := 0
	if service == "reports" || service == "queries" {
		events = streamEvents
	}
	id := fmt.Sprintf("w-%s-%d", service, i)
	w, err := worker.Start(id, service, fmt.Sprintf("%s.%d:0", c.base, 100+i%90), events)
	if err != nil {
		return errors.Wrap(err, "start worker")
	}
	w.Set(sound)
	c.workers = append(c.workers, w)
	c.store.Put("servers/"+id, w.Entry(zones[i%len(zones)], "ready"))
	return nil
}

// sound is a worker's behaviour without faults.
var sound = worker.Behaviour{Delay: 10 * time.Millisecond, EventGap: 15 * time.Millisecond}

const settingsText = `[daemon]
name = %[1]s
data_centre = %[2]s
[listen]
callers = %[3]s:%[4]d
ready = %[3]s:%[5]d
directory = %[3]s:%[6]d
coordinator = %[3]s:%[7]d
metrics = %[3]s:%[8]d
[store]
address = %[3]s:%[9]d
[cloud]
address = %[10]s
duties = metering
[bounds]
grace = 8s
usage_window = 5s
usage_lateness = 10s
quota_slack = 1000
`

func (d *daemon) prepare(dir, zone, cloudAddress string) error {
	d.config = filepath.Join(dir, d.name+".ini")
	text := fmt.Sprintf(settingsText, d.name, zone, d.ip, portCallers, portReady, portDirectory, portCoordinator,
		portMetrics, portStore, cloudAddress)
	if err := os.WriteFile(d.config, []byte(text), 0o600); err != nil {
		return errors.Wrap(err, "write settings")
	}
	var err error
	d.logs, err = os.Create(filepath.Join(dir, d.name+".log"))
	return errors.Wrap(err, "create log")
}

// start starts the daemon unless its process still runs: two faults on one
// daemon both start it again, and the cluster would lose sight of a process.
func (d *daemon) start() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.process != nil && !d.hasEnded() {
		return nil
	}
	process := exec.Command(d.binary, "edge", "--settings", d.config)
	process.Stdout, process.Stderr = d.logs, d.logs
	if err := process.Start(); err != nil {
		return errors.Wrap(err, "start daemon")
	}
	ended := make(chan struct{})
	d.process, d.ended = process, ended
	go func() {
		_ = process.Wait() // how it ended is in its log
		close(ended)
	}()
	return nil
}

// hasEnded reports whether the process has ended. The caller holds the lock.
func (d *daemon) hasEnded() bool {
	select {
	case <-d.ended:
		return true
	default:
		return false
	}
}

// signal sends a signal to the daemon's process, by its ID.
func (d *daemon) signal(s syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	_ = d.process.Process.Signal(s) // the process may have ended
}

// waitEnd waits until the process has ended.
func (d *daemon) waitEnd(limit time.Duration) {
	d.mu.Lock()
	ended := d.ended
	d.mu.Unlock()
	select {
	case <-ended:
	case <-time.After(limit):
	}
}

// ready reports whether the daemon answers its readiness check with 200.
func (d *daemon) ready() bool {
	client := http.Client{Timeout: 300 * time.Millisecond}
	resp, err := client.Get(fmt.Sprintf("http://%s:%d/api/readyz", d.ip, portReady))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// stop ends all processes that the cluster started.
func (c *cluster) stop() {
	for _, d := range c.daemons {
		d.signal(syscall.SIGCONT)
		d.signal(syscall.SIGKILL)
		d.waitEnd(5 * time.Second)
		d.store.close()
		_ = d.logs.Close()
	}
	for _, w := range c.workers {
		w.Stop()
	}
	for _, s := range c.servers {
		_ = s.Close()
	}
}
