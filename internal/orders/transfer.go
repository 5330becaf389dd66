package orders

import (
	"context"
	"crypto/sha256"
	"io"
	"sync"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/dogwoodrudder/dogwoodrudder/api/peer/v1"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/order"
)

const (
	// transferBytes is the size at which a message of a transfer is sent; with
	// one more entry it stays far below peer.MaxMessageBytes.
	transferBytes = 1 << 20
	// maxTransferBytes bounds what a receiver holds of one transfer.
	maxTransferBytes = 64 << 20
	// lateTimeout bounds the report of one late outcome to the successor.
	lateTimeout = 2 * time.Second
)

// lateSender knows where outcomes go that are settled after the freeze. It
// keeps the address instead of a client, because the pool may close a
// connection between two outcomes.
type lateSender struct {
	mu      sync.Mutex
	address string // ip:port of the successor's Peer service; empty before the hand-over
}

// HandOver freezes the ledger and sends it to the daemon successorID at
// address (ip:port). After an error it can be called again; once the last part
// may have arrived, only with the same successor, as the ledger's CommitSuccessor
// refuses another one. The ledger stays frozen in every case.
func (e *Executor) HandOver(ctx context.Context, successorID, address string) error {
	e.Ledger.Freeze()
	successor, err := e.Peers.Client(address)
	if err != nil {
		return err
	}
	parts, err := e.Ledger.Export()
	if err != nil {
		return err
	}
	for _, part := range parts {
		commit := func() error { return e.Ledger.CommitSuccessor(successorID) }
		if err := sendPart(ctx, successor, part, commit); err != nil {
			return errors.Wrapf(err, "hand over the orders of %s to %s", part.Executor, successorID)
		}
	}
	e.late.mu.Lock()
	e.late.address = address
	e.late.mu.Unlock()
	e.Log.Info("orders handed over", "successor", successorID, "parts", len(parts), "unsettled", e.Ledger.Unsettled())
	return e.FlushLate(ctx)
}

// FlushLate sends outcomes that were settled after the freeze to the
// successor. Ledger.Unsettled tells whether more are to come.
func (e *Executor) FlushLate(ctx context.Context) error {
	e.late.mu.Lock()
	address := e.late.address
	e.late.mu.Unlock()
	if address == "" {
		return nil
	}
	client, err := e.Peers.Client(address)
	if err != nil {
		return err
	}
	parts := e.Ledger.TakeLate()
	for i, part := range parts {
		if err := sendPart(ctx, client, part, nil); err != nil {
			e.Ledger.RequeueLate(parts[i:])
			return errors.Wrap(err, "report a late order outcome")
		}
	}
	return nil
}

func (e *Executor) flushAfterFreeze(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), lateTimeout)
	defer cancel()
	if err := e.FlushLate(ctx); err != nil {
		e.Log.Warn("late order outcome not delivered", "error", err)
	}
}

// PeerDied settles as unknown the orders whose outcome was awaited from a dead
// daemon that had handed its ledger to this one.
func (e *Executor) PeerDied(daemonID string) {
	e.Ledger.MarkUnknown(daemonID)
	e.flushAfterFreeze(context.Background())
}

// sendPart streams one part. commit runs before the last message is sent.
func sendPart(ctx context.Context, client peerv1.PeerClient, part order.Part, commit func() error) error {
	ctx, cancel := context.WithCancel(ctx) // ends the stream if the commit fails
	defer cancel()
	stream, err := client.TakeLedger(ctx)
	if err != nil {
		return errors.Wrap(err, "open the transfer")
	}
	message := newMessage(part)
	size := 0
	for i := range part.Entries {
		entry := entryToProto(&part.Entries[i])
		message.Entries = append(message.Entries, entry)
		if size += proto.Size(entry); size >= transferBytes {
			if err := stream.Send(message); err != nil {
				return closeError(stream, err)
			}
			message, size = newMessage(part), 0
		}
	}
	if part.Last && commit != nil {
		if err := commit(); err != nil {
			return err
		}
		message.Last = true
	}
	if err := stream.Send(message); err != nil {
		return closeError(stream, err)
	}
	_, err = stream.CloseAndRecv()
	return errors.Wrap(err, "receive the acknowledgement")
}

// closeError returns the receiver's error, which Send only reports as io.EOF.
func closeError(stream grpc.ClientStreamingClient[peerv1.TakeLedgerRequest, peerv1.TakeLedgerResponse], err error) error {
	if errors.Is(err, io.EOF) {
		_, err = stream.CloseAndRecv()
	}
	return errors.Wrap(err, "send a part")
}

func newMessage(part order.Part) *peerv1.TakeLedgerRequest {
	return &peerv1.TakeLedgerRequest{
		FromDaemonId: part.From, ExecutorDaemonId: part.Executor,
		CompleteAfterUnixMs: ceilMilli(part.CompleteAfter),
	}
}

// ceilMilli rounds up, so that no key appears to be kept that was dropped.
func ceilMilli(t time.Time) int64 {
	return t.Add(time.Millisecond - time.Nanosecond).UnixMilli()
}

// TakeLedger implements peer.OrderHandler. A transfer is imported at once when
// its last message arrives, since the sender has then committed itself. What
// came of a transfer that broke before only serves to replay responses.
func (e *Executor) TakeLedger(stream grpc.ClientStreamingServer[peerv1.TakeLedgerRequest, peerv1.TakeLedgerResponse]) error {
	var part order.Part
	size := 0
	for {
		message, err := stream.Recv()
		if err != nil {
			return e.endTransfer(stream, part, err)
		}
		if size += proto.Size(message); size > maxTransferBytes {
			return errors.Errorf("the transfer exceeds %d bytes", maxTransferBytes)
		}
		appendMessage(&part, message)
		if part.Last {
			break
		}
	}
	if err := e.Ledger.Import(part); err != nil {
		return err
	}
	e.Log.Info("orders taken over", "from", part.From, "executor", part.Executor, "entries", len(part.Entries))
	return stream.SendAndClose(&peerv1.TakeLedgerResponse{Accepted: int64(len(part.Entries))})
}

// endTransfer handles a transfer that ended without a last part.
func (e *Executor) endTransfer(stream grpc.ClientStreamingServer[peerv1.TakeLedgerRequest, peerv1.TakeLedgerResponse], part order.Part, cause error) error {
	if part.Executor == "" {
		return errors.Wrap(cause, "the transfer is empty")
	}
	err := e.Ledger.Import(part)
	if !errors.Is(cause, io.EOF) {
		return cause
	}
	if err != nil {
		return err
	}
	return stream.SendAndClose(&peerv1.TakeLedgerResponse{Accepted: int64(len(part.Entries))})
}

func appendMessage(part *order.Part, m *peerv1.TakeLedgerRequest) {
	part.From, part.Executor = m.GetFromDaemonId(), m.GetExecutorDaemonId()
	if part.Executor == "" {
		part.Executor = part.From
	}
	part.CompleteAfter = time.UnixMilli(m.GetCompleteAfterUnixMs())
	part.Last = m.GetLast()
	for _, entry := range m.GetEntries() {
		part.Entries = append(part.Entries, entryFromProto(entry))
	}
}

func entryToProto(e *order.Entry) *peerv1.LedgerEntry {
	return &peerv1.LedgerEntry{
		Key: e.Key, ClientAccount: e.Account, RequestHash: e.Hash[:], State: string(e.State),
		Response: responseToProto(e.Outcome, false), ExpiresUnixMs: e.Expires.UnixMilli(),
	}
}

func entryFromProto(p *peerv1.LedgerEntry) order.Entry {
	e := order.Entry{
		Key: p.GetKey(), Account: p.GetClientAccount(), State: order.State(p.GetState()),
		Outcome: outcomeFromProto(p.GetResponse()), Expires: time.UnixMilli(p.GetExpiresUnixMs()),
	}
	copy(e.Hash[:], p.GetRequestHash())
	return e
}

// HashRequest identifies the content of a request, so that a key cannot be
// used for two different ones.
func HashRequest(r *peerv1.ExecuteOrderRequest) [32]byte {
	h := sha256.New()
	var prefix []byte
	for _, field := range []string{r.GetService(), r.GetMethod(), r.GetPath()} {
		prefix = protowire.AppendString(prefix, field)
	}
	h.Write(prefix)
	h.Write(r.GetBody())
	return [32]byte(h.Sum(nil))
}
