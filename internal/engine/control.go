package engine

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol/consts"
	"github.com/pkg/errors"

	"github.com/dogwoodrudder/dogwoodrudder/internal/upstreamhttp"
)

const pathControl = "/v1/control"

// loadJSON is the response of GET /v1/load.
type loadJSON struct {
	Running int  `json:"running"`
	Waiting int  `json:"waiting"`
	Leaving bool `json:"leaving"`
}

// Load implements Engine.
func (o *OpenAI) Load(ctx context.Context, address string) (Load, error) {
	data, err := o.exchange(ctx, upstreamhttp.Exchange{
		Method: consts.MethodGet, Address: address, Path: "/v1/load", SelfDelimited: true,
	})
	if err != nil {
		return Load{}, err
	}
	var l loadJSON
	if err := json.Unmarshal(data, &l); err != nil {
		return Load{}, errors.Wrapf(ErrFailed, "malformed load report of %s: %v", address, err)
	}
	return Load{Running: l.Running, Waiting: l.Waiting, Leaving: l.Leaving, Known: true}, nil
}

// ExportKV implements Engine.
func (o *OpenAI) ExportKV(ctx context.Context, address, attemptID string) ([]byte, error) {
	return o.exchange(ctx, upstreamhttp.Exchange{Method: consts.MethodGet, Address: address, Path: "/v1/kv/" + attemptID})
}

// ImportKV implements Engine.
func (o *OpenAI) ImportKV(ctx context.Context, address, attemptID string, data []byte) error {
	_, err := o.exchange(ctx, upstreamhttp.Exchange{
		Method: consts.MethodPost, Address: address, Path: "/v1/kv/" + attemptID, Body: data, SelfDelimited: true,
	})
	return err
}

// controlJSON is the body of POST /v1/control. Each request sets one part of the
// state.
type controlJSON struct {
	Action       string `json:"action"`
	Model        string `json:"model,omitempty"`
	Adapter      string `json:"adapter,omitempty"`
	Version      string `json:"version,omitempty"`
	Role         string `json:"role,omitempty"`
	FencingToken int64  `json:"fencing_token"`
}

// requests returns the requests that carry out an order. Loads come last, because an
// engine cancels a load in progress when it receives a later request.
func (o ControlOrder) requests() []controlJSON {
	var list []controlJSON
	if o.Role != "" {
		list = append(list, controlJSON{Action: "set_role", Role: o.Role})
	}
	for _, adapter := range o.Adapters {
		list = append(list, controlJSON{Action: "load_adapter", Adapter: adapter})
	}
	if o.Model != "" {
		list = append(list, controlJSON{Action: "load_model", Model: o.Model})
	}
	if o.Version != "" {
		list = append(list, controlJSON{Action: "load_version", Version: o.Version})
	}
	for i := range list {
		list[i].FencingToken = o.FencingToken
	}
	return list
}

// Control implements Engine.
func (o *OpenAI) Control(ctx context.Context, address string, order ControlOrder) error {
	for _, request := range order.requests() {
		data, err := json.Marshal(request)
		if err != nil {
			return errors.Wrap(err, "encode control order")
		}
		if _, err = o.exchange(ctx, upstreamhttp.Exchange{
			Method: consts.MethodPost, Address: address, Path: pathControl, Body: data, SelfDelimited: true,
		}); err != nil {
			return err
		}
	}
	return nil
}

// ControlState implements Engine.
func (o *OpenAI) ControlState(ctx context.Context, address string) (ControlState, error) {
	data, err := o.exchange(ctx, upstreamhttp.Exchange{
		Method: consts.MethodGet, Address: address, Path: pathControl, SelfDelimited: true,
	})
	if err != nil {
		return ControlState{}, err
	}
	var state ControlState
	if err := json.Unmarshal(data, &state); err != nil {
		return ControlState{}, errors.Wrapf(ErrFailed, "malformed control state of %s: %v", address, err)
	}
	return state, nil
}

// timeoutOf returns the time until the deadline of ctx, at most exchangeTimeout.
func timeoutOf(ctx context.Context) time.Duration {
	if deadline, ok := ctx.Deadline(); ok {
		return min(exchangeTimeout, time.Until(deadline))
	}
	return exchangeTimeout
}

// exchange sends a request and returns the body of the reply. A status 409 or 412
// becomes ErrRefused, another status from 300 on ErrFailed.
func (o *OpenAI) exchange(ctx context.Context, e upstreamhttp.Exchange) ([]byte, error) {
	e.ContentType, e.Timeout = "application/json", timeoutOf(ctx)
	reply, err := o.http.Exchange(ctx, e)
	switch {
	case err != nil:
		return nil, classifySendError(err)
	case reply.Status == consts.StatusConflict || reply.Status == consts.StatusPreconditionFailed:
		return nil, errors.Wrapf(ErrRefused, "%s %s: status %d", e.Method, e.Path, reply.Status)
	case reply.Status >= 300:
		return nil, errors.Wrapf(ErrFailed, "%s %s: status %d", e.Method, e.Path, reply.Status)
	}
	return reply.Body, nil
}
