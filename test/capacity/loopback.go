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

// streamSizes are the numbers of concurrent streams; the largest is the load of
// one daemon at the target size.
var streamSizes = []int{75, 300, 600}

// loopbackEngine is a stub engine on a loopback port that sends fixed events. It
// uses plain sockets, so that it adds little processor time to the measured
// process.
type loopbackEngine struct {
	listener net.Listener
	tokens   int
	interval time.Duration // between tokens; 0 sends them without a pause
	accepted atomic.Int64
}

func startLoopbackEngine(tokens int, interval time.Duration) (*loopbackEngine, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen for the loopback engine")
	}
	l := &loopbackEngine{listener: listener, tokens: tokens, interval: interval}
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

func (l *loopbackEngine) address() string { return l.listener.Addr().String() }

func (l *loopbackEngine) serve(conn net.Conn) {
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
	token := sseChunk(newChunk(id, " token", ""))
	if !l.sendTokens(conn, token) {
		return
	}
	var end []byte
	for _, data := range [][]byte{newChunk(id, "", "stop"), newUsageChunk(id, l.tokens), []byte("[DONE]")} {
		end = append(end, sseChunk(data)...)
	}
	_, _ = conn.Write(append(end, "0\r\n\r\n"...))
}

func (l *loopbackEngine) sendTokens(conn net.Conn, token []byte) bool {
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

// sseChunk returns one HTTP chunk that holds a server-sent event.
func sseChunk(data []byte) []byte {
	return fmt.Appendf(nil, "%x\r\ndata: %s\n\n\r\n", len(data)+8, data)
}

// sendChatRequest sends one chat request on a new connection and returns the
// number of events received.
func sendChatRequest(address string, body []byte) (int, error) {
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
		return 0, errors.New("the response has no events")
	}
	return events, nil
}

// loadCost is the cost of a load of requests.
type loadCost struct {
	cpu     time.Duration
	elapsed time.Duration
	events  int64
	memory  float64 // live heap and stacks in the middle of the load
}

// runLoad runs concurrent callers that each send count requests one after the
// other. It measures the memory memoryAfter after the start, or not if that is 0.
func runLoad(address string, callers, count int, tokens int, memoryAfter time.Duration) (loadCost, error) {
	var group sync.WaitGroup
	var events, failures atomic.Int64
	var failure atomic.Value
	start, cpu := time.Now(), processTime()
	for caller := range callers {
		group.Go(func() {
			for i := range count {
				n, err := sendChatRequest(address, chatBody(tokens, caller*count+i))
				events.Add(int64(n))
				if err != nil {
					failures.Add(1)
					failure.Store(err.Error())
				}
			}
		})
	}
	s := loadCost{}
	if memoryAfter > 0 {
		time.Sleep(memoryAfter)
		s.memory = liveHeapAndStacks()
	}
	group.Wait()
	s.cpu, s.elapsed, s.events = processTime()-cpu, time.Since(start), events.Load()
	if n := failures.Load(); n > 0 {
		return s, errors.Errorf("%d requests failed, one with: %v", n, failure.Load())
	}
	return s, nil
}

// measureLoopback compares a load that goes through a daemon with the same
// load that goes to the engine directly. The difference is the cost of the daemon.
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
	r.addLimit("loopback: memory of 600 streams with their connections", memory.last()/1e6, controlMemoryBytes/1e6, "MB")
	return nil
}

// runDirectAndThroughDaemon runs f against the engine directly and then through a daemon.
func runDirectAndThroughDaemon(l *loopbackEngine, f func(address string) (loadCost, error)) (direct, through loadCost, err error) {
	if direct, err = f(l.address()); err != nil {
		return direct, through, errors.Wrap(err, "load on the engine directly")
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
	return direct, through, errors.Wrap(err, "load through the daemon")
}

func measureStreams(r *run, streams int) error {
	const interval = 28 * time.Millisecond
	tokens := 100
	l, err := startLoopbackEngine(tokens, interval)
	if err != nil {
		return err
	}
	defer func() { _ = l.listener.Close() }()
	duration := time.Duration(tokens) * interval
	baseline := liveHeapAndStacks()
	direct, through, err := runDirectAndThroughDaemon(l, func(address string) (loadCost, error) {
		return runLoad(address, streams, 1, tokens, duration/2)
	})
	if err != nil {
		return err
	}
	n := float64(streams)
	sent := n * float64(tokens)
	r.record("loopback.tokens_per_second", "streams", "1/s", n, sent/through.elapsed.Seconds())
	r.record("loopback.cores", "streams", "cores of the daemon at 28 ms between tokens", n,
		(through.cpu-direct.cpu).Seconds()/duration.Seconds())
	r.record("loopback.token_cpu", "streams", "us a token", n, microseconds(through.cpu-direct.cpu)/sent)
	r.record("loopback.stream_memory", "streams", "bytes of the daemon", n, through.memory-baseline-(direct.memory-baseline))
	r.record("loopback.inter_token_added", "streams", "ms added to an answer of 2.8 s", n,
		float64((through.elapsed-direct.elapsed).Microseconds())/1e3)
	return nil
}

// measureRequests measures requests that 4 callers send without a pause.
func measureRequests(r *run, tokens int) error {
	l, err := startLoopbackEngine(tokens, 0)
	if err != nil {
		return err
	}
	defer func() { _ = l.listener.Close() }()
	const callers = 4
	count := r.repeat(200)
	direct, through, err := runDirectAndThroughDaemon(l, func(address string) (loadCost, error) {
		return runLoad(address, callers, count, tokens, 0)
	})
	if err != nil {
		return err
	}
	r.record("loopback.request_cpu", "tokens", "us a request with a new connection on both sides", float64(tokens),
		microseconds(through.cpu-direct.cpu)/float64(callers*count))
	return nil
}

// measureAddress measures address lookups on open connections.
func measureAddress(r *run) error {
	path, err := newRequestPath(&stubEngine{}, "127.0.0.1:1")
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
		bytes, err := lookUpAddresses(address, callers, count)
		if err != nil {
			return err
		}
		r.record("address.lookup_cpu", "callers", "us a lookup, caller included", float64(callers),
			microseconds(processTime()-start)/float64(callers*count))
		r.record("address.answer_bytes", "callers", "bytes of an answer with 420 addresses", float64(callers), float64(bytes))
	}
	return nil
}

// lookUpAddresses makes address lookups on one connection per caller and returns
// the size in bytes of a response: its body and its status line.
func lookUpAddresses(address string, callers, count int) (int, error) {
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
				n, err := lookUpAddress(conn, reader, address)
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

func lookUpAddress(conn net.Conn, reader *bufio.Reader, address string) (int, error) {
	if _, err := fmt.Fprintf(conn, "GET /v1/address HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\n\r\n", address, callerKey(0)); err != nil {
		return 0, err
	}
	header, err := textproto.NewReader(reader).ReadLine()
	if err != nil || !bytes.Contains([]byte(header), []byte(" 200 ")) {
		return 0, errors.Errorf("unexpected status line %q: %v", header, err)
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
