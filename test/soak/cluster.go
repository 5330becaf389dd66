package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/dogwoodrudder/dogwoodrudder/test/standin/platform"
	"github.com/dogwoodrudder/dogwoodrudder/test/standin/worker"
)

// Ports of the daemons. All use the same ports, each at an IP address of its own.
const (
	portCallers     = 9001
	portReady       = 9002
	portDirectory   = 9003
	portCoordinator = 9004
	portMetrics     = 9005
	portStore       = 9006 // of the proxy in front of the store
	streamEvents    = 12   // number of events in the stream of a worker
)

// daemon is a rudderd process, which may be restarted.
type daemon struct {
	name       string
	ip         string
	storeProxy *proxy // between the daemon and the store
	binary     string // path of rudderd
	settings   string // path of the settings file
	logFile    *os.File

	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{} // closed when process has exited
	ends    []string      // errors of processes that ended by themselves
}

// cluster is a stand-in platform with daemons and workers.
type cluster struct {
	dir           string // holds the settings and logs of the daemons
	addressPrefix string // first three numbers of the IP addresses
	store         *platform.Store
	cloud         *platform.Cloud
	written       *writer
	gates         bool // each configuration has a route of its own
	daemons       []*daemon
	workers       []*worker.Worker
	servers       []*http.Server
	configVersion int64
	keys          map[string]string // key by account
	failures      []string          // of upgrades
	rates         map[string]int    // quota in tokens per second by account, if not defaultRate
}

// usageWindow is the length of the windows that usage is reported of.
const usageWindow = 5 * time.Second

// defaultRate is the quota of an account in tokens per second. A request costs
// one token.
const defaultRate = 5000

var zones = []string{"a", "b", "c"}

// newCluster starts the platform, the workers and the daemons. addressPrefix has
// the first three numbers of loopback addresses that no other process uses.
func newCluster(binary, dir, addressPrefix string, daemons int, gates bool) (*cluster, error) {
	c := &cluster{
		dir: dir, addressPrefix: addressPrefix, store: platform.NewStore(), cloud: platform.NewCloud(), gates: gates, configVersion: 1,
		keys: map[string]string{"acme": "k-acme", "bolt": "k-bolt", "core": "k-core"},
	}
	c.written = newWriter(c.store)
	storeAddress, err := c.serve(addressPrefix+".200:9100", c.store)
	if err != nil {
		return nil, err
	}
	cloudAddress, err := c.serve(addressPrefix+".201:9100", c.cloud)
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
		d := &daemon{name: fmt.Sprintf("edge-%d", i), ip: fmt.Sprintf("%s.%d", addressPrefix, i+1), binary: binary}
		if d.storeProxy, err = newProxy(fmt.Sprintf("%s:%d", d.ip, portStore), storeAddress); err != nil {
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

// serve starts an HTTP server and returns its address.
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

// putConfig stores the next version of the configuration, with the current keys
// and quotas of the accounts.
func (c *cluster) putConfig() {
	c.configVersion += 2
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
		rate := defaultRate
		if quota, hasQuota := c.rates[account]; hasQuota {
			rate = quota
		}
		tenants = append(tenants, map[string]any{
			"name": account, "apiKeys": []string{key}, "unit": "tokens", "uncachedTokens": 1, "ratePerS": rate, "burst": rate,
		})
	}
	routes := []map[string]any{
		route("orders", "non_idempotent", 2, false), route("lookups", "idempotent", 2, false),
		route("reports", "streaming", 1, false), route("queries", "streaming", 3, true),
	}
	if c.gates {
		gate := route(gateKind(c.configVersion), "idempotent", 2, false)
		gate["service"] = "lookups"
		routes = append(routes, gate)
	}
	value, err := json.Marshal(map[string]any{
		"configVer": c.configVersion, "services": services, "tenants": tenants, "routes": routes,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 20, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	if err != nil {
		panic(err) // plain values always encode
	}
	c.written.putVersion(c.configVersion, value)
}

// setQuota sets the quota of an account in tokens per second. All other accounts
// return to defaultRate.
func (c *cluster) setQuota(account string, rate int) {
	c.rates = map[string]int{account: rate}
	c.putConfig()
}

// startWorker starts a worker and announces it in the store. index is part of its
// ID and selects its address and zone.
func (c *cluster) startWorker(service string, index int) error {
	events := 0
	if service == "reports" || service == "queries" {
		events = streamEvents
	}
	id := fmt.Sprintf("w-%s-%d", service, index)
	w, err := worker.Start(id, service, fmt.Sprintf("%s.%d:0", c.addressPrefix, 100+index%90), events)
	if err != nil {
		return errors.Wrap(err, "start worker")
	}
	w.Set(healthyBehaviour)
	c.workers = append(c.workers, w)
	c.written.put("servers/"+id, w.Entry(zones[index%len(zones)], "ready"))
	return nil
}

// restartWorker starts a worker that has crashed at the address that it had. Its entry in
// the store is still there.
func (c *cluster) restartWorker(old *worker.Worker) error {
	w, err := worker.Start(old.ID, old.Service, old.Address(), old.Events)
	if err != nil {
		return errors.Wrap(err, "restart worker")
	}
	w.Set(healthyBehaviour)
	c.workers = append(c.workers, w)
	return nil
}

// healthyBehaviour is the behaviour of a worker without faults.
var healthyBehaviour = worker.Behaviour{Delay: 10 * time.Millisecond, EventGap: 15 * time.Millisecond}

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
usage_window = %[11]s
usage_lateness = 10s
quota_slack = 1000
`

// prepare writes the settings file and creates the log file.
func (d *daemon) prepare(dir, zone, cloudAddress string) error {
	d.settings = filepath.Join(dir, d.name+".ini")
	text := fmt.Sprintf(settingsText, d.name, zone, d.ip, portCallers, portReady, portDirectory, portCoordinator,
		portMetrics, portStore, cloudAddress, usageWindow)
	if err := os.WriteFile(d.settings, []byte(text), 0o600); err != nil {
		return errors.Wrap(err, "write settings")
	}
	var err error
	d.logFile, err = os.Create(filepath.Join(dir, d.name+".log"))
	return errors.Wrap(err, "create log")
}

// start starts the daemon unless its process still runs. Two faults that overlap
// on one daemon both restart it; a second process would leave the first one
// running, because the cluster stops only the last.
func (d *daemon) start() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.process != nil && !d.hasExited() {
		return nil
	}
	process := exec.Command(d.binary, "edge", "--settings", d.settings)
	process.Stdout, process.Stderr = d.logFile, d.logFile
	if err := process.Start(); err != nil {
		return errors.Wrap(err, "start daemon")
	}
	exited := make(chan struct{})
	d.process, d.exited = process, exited
	go func() {
		if err := process.Wait(); err != nil && !killed(process) {
			d.mu.Lock()
			d.ends = append(d.ends, err.Error())
			d.mu.Unlock()
		}
		close(exited)
	}()
	return nil
}

// upgrade stops each daemon in turn within length, and starts it with another binary.
func (c *cluster) upgrade(binary string, length time.Duration) {
	pause := length / time.Duration(len(c.daemons)+1)
	for _, d := range c.daemons {
		time.Sleep(pause)
		d.mu.Lock()
		d.binary = binary
		d.mu.Unlock()
		d.signal(syscall.SIGTERM)
		d.waitExit(10 * time.Second)
		if err := d.start(); err != nil {
			c.failures = append(c.failures, err.Error())
		}
	}
}

// killed reports whether a process has ended by SIGKILL, which only the soak sends.
func killed(process *exec.Cmd) bool {
	status, ok := process.ProcessState.Sys().(syscall.WaitStatus)
	return ok && status.Signal() == syscall.SIGKILL
}

// exits describes the processes that ended with an error, and not by SIGKILL.
func (c *cluster) exits() []string {
	ends := slices.Clone(c.failures)
	for _, d := range c.daemons {
		d.mu.Lock()
		for _, end := range d.ends {
			ends = append(ends, fmt.Sprintf("daemon %s ended by itself: %s", d.name, end))
		}
		d.mu.Unlock()
	}
	return ends
}

// hasExited reports whether the process has exited. The caller holds d.mu.
func (d *daemon) hasExited() bool {
	select {
	case <-d.exited:
		return true
	default:
		return false
	}
}

// signal sends a signal to the process of the daemon.
func (d *daemon) signal(s syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	_ = d.process.Process.Signal(s) // the process may have exited
}

// waitExit waits until the process has exited, at most for timeout.
func (d *daemon) waitExit(timeout time.Duration) {
	d.mu.Lock()
	exited := d.exited
	d.mu.Unlock()
	select {
	case <-exited:
	case <-time.After(timeout):
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

// stop kills the daemons and stops the proxies, workers and servers.
func (c *cluster) stop() {
	for _, d := range c.daemons {
		d.signal(syscall.SIGCONT)
		d.signal(syscall.SIGKILL)
		d.waitExit(5 * time.Second)
		d.storeProxy.close()
		_ = d.logFile.Close()
	}
	for _, w := range c.workers {
		w.Stop()
	}
	for _, s := range c.servers {
		_ = s.Close()
	}
}
