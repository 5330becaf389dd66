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
	// transferMessageBytes is the size from which on a message of a transfer gets no
	// further entry. Including its last entry it stays far below
	// peer.MaxMessageBytes.
	transferMessageBytes = 1 << 20
	// maxTransferBytes bounds the size of one transfer, which the receiver holds in
	// memory.
	maxTransferBytes = 64 << 20
	// lateOutcomeTimeout bounds one call that sends late outcomes to the successor.
	lateOutcomeTimeout = 2 * time.Second
)

// successorAddress holds the address to which late outcomes are sent: those that are
// settled after the freeze. It is an address and not a client, because the pool may
// close a connection between two outcomes.
type successorAddress struct {
	mu      sync.Mutex
	address string // ip:port of the successor's Peer service; empty before the hand-over
}

// HandOver freezes the ledger and sends it to the daemon successorID at address
// (ip:port). It can be called again after an error. Once the last part may have
// arrived, it must be called with the same successor, because the ledger's
// CommitSuccessor refuses another one. The ledger stays frozen in every case.
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
	e.successor.mu.Lock()
	e.successor.address = address
	e.successor.mu.Unlock()
	e.Log.Info("orders handed over", "successor", successorID, "parts", len(parts), "unsettled", e.Ledger.Unsettled())
	return e.FlushLate(ctx)
}

// FlushLate sends the outcomes that were settled after the freeze to the successor.
// It does nothing before HandOver has succeeded. Ledger.Unsettled returns how many
// outcomes remain.
func (e *Executor) FlushLate(ctx context.Context) error {
	e.successor.mu.Lock()
	address := e.successor.address
	e.successor.mu.Unlock()
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

// flushLateOutcomes calls FlushLate, even if ctx has ended, and logs an error.
func (e *Executor) flushLateOutcomes(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), lateOutcomeTimeout)
	defer cancel()
	if err := e.FlushLate(ctx); err != nil {
		e.Log.Warn("late order outcome not delivered", "error", err)
	}
}

// PeerDied settles orders as unknown if their outcome was awaited from a daemon that
// died after it had handed its ledger over to this one.
func (e *Executor) PeerDied(daemonID string) {
	e.Ledger.MarkUnknown(daemonID)
	e.flushLateOutcomes(context.Background())
}

// sendPart sends one part as a stream of messages. It calls commit, if it is not nil,
// before the last message of a part with Last.
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
		if size += proto.Size(entry); size >= transferMessageBytes {
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

// closeError returns the error for a failed Send, which only returns io.EOF if the
// receiver has ended the stream. The receiver's error then comes with the response.
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

// ceilMilli returns Unix milliseconds, rounded up: a smaller CompleteAfter would
// claim that the sender still has keys that it has dropped.
func ceilMilli(t time.Time) int64 {
	return t.Add(time.Millisecond - time.Nanosecond).UnixMilli()
}

// TakeLedger implements peer.OrderHandler. A transfer is imported as soon as its last
// message arrives, because the sender has then committed to this successor. If a
// transfer ends before that, its entries are only used to replay responses.
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

// endTransfer imports the entries of a transfer that ended without a message marked
// as the last one. cause is io.EOF if the sender ended it.
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

// appendMessage adds the content of a message to a part.
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

// HashRequest returns a hash of the content of a request. The ledger compares it to
// detect a key that is used for two different requests.
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
