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
	daemon  string
	sent    time.Time
	ended   time.Time
	status  int // 0 if no whole answer came
	body    string
	err     error
}

// clients send requests and note what they see.
type clients struct {
	cluster *cluster
	wait    sync.WaitGroup

	mu       sync.Mutex
	outcomes []outcome
}

// start lets n clients send until ctx ends. Each keeps connections open until
// their daemon is gone.
func (c *clients) start(ctx context.Context, n int, seed uint64) {
	for i := range n {
		c.wait.Add(1)
		go func() {
			defer c.wait.Done()
			c.run(ctx, i, rand.New(rand.NewPCG(seed, uint64(i))))
		}()
	}
}

func (c *clients) run(ctx context.Context, number int, random *rand.Rand) {
	kinds := []string{"orders", "lookups", "reports", "queries"}
	accounts := []string{"acme", "bolt", "core"}
	transport := &http.Transport{
		MaxIdleConnsPerHost: 2, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
	}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	var addresses []string
	var asked time.Time
	for sequence := 0; ctx.Err() == nil; sequence++ {
		if time.Since(asked) > 2*time.Second || len(addresses) == 0 {
			if found := c.lookup(ctx, random); len(found) > 0 {
				addresses, asked = found, time.Now()
			}
		}
		if len(addresses) > 0 {
			o := outcome{
				id: fmt.Sprintf("c%d-%d", number, sequence), kind: kinds[random.IntN(len(kinds))],
				account: accounts[random.IntN(len(accounts))], daemon: addresses[random.IntN(len(addresses))],
			}
			c.send(ctx, client, &o)
			c.mu.Lock()
			c.outcomes = append(c.outcomes, o)
			c.mu.Unlock()
		}
		time.Sleep(time.Duration(random.IntN(60)) * time.Millisecond)
	}
}

// lookup asks a daemon for addresses.
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

func (c *clients) send(ctx context.Context, client *http.Client, o *outcome) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), 4*time.Second)
	defer cancel()
	body := strings.Repeat("x", 200)
	// GetBody is unset, so that the client's library can't repeat the request.
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+o.daemon+"/"+o.kind+"/"+o.id, io.NopCloser(bytes.NewReader([]byte(body))))
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

// finish waits for all clients and returns what they saw.
func (c *clients) finish() []outcome {
	c.wait.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.outcomes
}
