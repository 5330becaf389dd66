package platform

import (
	"encoding/json"
	"maps"
	"net/http"
	"strconv"
	"sync"
)

// Report is a usage report that the cloud accepted.
type Report struct {
	Window int64            `json:"windowNo"`
	Counts map[string]int64 `json:"counts"`
	Holder string           `json:"-"`
	Token  int64            `json:"-"`
}

// Order is an accepted request for a number of instances.
type Order struct {
	Service string `json:"service"`
	Zone    string `json:"zone"`
	Desired int    `json:"desired"`
	Spot    bool   `json:"spot"`
}

// Cloud is a stand-in of the cloud API. It accepts the calls of single-writer
// duties and records violations of their guarantees.
type Cloud struct {
	mu            sync.Mutex
	down          bool
	noReclaimable bool             // requests for reclaimable instances are refused
	highestToken  int64            // highest fencing token seen
	holders       map[int64]string // duty holder by fencing token
	reports       map[int64]Report // by window
	orders        []Order
	problems      []string
	unfenced      bool
}

// NewCloud returns a cloud that has received no calls.
func NewCloud() *Cloud { return &Cloud{holders: map[int64]string{}, reports: map[int64]Report{}} }

// SetDown makes the cloud respond with status 503.
func (c *Cloud) SetDown(down bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.down = down
}

// SetUnfenced makes the cloud accept calls with lower fencing tokens than earlier ones.
func (c *Cloud) SetUnfenced(unfenced bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unfenced = unfenced
}

// SetNoReclaimable makes the cloud refuse requests for reclaimable instances.
func (c *Cloud) SetNoReclaimable(refused bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.noReclaimable = refused
}

// Reports returns the accepted usage reports by window.
func (c *Cloud) Reports() map[int64]Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.reports)
}

// Orders returns the accepted orders.
func (c *Cloud) Orders() []Order {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Order{}, c.orders...)
}

// Problems returns the violations seen: two reports of one window with
// different counts, or one fencing token used by two duty holders.
func (c *Cloud) Problems() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string{}, c.problems...)
}

// ServeHTTP implements http.Handler.
func (c *Cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	token, err := strconv.ParseInt(r.Header.Get("X-Fence-Token"), 10, 64)
	holder := r.Header.Get("X-Duty-Holder")
	if err != nil || holder == "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if other, known := c.holders[token]; known && other != holder {
		c.problems = append(c.problems, "fencing token "+strconv.FormatInt(token, 10)+" used by "+other+" and "+holder)
	}
	c.holders[token] = holder
	if token < c.highestToken && !c.unfenced {
		w.WriteHeader(http.StatusConflict)
		return
	}
	c.highestToken = max(token, c.highestToken)
	switch r.URL.Path {
	case "/usage":
		c.usage(w, r, holder, token)
	case "/replicas":
		c.replicas(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (c *Cloud) usage(w http.ResponseWriter, r *http.Request, holder string, token int64) {
	report := Report{Holder: holder, Token: token}
	if err := json.NewDecoder(r.Body).Decode(&report); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if old, known := c.reports[report.Window]; known && !maps.Equal(old.Counts, report.Counts) {
		c.problems = append(c.problems, "window "+strconv.FormatInt(report.Window, 10)+" reported twice with different counts")
	}
	c.reports[report.Window] = report
}

func (c *Cloud) replicas(w http.ResponseWriter, r *http.Request) {
	var order Order
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if order.Spot && c.noReclaimable {
		w.WriteHeader(http.StatusConflict)
		return
	}
	c.orders = append(c.orders, order)
}
