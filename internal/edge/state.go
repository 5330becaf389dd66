package edge

import (
	"log/slog"
	"strings"
	"sync/atomic"
	"time"

	"github.com/dogwoodrudder/dogwoodrudder/internal/fleet"
	"github.com/dogwoodrudder/dogwoodrudder/internal/mirror"
	"github.com/dogwoodrudder/dogwoodrudder/internal/rollout"
	"github.com/dogwoodrudder/dogwoodrudder/internal/traffic"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/warmup"
)

// Reader decodes the store entries that operators and instances write.
type Reader interface {
	// InstanceID returns the ID of the instance whose entry has the key, or false
	// if the key is not one of an instance.
	InstanceID(key string) (string, bool)
	// IsTable reports whether the key is that of the configuration.
	IsTable(key string) bool
	// Prefixes returns the prefix of the operators' keys, and a common prefix of
	// the instances' keys and of ownPrefix.
	Prefixes() (operator, fleet string)
	// Table decodes the configuration.
	Table(value []byte) (*traffic.Table, error)
	// RolloutService returns the service whose roll-out order has the key, or
	// false if the key is not one of a roll-out order.
	RolloutService(key string) (string, bool)
	// RolloutOrder decodes the order of a roll-out.
	RolloutOrder(service string, value []byte, revision int64) (rollout.Order, error)
	// RolloutStatus returns the key and the encoded value that show the outcome of
	// a roll-out to operators.
	RolloutStatus(order rollout.Order, outcome rollout.Outcome) (key string, value []byte, err error)
	// EvacuatedDataCentre returns the data centre that the entry with the key orders to be
	// emptied, or false if the key is not one of such an order.
	EvacuatedDataCentre(key string) (string, bool)
	// Newer reports whether the contents of two entries of an instance or of the
	// configuration show that the second one was written after the first one.
	Newer(key string, first, second []byte) bool
	// Instance decodes an instance's entry.
	Instance(id string, value []byte) (fleet.Description, error)
}

// state applies changes of the store to the daemon's tables of instances and
// daemons and to its configuration. It implements relay.Configuration.
type state struct {
	log       *slog.Logger
	reader    Reader
	instances *fleet.Set
	members   *members
	warmup    *warmup.Tracker
	link      *coordinatorLink
	// noRegions tells that the settings don't name the regions of the data centres.
	noRegions bool
	// operator mirrors the entries that operators write, fleet those that instances
	// and daemons write.
	operator *mirror.Mirror
	fleet    *mirror.Mirror
	table    atomic.Pointer[traffic.Table]
	// onOther is called with the changes that state doesn't apply itself.
	onOther func(mirror.Change)
}

// ownPrefix is the prefix of the daemons' own keys that all daemons mirror. One
// poll covers these and the instances' keys.
const ownPrefix = "serving/"

// mayExpireInOutage reports whether the removal of a key may be a consequence
// of a store outage, in which leases expire.
func (s *state) mayExpireInOutage(key string) bool {
	_, instance := s.reader.InstanceID(key)
	return instance || strings.HasPrefix(key, memberPrefix)
}

// apply applies changes of the store: those of instances together, after the others.
func (s *state) apply(changes []mirror.Change) {
	var instances []fleet.Change
	members := memberChanges{log: s.log, lines: len(changes) <= maxMemberLines}
	for _, c := range changes {
		id, isInstance := s.reader.InstanceID(c.Key)
		switch {
		case isInstance:
			instances = append(instances, s.instanceChange(id, c))
		case s.reader.IsTable(c.Key):
			s.applyTable(c)
		case strings.HasPrefix(c.Key, memberPrefix):
			s.applyMember(c, &members)
		case c.Key == dutyKey:
			s.applyHolder(c)
		default:
			s.onOther(c)
		}
	}
	members.finish()
	if len(instances) > 0 {
		s.instances.Apply(instances)
	}
}

// instanceChange decodes the change of an instance. One whose entry can't be decoded
// counts as removed.
func (s *state) instanceChange(id string, c mirror.Change) fleet.Change {
	removed := fleet.Change{Description: fleet.Description{ID: id}, Removed: true}
	if c.Deleted {
		s.warmup.Removed(id)
		return removed
	}
	description, err := s.reader.Instance(id, c.Value)
	if err != nil {
		s.log.Warn("instance entry ignored", "key", c.Key, "revision", c.ModRevision, "error", err)
		s.warmup.Removed(id)
		return removed
	}
	s.announceWarmup(description)
	return fleet.Change{Description: description}
}

func (s *state) applyTable(c mirror.Change) {
	if c.Deleted {
		s.log.Error("configuration removed from the store, kept", "revision", c.ModRevision)
		return
	}
	table, err := s.reader.Table(c.Value)
	if err != nil {
		s.log.Error("configuration not applied", "revision", c.ModRevision, "error", err)
		return
	}
	if old := s.table.Load(); old != nil && old.Version > table.Version {
		s.log.Error("older configuration refused", "version", table.Version, "in_force", old.Version)
		return
	}
	s.table.Store(table)
	s.warmup.Sweep()
	s.log.Info("configuration applied", "version", table.Version, "revision", c.ModRevision, "routes", len(table.Routes()))
	if homes := routesWithHomes(table); homes > 0 && s.noRegions {
		s.log.Warn("homes without regions", "version", table.Version, "routes", homes)
	}
}

func (s *state) applyMember(c mirror.Change, changes *memberChanges) {
	if c.Deleted {
		s.members.remove(c.Key)
		changes.remove(c.Key)
		return
	}
	if err := s.members.put(c.Key, c.Value); err != nil {
		s.log.Warn("daemon entry ignored", "key", c.Key, "error", err)
		return
	}
	changes.announce(c.Key)
}

func (s *state) applyHolder(c mirror.Change) {
	address := ""
	if !c.Deleted {
		address = holderAddress(string(c.Value))
	}
	s.link.setHolder(address)
	s.log.Info("coordinator changed", "address", address, "revision", c.ModRevision)
}

// Table implements relay.Configuration.
func (s *state) Table() *traffic.Table { return s.table.Load() }

// Fresh implements relay.Configuration. It reports whether the configuration was
// proved current within the limit.
func (s *state) Fresh(limit time.Duration) bool {
	age, known := s.operator.Age()
	return known && age < limit
}
