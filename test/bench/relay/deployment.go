package main

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/dogwoodrudder/dogwoodrudder/internal/apiclient"
	"github.com/dogwoodrudder/dogwoodrudder/internal/daemon"
	"github.com/dogwoodrudder/dogwoodrudder/internal/server"
	"github.com/dogwoodrudder/dogwoodrudder/internal/settings"
	"github.com/dogwoodrudder/dogwoodrudder/test/standin/engine"
	"github.com/dogwoodrudder/dogwoodrudder/test/standin/store"
)

const (
	operatorKey  = "bench-operator-key"
	clientKey    = "bench-caller-key"
	readyTimeout = 10 * time.Second
)

// deployment is one daemon with its store and engines.
type deployment struct {
	store   *store.Server
	engines []*engine.Server
	address string
	client  *apiclient.Client
	stop    context.CancelFunc
	stopped chan error
}

// newDeployment starts the store, the engines and the daemon and waits until the daemon
// has applied the objects.
func newDeployment(engines int) (*deployment, error) {
	s := &deployment{store: store.New(store.Options{}), stopped: make(chan error, 1)}
	if err := s.store.Start("127.0.0.1:0"); err != nil {
		return nil, err
	}
	for range engines {
		e := engine.New(engine.Options{Model: "bench"})
		if err := e.Start("127.0.0.1:0"); err != nil {
			return nil, err
		}
		s.engines = append(s.engines, e)
	}
	if err := s.startDaemon(); err != nil {
		return nil, err
	}
	return s, s.configure()
}

func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String(), nil
}

func (s *deployment) startDaemon() error {
	http, err := freeAddress()
	if err != nil {
		return err
	}
	peers, err := freeAddress()
	if err != nil {
		return err
	}
	text := fmt.Sprintf(`
[daemon]
name = bench
data_centre = dc1
http_address = %s
peer_address = %s
drain_timeout = 2s
[store]
endpoints = %s
[orders]
secret_id = bench
secret = %s
[operators]
bootstrap_key_hash = %s
`, http, peers, s.store.Address(), strings.Repeat("ab", 32), server.HashKey(operatorKey))
	parsed, err := settings.Parse("bench", strings.NewReader(text))
	if err != nil {
		return err
	}
	d, err := daemon.New(parsed, slog.New(slog.NewTextHandler(io.Discard, nil)))
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	s.address, s.stop = http, stop
	go func() { s.stopped <- d.Run(ctx) }()
	return nil
}

// objects returns the YAML of the objects that the daemon serves with.
func (s *deployment) objects() string {
	var b strings.Builder
	fmt.Fprintf(&b, `
kind: Service
metadata: {name: bench}
spec: {protocol: openai, timeout: 60s}
---
kind: Version
metadata: {name: v1}
spec: {service: bench, model: bench, selector: all}
---
kind: UpstreamSelector
metadata: {name: all}
spec: {selector: {matchLabels: {app: bench}}}
---
kind: Route
metadata: {name: bench}
spec: {service: bench, shares: [{version: v1, percent: 100}]}
---
kind: ClientAccount
metadata: {name: caller}
spec: {role: caller, keyHashes: ["%s"]}
`, server.HashKey(clientKey))
	for i, e := range s.engines {
		fmt.Fprintf(&b, `---
kind: Upstream
metadata: {name: engine-%d, labels: {app: bench}}
spec: {address: "%s", dataCentre: dc1}
`, i, e.Address())
	}
	return b.String()
}

// configure applies the objects and retries until the daemon accepts them, for at
// most readyTimeout.
func (s *deployment) configure() error {
	operator, err := apiclient.New(operatorKey, false)
	if err != nil {
		return err
	}
	defer operator.Close()
	deadline := time.Now().Add(readyTimeout)
	for {
		response, err := operator.Do(context.Background(), s.address, apiclient.Request{
			Method: "POST", Path: "/operator/v1/apply", Body: []byte(s.objects()), Timeout: time.Second,
		})
		if err == nil && response.Status == 200 {
			break
		}
		if time.Now().After(deadline) {
			return errors.Errorf("objects not applied within 10 s: error %v, response %+v", err, response)
		}
		time.Sleep(50 * time.Millisecond)
	}
	s.client, err = apiclient.New(clientKey, false)
	return err
}

func (s *deployment) close() {
	s.client.Close()
	s.stop()
	if err := <-s.stopped; err != nil {
		fmt.Fprintln(os.Stderr, "daemon:", err)
	}
	for _, e := range s.engines {
		e.Close()
	}
	s.store.Close()
}
