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

// Limits on the time in which all daemons learn of an event.
const (
	changeLimit  = 3 * time.Second // configuration in force on every daemon
	leavingLimit = 2 * time.Second // no new work to what leaves
	waitLimit    = 40 * time.Second
)

// recordBytes is the size of a change record of one upstream (config.item_bytes).
const recordBytes = 600

func measureGossip(r *run) error {
	for _, n := range daemonSizes {
		if err := measureFleet(r, n); err != nil {
			return errors.Wrapf(err, "%d daemons", n)
		}
	}
	r.atMost("gossip: control bytes a second of a daemon at rest, 70 daemons or more", r.find("gossip.rest_bytes").last(), controlBytes, "B/s")
	r.atMost("gossip: control bytes a second of a daemon after a start of all 420", r.find("gossip.start_bytes").last(), controlBytes, "B/s")
	r.atMost("gossip: processor share of a daemon after a start of all 420", r.find("gossip.start_cpu").last(), controlShare*100, "% of a core")
	r.atMost("gossip: memory of membership and its connections, 420 daemons", r.find("gossip.memory").last()/1e6, controlMemory/1e6, "MB")
	r.atMost("gossip: a change reaches all of 420 daemons", r.find("gossip.change_time").last(), milliseconds(changeLimit), "ms")
	r.atMost("gossip: a leaving notice reaches all of 420 daemons", r.find("gossip.leaving_time").last(), milliseconds(leavingLimit), "ms")
	r.atMost("burst: the notices of 600 upstreams reach all of 420 daemons", r.find("burst.time").last(), milliseconds(leavingLimit), "ms")
	return nil
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1e3 }

func measureFleet(r *run, n int) error {
	size := float64(n)
	idle := liveMemory()
	start := time.Now()
	f, err := startFleet(n)
	if err != nil {
		return err
	}
	defer f.stop()
	if _, err := until(f.members, func(m *member) bool { return alive(m.Members()) == n }); err != nil {
		return errors.Wrap(err, "start")
	}
	r.at("gossip.start_time", "daemons", "ms until all know all", size, milliseconds(time.Since(start)))
	r.at("gossip.memory", "daemons", "bytes of a daemon", size, (liveMemory()-idle)/size)
	measureTraffic(r, f, "start")
	if settle := drainTime(n); settle <= r.settle {
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

// drainTime is an upper bound of the time in which the news of n joins ends. A
// news is sent at most 3 log2(n+1) times by each daemon, and a daemon sends and
// answers 6 messages a second with about 10 news each. Members whose lists are
// equal send none.
func drainTime(n int) time.Duration {
	sends := membership.DefaultRetransmitFactor * math.Log2(float64(n+1))
	return time.Duration(float64(n) * sends / 50 * float64(time.Second))
}

// measureTraffic measures a fleet in which no daemon joins or goes. Directly
// after the start, messages can still carry news of the joins.
func measureTraffic(r *run, f *gossipFleet, when string) {
	n := float64(len(f.members))
	const duration = 3 * time.Second
	cpu, bytes, calls := processTime(), f.bytes(), f.calls()
	time.Sleep(duration)
	seconds := duration.Seconds()
	f.cpuRate = (processTime() - cpu).Seconds() / seconds
	f.byteRate, f.callRate = float64(f.bytes()-bytes)/seconds, float64(f.calls()-calls)/seconds
	r.at("gossip."+when+"_cpu", "daemons", "% of a core of a daemon", n, 100*f.cpuRate/n)
	r.at("gossip."+when+"_bytes", "daemons", "B/s sent and received by a daemon", n, f.byteRate/n)
	r.at("gossip."+when+"_calls", "daemons", "calls/s made by a daemon", n, f.callRate/n)
	r.at("gossip."+when+"_connections", "daemons", "outgoing connections of a daemon", n, f.connections())
}

// connections returns the mean number of outgoing connections.
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
		total += m.wire.bytes()
	}
	return total
}

func (f *gossipFleet) calls() int64 {
	total := int64(0)
	for _, m := range f.members {
		total += m.wire.calls.Load()
	}
	return total
}

// measureChange pushes changes from one daemon, one after the other.
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
			Revision: int64(i + 1), ChangeId: key, Record: []byte(strings.Repeat("x", recordBytes)),
		}}}
		start := time.Now()
		if err := origin.Broadcast(context.Background(), item); err != nil {
			return errors.Wrap(err, "push a change")
		}
		_, err := until(f.members, func(m *member) bool { return m == origin || m.items.Load() > int64(i) })
		if err != nil {
			return errors.Wrap(err, "wait for a change")
		}
		times = append(times, time.Since(start))
	}
	// Without the traffic that the fleet has in any case.
	elapsed := time.Since(begin).Seconds()
	sent := float64(f.calls()-calls) - elapsed*f.callRate
	moved := float64(f.bytes()-bytes) - elapsed*f.byteRate
	used := (processTime() - cpu).Seconds() - elapsed*f.cpuRate
	r.at("gossip.change_time", "daemons", "ms until all have a change, median of 10", n, milliseconds(median(times)))
	r.at("relay.fleet_messages", "daemons", "messages a change", n, sent/changes)
	r.at("relay.fleet_bytes", "daemons", "bytes a change, sent and received", n, moved/changes)
	r.at("relay.message_bytes", "daemons", "bytes a message with a record of 600 bytes", n, moved/2/max(1, sent))
	r.at("relay.fleet_cpu", "daemons", "us a change, all daemons", n, used*1e6/changes)
	r.at("relay.connections", "daemons", "outgoing connections of a daemon after 10 changes", n, f.connections())
	overlayMessages(r, origin)
	return nil
}

// overlayMessages counts the messages of a change by role.
func overlayMessages(r *run, origin *member) {
	overlay := origin.Overlay()
	n := float64(len(origin.Members()))
	relays := overlay.Relays("change 1 change-1")
	byCentre := make(map[string]int)
	for _, m := range origin.Members() {
		byCentre[m.DataCentre]++
	}
	most := 0
	for _, count := range byCentre {
		most = max(most, count)
	}
	r.at("relay.origin_messages", "daemons", "messages sent a change", n, float64(len(relays)))
	r.at("relay.relay_messages", "daemons", "messages sent a change", n, float64(most-1))
	r.at("relay.leaf_messages", "daemons", "messages received a change", n, membership.RelaysPerDataCentre)
}

// measureEvents measures a join, a leaving notice and a death.
func measureEvents(r *run, f *gossipFleet) error {
	n := float64(len(f.members))
	joined, err := f.start()
	if err != nil {
		return err
	}
	join, err := until(f.members, func(m *member) bool { return m.stateAt(joined.id) == membership.Alive })
	if err != nil {
		return errors.Wrap(err, "join")
	}
	r.at("gossip.join_time", "daemons", "ms until all know a new daemon", n, milliseconds(join))
	leaver := f.members[len(f.members)/3]
	leaver.BeginLeave(context.Background())
	leave, err := until(f.members, func(m *member) bool { return m.stateAt(leaver.id) == membership.Leaving })
	if err != nil {
		return errors.Wrap(err, "leaving notice")
	}
	r.at("gossip.leaving_time", "daemons", "ms until all know that a daemon leaves", n, milliseconds(leave))
	victim := f.members[len(f.members)-2]
	victim.kill()
	f.members = append(f.members[:len(f.members)-2], f.members[len(f.members)-1])
	death, err := until(f.members, func(m *member) bool { return m.stateAt(victim.id).Gone() })
	if err != nil {
		return errors.Wrap(err, "death")
	}
	r.at("gossip.death_time", "daemons", "ms until all know that a daemon died", n, milliseconds(death))
	return nil
}
