// Command silence shows streams that a stopping daemon cuts because their worker made no
// event for 1.6 s, although no other worker could continue them.
package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/dogwoodrudder/dogwoodrudder/review/_src2/rig"
)

const (
	// pause is how long the engine makes no events, for example while it reads in requests
	// that it had preempted. Clients abandon a stream after a gap of 3.2 s: the longest of 2 s,
	// four times the objective of 500 ms and eight times the pause of 400 ms of the route.
	pause        = 2000 * time.Millisecond
	eventGap     = 50 * time.Millisecond
	events       = 6
	deadline     = 2500 * time.Millisecond
	sendInterval = 50 * time.Millisecond
	sendTime     = 400 * time.Millisecond
)

// engine is a model worker. From pausedFrom on it makes no events for pause.
type engine struct {
	id         string
	mu         sync.Mutex
	pausedFrom time.Time
	ran        map[string]string
}

func (e *engine) wait() {
	e.mu.Lock()
	from := e.pausedFrom
	e.mu.Unlock()
	if end := from.Add(pause); !from.IsZero() && time.Now().Before(end) && time.Now().After(from) {
		time.Sleep(time.Until(end))
	}
}

func (e *engine) note(id, what string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ran[id] += what
}

func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	if expected := r.Header.Get("X-Expect-Instance"); expected != e.id {
		w.Header().Set("X-Instance-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	first := 1
	if last := r.Header.Get("Last-Event-Id"); last != "" {
		n, _ := strconv.Atoi(last)
		first = n + 1
	}
	w.Header().Set("X-Response-Seal", "seal."+e.id+"."+id)
	w.Header().Set("Content-Type", "text/event-stream")
	for i := first; i <= events; i++ {
		e.wait()
		if r.Context().Err() != nil {
			e.note(id, " the connection was closed")
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: event %d\n\n", i, i); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
		e.note(id, fmt.Sprintf(" %d", i))
		time.Sleep(eventGap)
	}
	e.note(id, " whole")
}

// stream is what a client got.
type stream struct {
	id, daemon  string
	sent, ended time.Time
	status      int
	events      int
	err         error
}

func (s stream) whole() bool { return s.status == 200 && s.err == nil && s.events == events }

func ask(d *rig.Daemon, id string) stream {
	s := stream{id: id, daemon: d.Name, sent: time.Now()}
	transport := &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	client := http.Client{Transport: transport, Timeout: deadline + time.Second}
	req, _ := http.NewRequest("POST", "http://"+d.Callers+"/query/1", strings.NewReader(strings.Repeat("x", 2400)))
	req.Host = rig.Host
	for name, value := range map[string]string{
		"X-Request-Id": id, "X-Deadline-Ms": strconv.FormatInt(deadline.Milliseconds(), 10), "Authorization": "Bearer " + rig.Key,
		"X-Model": "m", "X-Token-Usage": "2368,24", "X-Prefix-Hash": "5c1e07a2:568," + id[len(id)-6:] + ":1800",
	} {
		req.Header[name] = []string{value}
	}
	resp, err := client.Do(req)
	if err == nil {
		s.status = resp.StatusCode
		lines := bufio.NewScanner(resp.Body)
		for lines.Scan() {
			if strings.HasPrefix(lines.Text(), "data:") {
				s.events++
			}
		}
		err = lines.Err()
		_ = resp.Body.Close()
	}
	s.ended, s.err = time.Now(), err
	return s
}

func main() {
	broken, err := run(os.Args[1], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Println("the case couldn't run:", err)
		os.Exit(2)
	}
	if broken {
		os.Exit(1)
	}
}

func run(folder string, trouble bool) (bool, error) {
	record, err := rig.NewRecord(folder)
	if err != nil {
		return false, err
	}
	d, err := rig.New(record)
	if err != nil {
		return false, err
	}
	defer d.Close()
	for _, zone := range []string{"a", "b", "c"} {
		if _, err := d.AddDaemon(zone); err != nil {
			return false, err
		}
	}
	d.Store.Put("op/config", rig.Config(1))
	var engines []*engine
	entry := func(i int, state string) {
		d.Store.Put(fmt.Sprintf("servers/i-%d", i), engines[i-1].entry(state))
	}
	for i := 1; i <= 2; i++ {
		e := &engine{id: fmt.Sprintf("i-%d", i), ran: map[string]string{}}
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return false, err
		}
		addresses[e] = l.Addr().String()
		go func() { _ = http.Serve(l, e) }()
		engines = append(engines, e)
		entry(i, "ready")
	}
	if err := d.StartAll(); err != nil {
		return false, err
	}
	target := d.Daemons[0]
	if target == d.Holder() {
		target = d.Daemons[1]
	}
	time.Sleep(rig.ContactTime)
	record.Say("%s is draining, so that only %s is left", engines[1].id, engines[0].id)
	entry(2, "draining")
	time.Sleep(rig.ContactTime + time.Second)

	var answers []stream
	var mu sync.Mutex
	var clients sync.WaitGroup
	began := time.Now()
	for i := 0; time.Since(began) < sendTime; i++ {
		clients.Add(1)
		go func() {
			defer clients.Done()
			s := ask(target, fmt.Sprintf("request-%06d", i))
			mu.Lock()
			defer mu.Unlock()
			answers = append(answers, s)
		}()
		time.Sleep(sendInterval)
		if i == 1 {
			record.Say("SIGTERM to %s", target.Name)
			target.Signal(syscall.SIGTERM)
		}
	}
	if trouble {
		engines[0].mu.Lock()
		engines[0].pausedFrom = time.Now().Add(-time.Millisecond)
		engines[0].mu.Unlock()
		record.Say("%s makes no events for %s", engines[0].id, pause)
	}
	clients.Wait()
	<-target.Exited()

	cut := 0
	for _, s := range answers {
		record.Printf("%s sent %.3f s after the first to %s: status %d, %d of %d events, ended after %.3f s, error %v; the worker made%s",
			s.id, s.sent.Sub(began).Seconds(), s.daemon, s.status, s.events, events, s.ended.Sub(s.sent).Seconds(), s.err, engines[0].ran[s.id]+engines[1].ran[s.id])
		if !s.whole() && s.ended.Sub(s.sent) < deadline-100*time.Millisecond {
			cut++
		}
	}
	record.Say("%d of %d streams ended without a complete answer, before their deadline and while their worker was at work", cut, len(answers))
	return cut > 0, nil
}

var addresses = map[*engine]string{}

func (e *engine) entry(state string) []byte {
	w := rig.Worker{ID: e.id, Service: "model", Address: addresses[e]}
	return w.Entry("a", state)
}
