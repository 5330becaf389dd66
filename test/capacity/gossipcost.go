package main

import (
	"context"
	"fmt"
	"math"
	"strings"
	"time"

	"github.com/pkg/errors"

	peerv1 "github.com/dogwoodrudder/dogwoodrudder/api/peer/v1"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/membership"
)

// Limits on the time until all daemons know of an event.
const (
	changeLimit  = 3 * time.Second  // a configuration change is in force on every daemon
	leavingLimit = 2 * time.Second  // no new work goes to a daemon or upstream that leaves
	waitTimeout  = 40 * time.Second // of waitForAll
)

// changeRecordBytes is the size of a change record of one upstream
// (config.item_bytes).
const changeRecordBytes = 600

func measureGossip(r *run) error {
	for _, n := range daemonSizes {
		if err := measureFleet(r, n); err != nil {
			return errors.Wrapf(err, "%d daemons", n)
		}
	}
	r.addLimit("gossip: control bytes a second of a daemon at rest, 70 daemons or more", r.find("gossip.rest_bytes").last(), controlBytesPerSecond, "B/s")
	r.addLimit("gossip: control bytes a second of a daemon after a start of all 420", r.find("gossip.start_bytes").last(), controlBytesPerSecond, "B/s")
	r.addLimit("gossip: processor share of a daemon after a start of all 420", r.find("gossip.start_cpu").last(), controlCPUShare*100, "% of a core")
	r.addLimit("gossip: memory of membership and its connections, 420 daemons", r.find("gossip.memory").last()/1e6, controlMemoryBytes/1e6, "MB")
	r.addLimit("gossip: a change reaches all of 420 daemons", r.find("gossip.change_time").last(), milliseconds(changeLimit), "ms")
	r.addLimit("gossip: a leaving notice reaches all of 420 daemons", r.find("gossip.leaving_time").last(), milliseconds(leavingLimit), "ms")
	r.addLimit("burst: the notices of 600 upstreams reach all of 420 daemons", r.find("burst.time").last(), milliseconds(leavingLimit), "ms")
	return nil
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1e3 }

func measureFleet(r *run, n int) error {
	size := float64(n)
	baseline := liveHeapAndStacks()
	start := time.Now()
	f, err := startFleet(n)
	if err != nil {
		return err
	}
	defer f.stop()
	if _, err := waitForAll(f.members, func(m *member) bool { return countAlive(m.Members()) == n }); err != nil {
		return errors.Wrap(err, "wait until all daemons know each other")
	}
	r.record("gossip.start_time", "daemons", "ms until all know all", size, milliseconds(time.Since(start)))
	r.record("gossip.memory", "daemons", "bytes of a daemon", size, (liveHeapAndStacks()-baseline)/size)
	measureTraffic(r, f, "start")
	if settle := maxSettleTime(n); settle <= r.maxSettle {
		time.Sleep(settle)
		measureTraffic(r, f, "rest")
	}
	if err := measureChange(r, f); err != nil {
		return err
	}
	if err := measureEvents(r, f); err != nil {
		return err
	}
	return measureBurst(r, f)
}

// maxSettleTime is an upper bound on the time until the membership updates of n
// joins are no longer sent. Each daemon sends an update at most 3 log2(n+1)
// times, and sends and answers 6 messages per second with about 10 updates
// each. Members whose lists are equal send no updates.
func maxSettleTime(n int) time.Duration {
	sends := membership.DefaultRetransmitFactor * math.Log2(float64(n+1))
	return time.Duration(float64(n) * sends / 50 * float64(time.Second))
}

// measureTraffic measures the traffic of a fleet in which no daemon joins or
// leaves. Directly after the start, messages can still carry updates of the
// joins.
func measureTraffic(r *run, f *gossipFleet, when string) {
	n := float64(len(f.members))
	const duration = 3 * time.Second
	cpu, bytes, calls := processTime(), f.bytes(), f.calls()
	time.Sleep(duration)
	seconds := duration.Seconds()
	f.cpuRate = (processTime() - cpu).Seconds() / seconds
	f.byteRate, f.callRate = float64(f.bytes()-bytes)/seconds, float64(f.calls()-calls)/seconds
	r.record("gossip."+when+"_cpu", "daemons", "% of a core of a daemon", n, 100*f.cpuRate/n)
	r.record("gossip."+when+"_bytes", "daemons", "B/s sent and received by a daemon", n, f.byteRate/n)
	r.record("gossip."+when+"_calls", "daemons", "calls/s made by a daemon", n, f.callRate/n)
	r.record("gossip."+when+"_connections", "daemons", "outgoing connections of a daemon", n, f.connections())
}

// connections returns the mean number of outgoing connections of a daemon.
func (f *gossipFleet) connections() float64 {
	total := 0
	for _, m := range f.members {
		total += m.pool.Len()
	}
	return float64(total) / float64(len(f.members))
}

func (f *gossipFleet) bytes() int64 {
	total := int64(0)
	for _, m := range f.members {
		total += m.traffic.bytes()
	}
	return total
}

func (f *gossipFleet) calls() int64 {
	total := int64(0)
	for _, m := range f.members {
		total += m.traffic.calls.Load()
	}
	return total
}

// measureChange broadcasts changes from one daemon, one after the other.
func measureChange(r *run, f *gossipFleet) error {
	n := float64(len(f.members))
	origin := f.members[len(f.members)/2]
	const changes = 10
	var times []time.Duration
	calls, bytes, cpu := f.calls(), f.bytes(), processTime()
	begin := time.Now()
	for i := range changes {
		key := fmt.Sprintf("change-%d", i)
		item := &peerv1.Item{Kind: &peerv1.Item_Change{Change: &peerv1.Change{
			Revision: int64(i + 1), ChangeId: key, Record: []byte(strings.Repeat("x", changeRecordBytes)),
		}}}
		start := time.Now()
		if err := origin.Broadcast(context.Background(), item); err != nil {
			return errors.Wrap(err, "broadcast a change")
		}
		_, err := waitForAll(f.members, func(m *member) bool { return m == origin || m.items.Load() > int64(i) })
		if err != nil {
			return errors.Wrap(err, "wait until all daemons have a change")
		}
		times = append(times, time.Since(start))
	}
	// Subtract the background traffic of the fleet.
	elapsed := time.Since(begin).Seconds()
	sent := float64(f.calls()-calls) - elapsed*f.callRate
	transferred := float64(f.bytes()-bytes) - elapsed*f.byteRate
	used := (processTime() - cpu).Seconds() - elapsed*f.cpuRate
	r.record("gossip.change_time", "daemons", "ms until all have a change, median of 10", n, milliseconds(median(times)))
	r.record("relay.fleet_messages", "daemons", "messages a change", n, sent/changes)
	r.record("relay.fleet_bytes", "daemons", "bytes a change, sent and received", n, transferred/changes)
	r.record("relay.message_bytes", "daemons", "bytes a message with a record of 600 bytes", n, transferred/2/max(1, sent))
	r.record("relay.fleet_cpu", "daemons", "us a change, all daemons", n, used*1e6/changes)
	r.record("relay.connections", "daemons", "outgoing connections of a daemon after 10 changes", n, f.connections())
	overlayMessages(r, origin)
	return nil
}

// overlayMessages records the messages per change of the origin, a relay and a
// leaf of the broadcast overlay.
func overlayMessages(r *run, origin *member) {
	overlay := origin.Overlay()
	n := float64(len(origin.Members()))
	relays := overlay.Relays("change 1 change-1")
	byCentre := make(map[string]int)
	for _, m := range origin.Members() {
		byCentre[m.DataCentre]++
	}
	highest := 0
	for _, count := range byCentre {
		highest = max(highest, count)
	}
	r.record("relay.origin_messages", "daemons", "messages sent a change", n, float64(len(relays)))
	r.record("relay.relay_messages", "daemons", "messages sent a change", n, float64(highest-1))
	r.record("relay.leaf_messages", "daemons", "messages received a change", n, membership.RelaysPerDataCentre)
}

// measureEvents measures the time until all daemons know of a join, a leaving
// notice and a crash.
func measureEvents(r *run, f *gossipFleet) error {
	n := float64(len(f.members))
	joined, err := f.start()
	if err != nil {
		return err
	}
	joinTime, err := waitForAll(f.members, func(m *member) bool { return m.stateAt(joined.id) == membership.Alive })
	if err != nil {
		return errors.Wrap(err, "wait until all daemons know a new daemon")
	}
	r.record("gossip.join_time", "daemons", "ms until all know a new daemon", n, milliseconds(joinTime))
	leaving := f.members[len(f.members)/3]
	leaving.BeginLeave(context.Background())
	leavingTime, err := waitForAll(f.members, func(m *member) bool { return m.stateAt(leaving.id) == membership.Leaving })
	if err != nil {
		return errors.Wrap(err, "wait until all daemons know that a daemon leaves")
	}
	r.record("gossip.leaving_time", "daemons", "ms until all know that a daemon leaves", n, milliseconds(leavingTime))
	crashed := f.members[len(f.members)-2]
	crashed.kill()
	f.members = append(f.members[:len(f.members)-2], f.members[len(f.members)-1])
	crashTime, err := waitForAll(f.members, func(m *member) bool { return m.stateAt(crashed.id).Gone() })
	if err != nil {
		return errors.Wrap(err, "wait until all daemons know that a daemon crashed")
	}
	r.record("gossip.death_time", "daemons", "ms until all know that a daemon died", n, milliseconds(crashTime))
	return nil
}
