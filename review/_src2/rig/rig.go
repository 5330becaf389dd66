// Package rig starts a small deployment for the cases of the second review: daemons as
// processes of their own, and stand-ins of the platform, the workers and the clients.
package rig

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/dogwoodrudder/dogwoodrudder/test/standin/platform"
)

// Bounds of the deployment, as on the sheet of tsd-ub.
const (
	DrainTime   = 2 * time.Second
	ContactTime = 3 * time.Second
	GraceTime   = 8 * time.Second
)

// Host and key of the client.
const (
	Host = "desk.example"
	Key  = "key-of-the-desk"
)

// Record writes lines with the time since the start to record.txt and to the output.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord creates record.txt in a folder.
func NewRecord(folder string) (*Record, error) {
	f, err := os.Create(filepath.Join(folder, "record.txt"))
	return &Record{file: f, start: time.Now()}, err
}

// Printf writes a line.
func (r *Record) Printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f s  ", time.Since(r.start).Seconds()) + fmt.Sprintf(format, args...) + "\n"
	_, _ = r.file.WriteString(line)
}

// Say writes a line to the record and to the output.
func (r *Record) Say(format string, args ...any) {
	r.Printf(format, args...)
	fmt.Printf(format+"\n", args...)
}

// Deployment is the platform and the daemons.
type Deployment struct {
	Record  *Record
	Store   *platform.Store
	Cloud   *platform.Cloud
	Daemons []*Daemon

	storeAddress, cloudAddress string
	folder, binary             string
}

// New starts the store and the cloud.
func New(record *Record) (*Deployment, error) {
	binary, err := filepath.Abs("target/rudderd")
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(binary); err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	d := &Deployment{Record: record, Store: platform.NewStore(), Cloud: platform.NewCloud(), folder: folder, binary: binary}
	if d.storeAddress, err = serve(d.Store); err != nil {
		return nil, err
	}
	d.cloudAddress, err = serve(d.Cloud)
	return d, err
}

func serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(l, h) }()
	return l.Addr().String(), nil
}

// Close kills the daemons that still run and removes the temporary folder.
func (d *Deployment) Close() {
	for _, each := range d.Daemons {
		each.Kill()
	}
	_ = os.RemoveAll(d.folder)
}

// freeAddress returns an address of a loopback host with a free port.
func freeAddress(host string) (string, error) {
	l, err := net.Listen("tcp", host+":0")
	if err != nil {
		return "", err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String(), nil
}

// Daemon is one machine of the system, and its path to the store.
type Daemon struct {
	Name, Callers, Ready string
	ToStore              *Link

	deployment *Deployment
	settings   string
	mu         sync.Mutex
	cmd        *exec.Cmd
	done       chan struct{}
}

// AddDaemon prepares a machine. zone is its zone.
func (d *Deployment) AddDaemon(zone string) (*Daemon, error) {
	n := len(d.Daemons) + 1
	host := fmt.Sprintf("127.0.%d.1", n)
	link, err := NewLink(d.storeAddress)
	if err != nil {
		return nil, err
	}
	each := &Daemon{Name: fmt.Sprintf("edge-%d", n), ToStore: link, deployment: d}
	addresses := make([]string, 4)
	for i := range addresses {
		if addresses[i], err = freeAddress(host); err != nil {
			return nil, err
		}
	}
	each.Callers, each.Ready = addresses[0], addresses[1]
	// What deploy/rudderd.ini.tmpl gives for a small deployment, less the metrics.
	text := fmt.Sprintf(`[daemon]
name = %s
data_centre = %s
region = r
regions = a=r,b=r,c=r

[listen]
callers = %s
ready = %s
directory = %s
coordinator = %s

[limits]
cpu_share = 0.4
memory_mb = 284
link_mbps = 1000
descriptors = 4100

[store]
address = %s
writes_per_second = 400
reads_per_second = 2000

[cloud]
address = %s
calls_per_second = 50
duties = metering

[bounds]
leave_time = 2000ms
grace = 8s
key_revocation = 5000ms
contact = 3000ms
retry_ratio = 0.2
retry_window = 10s
retry_extra = 54
quota_window = 8s
quota_slack = 140000
quota_overrun = 0.1
lease = 3000ms
usage_window = 5s
usage_lateness = 10s
exposure_share = 0.1
exposure_slack = 50
rollback = 5000ms
`, each.Name, zone, addresses[0], addresses[1], addresses[2], addresses[3], link.Address, d.cloudAddress)
	each.settings = filepath.Join(d.folder, each.Name+".ini")
	if err := os.WriteFile(each.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	d.Daemons = append(d.Daemons, each)
	return each, nil
}

// Start starts the process with the command of the deploy file.
func (d *Daemon) Start() error {
	cmd := exec.Command(d.deployment.binary, "edge")
	cmd.Env = append(os.Environ(), "DOGWOODRUDDER_CONFIG="+d.settings)
	log, err := os.OpenFile(d.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	d.mu.Lock()
	d.cmd, d.done = cmd, done
	d.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(done)
	}()
	return nil
}

// Signal sends a signal to the process.
func (d *Daemon) Signal(s syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cmd != nil {
		_ = d.cmd.Process.Signal(s)
	}
}

// Kill ends the process and waits for its end.
func (d *Daemon) Kill() {
	d.mu.Lock()
	cmd, done := d.cmd, d.done
	d.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Kill()
	<-done
}

// Exited returns a channel that is closed when the process has ended.
func (d *Daemon) Exited() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.done
}

// Log returns what the process has logged.
func (d *Daemon) Log() string {
	data, _ := os.ReadFile(d.settings + ".log")
	return string(data)
}

// IsReady asks the readiness check.
func (d *Daemon) IsReady() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + d.Ready + "/api/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Holder returns the daemon that holds the duty by the store's entry, or nil.
func (d *Deployment) Holder() *Daemon {
	value := string(d.Store.Value("serving/duty/coordinator"))
	name, _, _ := strings.Cut(value, "@")
	for _, each := range d.Daemons {
		if each.Name == name {
			return each
		}
	}
	return nil
}

// StartAll starts all daemons and waits until they are ready and one holds the duty.
func (d *Deployment) StartAll() error {
	for _, each := range d.Daemons {
		if err := each.Start(); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(20 * time.Second)
	for _, each := range d.Daemons {
		for !each.IsReady() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s isn't ready: %s", each.Name, each.Log())
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	for d.Holder() == nil {
		if time.Now().After(deadline) {
			return fmt.Errorf("no daemon holds the duty")
		}
		time.Sleep(50 * time.Millisecond)
	}
	return nil
}

// Link forwards TCP connections to an address until it is cut.
type Link struct {
	Address string

	target string
	mu     sync.Mutex
	cut    bool
	open   map[net.Conn]bool
}

// NewLink starts a link.
func NewLink(target string) (*Link, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	link := &Link{Address: l.Addr().String(), target: target, open: map[net.Conn]bool{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go link.forward(c)
		}
	}()
	return link, nil
}

// Cut resets all connections, and new ones until Heal is called.
func (l *Link) Cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = true
	for c := range l.open {
		reset(c)
	}
}

// Heal ends a cut.
func (l *Link) Heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = false
}

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// add notes an open connection. It returns false while the link is cut.
func (l *Link) add(c net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cut {
		return false
	}
	l.open[c] = true
	return true
}

func (l *Link) remove(c net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, c)
	_ = c.Close()
}

func (l *Link) forward(c net.Conn) {
	if !l.add(c) {
		reset(c)
		return
	}
	defer l.remove(c)
	up, err := net.Dial("tcp", l.target)
	if err != nil {
		return
	}
	defer func() { _ = up.Close() }()
	done := make(chan struct{}, 2)
	pipe := func(to, from net.Conn) {
		_, _ = io.Copy(to, from)
		done <- struct{}{}
	}
	go pipe(up, c)
	go pipe(c, up)
	<-done
}

// Arrival is a request that has reached a worker.
type Arrival struct {
	At        time.Time
	RequestID string
}

// Worker is an application worker that handles each request in a given time.
type Worker struct {
	ID, Service, Address string
	Work                 time.Duration

	server *http.Server
	mu     sync.Mutex
	runs   []Arrival
	ended  map[string]bool
}

// StartWorker starts a worker.
func StartWorker(id, service string, work time.Duration) (*Worker, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &Worker{ID: id, Service: service, Address: l.Addr().String(), Work: work, ended: map[string]bool{}}
	w.server = &http.Server{Handler: w}
	go func() { _ = w.server.Serve(l) }()
	return w, nil
}

// Entry returns the worker's entry in the store.
func (w *Worker) Entry(zone, state string) []byte {
	value, _ := json.Marshal(map[string]any{
		"service": w.Service, "addr": w.Address, "zone": zone, "configVer": "v1", "slots": 6, "state": state, "coldLeftMs": 0, "seq": 1, "born": time.Now().UnixMilli(),
	})
	return value
}

// ServeHTTP implements http.Handler.
func (w *Worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	at, id := time.Now(), r.Header.Get("X-Request-Id")
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != w.ID {
		rw.Header().Set("X-Instance-Id", w.ID)
		rw.Header().Set("X-Request-Id", id)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	w.mu.Lock()
	w.runs = append(w.runs, Arrival{at, id})
	w.mu.Unlock()
	time.Sleep(w.Work)
	w.mu.Lock()
	w.ended[id] = true
	w.mu.Unlock()
	rw.Header().Set("X-Request-Id", id)
	rw.Header().Set("X-Response-Seal", "seal."+w.ID+"."+id)
	_, _ = fmt.Fprintf(rw, "%s ran %s", w.ID, id)
}

// Exit ends the worker as the end of its process does.
func (w *Worker) Exit() { _ = w.server.Close() }

// Arrivals returns the requests that have begun to run.
func (w *Worker) Arrivals() []Arrival {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]Arrival{}, w.runs...)
}

// Answer is what a client got.
type Answer struct {
	Sent   time.Time
	Daemon string
	ID     string
	Status int // 0 for a connection that ended without an answer
	Body   string
}

// Client sends requests one by one, each on a new connection.
type Client struct {
	count   atomic.Int64
	mu      sync.Mutex
	answers []Answer
}

// Send sends one request to a daemon and records the answer.
func (c *Client) Send(d *Daemon, method, path string, body []byte) {
	id := fmt.Sprintf("request-%06d", c.count.Add(1))
	client := http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	req, _ := http.NewRequest(method, "http://"+d.Callers+path, bytes.NewReader(body))
	req.Host = Host
	req.Header["X-Request-Id"] = []string{id}
	req.Header["X-Deadline-Ms"] = []string{"3000"}
	req.Header["Authorization"] = []string{"Bearer " + Key}
	a := Answer{Sent: time.Now(), Daemon: d.Name, ID: id}
	resp, err := client.Do(req)
	if err == nil {
		data, readErr := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if readErr == nil {
			a.Status, a.Body = resp.StatusCode, string(data)
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answers = append(c.answers, a)
}

// Answers returns all answers so far.
func (c *Client) Answers() []Answer {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Answer{}, c.answers...)
}

// Config is a configuration with one route of each kind.
func Config(version int) []byte {
	route := func(name, path, kind string, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": Host, "pathPrefix": path, "type": kind, "timeoutMs": 3000, "sloMs": 300, "priority": 2,
			"service": "ledger", "attempts": attempts, "public": false, "sticky": false, "resumable": false,
		}
	}
	// The query of the sheet: counter-query of tsd-ub.
	query := map[string]any{
		"name": "query", "host": Host, "pathPrefix": "/query/", "type": "streaming", "timeoutMs": 2500, "sloMs": 500, "priority": 0,
		"service": "model", "attempts": 2, "public": false, "sticky": true, "resumable": true, "itlTargetMs": 400,
	}
	service := func(name string) map[string]any {
		return map[string]any{"name": name, "healthPath": "/healthz", "maxConns": 100, "proto": "h1", "tls": false}
	}
	value, _ := json.Marshal(map[string]any{
		"configVer": version,
		"routes":    []any{route("orders", "/orders/", "non_idempotent", 1), route("stock", "/stock/", "idempotent", 2), query},
		"services":  []any{service("ledger"), service("model")},
		"limits":    map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":   []any{map[string]any{"name": "desk", "apiKeys": []string{Key}}},
	})
	return value
}
