package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// outcome is what a client saw of one request.
type outcome struct {
	id      string
	kind    string
	account string
	address string // of the daemon
	sent    time.Time
	ended   time.Time
	status  int // 0 if no complete response was received
	upload  int // bytes of the request's body
	body    string
	err     error
	version int64 // number of the only configuration that has the route; 0 if all have it
}

// Sizes of the bodies of requests in bytes.
const (
	shortUpload = 200
	longUpload  = 512 << 10
)

// clients send requests and record the outcomes.
type clients struct {
	cluster     *cluster
	longUploads bool // some requests have bodies that don't fit into the socket buffers
	wg          sync.WaitGroup

	mu       sync.Mutex
	outcomes []outcome
}

// start starts n clients, which send requests until ctx ends. They keep their
// connections open between requests.
func (c *clients) start(ctx context.Context, n int, seed uint64) {
	for i := range n {
		c.wg.Add(1)
		go func() {
			defer c.wg.Done()
			c.runClient(ctx, i, rand.New(rand.NewPCG(seed, uint64(i))))
		}()
	}
}

// runClient sends requests to random daemons. It looks the addresses up again when
// they are older than 2 s.
func (c *clients) runClient(ctx context.Context, number int, random *rand.Rand) {
	kinds := []string{"orders", "lookups", "reports", "queries"}
	accounts := []string{"acme", "bolt", "core"}
	transport := &http.Transport{
		MaxIdleConnsPerHost: 2, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
	}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	var addresses []string
	var lastLookup time.Time
	for sequence := 0; ctx.Err() == nil; sequence++ {
		if time.Since(lastLookup) > 2*time.Second || len(addresses) == 0 {
			if current := c.lookup(ctx, random); len(current) > 0 {
				addresses, lastLookup = current, time.Now()
			}
		}
		if len(addresses) > 0 {
			o := outcome{
				id: fmt.Sprintf("c%d-%d", number, sequence), kind: kinds[random.IntN(len(kinds))],
				account: accounts[random.IntN(len(accounts))], address: addresses[random.IntN(len(addresses))],
			}
			o.upload = shortUpload
			if c.longUploads && random.IntN(3) == 0 {
				o.upload = longUpload
			}
			if c.cluster.gates && random.IntN(3) == 0 {
				o.version = c.cluster.written.version(random)
				o.kind = gateKind(o.version)
			}
			c.send(ctx, client, &o)
			c.mu.Lock()
			c.outcomes = append(c.outcomes, o)
			c.mu.Unlock()
		}
		time.Sleep(time.Duration(random.IntN(60)) * time.Millisecond)
	}
}

// lookup gets the addresses of the daemons from a random daemon. It returns nil if
// that fails.
func (c *clients) lookup(ctx context.Context, random *rand.Rand) []string {
	d := c.cluster.daemons[random.IntN(len(c.cluster.daemons))]
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet,
		fmt.Sprintf("http://%s:%d/api/lookup?name=h.example&zone=a", d.ip, portDirectory), nil)
	if err != nil {
		return nil
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil
	}
	defer func() { _ = resp.Body.Close() }()
	var reply struct {
		Addresses []string `json:"addrs"`
	}
	if json.NewDecoder(resp.Body).Decode(&reply) != nil {
		return nil
	}
	return reply.Addresses
}

// send sends one request and records its outcome in o.
func (c *clients) send(ctx context.Context, client *http.Client, o *outcome) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), 4*time.Second)
	defer cancel()
	body := strings.Repeat("x", o.upload)
	// GetBody is unset, so that http.Client cannot send the request again.
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+o.address+"/"+o.kind+"/"+o.id, io.NopCloser(bytes.NewReader([]byte(body))))
	if err != nil {
		o.err = err
		return
	}
	req.ContentLength = int64(len(body))
	req.Host = "h.example"
	req.Header.Set("X-Request-Id", o.id)
	req.Header.Set("X-Deadline-Ms", "3500")
	req.Header.Set("Authorization", "Bearer k-"+o.account)
	o.sent = time.Now()
	defer func() { o.ended = time.Now() }()
	resp, err := client.Do(req)
	if err != nil {
		o.err = err
		return
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	o.body = string(data)
	if err != nil {
		o.err = err
		return
	}
	o.status = resp.StatusCode
}

// wait waits until all clients have stopped and returns the outcomes.
func (c *clients) wait() []outcome {
	c.wg.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.outcomes
}
