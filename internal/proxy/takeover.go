package proxy

import (
	"context"
	"strings"
	"time"

	peerv1 "github.com/dogwoodrudder/dogwoodrudder/api/peer/v1"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/object"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/result"
)

// Records holds the records of in-flight requests that leaving daemons copied to
// this one.
type Records interface {
	// Take returns the record of a request to the one caller that continues the
	// request; further calls fail. lastEventID is the last event that the client
	// has, -1 if no client has resumed the request.
	Take(recordID string, lastEventID int64) (*peerv1.RequestRecord, error)
}

// RecordID returns the ID of a request's record. It includes the client account,
// because two accounts may use the same request ID. Account names contain no
// slash.
func RecordID(account, requestID string) string { return account + "/" + requestID }

// RecordID returns the ID of the request's record.
func (f *Inflight) RecordID() string { return RecordID(f.Account, f.ID) }

// Record returns the record by which another daemon can finish the request.
func (f *Inflight) Record(daemonID string, events []Event) *peerv1.RequestRecord {
	record := &peerv1.RequestRecord{
		RequestId: f.RecordID(), ClientAccount: f.Account, Service: f.Service, Body: f.Body,
		DeadlineUnixMs: f.Deadline.UnixMilli(), FromDaemonId: daemonID,
		Headers: []*peerv1.Header{{Name: sessionHeader, Value: f.Session}},
	}
	for _, e := range events {
		record.Events = append(record.Events, ProtoEvent(e))
	}
	return record
}

// sessionHeader is the header of a record that contains the session.
const sessionHeader = "X-Session-Id"

// ProtoEvent returns the wire form of an event.
func ProtoEvent(e Event) *peerv1.Event {
	return &peerv1.Event{Id: e.ID, Data: e.Data, Last: e.Last}
}

// Resume returns a model request of the caller that runs on this daemon or that
// another daemon copied to this one. lastEventID is the last event that the
// caller has.
func (p *Proxy) Resume(caller Caller, id string, lastEventID int64) (*Inflight, error) {
	f := p.registry.get(caller.Account, id)
	if f == nil {
		var err error
		if f, err = p.takeOver(caller, id, lastEventID); err != nil {
			return nil, err
		}
	}
	if progress := f.After(0); lastEventID > int64(len(progress.Events)) {
		return nil, result.New(result.StreamGone, result.Unknown,
			"event %d of request %s is not known here", lastEventID, id)
	}
	p.metrics.resumes.Inc()
	return f, nil
}

// TakeOver finishes a copied request that no caller has resumed yet.
func (p *Proxy) TakeOver(recordID string) error {
	account, id, _ := strings.Cut(recordID, "/")
	_, err := p.takeOver(p.options.Accounts(account), id, -1)
	return err
}

// takeOver continues the copied request with the given ID and returns it.
func (p *Proxy) takeOver(caller Caller, id string, lastEventID int64) (*Inflight, error) {
	if p.options.Records == nil {
		return nil, result.New(result.StreamUnknown, result.Unknown, "no request %q is known here", id)
	}
	record, err := p.options.Records.Take(RecordID(caller.Account, id), lastEventID)
	if err != nil {
		if f := p.registry.get(caller.Account, id); f != nil {
			return f, nil // another reader has taken it over in the meantime
		}
		return nil, err
	}
	p.metrics.handovers.Inc()
	return p.continueRecord(caller, record)
}

// continueRecord registers a copied request and makes its remaining attempts.
// It skips admission, because the other daemon has already admitted the request.
func (p *Proxy) continueRecord(caller Caller, record *peerv1.RequestRecord) (*Inflight, error) {
	chat, err := parseChat(record.GetBody())
	if err != nil {
		return nil, err
	}
	spec, err := p.serviceOf(chat.service, object.ProtocolOpenAI)
	if err != nil {
		return nil, err
	}
	deadline := time.UnixMilli(record.GetDeadlineUnixMs())
	id := strings.TrimPrefix(record.GetRequestId(), RecordID(record.GetClientAccount(), ""))
	f := p.newInflight(id, record.GetClientAccount(), chat, record.GetBody(), deadline)
	for _, h := range record.GetHeaders() {
		if h.GetName() == sessionHeader {
			f.Session = h.GetValue()
		}
	}
	ended := f.restore(record.GetEvents())
	f, created := p.registry.add(f)
	if !created {
		return f, nil
	}
	if ended {
		f.finish(nil)
		return f, nil
	}
	run := &chatRun{proxy: p, inflight: f, caller: caller, spec: spec, class: classOf(spec, chat.promptBytes)}
	return f, run.resume()
}

// restore adds the events that another daemon emitted, sets the state of the
// statechart accordingly, and reports whether the last event ends the stream.
func (f *Inflight) restore(events []*peerv1.Event) bool {
	ended := false
	f.fire(eventAdmit)
	if len(events) > 0 {
		f.fire(eventStart)
		f.fire(eventFirst)
		f.fire(eventAttemptLost)
	}
	for _, e := range events {
		f.events = append(f.events, Event{ID: e.GetId(), Data: e.GetData(), Last: e.GetLast()})
		f.bytes += len(e.GetData())
		ended = ended || e.GetLast()
	}
	_, tokens := f.emitted()
	f.countTokens(tokens)
	return ended
}

// resume starts the remaining attempts without admission.
func (r *chatRun) resume() error {
	if err := r.chooseVersion(); err != nil {
		return err
	}
	ctx, cancel := context.WithDeadline(context.Background(), r.inflight.Deadline)
	r.inflight.setCancel(cancel)
	err := r.proxy.options.Calls.Submit(func() {
		defer cancel()
		r.run(ctx, func() {})
	})
	if err != nil {
		cancel()
		r.fail(result.Wrap(err, result.Overloaded, result.Unknown, "too many upstream calls are running"))
	}
	return nil
}
