// Package rig starts edge daemons with the command of the deploy file, beside
// stand-ins of the platform and its workers, for the cases in review/.
package rig

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/dogwoodrudder/dogwoodrudder/test/standin/platform"
)

// Exit codes of a case.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// Trouble reports whether the case plays its disruption.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Record is the file with what was sent, answered and run.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord creates the file.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	return &Record{file: f, start: time.Now()}, err
}

// Logf writes a line with the time since the start of the case.
func (r *Record) Logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f "+format+"\n", append([]any{time.Since(r.start).Seconds()}, args...)...)
}

// Rig is a small deployment on loopback addresses.
type Rig struct {
	Record  *Record
	Store   *platform.Store
	Cloud   *platform.Cloud
	Daemons []*Daemon

	dir            string
	prefix         string // first three numbers of the loopback addresses
	storeAddress   string
	cloudAddress   string
	servers        []*http.Server
	plain          []*PlainWorker
	versionedCount int
	stops          []func()
}

// Daemon is a rudderd process.
type Daemon struct {
	Name, IP, Zone                         string
	Callers, Ready, Directory, Coordinator string
	settings                               string
	log                                    *os.File
	process                                *exec.Cmd
	exited                                 chan struct{}
	rig                                    *Rig
	storeAddress                           string
}

// New starts the stand-ins of the platform's store and cloud.
func New(record *Record) (*Rig, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	r := &Rig{
		Record: record, Store: platform.NewStore(), Cloud: platform.NewCloud(), dir: dir,
		prefix: fmt.Sprintf("127.%d.%d", 20+rand.N(200), 1+rand.N(250)),
	}
	go r.stopOnSignal()
	if r.storeAddress, err = r.Serve(r.Address(200), r.Store); err != nil {
		return nil, err
	}
	r.cloudAddress, err = r.Serve(r.Address(201), r.Cloud)
	return r, err
}

// stopOnSignal ends the processes of the rig when the case itself is ended.
func (r *Rig) stopOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	<-signals
	r.Stop()
	os.Exit(NotRun)
}

// Address returns a loopback address of the deployment with a port that the system chooses.
func (r *Rig) Address(host int) string { return fmt.Sprintf("%s.%d:0", r.prefix, host) }

// StoreAddress returns the address of the platform's store.
func (r *Rig) StoreAddress() string { return r.storeAddress }

// Serve starts an HTTP server and returns its address.
func (r *Rig) Serve(address string, handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	r.servers = append(r.servers, server)
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

// PutConfig writes op/config as the operator does.
func (r *Rig) PutConfig(config map[string]any) {
	value, err := json.Marshal(config)
	if err != nil {
		panic(err)
	}
	r.Store.Put("op/config", value)
	r.Record.Logf("operator: op/config %s", value)
}

func freePort(ip string) string {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		panic(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// AddDaemon prepares a daemon. storeAddress is that of the store or of a proxy before it;
// empty means the store.
func (r *Rig) AddDaemon(zone, storeAddress string) (*Daemon, error) {
	n := len(r.Daemons) + 1
	d := &Daemon{Name: fmt.Sprintf("edge-%s-%d", zone, n), IP: fmt.Sprintf("%s.%d", r.prefix, n), Zone: zone, rig: r, storeAddress: storeAddress}
	if storeAddress == "" {
		d.storeAddress = r.storeAddress
	}
	d.Callers, d.Ready, d.Directory, d.Coordinator = freePort(d.IP), freePort(d.IP), freePort(d.IP), freePort(d.IP)
	d.settings = filepath.Join(r.dir, d.Name+".ini")
	template, err := os.ReadFile("deploy/rudderd.ini.tmpl")
	if err != nil {
		return nil, err
	}
	_, port, _ := net.SplitHostPort(d.Coordinator)
	text := fill(string(template), map[string]string{
		"nodeName": d.Name, "zone": zone, "region": "ulaanbaatar", "ip": d.IP, "portRange.0": port,
		"listen.front": d.Callers, "listen.ready": d.Ready, "listen.directory": d.Directory,
		"limits.cpuQuota": "0.4", "limits.ramMb": "284", "limits.nicMbps": "1000", "limits.maxFds": "4100",
		"platform.addr": d.storeAddress, "platform.writesPerS": "400", "platform.readsPerS": "2000",
		"cloud": "", "cloud.addr": r.cloudAddress, "cloud.dutyPerS": "50", "cloud.duties": "metering",
		"bounds.drainMs": "2000", "bounds.graceS": "8", "bounds.revokeMs": "5000", "bounds.contactMs": "3000",
		"bounds.retryRatio": "0.2", "bounds.retryWindowS": "10", "bounds.retryExtra": "54", "bounds.quotaWindowS": "8",
		"bounds.quotaSlack": "140000", "bounds.leaseMs": "3000", "bounds.usageWindowS": "5", "bounds.usageLateS": "10",
		"bounds.exposureShare": "0.1", "bounds.exposureSlack": "50", "bounds.rollbackMs": "5000", "bounds.reuseWindowS": "5.6",
	})
	if err := os.WriteFile(d.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	if d.log, err = os.Create(filepath.Join(r.dir, d.Name+".log")); err != nil {
		return nil, err
	}
	r.Daemons = append(r.Daemons, d)
	return d, nil
}

var (
	section     = regexp.MustCompile(`(?s)\{\{#([A-Za-z.0-9]+)\}\}(.*?)\{\{/([A-Za-z.0-9]+)\}\}`)
	placeholder = regexp.MustCompile(`\{\{([A-Za-z.0-9]+)\}\}`)
)

// fill fills in the template of the deploy file with plain values. A section is rendered
// once if its value is present.
func fill(template string, values map[string]string) string {
	template = section.ReplaceAllStringFunc(template, func(s string) string {
		m := section.FindStringSubmatch(s)
		value, present := values[m[1]]
		if !present {
			return ""
		}
		return strings.ReplaceAll(m[2], "{{.}}", value)
	})
	return placeholder.ReplaceAllStringFunc(template, func(s string) string {
		return values[placeholder.FindStringSubmatch(s)[1]]
	})
}

// Start starts the process with the command of the deploy file.
func (d *Daemon) Start() error {
	d.process = exec.Command("target/rudderd", "edge")
	d.process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "DOGWOODRUDDER_CONFIG=" + d.settings}
	d.process.Stdout, d.process.Stderr = d.log, d.log
	if err := d.process.Start(); err != nil {
		return err
	}
	d.rig.Record.Logf("daemon %s started, callers at %s", d.Name, d.Callers)
	exited := make(chan struct{})
	d.exited = exited
	process := d.process
	go func() {
		err := process.Wait()
		d.rig.Record.Logf("daemon %s ended: %v", d.Name, err)
		close(exited)
	}()
	return nil
}

// Signal sends a signal to the process.
func (d *Daemon) Signal(s syscall.Signal) {
	d.rig.Record.Logf("daemon %s gets %v", d.Name, s)
	_ = d.process.Process.Signal(s)
}

// WaitExit waits for the end of the process and reports whether it came in time.
func (d *Daemon) WaitExit(timeout time.Duration) bool {
	select {
	case <-d.exited:
		return true
	case <-time.After(timeout):
		return false
	}
}

// Log returns what the process has written.
func (d *Daemon) Log() []byte {
	data, _ := os.ReadFile(d.log.Name())
	return data
}

// WaitReady waits until the readiness check answers 200.
func (d *Daemon) WaitReady(timeout time.Duration) bool {
	client := http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(30 * time.Millisecond) {
		resp, err := client.Get("http://" + d.Ready + "/api/readyz")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

// Stop ends everything that the rig started.
func (r *Rig) Stop() {
	for _, d := range r.Daemons {
		if d.process == nil {
			continue
		}
		_ = d.process.Process.Signal(syscall.SIGCONT)
		_ = d.process.Process.Kill()
		d.WaitExit(5 * time.Second)
		if keep := os.Getenv("KEEP_LOGS"); keep != "" {
			_ = os.WriteFile(filepath.Join(keep, d.Name+".log"), d.Log(), 0o600)
		}
		_ = d.log.Close()
	}
	for _, w := range r.plain {
		w.stop()
	}
	for _, stop := range r.stops {
		stop()
	}
	for _, s := range r.servers {
		_ = s.Close()
	}
	_ = os.RemoveAll(r.dir)
}

// Answer is what a client has received.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	Err    error // nil if the answer was complete
}

// Send sends a request on a new connection to a daemon, as a client does.
func Send(d *Daemon, method, path, id string, header map[string]string, body []byte) Answer {
	request, err := http.NewRequest(method, "http://"+d.Callers+path, bytes.NewReader(body))
	if err != nil {
		return Answer{Err: err}
	}
	request.Host = "trade.example"
	request.Header.Set("X-Request-Id", id)
	for name, value := range header {
		request.Header.Set(name, value)
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}, Timeout: 15 * time.Second}
	response, err := client.Do(request)
	if err != nil {
		return Answer{Err: err}
	}
	defer func() { _ = response.Body.Close() }()
	var data bytes.Buffer
	_, err = data.ReadFrom(response.Body)
	return Answer{Status: response.StatusCode, Header: response.Header, Body: data.Bytes(), Err: err}
}

// Fail reports that the case could not run.
func Fail(record *Record, what string, err error) int {
	record.Logf("the case could not run: %s: %v", what, err)
	fmt.Fprintln(os.Stderr, "the case could not run:", what, err)
	return NotRun
}
