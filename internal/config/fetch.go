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
	// chunkBytes keeps messages far below the limit of a peer connection.
	chunkBytes = 1 << 20
	// maxSnapshotBytes bounds the memory that a peer's answer can take; 12,000
	// upstreams take about 4 MB.
	maxSnapshotBytes = 64 << 20
	// fetchDelay lets changes that were only overtaken arrive by themselves.
	fetchDelay = 150 * time.Millisecond
	// fetchTimeout bounds one fetch.
	fetchTimeout = 20 * time.Second
	// maxFetchAttempts bounds the search for a revision that a peer claimed to
	// have.
	maxFetchAttempts = 10
	fetchRetryPause  = 500 * time.Millisecond
)

var _ peer.ConfigHandler = (*Manager)(nil)

// snapshotMessage is the JSON form of a snapshot between daemons.
type snapshotMessage struct {
	Revision int64            `json:"revision"`
	ChangeID string           `json:"changeId"`
	Objects  []*object.Object `json:"objects"`
}

// Fetch implements peer.ConfigHandler. It sends the changes after the given
// revision, or a snapshot if they are no longer kept. A peer that is not
// behind gets the revision only.
func (m *Manager) Fetch(request *peerv1.FetchRequest, stream grpc.ServerStreamingServer[peerv1.FetchResponse]) error {
	m.applyMu.Lock()
	snapshot := m.Current()
	changes, kept := m.log.after(request.GetAfterRevision())
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
	case kept:
		return sendChanges(stream, snapshot.Revision, changes)
	default:
		return sendSnapshot(stream, snapshot)
	}
}

func sendChanges(stream grpc.ServerStreamingServer[peerv1.FetchResponse], revision int64, changes []*peerv1.Change) error {
	for len(changes) > 0 {
		n, size := 0, 0
		for n < len(changes) && (n == 0 || size+len(changes[n].GetRecord()) <= chunkBytes) {
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

func sendSnapshot(stream grpc.ServerStreamingServer[peerv1.FetchResponse], snapshot *Snapshot) error {
	data, err := json.Marshal(snapshotMessage{snapshot.Revision, snapshot.ChangeID, snapshot.Set.All()})
	if err != nil {
		return errors.Wrap(err, "encode snapshot")
	}
	for len(data) > 0 {
		n := min(len(data), chunkBytes)
		response := &peerv1.FetchResponse{Snapshot: true, Revision: snapshot.Revision, SnapshotChunk: data[:n]}
		if err := stream.Send(response); err != nil {
			return errors.Wrap(err, "send snapshot")
		}
		data = data[n:]
	}
	return nil
}

// FetchFrom gets the changes that this daemon misses from a peer and applies
// them. A peer whose revision is lower has no effect.
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

// RunFetch fetches missing changes from peers until ctx ends, whenever a gap
// or a higher revision of a peer is seen. It is a duty of every daemon.
func (m *Manager) RunFetch(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-m.gap:
		}
		m.fetchMissing(ctx)
	}
}

func (m *Manager) fetchMissing(ctx context.Context) {
	wait := fetchDelay
	for attempt := 0; attempt < maxFetchAttempts; attempt++ {
		select {
		case <-ctx.Done():
			return
		case <-m.opts.Clock.After(wait):
		}
		if !m.behind() {
			return
		}
		if err := m.fetchOnce(ctx); err != nil {
			m.opts.Logger.Warn("fetch of missing configuration failed", "attempt", attempt+1, "error", err)
		}
		if !m.behind() {
			return
		}
		wait = fetchRetryPause
	}
	m.giveUpWanted()
}

func (m *Manager) fetchOnce(ctx context.Context) error {
	if m.opts.FetchPeer == nil {
		return errors.New("no source of peers is configured")
	}
	client, err := m.opts.FetchPeer(ctx)
	if err != nil {
		return err
	}
	return m.FetchFrom(ctx, client)
}

func (m *Manager) behind() bool {
	m.applyMu.Lock()
	defer m.applyMu.Unlock()
	return m.wanted > m.Current().Revision
}

// giveUpWanted forgets a revision that no peer could deliver. The next gossip
// message with a higher revision starts a new search.
func (m *Manager) giveUpWanted() {
	m.applyMu.Lock()
	defer m.applyMu.Unlock()
	m.opts.Logger.Error("configuration revision was not found at any peer",
		"wanted", m.wanted, "revision", m.Current().Revision)
	m.wanted = 0
}
