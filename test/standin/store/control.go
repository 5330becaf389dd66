package store

import (
	"context"
	"net/http"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
)

type errorBody struct {
	Error string `json:"error"`
}

// registerControl adds the control port's routes:
//
//	GET  /stats                 Stats
//	GET  /faults, PUT /faults   Faults
//	POST /leases/expire         {"id": 7} ends a lease; id 0 ends all
//	POST /rollback              {"revision": 1}, or {"back": 10} for 10 revisions back
func (s *Server) registerControl(h *server.Hertz) {
	h.GET("/stats", func(_ context.Context, c *app.RequestContext) { c.JSON(http.StatusOK, s.Stats()) })
	h.GET("/faults", func(_ context.Context, c *app.RequestContext) { c.JSON(http.StatusOK, s.Faults()) })
	h.PUT("/faults", s.handleFaults)
	h.POST("/leases/expire", s.handleExpire)
	h.POST("/rollback", s.handleRollback)
}

func reply(c *app.RequestContext, body any, err error) {
	if err != nil {
		c.JSON(http.StatusBadRequest, errorBody{Error: err.Error()})
		return
	}
	c.JSON(http.StatusOK, body)
}

func (s *Server) handleFaults(_ context.Context, c *app.RequestContext) {
	var faults Faults
	err := c.BindJSON(&faults)
	if err == nil {
		err = s.SetFaults(faults)
	}
	reply(c, faults, err)
}

func (s *Server) handleExpire(_ context.Context, c *app.RequestContext) {
	var request struct {
		ID int64 `json:"id"`
	}
	err := c.BindJSON(&request)
	ended := 0
	if err == nil {
		ended = s.ExpireLease(request.ID)
	}
	reply(c, map[string]int{"ended": ended}, err)
}

func (s *Server) handleRollback(_ context.Context, c *app.RequestContext) {
	var request struct {
		Revision int64 `json:"revision"`
		Back     int64 `json:"back"`
	}
	err := c.BindJSON(&request)
	if err == nil {
		if request.Revision == 0 {
			request.Revision = s.Revision() - request.Back
		}
		err = s.Rollback(request.Revision)
	}
	reply(c, map[string]int64{"revision": s.Revision()}, err)
}
