package config

import (
	"context"
	"encoding/json"
	"io"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"

	peerv1 "github.com/dogwoodrudder/dogwoodrudder/api/peer/v1"
	"github.com/dogwoodrudder/dogwoodrudder/internal/peer"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/object"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/result"
)

const (
	// fetchChunkBytes is the size of the data in one message of Fetch, far below
	// the limit of a peer connection. A larger single change is sent whole.
	fetchChunkBytes = 1 << 20
	// maxSnapshotBytes limits the memory that a peer's reply can use; 12,000
	// upstreams need about 4 MB.
	maxSnapshotBytes = 64 << 20
	// fetchDelay is the wait before a fetch. Changes that only arrive out of
	// order close the gap in this time without a fetch.
	fetchDelay = 150 * time.Millisecond
	// fetchTimeout is the time limit of one fetch.
	fetchTimeout = 20 * time.Second
	// maxFetchAttempts is the maximum number of fetches for a revision that a
	// peer has reported.
	maxFetchAttempts = 10
	// fetchRetryInterval is the wait between two of these fetches.
	fetchRetryInterval = 500 * time.Millisecond
)

var _ peer.ConfigHandler = (*Manager)(nil)

// snapshotMessage is the JSON encoding of a snapshot that is sent to a peer.
type snapshotMessage struct {
	Revision int64            `json:"revision"`
	ChangeID string           `json:"changeId"`
	Objects  []*object.Object `json:"objects"`
}

// Fetch implements peer.ConfigHandler. It sends the changes after the given
// revision, or a snapshot if the change log no longer holds them. A peer that is
// up to date gets only the revision and the verdicts.
func (m *Manager) Fetch(request *peerv1.FetchRequest, stream grpc.ServerStreamingServer[peerv1.FetchResponse]) error {
	m.applyMu.Lock()
	snapshot := m.Current()
	changes, complete := m.changeLog.after(request.GetAfterRevision())
	m.applyMu.Unlock()
	first := &peerv1.FetchResponse{Revision: snapshot.Revision}
	if m.opts.Verdicts != nil {
		first.Verdicts = m.opts.Verdicts()
	}
	if err := stream.Send(first); err != nil {
		return errors.Wrap(err, "send revision")
	}
	switch {
	case request.GetAfterRevision() >= snapshot.Revision:
		return nil
	case complete:
		return sendChanges(stream, snapshot.Revision, changes)
	default:
		return sendSnapshot(stream, snapshot)
	}
}

// sendChanges sends changes in messages of about fetchChunkBytes.
func sendChanges(stream grpc.ServerStreamingServer[peerv1.FetchResponse], revision int64, changes []*peerv1.Change) error {
	for len(changes) > 0 {
		n, size := 0, 0
		for n < len(changes) && (n == 0 || size+len(changes[n].GetRecord()) <= fetchChunkBytes) {
			size += len(changes[n].GetRecord())
			n++
		}
		if err := stream.Send(&peerv1.FetchResponse{Revision: revision, Changes: changes[:n]}); err != nil {
			return errors.Wrap(err, "send changes")
		}
		changes = changes[n:]
	}
	return nil
}

// sendSnapshot sends an encoded snapshot in chunks.
func sendSnapshot(stream grpc.ServerStreamingServer[peerv1.FetchResponse], snapshot *Snapshot) error {
	data, err := json.Marshal(snapshotMessage{snapshot.Revision, snapshot.ChangeID, snapshot.Set.All()})
	if err != nil {
		return errors.Wrap(err, "encode snapshot")
	}
	for len(data) > 0 {
		n := min(len(data), fetchChunkBytes)
		response := &peerv1.FetchResponse{Snapshot: true, Revision: snapshot.Revision, SnapshotChunk: data[:n]}
		if err := stream.Send(response); err != nil {
			return errors.Wrap(err, "send snapshot")
		}
		data = data[n:]
	}
	return nil
}

// FetchFrom fetches the changes that this daemon lacks from a peer and applies
// them. If the peer has no higher revision, only its verdicts are used.
func (m *Manager) FetchFrom(ctx context.Context, client peerv1.PeerClient) error {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	stream, err := client.Fetch(ctx, &peerv1.FetchRequest{AfterRevision: m.Current().Revision})
	if err != nil {
		return fetchError(err)
	}
	var data []byte
	for {
		response, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return fetchError(err)
		}
		if len(data)+len(response.GetSnapshotChunk()) > maxSnapshotBytes {
			return fetchError(errors.Errorf("snapshot exceeds %d bytes", maxSnapshotBytes))
		}
		data = append(data, response.GetSnapshotChunk()...)
		if err := m.applyFetched(response); err != nil {
			return err
		}
	}
	if len(data) == 0 {
		return nil
	}
	return m.applyPeerSnapshot(data)
}

func fetchError(err error) error {
	return result.Wrap(err, result.PeerUnreachable, result.NotRun, "could not fetch the configuration from a peer")
}

func (m *Manager) applyFetched(response *peerv1.FetchResponse) error {
	if m.opts.OnVerdicts != nil && len(response.GetVerdicts()) > 0 {
		m.opts.OnVerdicts(response.GetVerdicts())
	}
	for _, change := range response.GetChanges() {
		record, err := decodeChange(change)
		if err != nil {
			return fetchError(err)
		}
		if err := m.apply(record, change); err != nil {
			return err
		}
	}
	return nil
}

func (m *Manager) applyPeerSnapshot(data []byte) error {
	var message snapshotMessage
	if err := json.Unmarshal(data, &message); err != nil {
		return fetchError(errors.Wrap(err, "decode snapshot"))
	}
	if message.Revision <= m.Current().Revision {
		return nil
	}
	m.applySnapshot(m.loadedSnapshot(head{Revision: message.Revision, ChangeID: message.ChangeID}, message.Objects))
	return nil
}

// RunFetch fetches missing changes from peers until ctx ends, each time that a
// gap between revisions or a higher revision of a peer is seen. It runs on every
// daemon.
func (m *Manager) RunFetch(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-m.fetchRequested:
		}
		m.fetchMissing(ctx)
	}
}

// fetchMissing fetches until the wanted revision is in force or the attempts are
// used up.
func (m *Manager) fetchMissing(ctx context.Context) {
	wait := fetchDelay
	for attempt := 0; attempt < maxFetchAttempts; attempt++ {
		select {
		case <-ctx.Done():
			return
		case <-m.opts.Clock.After(wait):
		}
		if !m.isBehind() {
			return
		}
		if err := m.fetchOnce(ctx); err != nil {
			m.opts.Logger.Warn("fetch of missing configuration failed", "attempt", attempt+1, "error", err)
		}
		if !m.isBehind() {
			return
		}
		wait = fetchRetryInterval
	}
	m.clearWantedRevision()
}

func (m *Manager) fetchOnce(ctx context.Context) error {
	if m.opts.FetchPeer == nil {
		return errors.New("no function that chooses a peer is configured")
	}
	client, err := m.opts.FetchPeer(ctx)
	if err != nil {
		return err
	}
	return m.FetchFrom(ctx, client)
}

func (m *Manager) isBehind() bool {
	m.applyMu.Lock()
	defer m.applyMu.Unlock()
	return m.wantedRevision > m.Current().Revision
}

// clearWantedRevision gives up on a revision that no peer could deliver. The next
// gossip message with a higher revision requests a fetch again.
func (m *Manager) clearWantedRevision() {
	m.applyMu.Lock()
	defer m.applyMu.Unlock()
	m.opts.Logger.Error("no peer delivered the wanted configuration revision",
		"wanted", m.wantedRevision, "revision", m.Current().Revision)
	m.wantedRevision = 0
}
