package edge

import (
	"cmp"
	"context"
	"slices"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	coordinatorv1 "github.com/dogwoodrudder/dogwoodrudder/api/coordinator/v1"
	"github.com/dogwoodrudder/dogwoodrudder/internal/bootclock"
	"github.com/dogwoodrudder/dogwoodrudder/internal/mirror"
)

// While the coordinator forwards nothing, daemons of a large fleet follow readers:
// one daemon in each data centre polls the store, and the others call it. If all
// polled, a change would end the polls of all, and an outage would cost calls in
// proportion to the fleet.

const (
	// minFleetForReaders is the number of daemons from which on readers are used.
	minFleetForReaders = 16
	// minLeaveTimeForReaders is the least time in which a leaving instance must stop
	// getting work for which readers are used. To learn of it through a reader takes up
	// to 2.2 s: 1 s until the coordinator's contact counts as lost, 0.5 s until its next
	// response, 0.4 s until a reader has polled the store, and delays of the network.
	minLeaveTimeForReaders = 3 * time.Second
	// followInterval is the time between two calls to a reader.
	followInterval = 300 * time.Millisecond
	// minReaderRetry is the wait before the next call after the first that failed, in
	// which readers start to poll. It doubles up to maxReaderRetry.
	minReaderRetry = 150 * time.Millisecond
	maxReaderRetry = 600 * time.Millisecond
	// relayGrace is the age of the coordinator's last update from which on a daemon
	// follows a reader. Reports are at most 0.5 s apart.
	relayGrace = 750 * time.Millisecond
	// readerTimeout bounds a call to a reader.
	readerTimeout = 300 * time.Millisecond
	// maxReadersAsked is the number of readers that are called in one round.
	maxReadersAsked = 2
	// readingTime is how long a reader polls the store after a call of a follower.
	readingTime = 2 * time.Second
	// readerAvoidTime is how long a reader that did not answer is not called.
	readerAvoidTime = 2 * time.Second
)

// followerBackoff applies to daemons that poll because no reader answers, which mostly
// means that the store is down for all.
var followerBackoff = mirror.Backoff{Min: time.Second, Max: 2 * time.Second}

// usesReaders reports whether the daemons follow readers without a coordinator.
func (d *Daemon) usesReaders() bool {
	return d.settings.Bounds.LeaveTime >= minLeaveTimeForReaders && d.members.count() >= minFleetForReaders
}

// readers returns the other daemons that this one may follow, the best first: the
// largest machine of its own data centre, then the largest of each other one. They
// are followed by the next largest of its own. It returns none if this daemon itself
// is the largest of its data centre: it polls the store.
func (d *Daemon) readers() []member {
	now := bootclock.Now()
	all := append(d.members.others(), d.members.self)
	all = slices.DeleteFunc(all, func(m member) bool { return d.link.avoided(m.Coordinator, now) })
	slices.SortFunc(all, func(a, b member) int {
		return cmp.Or(cmp.Compare(b.CPUShare, a.CPUShare), cmp.Compare(a.Name, b.Name))
	})
	seen := map[string]bool{}
	var own, others, spare []member
	for _, m := range all {
		switch {
		case m.DataCentre == d.settings.DataCentre && len(own) == 0:
			if m.Name == d.members.self.Name {
				return nil
			}
			own = append(own, m)
		case m.DataCentre == d.settings.DataCentre:
			if m.Name != d.members.self.Name {
				spare = append(spare, m)
			}
		case !seen[m.DataCentre]:
			others = append(others, m)
		}
		seen[m.DataCentre] = true
	}
	return append(append(own, others...), spare...)
}

// followReaders calls readers while the coordinator forwards nothing, until ctx ends.
func (d *Daemon) followReaders(ctx context.Context) error {
	retry := minReaderRetry
	for wait := followInterval; ctx.Err() == nil; {
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
		case <-d.askReaders:
			d.coordinatorRelay.Store(0)
		case <-timer.C:
		}
		timer.Stop()
		if d.needsReader() && !d.followReader(ctx) {
			wait = retry
			retry = min(2*retry, maxReaderRetry)
			continue
		}
		wait, retry = followInterval, minReaderRetry
	}
	return ctx.Err()
}

// needsReader reports whether the daemon gets no updates from the coordinator and
// should call a reader.
func (d *Daemon) needsReader() bool {
	if !d.usesReaders() || d.holder.Valid() || !d.state.fleet.Synced() || !d.state.operator.Synced() {
		return false
	}
	return bootclock.Now()-time.Duration(d.coordinatorRelay.Load()) > relayGrace
}

// followReader calls readers until one answers, and reports whether one did.
func (d *Daemon) followReader(ctx context.Context) bool {
	readers := d.readers()
	if len(readers) == 0 {
		d.pollStore()
		return true
	}
	for _, m := range readers[:min(len(readers), maxReadersAsked)] {
		client, ok := d.link.client(m.Coordinator)
		if !ok {
			continue
		}
		call, cancel := context.WithTimeout(ctx, readerTimeout)
		fleet, operator := d.mirrorCursors()
		sent := bootclock.Now()
		response, err := client.Follow(call, &coordinatorv1.FollowRequest{Daemon: reportID(d.members.self), Fleet: fleet, Operator: operator})
		cancel()
		switch {
		case err == nil && response.Fleet != nil && response.Operator != nil:
			d.applyDeltas(response.Fleet, response.Operator, sent)
			return true
		case status.Code(err) != codes.Unavailable:
			d.link.avoid(m.Coordinator, readerAvoidTime)
		}
		d.log.Debug("reader did not answer", "address", m.Coordinator, "error", err)
	}
	return false
}

// follow returns the changes that a follower lacks. A daemon whose mirrors are not
// current begins to poll the store, and answers a later call.
func (d *Daemon) follow(r *coordinatorv1.FollowRequest) (*coordinatorv1.FollowResponse, error) {
	fromCoordinator := bootclock.Now()-time.Duration(d.coordinatorRelay.Load()) <= relayGrace
	if !fromCoordinator && !d.holder.Valid() {
		// Another reader's updates don't count: two readers could follow each other.
		d.state.operator.RequirePolls(readingTime)
		d.state.fleet.RequirePolls(readingTime)
		if d.state.operator.PolledAge() > maxRelayContactAge {
			return nil, status.Error(codes.Unavailable, "no contact with the store yet")
		}
	}
	if _, current := d.contactAge(); !current {
		return nil, status.Error(codes.Unavailable, "no contact with the store")
	}
	if d.behind(r.Fleet) || d.behind(r.Operator) {
		return nil, status.Error(codes.Unavailable, "the store was restored")
	}
	return &coordinatorv1.FollowResponse{
		Fleet: d.encodeDelta(d.state.fleet, r.Fleet), Operator: d.encodeDelta(d.state.operator, r.Operator),
	}, nil
}

// reads reports whether this daemon polls the store for others.
func (d *Daemon) reads() bool { return d.holder.Valid() || d.state.operator.PollRequired() }

// storeBackoff returns the backoff of the mirrors.
func (d *Daemon) storeBackoff() mirror.Backoff {
	if d.usesReaders() && !d.reads() {
		return followerBackoff
	}
	return mirror.DefaultBackoff
}
