package harness

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"gopkg.in/ini.v1"
)

const (
	// stopTimeout exceeds the drain timeout of the settings by the time that
	// the daemon takes to close its listeners.
	stopTimeout = 14 * time.Second
	killTimeout = 5 * time.Second
	// goroutineDumpTime is the time that a process gets after SIGQUIT to log
	// its goroutines.
	goroutineDumpTime = time.Second
	// logTailBytes is the part of a log that a failed test prints.
	logTailBytes = 12 << 10
	// maxLogBytes bounds the log kept in memory for each daemon.
	maxLogBytes = 1 << 20
)

// Daemon is a rudderd process and its settings.
type Daemon struct {
	Name       string
	DataCentre string
	HTTP       string // ip:port
	Peer       string // ip:port

	cluster *Cluster
	file    string
	log     logBuffer

	mu      sync.Mutex // guards the fields below
	process *os.Process
	exited  chan struct{}
	err     error // exit error of the last process
}

// logBuffer keeps the last maxLogBytes of a process's output.
type logBuffer struct {
	mu   sync.Mutex
	data []byte
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.data = append(b.data, p...)
	if excess := len(b.data) - maxLogBytes; excess > 0 {
		b.data = append([]byte{}, b.data[excess:]...)
	}
	return len(p), nil
}

func (b *logBuffer) text() []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	return bytes.Clone(b.data)
}

// tail returns the goroutine dump if there is one, otherwise the last
// logTailBytes.
func (b *logBuffer) tail() []byte {
	text := b.text()
	if dump := bytes.Index(text, []byte("SIGQUIT: quit")); dump >= 0 {
		return text[dump:]
	}
	return text[max(0, len(text)-logTailBytes):]
}

// LogContains reports whether the log of the daemon contains text.
func (d *Daemon) LogContains(text string) bool { return bytes.Contains(d.log.text(), []byte(text)) }

// Ports of the daemons. They are below the system's ephemeral port range.
// Another process could take an ephemeral port between its choice and its use.
const (
	httpPort = 8080
	peerPort = 8081
)

// startDaemons starts the daemons and assigns them to the data centres round-robin.
func (c *Cluster) startDaemons() {
	for i := range c.Options.Daemons {
		dc := i % c.Options.DataCentres
		d := &Daemon{
			Name: fmt.Sprintf("daemon-%d", i+1), DataCentre: dataCentre(dc), cluster: c,
		}
		d.HTTP = fmt.Sprintf("%s:%d", c.loopback(dc, 1+i), httpPort)
		d.Peer = fmt.Sprintf("%s:%d", c.loopback(dc, 1+i), peerPort)
		d.file = filepath.Join(c.dir, d.Name+".ini")
		c.Daemons = append(c.Daemons, d)
	}
	for _, d := range c.Daemons {
		c.must(d.writeSettings())
		c.startInstance(d.Name, d.DataCentre)
		c.must(d.Start())
	}
}

// settings returns the settings of the daemon by "section.key". The intervals
// are short so that failures are detected quickly.
func (d *Daemon) settings() map[string]string {
	c := d.cluster
	seeds := ""
	for _, other := range c.Daemons {
		if other != d {
			seeds += other.Peer + ","
		}
	}
	values := map[string]string{
		"daemon.name": d.Name, "daemon.data_centre": d.DataCentre,
		"daemon.http_address": d.HTTP, "daemon.peer_address": d.Peer,
		"daemon.drain_timeout": "8s", "daemon.address_ttl": "1s",
		"peers.probe_interval": "200ms", "peers.probe_timeout": "200ms", "peers.suspect_after": "800ms",
		"store.endpoints":      c.Store.Address(),
		"orders.secret_id":     "test-1",
		"orders.secret":        "6578616d706c652d6f726465722d7365637265742d3030312d6578616d706c65",
		"limits.resume_window": "10s", "limits.request_timeout": "30s",
		"upstreams.dial_timeout": "300ms", "upstreams.first_byte_timeout": "3s",
		"upstreams.token_timeout": "1s", "upstreams.health_interval": "250ms",
		"upstreams.load_interval": "500ms", "upstreams.migration_deadline": "500ms",
		"operators.bootstrap_key_hash": operatorHash(),
		"platform.cloud_address":       c.Cloud.Address(), "platform.notice_interval": "200ms",
	}
	if len(seeds) > 0 {
		values["peers.seeds"] = seeds[:len(seeds)-1]
	}
	for name, value := range c.Options.Settings {
		values[name] = value
	}
	return values
}

func (d *Daemon) writeSettings() error {
	file := ini.Empty()
	for name, value := range d.settings() {
		section, key, _ := bytes.Cut([]byte(name), []byte("."))
		if _, err := file.Section(string(section)).NewKey(string(key), value); err != nil {
			return err
		}
	}
	return file.SaveTo(d.file)
}

// Start runs the daemon, which must not be running.
func (d *Daemon) Start() error {
	path, err := program()
	if err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.process != nil {
		return fmt.Errorf("start %s: already running", d.Name)
	}
	cmd := exec.Command(path, "run", "--settings", d.file)
	cmd.Stdout, cmd.Stderr = &d.log, &d.log
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	d.process, d.exited = cmd.Process, exited
	go func() {
		err := cmd.Wait()
		d.mu.Lock()
		defer d.mu.Unlock()
		d.process, d.err = nil, err
		close(exited)
	}()
	return nil
}

// signal sends a signal if the process runs, and returns the channel that is
// closed when the process exits. The signal cannot reach another process that
// reuses the process ID, because the exit is recorded under the same lock.
func (d *Daemon) signal(s os.Signal) <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.process != nil {
		_ = d.process.Signal(s)
	}
	return d.exited
}

// Running reports whether the process runs.
func (d *Daemon) Running() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.process != nil
}

// Kill sends SIGKILL and waits until the process exits.
func (d *Daemon) Kill() {
	exited := d.signal(syscall.SIGKILL)
	if exited == nil {
		return
	}
	select {
	case <-exited:
	case <-time.After(killTimeout):
		d.cluster.T.Errorf("%s did not exit within %s after SIGKILL", d.Name, killTimeout)
	}
}

// Freeze suspends the process with SIGSTOP.
func (d *Daemon) Freeze() { d.signal(syscall.SIGSTOP) }

// Thaw resumes a frozen process with SIGCONT.
func (d *Daemon) Thaw() { d.signal(syscall.SIGCONT) }

// Terminate sends SIGTERM and does not wait for the exit.
func (d *Daemon) Terminate() { d.signal(syscall.SIGTERM) }

// Stop sends SIGTERM and waits for the exit. It returns an error if the process
// does not exit within stopTimeout or exits with an error.
func (d *Daemon) Stop() error {
	exited := d.signal(syscall.SIGTERM)
	select {
	case <-exited:
	case <-time.After(stopTimeout):
		d.signal(syscall.SIGQUIT) // the log then shows what each goroutine waits for
		time.Sleep(goroutineDumpTime)
		d.Kill()
		return fmt.Errorf("%s did not exit within %s after SIGTERM", d.Name, stopTimeout)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.err
}

// Restart stops the process gracefully, starts it again and waits until it is
// ready.
func (d *Daemon) Restart() error {
	if err := d.Stop(); err != nil {
		return err
	}
	if err := d.Start(); err != nil {
		return err
	}
	d.cluster.WaitReady(d)
	return nil
}
