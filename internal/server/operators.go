package server

import (
	"context"
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/dogwoodrudder/dogwoodrudder/internal/audit"
	"github.com/dogwoodrudder/dogwoodrudder/internal/config"
	"github.com/dogwoodrudder/dogwoodrudder/internal/operatorapi"
	"github.com/dogwoodrudder/dogwoodrudder/internal/proxy"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/object"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/result"
)

// actorOf returns who makes a change, for the audit trail.
func actorOf(c *app.RequestContext, caller proxy.Caller) config.Actor {
	return config.Actor{Account: caller.Account, RemoteAddress: c.RemoteAddr().String()}
}

// apply creates and updates the objects in the body.
func (s *Server) apply(ctx context.Context, c *app.RequestContext, caller proxy.Caller) error {
	file := c.Query("file")
	if file == "" {
		file = "request body"
	}
	objects, err := object.Decode(file, c.Request.Body())
	if err != nil {
		return err
	}
	if c.Query("dryRun") == "true" {
		return s.dryRun(c, objects)
	}
	before := s.options.Config.Current().Set
	applied, err := s.options.Operator.Apply(ctx, actorOf(c, caller), objects)
	if err != nil {
		return err
	}
	answer := operatorapi.ApplyResponse{Revision: applied.Revision}
	for _, ref := range applied.Changed {
		answer.Objects = append(answer.Objects, appliedEntry(before, ref))
	}
	for _, ref := range applied.Unchanged {
		answer.Objects = append(answer.Objects, operatorapi.AppliedObject{Kind: ref.Kind, Name: ref.Name, Action: "unchanged"})
	}
	writeJSON(c, answer)
	return nil
}

// appliedEntry says whether an object was created or updated, given the objects
// before the change.
func appliedEntry(before *object.Set, ref object.Ref) operatorapi.AppliedObject {
	action := "created"
	if before.Get(ref) != nil {
		action = "updated"
	}
	return operatorapi.AppliedObject{Kind: ref.Kind, Name: ref.Name, Action: action}
}

// dryRun validates the objects and says what apply would do.
func (s *Server) dryRun(c *app.RequestContext, objects []*object.Object) error {
	set := s.options.Config.Current().Set
	refs := make([]object.Ref, len(objects))
	for i, o := range objects {
		refs[i] = o.Ref()
	}
	next := set.With(set.Revision, objects, nil)
	if err := next.ValidateChange(set, refs, s.options.Clock.Now()); err != nil {
		return err
	}
	answer := operatorapi.ApplyResponse{Revision: set.Revision, DryRun: true}
	for _, o := range objects {
		answer.Objects = append(answer.Objects, appliedEntry(set, o.Ref()))
	}
	writeJSON(c, answer)
	return nil
}

// kindOf returns the kind in the path, which may differ in case.
func kindOf(c *app.RequestContext) (object.Kind, error) {
	kind := object.Kind(c.Param("kind"))
	for _, known := range object.Kinds() {
		if strings.EqualFold(string(kind), string(known)) {
			return known, nil
		}
	}
	return "", result.New(result.BadRequest, result.NotRun, "kind %q does not exist", kind)
}

func (s *Server) listObjects(_ context.Context, c *app.RequestContext, _ proxy.Caller) error {
	kind, err := kindOf(c)
	if err != nil {
		return err
	}
	labels, err := labelsOf(c.Query("selector"))
	if err != nil {
		return err
	}
	list, revision, err := s.options.Operator.List(kind, object.Selector{MatchLabels: labels})
	if err != nil {
		return err
	}
	writeJSON(c, operatorapi.ObjectList{Revision: revision, Objects: list})
	return nil
}

// labelsOf parses a selector of the form key=value,key=value.
func labelsOf(query string) (map[string]string, error) {
	if query == "" {
		return nil, nil
	}
	labels := make(map[string]string)
	for _, pair := range strings.Split(query, ",") {
		key, value, ok := strings.Cut(pair, "=")
		if !ok {
			return nil, result.New(result.BadRequest, result.NotRun, "selector: %q is not key=value", pair)
		}
		labels[key] = value
	}
	return labels, nil
}

func (s *Server) getObject(_ context.Context, c *app.RequestContext, _ proxy.Caller) error {
	kind, err := kindOf(c)
	if err != nil {
		return err
	}
	o, err := s.options.Operator.Get(object.Ref{Kind: kind, Name: c.Param("name")})
	if err != nil {
		return err
	}
	revision := s.options.Config.Current().Revision
	writeJSON(c, operatorapi.ObjectList{Revision: revision, Objects: []*object.Object{o}})
	return nil
}

func (s *Server) deleteObject(ctx context.Context, c *app.RequestContext, caller proxy.Caller) error {
	kind, err := kindOf(c)
	if err != nil {
		return err
	}
	expected, err := strconv.ParseInt(c.DefaultQuery("revision", "0"), 10, 64)
	if err != nil {
		return result.New(result.BadRequest, result.NotRun, "revision: %q is not a number", c.Query("revision"))
	}
	ref := object.Ref{Kind: kind, Name: c.Param("name")}
	revision, err := s.options.Operator.Delete(ctx, actorOf(c, caller), ref, expected)
	if err != nil {
		return err
	}
	entry := operatorapi.AppliedObject{Kind: ref.Kind, Name: ref.Name, Action: "deleted"}
	writeJSON(c, operatorapi.ApplyResponse{Revision: revision, Objects: []operatorapi.AppliedObject{entry}})
	return nil
}

func (s *Server) startMove(ctx context.Context, c *app.RequestContext, caller proxy.Caller) error {
	spec := &object.Move{}
	if err := json.Unmarshal(c.Request.Body(), spec); err != nil {
		return result.Wrap(err, result.InvalidObject, result.NotRun, "the body is not a move specification")
	}
	move := &object.Object{Kind: object.KindMove, Metadata: object.Metadata{Name: c.Param("name")}, Spec: spec}
	status, err := s.options.Operator.StartMove(ctx, actorOf(c, caller), move)
	if err != nil {
		return err
	}
	writeJSON(c, s.options.Daemon.MoveProgress(status))
	return nil
}

func (s *Server) cancelMove(ctx context.Context, c *app.RequestContext, caller proxy.Caller) error {
	status, err := s.options.Operator.CancelMove(ctx, actorOf(c, caller), c.Param("name"))
	if err != nil {
		return err
	}
	writeJSON(c, s.options.Daemon.MoveProgress(status))
	return nil
}

func (s *Server) moveStatus(_ context.Context, c *app.RequestContext, _ proxy.Caller) error {
	status, err := s.options.Operator.MoveStatus(c.Param("name"))
	if err != nil {
		return err
	}
	writeJSON(c, s.options.Daemon.MoveProgress(status))
	return nil
}

func (s *Server) audit(ctx context.Context, c *app.RequestContext, _ proxy.Caller) error {
	limit, err := strconv.Atoi(c.DefaultQuery("limit", "50"))
	if err != nil || limit < 1 {
		return result.New(result.BadRequest, result.NotRun, "limit: %q is not a positive number", c.Query("limit"))
	}
	filter := audit.Filter{Limit: limit}
	if kind, name, ok := strings.Cut(c.Query("object"), "/"); ok {
		filter.Kind, filter.Name = object.Kind(kind), name
	}
	page, err := s.options.Trail.List(ctx, filter)
	if err != nil {
		return err
	}
	var answer operatorapi.AuditResponse
	for _, r := range page.Records {
		answer.Records = append(answer.Records, auditRecords(r)...)
	}
	writeJSON(c, answer)
	return nil
}

// auditRecords returns one row for each object of a change.
func auditRecords(r *audit.Record) []operatorapi.AuditRecord {
	evidence := make(map[string]audit.MoveOutcome)
	for _, m := range r.Moves {
		evidence[m.Move] = m
	}
	var rows []operatorapi.AuditRecord
	for _, e := range r.Objects {
		row := operatorapi.AuditRecord{
			Revision: r.Revision, Time: r.Time, Account: r.Account, From: r.RemoteAddress,
			Object: e.String(), Action: actionOf(e), OldRevision: e.OldRevision, Result: r.Result,
		}
		if m, ok := evidence[e.Name]; ok && e.Kind == object.KindMove {
			row.Result, row.Evidence = string(m.State), m.Evidence
		}
		rows = append(rows, row)
	}
	return rows
}

func actionOf(e audit.Entry) string {
	switch {
	case e.NewRevision == 0:
		return "deleted"
	case e.OldRevision == 0:
		return "created"
	}
	return "updated"
}

func (s *Server) status(_ context.Context, c *app.RequestContext, _ proxy.Caller) error {
	writeJSON(c, s.options.Daemon.Status())
	return nil
}

// noticeOf returns the notice period in the query, 30 s by default.
func noticeOf(c *app.RequestContext) (time.Duration, error) {
	notice, err := time.ParseDuration(c.DefaultQuery("notice", "30s"))
	if err != nil || notice <= 0 {
		return 0, result.New(result.BadRequest, result.NotRun, "notice: %q is not a positive duration", c.Query("notice"))
	}
	return notice, nil
}

func (s *Server) drain(_ context.Context, c *app.RequestContext, caller proxy.Caller) error {
	notice, err := noticeOf(c)
	if err != nil {
		return err
	}
	s.options.Log.Info("drain requested", "account", caller.Account, "notice", notice.String())
	s.options.Daemon.Drain(notice)
	writeJSON(c, map[string]string{"state": "draining"})
	return nil
}

func (s *Server) drainUpstream(_ context.Context, c *app.RequestContext, caller proxy.Caller) error {
	notice, err := noticeOf(c)
	if err != nil {
		return err
	}
	if err := s.options.Daemon.DrainUpstream(c.Param("name"), notice); err != nil {
		return err
	}
	s.options.Log.Info("upstream drain requested", "account", caller.Account, "upstream", c.Param("name"))
	writeJSON(c, map[string]string{"state": "leaving"})
	return nil
}
