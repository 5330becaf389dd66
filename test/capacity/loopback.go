package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/textproto"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/dogwoodrudder/dogwoodrudder/internal/engine"
	"github.com/dogwoodrudder/dogwoodrudder/internal/upstreamhttp"
)

// streamSizes are numbers of concurrent streams; the largest is the load of
// one daemon at the target.
var streamSizes = []int{75, 300, 600}

// loopEngine is an engine on a loopback port that writes prepared events. It
// uses plain sockets, so that it adds little processor time to the measured
// process.
type loopEngine struct {
	listener net.Listener
	tokens   int
	interval time.Duration // between tokens; 0 means at once
	accepted atomic.Int64
}

func startLoopEngine(tokens int, interval time.Duration) (*loopEngine, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen for the light engine")
	}
	l := &loopEngine{listener: listener, tokens: tokens, interval: interval}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			l.accepted.Add(1)
			go l.serve(conn)
		}
	}()
	return l, nil
}

func (l *loopEngine) address() string { return l.listener.Addr().String() }

func (l *loopEngine) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, request.Body)
	id := request.Header.Get(upstreamhttp.HeaderAttempt)
	header := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n" +
		upstreamhttp.HeaderAttempt + ": " + id + "\r\n\r\n"
	if _, err := conn.Write([]byte(header)); err != nil {
		return
	}
	token := event(chunkOf(id, " token", ""))
	if !l.sendTokens(conn, token) {
		return
	}
	var end []byte
	for _, data := range [][]byte{chunkOf(id, "", "stop"), usageOf(id, l.tokens), []byte("[DONE]")} {
		end = append(end, event(data)...)
	}
	_, _ = conn.Write(append(end, "0\r\n\r\n"...))
}

func (l *loopEngine) sendTokens(conn net.Conn, token []byte) bool {
	var tick <-chan time.Time
	if l.interval > 0 {
		ticker := time.NewTicker(l.interval)
		defer ticker.Stop()
		tick = ticker.C
	}
	for range l.tokens {
		if tick != nil {
			<-tick
		}
		if _, err := conn.Write(token); err != nil {
			return false
		}
	}
	return true
}

// event returns one HTTP chunk with a server-sent event.
func event(data []byte) []byte {
	return fmt.Appendf(nil, "%x\r\ndata: %s\n\n\r\n", len(data)+8, data)
}

// loopCaller makes one request and returns the number of events that arrived.
func loopCaller(address string, body []byte) (int, error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return 0, errors.Wrap(err, "connect")
	}
	defer func() { _ = conn.Close() }()
	request := fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\n"+
		"Content-Type: application/json\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s", address, callerKey(0), len(body), body)
	if _, err := conn.Write([]byte(request)); err != nil {
		return 0, errors.Wrap(err, "send the request")
	}
	events, buf, tail := 0, make([]byte, 8<<10), []byte(nil)
	for {
		n, err := conn.Read(buf)
		data := append(tail, buf[:n]...)
		events += bytes.Count(data, []byte("data:"))
		tail = append(tail[:0], data[max(0, len(data)-4):]...)
		if err != nil || bytes.Contains(data, []byte("\n0\r\n\r\n")) {
			break
		}
	}
	if events == 0 {
		return 0, errors.New("the answer has no events")
	}
	return events, nil
}

// sample is what a load cost.
type sample struct {
	cpu     time.Duration
	elapsed time.Duration
	events  int64
	memory  float64 // live heap and stacks in the middle of the load
}

// load keeps a number of callers busy with requests, each for count requests.
func load(address string, callers, count int, tokens int, middle time.Duration) (sample, error) {
	var group sync.WaitGroup
	var events, failures atomic.Int64
	var failure atomic.Value
	start, cpu := time.Now(), processTime()
	for caller := range callers {
		group.Go(func() {
			for i := range count {
				n, err := loopCaller(address, chatBody(tokens, caller*count+i))
				events.Add(int64(n))
				if err != nil {
					failures.Add(1)
					failure.Store(err.Error())
				}
			}
		})
	}
	s := sample{}
	if middle > 0 {
		time.Sleep(middle)
		s.memory = liveMemory()
	}
	group.Wait()
	s.cpu, s.elapsed, s.events = processTime()-cpu, time.Since(start), events.Load()
	if n := failures.Load(); n > 0 {
		return s, errors.Errorf("%d requests failed, one with: %v", n, failure.Load())
	}
	return s, nil
}

// measureLoopback compares a load that goes through a daemon with the same
// load that goes to the engine directly. The difference is the daemon's part.
func measureLoopback(r *run) error {
	for _, streams := range streamSizes {
		if err := measureStreams(r, streams); err != nil {
			return errors.Wrapf(err, "%d streams", streams)
		}
	}
	for _, tokens := range []int{1, 10, 100} {
		if err := measureRequests(r, tokens); err != nil {
			return errors.Wrapf(err, "requests of %d tokens", tokens)
		}
	}
	if err := measureAddress(r); err != nil {
		return err
	}
	memory := r.find("loopback.stream_memory")
	r.atMost("loopback: memory of 600 streams with their connections", memory.last()/1e6, controlMemory/1e6, "MB")
	return nil
}

// withPath runs f against the engine directly and then through a daemon.
func withPath(l *loopEngine, f func(address string) (sample, error)) (direct, through sample, err error) {
	if direct, err = f(l.address()); err != nil {
		return direct, through, errors.Wrap(err, "direct")
	}
	client, err := upstreamhttp.New(time.Second)
	if err != nil {
		return direct, through, err
	}
	path, err := newRequestPath(engine.NewOpenAI(client), l.address())
	if err != nil {
		return direct, through, err
	}
	defer path.close()
	address, err := freeAddress()
	if err != nil {
		return direct, through, err
	}
	stop := path.listen(address)
	defer stop()
	if err := waitListening(address); err != nil {
		return direct, through, err
	}
	through, err = f(address)
	return direct, through, errors.Wrap(err, "through the daemon")
}

func measureStreams(r *run, streams int) error {
	const interval = 28 * time.Millisecond
	tokens := 100
	l, err := startLoopEngine(tokens, interval)
	if err != nil {
		return err
	}
	defer func() { _ = l.listener.Close() }()
	duration := time.Duration(tokens) * interval
	idle := liveMemory()
	direct, through, err := withPath(l, func(address string) (sample, error) {
		return load(address, streams, 1, tokens, duration/2)
	})
	if err != nil {
		return err
	}
	n := float64(streams)
	sent := n * float64(tokens)
	r.at("loopback.tokens_per_second", "streams", "1/s", n, sent/through.elapsed.Seconds())
	r.at("loopback.cores", "streams", "cores of the daemon at 28 ms between tokens", n,
		(through.cpu-direct.cpu).Seconds()/duration.Seconds())
	r.at("loopback.token_cpu", "streams", "us a token", n, microseconds(through.cpu-direct.cpu)/sent)
	r.at("loopback.stream_memory", "streams", "bytes of the daemon", n, through.memory-idle-(direct.memory-idle))
	r.at("loopback.inter_token_added", "streams", "ms added to an answer of 2.8 s", n,
		float64((through.elapsed-direct.elapsed).Microseconds())/1e3)
	return nil
}

// measureRequests measures short requests back to back.
func measureRequests(r *run, tokens int) error {
	l, err := startLoopEngine(tokens, 0)
	if err != nil {
		return err
	}
	defer func() { _ = l.listener.Close() }()
	const callers = 4
	count := r.repeat(200)
	direct, through, err := withPath(l, func(address string) (sample, error) {
		return load(address, callers, count, tokens, 0)
	})
	if err != nil {
		return err
	}
	r.at("loopback.request_cpu", "tokens", "us a request with a new connection on both sides", float64(tokens),
		microseconds(through.cpu-direct.cpu)/float64(callers*count))
	return nil
}

// measureAddress measures the answer to an address lookup on open connections.
func measureAddress(r *run) error {
	path, err := newRequestPath(&lightEngine{}, "127.0.0.1:1")
	if err != nil {
		return err
	}
	defer path.close()
	address, err := freeAddress()
	if err != nil {
		return err
	}
	stop := path.listen(address)
	defer stop()
	if err := waitListening(address); err != nil {
		return err
	}
	for _, callers := range []int{1, 4, 16} {
		count := r.repeat(400)
		start := processTime()
		bytes, err := lookUp(address, callers, count)
		if err != nil {
			return err
		}
		r.at("address.lookup_cpu", "callers", "us a lookup, caller included", float64(callers),
			microseconds(processTime()-start)/float64(callers*count))
		r.at("address.answer_bytes", "callers", "bytes of an answer with 420 addresses", float64(callers), float64(bytes))
	}
	return nil
}

// lookUp makes address lookups on one connection a caller and returns the
// size of an answer with its header.
func lookUp(address string, callers, count int) (int, error) {
	var group sync.WaitGroup
	var size atomic.Int64
	var failed atomic.Int64
	for range callers {
		group.Go(func() {
			conn, err := net.Dial("tcp", address)
			if err != nil {
				failed.Add(1)
				return
			}
			defer func() { _ = conn.Close() }()
			reader := bufio.NewReader(conn)
			for range count {
				n, err := lookUpOnce(conn, reader, address)
				if err != nil {
					failed.Add(1)
					return
				}
				size.Store(int64(n))
			}
		})
	}
	group.Wait()
	if failed.Load() > 0 {
		return 0, errors.Errorf("%d callers failed to look up addresses", failed.Load())
	}
	return int(size.Load()), nil
}

func lookUpOnce(conn net.Conn, reader *bufio.Reader, address string) (int, error) {
	if _, err := fmt.Fprintf(conn, "GET /v1/address HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\n\r\n", address, callerKey(0)); err != nil {
		return 0, err
	}
	header, err := textproto.NewReader(reader).ReadLine()
	if err != nil || !bytes.Contains([]byte(header), []byte(" 200 ")) {
		return 0, errors.Errorf("unexpected answer %q: %v", header, err)
	}
	fields, err := textproto.NewReader(reader).ReadMIMEHeader()
	if err != nil {
		return 0, err
	}
	var length int
	if _, err := fmt.Sscan(fields.Get("Content-Length"), &length); err != nil {
		return 0, err
	}
	_, err = io.CopyN(io.Discard, reader, int64(length))
	return length + len(header), err
}
