package engine

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/dogwoodrudder/dogwoodrudder/test/standin/fault"
)

// Action is the kind of a control order.
type Action string

// Actions. Each sets a desired state and is idempotent.
const (
	ActionLoadModel     Action = "load_model"
	ActionLoadAdapter   Action = "load_adapter"
	ActionUnloadAdapter Action = "unload_adapter"
	ActionLoadVersion   Action = "load_version"
	ActionSetRole       Action = "set_role"
)

// Order is the body of POST /v1/control.
type Order struct {
	Action       Action `json:"action"`
	Model        string `json:"model,omitempty"`
	Adapter      string `json:"adapter,omitempty"`
	Version      string `json:"version,omitempty"`
	Role         string `json:"role,omitempty"`
	FencingToken uint64 `json:"fencing_token"`
}

// ControlState is the response to GET and POST /v1/control.
type ControlState struct {
	Model    string   `json:"model"`
	Adapters []string `json:"adapters"`
	Version  string   `json:"version"`
	Role     string   `json:"role"`
	Loading  bool     `json:"loading"`
	// HighestToken is the highest fencing token seen. It is recorded but not
	// checked if the engine ignores fencing tokens.
	HighestToken uint64 `json:"highest_token"`
	// Accepted lists the orders that were accepted, Outdated those that were
	// refused for their fencing token.
	Accepted []Order `json:"accepted"`
	Outdated []Order `json:"outdated"`
}

// ControlState returns a copy of the state.
func (s *Server) ControlState() ControlState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.controlStateLocked()
}

func (s *Server) controlStateLocked() ControlState {
	state := s.control
	state.Adapters = slices.Clone(state.Adapters)
	state.Accepted = slices.Clone(state.Accepted)
	state.Outdated = slices.Clone(state.Outdated)
	return state
}

func (s *Server) handleControlState(_ context.Context, c *app.RequestContext) {
	c.JSON(http.StatusOK, s.ControlState())
}

func (s *Server) handleControl(_ context.Context, c *app.RequestContext) {
	var order Order
	if err := c.BindJSON(&order); err != nil {
		fail(c, http.StatusBadRequest, "invalid_request_error", err.Error())
		return
	}
	if !order.valid() {
		fail(c, http.StatusBadRequest, "invalid_request_error", "unknown action or missing name")
		return
	}
	if !s.accept(order) {
		c.Response.Header.Set(fault.HeaderRefused, fault.RefusedFencing)
		fail(c, http.StatusConflict, "refused", "the fencing token is outdated")
		return
	}
	c.JSON(http.StatusOK, s.ControlState())
}

func (o Order) valid() bool {
	switch o.Action {
	case ActionLoadModel:
		return o.Model != ""
	case ActionLoadAdapter, ActionUnloadAdapter:
		return o.Adapter != ""
	case ActionLoadVersion:
		return o.Version != ""
	case ActionSetRole:
		return o.Role != ""
	}
	return false
}

// accept checks the fencing token and applies the order or starts the load. It
// returns false if the token is outdated.
func (s *Server) accept(order Order) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if order.FencingToken < s.control.HighestToken && !s.options.IgnoreFencing {
		s.control.Outdated = append(s.control.Outdated, order)
		return false
	}
	s.control.HighestToken = max(s.control.HighestToken, order.FencingToken)
	s.control.Accepted = append(s.control.Accepted, order)
	s.orderCount++
	switch {
	case s.inEffectLocked(order):
		s.control.Loading = false // cancels a load in progress
	case order.Action == ActionSetRole || order.Action == ActionUnloadAdapter || s.options.LoadTime == 0:
		s.applyOrderLocked(order)
	default:
		s.loadLocked(order)
	}
	return true
}

func (s *Server) inEffectLocked(o Order) bool {
	switch o.Action {
	case ActionLoadModel:
		return s.control.Model == o.Model
	case ActionLoadVersion:
		return s.control.Version == o.Version
	case ActionLoadAdapter:
		return slices.Contains(s.control.Adapters, o.Adapter)
	}
	return false
}

// loadLocked applies the order after LoadTime. A later order cancels the load of
// a model or version, but not of an adapter. New requests are refused until
// then, except while an adapter is loaded.
func (s *Server) loadLocked(order Order) {
	orderNumber := s.orderCount
	s.control.Loading = order.Action != ActionLoadAdapter
	time.AfterFunc(s.options.LoadTime, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.orderCount == orderNumber || order.Action == ActionLoadAdapter {
			s.applyOrderLocked(order)
		}
	})
}

func (s *Server) applyOrderLocked(order Order) {
	before := s.saltLocked()
	switch order.Action {
	case ActionLoadModel:
		s.control.Model, s.control.Loading = order.Model, false
	case ActionLoadVersion:
		s.control.Version, s.control.Loading = order.Version, false
	case ActionSetRole:
		s.control.Role = order.Role
	case ActionLoadAdapter:
		if !slices.Contains(s.control.Adapters, order.Adapter) {
			s.control.Adapters = append(s.control.Adapters, order.Adapter)
		}
	case ActionUnloadAdapter:
		s.control.Adapters = slices.DeleteFunc(s.control.Adapters, func(a string) bool { return a == order.Adapter })
	}
	if s.saltLocked() != before {
		s.cache.clear()
	}
}

func (s *Server) handleModels(_ context.Context, c *app.RequestContext) {
	type model struct {
		ID     string `json:"id"`
		Object string `json:"object"`
	}
	state := s.ControlState()
	models := []model{{ID: state.Model, Object: "model"}}
	for _, adapter := range state.Adapters {
		models = append(models, model{ID: adapter, Object: "model"})
	}
	c.JSON(http.StatusOK, map[string]any{"object": "list", "data": models})
}

// handleCacheEvents serves GET /v1/cache/events?after=&wait_ms=. A gap in the
// sequence numbers shows that events were lost.
func (s *Server) handleCacheEvents(ctx context.Context, c *app.RequestContext) {
	after, _ := strconv.ParseUint(c.Query("after"), 10, 64)
	waitMillis, _ := strconv.Atoi(c.Query("wait_ms"))
	deadline := time.Now().Add(time.Duration(waitMillis) * time.Millisecond)
	events, next := s.cache.events(after)
	for len(events) == 0 && time.Now().Before(deadline) {
		select {
		case <-ctx.Done():
			return
		case <-time.After(cacheEventPollInterval):
		}
		events, next = s.cache.events(after)
	}
	c.JSON(http.StatusOK, map[string]any{"events": events, "next": next})
}

const cacheEventPollInterval = 10 * time.Millisecond
