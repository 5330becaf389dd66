package main

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"google.golang.org/grpc"

	peerv1 "github.com/dogwoodrudder/dogwoodrudder/api/peer/v1"
	"github.com/dogwoodrudder/dogwoodrudder/internal/handover"
	"github.com/dogwoodrudder/dogwoodrudder/internal/orders"
	"github.com/dogwoodrudder/dogwoodrudder/internal/peer"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/order"
)

// handoverLimit is the maximum time for a leaving daemon to copy its streams or
// its ledger: whole zones are reclaimed within seconds of the notice.
const handoverLimit = 2 * time.Second

func measureHandover(r *run) error {
	for _, tokens := range tokenSizes {
		if err := measureCopies(r, tokens); err != nil {
			return errors.Wrapf(err, "copy streams of %d tokens", tokens)
		}
	}
	for _, streams := range []int{60, 200, 600} {
		if err := measureAppends(r, streams); err != nil {
			return errors.Wrapf(err, "append to %d streams", streams)
		}
	}
	for _, keys := range keySizes {
		if err := measureLedgerTransfer(r, keys); err != nil {
			return errors.Wrapf(err, "hand over %d keys", keys)
		}
	}
	fit := r.find("handover.copy_time").fit()
	perStream := fit.intercept + fit.slope*meanCompletionTokens/2
	r.addLimit("handover: time to copy 600 streams, half of 430 tokens emitted", perStream*streamsInFlight/1e3, milliseconds(handoverLimit), "ms")
	r.addLimit("handover: time to hand over a ledger of 45,000 keys", r.find("handover.ledger_time").last(), milliseconds(handoverLimit), "ms")
	return nil
}

// receivingDaemon is a daemon that takes over streams and orders.
type receivingDaemon struct {
	traffic trafficCounter
	server  *grpc.Server
	pool    *peer.Pool
	client  peerv1.PeerClient
	address string // ip:port of the Peer service
}

func newReceivingDaemon(orderHandler peer.OrderHandler) (*receivingDaemon, error) {
	listener, err := listenOnLoopback()
	if err != nil {
		return nil, err
	}
	d := &receivingDaemon{}
	limits := handover.DefaultLimits()
	limits.MaxBytes = 1 << 30 // the largest measurement exceeds the default
	streamReceiver := handover.NewReceiver(clockwork.NewRealClock(), limits, nil)
	d.server = d.traffic.servePeer(listener, &peer.Service{
		GossipHandler: unimplementedHandler{}, ConfigHandler: unimplementedHandler{}, OrderHandler: orderHandler, StreamHandler: streamReceiver, EvidenceHandler: unimplementedHandler{},
	})
	var sender trafficCounter
	d.pool = sender.newPool()
	d.address = listener.Addr().String()
	d.client, err = d.pool.Client(d.address)
	return d, err
}

func (d *receivingDaemon) close() {
	d.pool.Close()
	d.server.Stop()
}

func newRequestRecord(i, tokens int) *peerv1.RequestRecord {
	record := &peerv1.RequestRecord{
		RequestId: fmt.Sprintf("account-0/request-%04d", i), ClientAccount: "account-0", Service: "s0",
		Path: "/v1/chat/completions", Body: chatBody(tokens, i), FromDaemonId: issuingDaemonID,
		DeadlineUnixMs: time.Now().Add(time.Minute).UnixMilli(),
	}
	for id := range tokens {
		record.Events = append(record.Events, newEvent(id+1))
	}
	return record
}

func newEvent(id int) *peerv1.Event {
	return &peerv1.Event{Id: int64(id), Data: newChunk("0f9a4c7e-0000-4000-8000-000000000000", " token", "")}
}

// measureCopies copies 60 request records concurrently, each with a number of
// emitted tokens.
func measureCopies(r *run, tokens int) error {
	d, err := newReceivingDaemon(unimplementedHandler{})
	if err != nil {
		return err
	}
	defer d.close()
	replicator, err := handover.NewReplicator(context.Background(), d.client)
	if err != nil {
		return err
	}
	defer replicator.Stop()
	const streams = 60
	records := make([]*peerv1.RequestRecord, streams)
	for i := range records {
		records[i] = newRequestRecord(i, tokens)
	}
	bytes, start := d.traffic.received.Load(), time.Now()
	err = runConcurrently(streams, func(i int) error { return replicator.Open(context.Background(), records[i]) })
	elapsed := time.Since(start)
	r.record("handover.copy_time", "tokens emitted", "us a stream", float64(tokens), microseconds(elapsed)/streams)
	r.record("handover.copy_bytes", "tokens emitted", "bytes a stream", float64(tokens), float64(d.traffic.received.Load()-bytes)/streams)
	return err
}

// runConcurrently calls f for 0 to n-1 concurrently and returns the first error.
func runConcurrently(n int, f func(i int) error) error {
	var group sync.WaitGroup
	failures := make(chan error, n)
	for i := range n {
		group.Go(func() {
			if err := f(i); err != nil {
				failures <- err
			}
		})
	}
	group.Wait()
	close(failures)
	return <-failures
}

// measureAppends sends one token of each stream every 28 ms and waits for the
// acknowledgements, as a leaving daemon does before it emits a token.
func measureAppends(r *run, streams int) error {
	d, err := newReceivingDaemon(unimplementedHandler{})
	if err != nil {
		return err
	}
	defer d.close()
	replicator, err := handover.NewReplicator(context.Background(), d.client)
	if err != nil {
		return err
	}
	defer replicator.Stop()
	records := make([]*peerv1.RequestRecord, streams)
	for i := range records {
		records[i] = newRequestRecord(i, 0)
		if err := replicator.Open(context.Background(), records[i]); err != nil {
			return err
		}
	}
	tokens := r.repeat(60)
	waits := make([][]time.Duration, streams)
	bytes, cpu := d.traffic.bytes(), processTime()
	err = runConcurrently(streams, func(i int) error {
		ticker := time.NewTicker(28 * time.Millisecond)
		defer ticker.Stop()
		for id := range tokens {
			<-ticker.C
			start := time.Now()
			if err := replicator.Append(context.Background(), records[i].GetRequestId(), newEvent(id+1)); err != nil {
				return err
			}
			waits[i] = append(waits[i], time.Since(start))
		}
		return nil
	})
	if err != nil {
		return err
	}
	var all []time.Duration
	for _, w := range waits {
		all = append(all, w...)
	}
	n := float64(len(all))
	r.record("handover.append_wait", "streams", "us a token, median", float64(streams), microseconds(median(all)))
	r.record("handover.append_cpu", "streams", "us a token, both daemons", float64(streams), microseconds(processTime()-cpu)/n)
	r.record("handover.append_bytes", "streams", "bytes a token, both directions", float64(streams), float64(d.traffic.bytes()-bytes)/n)
	return nil
}

// measureLedgerTransfer hands a ledger to a successor.
func measureLedgerTransfer(r *run, keys int) error {
	signer, err := newSigner()
	if err != nil {
		return err
	}
	ledger, err := newLedger()
	if err != nil {
		return err
	}
	if err := fillLedger(ledger, signer, 0, keys); err != nil {
		return err
	}
	const successor = "daemon-002-0f9a4c7e"
	target, err := order.NewLedger(successor, clockwork.NewRealClock(), order.DefaultLimits())
	if err != nil {
		return err
	}
	d, err := newReceivingDaemon(orders.New(orders.Options{Self: successor, Signer: signer, Ledger: target, Log: discardLogger()}))
	if err != nil {
		return err
	}
	defer d.close()
	sender := orders.New(orders.Options{Self: issuingDaemonID, Signer: signer, Ledger: ledger, Peers: d.pool, Log: discardLogger()})
	start := time.Now()
	if err := sender.HandOver(context.Background(), successor, d.address); err != nil {
		return err
	}
	r.record("handover.ledger_time", "keys", "ms", float64(keys), milliseconds(time.Since(start)))
	r.record("handover.ledger_bytes", "keys", "bytes", float64(keys), float64(d.traffic.received.Load()))
	if got := target.Stats().Entries; got != keys {
		return errors.Errorf("the successor has %d of %d keys", got, keys)
	}
	return nil
}
