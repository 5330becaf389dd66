package daemon

import (
	"context"
	"log/slog"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	peerv1 "github.com/dogwoodrudder/dogwoodrudder/api/peer/v1"
	"github.com/dogwoodrudder/dogwoodrudder/internal/proxy"
)

// fakePeer is a recordPeer that stores the IDs of opened and closed records.
type fakePeer struct {
	opened, closed map[string]bool
	lost           chan struct{}
}

func newFakePeer() *fakePeer {
	return &fakePeer{opened: map[string]bool{}, closed: map[string]bool{}, lost: make(chan struct{})}
}

func (p *fakePeer) Open(_ context.Context, record *peerv1.RequestRecord) error {
	p.opened[record.GetRequestId()] = true
	return nil
}

func (p *fakePeer) Append(context.Context, string, ...*peerv1.Event) error { return nil }

func (p *fakePeer) Close(_ context.Context, id string, _ bool) error {
	if !p.opened[id] {
		return errors.New("is not copied")
	}
	p.closed[id] = true
	return nil
}

func (p *fakePeer) Stop()                 {}
func (p *fakePeer) Done() <-chan struct{} { return p.lost }
func (p *fakePeer) HTTPAddress() string   { return "peer" }

// fakeRequest is a copiedRequest that never ends by itself.
type fakeRequest struct {
	id    string
	moved []string
}

func (f *fakeRequest) RecordID() string           { return f.id }
func (f *fakeRequest) After(int64) proxy.Progress { return proxy.Progress{Moved: f.moved} }
func (f *fakeRequest) Move(addresses []string)    { f.moved = addresses }

func (f *fakeRequest) Record(string, []proxy.Event) *peerv1.RequestRecord {
	return &peerv1.RequestRecord{RequestId: f.id}
}

func (f *fakeRequest) Copy(open func([]proxy.Event) error, _ proxy.ReplicateFunc) error {
	return open(nil)
}

// Guards against the loss of a stream that a draining daemon takes over from
// another draining daemon after it has copied its own requests. Such a request
// must be copied and handed over too.
func TestRequestTakenOverDuringDrainIsHandedOver(t *testing.T) {
	for _, when := range []string{"before the orphans", "before the end"} {
		t.Run(when, func(t *testing.T) {
			g := NewWithT(t)
			peer := newFakePeer()
			early, late := &fakeRequest{id: "a/early"}, &fakeRequest{id: "a/late"}
			running := []copiedRequest{early}
			c := &streamCopier{
				log: slog.New(slog.DiscardHandler), daemonID: "d1", requests: map[string]copiedRequest{},
				running: func() []copiedRequest { return running },
				orphans: func() []*peerv1.RequestRecord {
					if when == "before the orphans" {
						running = append(running, late)
					}
					return nil
				},
				connect: func(context.Context) (recordPeer, error) { return peer, nil },
			}
			g.Expect(c.start(t.Context())).To(Succeed())
			if when == "before the end" {
				running = append(running, late)
			} else {
				g.Expect(peer.opened).To(HaveKey("a/late"), "copied as soon as it runs here")
			}
			c.handOverRemaining(t.Context())
			g.Expect(peer.closed).To(HaveKey("a/early"))
			g.Expect(peer.closed).To(HaveKey("a/late"))
			g.Expect(late.moved).To(Equal([]string{"peer"}))
		})
	}
}
