// Package cloud is a client of the cloud API for instances, offers and reclaim
// notices.
package cloud

import (
	"context"
	"encoding/json"
	"fmt"
	"net/url"
	"time"

	"github.com/pkg/errors"

	"github.com/dogwoodrudder/dogwoodrudder/internal/upstreamhttp"
)

// ErrRefused means that the cloud has no capacity for a start.
var ErrRefused = errors.New("the cloud refused the start")

// State is the state of an instance.
type State string

// States of an instance.
const (
	StateStarting State = "starting"
	StateRunning  State = "running"
	StateLeaving  State = "leaving" // a reclaim was announced
	StateStopped  State = "stopped"
)

// Instance is a machine.
type Instance struct {
	// Name is chosen by the client. A start with the name of an existing instance
	// returns that instance.
	Name         string  `json:"name"`
	Class        string  `json:"class"`
	DataCentre   string  `json:"data_centre"`
	Reclaimable  bool    `json:"reclaimable"`
	PricePerHour float64 `json:"price_per_hour"`
	Address      string  `json:"address,omitempty"` // ip:port of its upstream
	State        State   `json:"state"`
}

// Offer is a machine class that is available in a data centre.
type Offer struct {
	Class            string  `json:"class"`
	DataCentre       string  `json:"data_centre"`
	OnDemandPrice    float64 `json:"on_demand_price"` // per hour
	ReclaimablePrice float64 `json:"reclaimable_price"`
	Capacity         int     `json:"capacity"` // instances; 0 means no stated limit
}

// Notice announces that an instance will be reclaimed.
type Notice struct {
	Sequence   uint64    `json:"seq"`
	Instance   string    `json:"instance"`
	DataCentre string    `json:"data_centre"`
	At         time.Time `json:"at"`
	// Seconds is the time from the notice to the reclaim.
	Seconds float64 `json:"seconds"`
}

// Provider is the cloud API.
type Provider interface {
	// List returns the instances. Recent changes may not be visible yet.
	List(ctx context.Context) ([]Instance, error)
	// Offers returns the machine classes that can be started.
	Offers(ctx context.Context) ([]Offer, error)
	// Start starts an instance. It is idempotent for the same name. The error wraps
	// ErrRefused if there is no capacity.
	Start(ctx context.Context, instance Instance) (Instance, error)
	// Stop stops an instance. It is idempotent.
	Stop(ctx context.Context, name string) error
	// Notices returns the notices after a sequence number. If there is none, it waits
	// for one, up to the given time.
	Notices(ctx context.Context, after uint64, wait time.Duration) ([]Notice, error)
}

// HTTP is a Provider that calls the API with JSON over HTTP.
type HTTP struct {
	client  *upstreamhttp.Client
	address string
	timeout time.Duration
}

// NewHTTP returns a Provider for the API at address (ip:port). The timeout applies to
// each call; that of Notices is longer by its waiting time.
func NewHTTP(client *upstreamhttp.Client, address string, timeout time.Duration) *HTTP {
	return &HTTP{client: client, address: address, timeout: timeout}
}

// List implements Provider.
func (h *HTTP) List(ctx context.Context) ([]Instance, error) {
	var response struct {
		Instances []Instance `json:"instances"`
	}
	err := h.call(ctx, "GET", "/v1/instances", nil, &response, h.timeout)
	return response.Instances, err
}

// Offers implements Provider.
func (h *HTTP) Offers(ctx context.Context) ([]Offer, error) {
	var response struct {
		Offers []Offer `json:"offers"`
	}
	err := h.call(ctx, "GET", "/v1/offers", nil, &response, h.timeout)
	return response.Offers, err
}

// Start implements Provider.
func (h *HTTP) Start(ctx context.Context, instance Instance) (Instance, error) {
	var started Instance
	err := h.call(ctx, "POST", "/v1/instances", instance, &started, h.timeout)
	return started, err
}

// Stop implements Provider.
func (h *HTTP) Stop(ctx context.Context, name string) error {
	var response struct{}
	return h.call(ctx, "DELETE", "/v1/instances/"+url.PathEscape(name), nil, &response, h.timeout)
}

// Notices implements Provider.
func (h *HTTP) Notices(ctx context.Context, after uint64, wait time.Duration) ([]Notice, error) {
	var response struct {
		Notices []Notice `json:"notices"`
	}
	path := fmt.Sprintf("/v1/notices?after=%d&wait_ms=%d", after, wait.Milliseconds())
	err := h.call(ctx, "GET", path, nil, &response, wait+h.timeout)
	return response.Notices, err
}

func (h *HTTP) call(ctx context.Context, method, path string, body, response any, timeout time.Duration) error {
	var data []byte
	if body != nil {
		var err error
		if data, err = json.Marshal(body); err != nil {
			return errors.Wrap(err, "encode cloud request")
		}
	}
	reply, err := h.client.Exchange(ctx, upstreamhttp.Exchange{
		Method: method, Address: h.address, Path: path, Body: data, ContentType: "application/json",
		SelfDelimited: true, Timeout: timeout,
	})
	switch {
	case err != nil:
		return errors.Wrapf(err, "cloud %s %s", method, path)
	case reply.Refused != "":
		return errors.Wrapf(ErrRefused, "%s", reply.Refused)
	case reply.Status == 404 && method == "DELETE":
		return nil // the instance is already gone
	case reply.Status >= 300:
		return errors.Errorf("cloud %s %s: status %d", method, path, reply.Status)
	}
	return errors.Wrapf(json.Unmarshal(reply.Body, response), "decode response of cloud %s %s", method, path)
}
