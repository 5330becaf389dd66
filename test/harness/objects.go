package harness

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/dogwoodrudder/dogwoodrudder/internal/apiclient"
	"github.com/dogwoodrudder/dogwoodrudder/internal/operatorapi"
	"github.com/dogwoodrudder/dogwoodrudder/internal/server"
)

const (
	// CallerKey is the key of the client account that the tests use.
	CallerKey   = "test-caller-key"
	operatorKey = "test-operator-key"
	modelName   = "appraiser"
	// OperatorTimeout bounds a call to the operator API.
	OperatorTimeout = 12 * time.Second
)

func operatorHash() string { return server.HashKey(operatorKey) }

const baseObjects = `
kind: Service
metadata: {name: appraisal}
spec: {protocol: openai, timeout: 30s, retryPercent: 20, shortPromptBytes: 2000}
---
kind: Service
metadata: {name: shop}
spec:
  protocol: http
  timeout: 5s
  retryPercent: 20
  operations:
    - {name: reserve, method: POST, path: /reservations, idempotent: false}
    - {name: payout, method: POST, path: /payouts, idempotent: false}
    - {name: stock, method: GET, path: "/stock/*", idempotent: true}
---
kind: Version
metadata: {name: v1}
spec: {service: appraisal, model: appraiser, selector: appraisal-v1}
---
kind: Version
metadata: {name: shop-v1}
spec: {service: shop, selector: shop-v1}
---
kind: UpstreamSelector
metadata: {name: appraisal-v1}
spec: {selector: {matchLabels: {service: appraisal, version: v1}}}
---
kind: UpstreamSelector
metadata: {name: shop-v1}
spec: {selector: {matchLabels: {service: shop, version: shop-v1}}}
---
kind: Route
metadata: {name: appraisal}
spec: {service: appraisal, shares: [{version: v1, percent: 100}]}
---
kind: Route
metadata: {name: shop}
spec: {service: shop, shares: [{version: shop-v1, percent: 100}]}
`

// objects returns the configuration objects of the cluster as YAML.
func (c *Cluster) objects() string {
	var b strings.Builder
	b.WriteString(baseObjects)
	upstream := func(name, service, version, address, dataCentre string) {
		fmt.Fprintf(&b, "---\nkind: Upstream\nmetadata: {name: %s, labels: {service: %s, version: %s}}\n"+
			"spec: {address: %q, dataCentre: %s, instance: %s, reclaimable: true}\n",
			name, service, version, address, dataCentre, name)
	}
	for _, e := range c.Engines {
		upstream(e.Name, "appraisal", "v1", e.Address(), e.DataCentre)
	}
	for _, a := range c.Apps {
		upstream(a.Name, "shop", "shop-v1", a.Address(), a.DataCentre)
	}
	for name, role := range map[string]string{"counter": "caller", "ops": "operator"} {
		hash := operatorHash()
		if role == "caller" {
			hash = server.HashKey(CallerKey)
		}
		fmt.Fprintf(&b, "---\nkind: ClientAccount\nmetadata: {name: %s}\nspec: {role: %s, keyHashes: [%q], weight: 10}\n",
			name, role, hash)
	}
	return b.String()
}

// AccountObject returns a client account as YAML. Tests change its weight to
// tell revisions apart.
func AccountObject(name string, weight int) string {
	return fmt.Sprintf("kind: ClientAccount\nmetadata: {name: %s}\nspec: {role: caller, keyHashes: [%q], weight: %d}\n",
		name, server.HashKey("key of "+name), weight)
}

// CallOperatorAPI makes one call to the operator API and decodes the answer into
// v, which may be nil.
func (c *Cluster) CallOperatorAPI(d *Daemon, method, path string, body []byte, v any) error {
	ctx, cancel := context.WithTimeout(context.Background(), OperatorTimeout)
	defer cancel()
	resp, err := c.operator.Do(ctx, d.HTTP, apiclient.Request{
		Method: method, Path: path, Body: body, ContentType: "application/yaml", Timeout: OperatorTimeout,
	})
	if err != nil {
		return err
	}
	if resp.Status != http.StatusOK {
		return apiclient.Problem(resp.Status, resp.Body)
	}
	if v == nil {
		return nil
	}
	return json.Unmarshal(resp.Body, v)
}

// TryApply applies objects and returns the revision.
func (c *Cluster) TryApply(d *Daemon, objects string) (int64, error) {
	var answer operatorapi.ApplyResponse
	err := c.CallOperatorAPI(d, http.MethodPost, operatorapi.PathApply, []byte(objects), &answer)
	return answer.Revision, err
}

// Apply applies objects and returns the revision. It fails the test if a daemon
// refuses them.
func (c *Cluster) Apply(d *Daemon, objects string) int64 {
	c.T.Helper()
	revision, err := c.TryApply(d, objects)
	if err != nil {
		c.T.Fatalf("apply on %s: %v", d.Name, err)
	}
	return revision
}

// Status returns the status that a daemon reports.
func (c *Cluster) Status(d *Daemon) (operatorapi.Status, error) {
	var status operatorapi.Status
	err := c.CallOperatorAPI(d, http.MethodGet, operatorapi.PathStatus, nil, &status)
	return status, err
}

// Ready returns nil if /readyz of a daemon succeeds.
func (c *Cluster) Ready(d *Daemon) error {
	return c.CallOperatorAPI(d, http.MethodGet, "/readyz", nil, nil)
}

// WaitReady waits until the daemons are ready.
func (c *Cluster) WaitReady(daemons ...*Daemon) {
	c.T.Helper()
	for _, d := range daemons {
		c.Wait(d.Name+" ready", readyTimeout, func() error { return c.Ready(d) })
	}
}

// WaitMembers waits until each of the daemons sees n live members.
func (c *Cluster) WaitMembers(n int, daemons ...*Daemon) {
	c.T.Helper()
	for _, d := range daemons {
		c.Wait(fmt.Sprintf("%d members on %s", n, d.Name), readyTimeout, func() error {
			status, err := c.Status(d)
			if err != nil {
				return err
			}
			if live := LiveMembers(status); live != n {
				return fmt.Errorf("%d live members: %+v", live, status.Members)
			}
			return nil
		})
	}
}

// LiveMembers counts the members in state alive.
func LiveMembers(status operatorapi.Status) int {
	live := 0
	for _, m := range status.Members {
		if m.State == "alive" {
			live++
		}
	}
	return live
}

// WaitRevision waits until a configuration revision or a later one is in force on
// the daemons.
func (c *Cluster) WaitRevision(revision int64, daemons ...*Daemon) {
	c.T.Helper()
	for _, d := range daemons {
		c.Wait(fmt.Sprintf("revision %d on %s", revision, d.Name), readyTimeout, func() error {
			status, err := c.Status(d)
			if err != nil {
				return err
			}
			if status.Revision < revision {
				return fmt.Errorf("revision %d", status.Revision)
			}
			return nil
		})
	}
}

// DrainUpstream drains an upstream through the operator API of one daemon.
func (c *Cluster) DrainUpstream(d *Daemon, name string, notice time.Duration) error {
	path := fmt.Sprintf("%s/%s/drain?notice=%s", operatorapi.PathUpstream, name, notice)
	return c.CallOperatorAPI(d, http.MethodPost, path, nil, nil)
}

// Metric returns the value of a metric of a daemon, or 0 if the daemon does not
// export it.
func (c *Cluster) Metric(d *Daemon, name string) float64 {
	c.T.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), OperatorTimeout)
	defer cancel()
	resp, err := c.operator.Do(ctx, d.HTTP, apiclient.Request{
		Method: http.MethodGet, Path: "/metrics", Timeout: OperatorTimeout,
	})
	c.must(err)
	for _, line := range strings.Split(string(resp.Body), "\n") {
		if rest, ok := strings.CutPrefix(line, name+" "); ok {
			value, err := strconv.ParseFloat(rest, 64)
			c.must(err)
			return value
		}
	}
	return 0
}
