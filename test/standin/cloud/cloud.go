// Package cloud is a stand-in of the cloud API, with an outdated instance list,
// refused starts and reclaim notices, and of the rate-limited weight store.
package cloud

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"github.com/dogwoodrudder/dogwoodrudder/test/standin/internal/httpserver"
)

const (
	defaultListLag     = time.Second
	defaultWeightBytes = 1 << 20
	maxNotices         = 10_000 // notices kept
)

// State is the state of an instance.
type State string

// States of an instance.
const (
	StateStarting State = "starting"
	StateRunning  State = "running"
	StateLeaving  State = "leaving" // a reclaim notice was given
	StateStopped  State = "stopped"
)

// Instance is a machine of the cloud.
type Instance struct {
	// Name is chosen by the client; a start with a name in use returns the instance.
	Name         string  `json:"name"`
	Class        string  `json:"class"`
	DataCentre   string  `json:"data_centre"`
	Reclaimable  bool    `json:"reclaimable"`
	PricePerHour float64 `json:"price_per_hour"`
	Address      string  `json:"address,omitempty"` // of its upstream, once running
	State        State   `json:"state"`
}

// Offer is a machine class in a data centre.
type Offer struct {
	Class            string  `json:"class"`
	DataCentre       string  `json:"data_centre"`
	OnDemandPrice    float64 `json:"on_demand_price"` // per hour
	ReclaimablePrice float64 `json:"reclaimable_price"`
	Capacity         int     `json:"capacity"` // instances; 0 means no limit
}

// Notice announces that an instance will be reclaimed.
type Notice struct {
	Seq        uint64    `json:"seq"`
	Instance   string    `json:"instance"`
	DataCentre string    `json:"data_centre"`
	At         time.Time `json:"at"`      // when the instance ends
	Seconds    float64   `json:"seconds"` // length of the notice period
}

// Faults are the faults in force.
type Faults struct {
	// Down leaves all calls without a response, except those for tests.
	Down        bool `json:"down"`
	DelayMillis int  `json:"delay_ms"`
	// RefuseStarts is the share of starts, 0 to 1, that are refused.
	RefuseStarts float64 `json:"refuse_starts"`
	// RefuseDataCentres and RefuseClasses refuse all starts in these data centres
	// and of these classes.
	RefuseDataCentres []string `json:"refuse_data_centres"`
	RefuseClasses     []string `json:"refuse_classes"`
	// LoseStartReplies is the share of starts, 0 to 1, after which the connection
	// is closed without a response.
	LoseStartReplies float64 `json:"lose_start_replies"`
}

// Options configure a Server. Zero values mean the defaults.
type Options struct {
	// Offers are the classes that can be started; without any, every class can be
	// started in every data centre at a price of 0.
	Offers    []Offer
	StartTime time.Duration // from the start to running; default 0
	ListLag   time.Duration // age of the instance list; default 1 s

	WeightBytes          int     // size of each weight file; default 1 MiB
	WeightBytesPerSecond float64 // of all downloads together; 0 means no limit
	WeightGetsPerSecond  float64 // further ones get status 429; 0 means no limit

	// OnStart runs when an instance becomes running and returns the address of
	// its upstream. OnStop runs when the instance has ended.
	OnStart func(Instance) (address string, err error)
	OnStop  func(Instance)
	Seed    uint64
}

// Stats are the counts since the start.
type Stats struct {
	Starts        int              `json:"starts"`
	RefusedStarts int              `json:"refused_starts"`
	Stops         int              `json:"stops"`
	Reclaimed     int              `json:"reclaimed"`
	Lists         int              `json:"lists"`
	WeightGets    int              `json:"weight_gets"`
	WeightLimited int              `json:"weight_limited"`
	WeightBytes   int64            `json:"weight_bytes"`
	Running       int              `json:"running"`
	Cost          float64          `json:"cost"` // of all instances, in the currency of the offers
	ByDataCentre  map[string]int   `json:"by_data_centre"`
	Instances     map[string]State `json:"instances"`
}

type record struct {
	Instance
	started time.Time // billing starts here
	ended   time.Time
}

// snapshot is the instance list at one time.
type snapshot struct {
	at   time.Time
	list []Instance
}

// Server is a stand-in of the cloud API and the weight store.
type Server struct {
	options     Options
	http        *httpserver.Server
	weightGets  *rate.Limiter
	weightBytes *rate.Limiter // one token a byte
	stop        chan struct{}
	stopOnce    sync.Once

	mu          sync.Mutex // guards the fields below
	instances   map[string]*record
	snapshots   []snapshot // oldest first
	notices     []Notice
	noticeSeq   uint64
	noticeAdded chan struct{} // closed and replaced at every notice
	faults      Faults
	stats       Stats
	random      *rand.Rand
}

// New returns a server that is not yet started.
func New(options Options) *Server {
	if options.ListLag <= 0 {
		options.ListLag = defaultListLag
	}
	if options.WeightBytes <= 0 {
		options.WeightBytes = defaultWeightBytes
	}
	s := &Server{
		options: options, instances: make(map[string]*record), noticeAdded: make(chan struct{}),
		weightGets:  newLimiter(options.WeightGetsPerSecond, 1),
		weightBytes: newLimiter(options.WeightBytesPerSecond, maxChunkBytes),
		random:      rand.New(rand.NewPCG(options.Seed, 2)), stop: make(chan struct{}),
	}
	s.http = httpserver.New(s.register)
	return s
}

func newLimiter(perSecond float64, burst int) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, burst)
	}
	return rate.NewLimiter(rate.Limit(perSecond), burst)
}

// Start serves on address (ip:port); port 0 picks a free one.
func (s *Server) Start(address string) error { return s.http.Start(address) }

// Address returns the address in use as ip:port.
func (s *Server) Address() string { return s.http.Address() }

// Close stops the server and all instances.
func (s *Server) Close() {
	s.stopOnce.Do(func() { close(s.stop) })
	s.mu.Lock()
	names := make([]string, 0, len(s.instances))
	for name := range s.instances {
		names = append(names, name)
	}
	s.mu.Unlock()
	for _, name := range names {
		s.end(name)
	}
	s.http.Close()
}

// Faults returns the faults in force.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// SetFaults replaces the faults.
func (s *Server) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// ErrRefused is returned for a start without capacity or with an injected refusal.
var ErrRefused = errors.New("start refused")

// StartInstance starts an instance, or returns it if the name is in use.
func (s *Server) StartInstance(wanted Instance) (Instance, error) {
	if wanted.Name == "" || wanted.Class == "" || wanted.DataCentre == "" {
		return Instance{}, errors.New("name, class and data_centre are required")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if known := s.instances[wanted.Name]; known != nil && known.State != StateStopped {
		return known.Instance, nil
	}
	price, ok := s.priceLocked(wanted)
	if !ok {
		s.stats.RefusedStarts++
		return Instance{}, ErrRefused
	}
	wanted.PricePerHour, wanted.State, wanted.Address = price, StateStarting, ""
	r := &record{Instance: wanted, started: time.Now()}
	s.instances[wanted.Name] = r
	s.stats.Starts++
	s.addSnapshotLocked()
	time.AfterFunc(s.options.StartTime, func() { s.markRunning(r) })
	return wanted, nil
}

// priceLocked returns the price per hour, or false if the start is refused.
func (s *Server) priceLocked(wanted Instance) (float64, bool) {
	if s.random.Float64() < s.faults.RefuseStarts ||
		slices.Contains(s.faults.RefuseDataCentres, wanted.DataCentre) ||
		slices.Contains(s.faults.RefuseClasses, wanted.Class) {
		return 0, false
	}
	if len(s.options.Offers) == 0 {
		return 0, true
	}
	for _, offer := range s.options.Offers {
		if offer.Class != wanted.Class || offer.DataCentre != wanted.DataCentre {
			continue
		}
		if offer.Capacity > 0 && s.usedLocked(offer) >= offer.Capacity {
			return 0, false
		}
		if wanted.Reclaimable {
			return offer.ReclaimablePrice, true
		}
		return offer.OnDemandPrice, true
	}
	return 0, false
}

// usedLocked returns the number of instances that use the capacity of an offer.
func (s *Server) usedLocked(offer Offer) int {
	used := 0
	for _, r := range s.instances {
		if r.State != StateStopped && r.Class == offer.Class && r.DataCentre == offer.DataCentre {
			used++
		}
	}
	return used
}

// markRunning starts the upstream of an instance and sets its state to running.
func (s *Server) markRunning(r *record) {
	s.mu.Lock()
	instance, current := r.Instance, r.State == StateStarting
	s.mu.Unlock()
	if !current {
		return
	}
	address := ""
	if s.options.OnStart != nil {
		var err error
		if address, err = s.options.OnStart(instance); err != nil {
			s.end(instance.Name)
			return
		}
	}
	s.mu.Lock()
	stopped := r.State == StateStopped
	r.Address = address
	if r.State == StateStarting {
		r.State = StateRunning
	}
	instance = r.Instance
	s.addSnapshotLocked()
	s.mu.Unlock()
	if stopped && s.options.OnStop != nil {
		// The instance was stopped while its upstream was starting.
		s.options.OnStop(instance)
	}
}

// StopInstance stops an instance. It reports whether the name is known.
func (s *Server) StopInstance(name string) bool {
	s.mu.Lock()
	known := s.instances[name] != nil
	if known {
		s.stats.Stops++
	}
	s.mu.Unlock()
	s.end(name)
	return known
}

// end stops an instance now. It returns false if it is unknown or was stopped
// already.
func (s *Server) end(name string) bool {
	s.mu.Lock()
	r := s.instances[name]
	if r == nil || r.State == StateStopped {
		s.mu.Unlock()
		return false
	}
	r.State, r.ended = StateStopped, time.Now()
	instance := r.Instance
	s.addSnapshotLocked()
	s.mu.Unlock()
	if s.options.OnStop != nil && instance.Address != "" {
		s.options.OnStop(instance)
	}
	return true
}

// Reclaim gives notice to one instance or, if instance is empty, to all
// reclaimable instances of a data centre, or with all set to all instances
// there. The instances end after notice. It returns their names.
func (s *Server) Reclaim(instance, dataCentre string, all bool, notice time.Duration) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	for name, r := range s.instances {
		chosen := name == instance ||
			(instance == "" && r.DataCentre == dataCentre && (all || r.Reclaimable))
		if chosen && (r.State == StateRunning || r.State == StateStarting) {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	for _, name := range names {
		s.addNoticeLocked(s.instances[name], notice)
	}
	if len(names) > 0 {
		s.addSnapshotLocked()
		close(s.noticeAdded)
		s.noticeAdded = make(chan struct{})
	}
	return names
}

// addNoticeLocked gives notice to an instance and ends it after notice.
func (s *Server) addNoticeLocked(r *record, notice time.Duration) {
	r.State = StateLeaving
	s.noticeSeq++
	s.notices = append(s.notices, Notice{
		Seq: s.noticeSeq, Instance: r.Name, DataCentre: r.DataCentre,
		At: time.Now().Add(notice), Seconds: notice.Seconds(),
	})
	if excess := len(s.notices) - maxNotices; excess > 0 {
		s.notices = slices.Clone(s.notices[excess:])
	}
	time.AfterFunc(notice, func() {
		s.mu.Lock()
		current := s.instances[r.Name] == r
		s.mu.Unlock()
		if current && s.end(r.Name) {
			s.mu.Lock()
			s.stats.Reclaimed++
			s.mu.Unlock()
		}
	})
}

// addSnapshotLocked stores the current instance list, which List returns ListLag
// later, and discards the snapshots that are too old for List.
func (s *Server) addSnapshotLocked() {
	now := time.Now()
	list := make([]Instance, 0, len(s.instances))
	for _, r := range s.instances {
		if r.State != StateStopped {
			list = append(list, r.Instance)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	s.snapshots = append(s.snapshots, snapshot{at: now, list: list})
	for len(s.snapshots) > 1 && now.Sub(s.snapshots[1].at) >= s.options.ListLag {
		s.snapshots = s.snapshots[1:]
	}
}

// List returns the instances that were not stopped ListLag ago, as they were then.
func (s *Server) List() []Instance {
	s.mu.Lock()
	defer s.mu.Unlock()
	newest := time.Now().Add(-s.options.ListLag)
	var list []Instance
	for _, old := range s.snapshots {
		if old.at.After(newest) {
			break
		}
		list = old.list
	}
	return list
}

// noticesAfter returns the notices with a higher sequence number, and a
// channel that is closed at the next notice.
func (s *Server) noticesAfter(seq uint64) ([]Notice, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := sort.Search(len(s.notices), func(i int) bool { return s.notices[i].Seq > seq })
	return slices.Clone(s.notices[i:]), s.noticeAdded
}

// Stats returns a copy of the counts.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	result := s.stats
	result.ByDataCentre, result.Instances = make(map[string]int), make(map[string]State)
	for name, r := range s.instances {
		result.Instances[name] = r.State
		end := r.ended
		if r.State != StateStopped {
			end = time.Now()
			result.ByDataCentre[r.DataCentre]++
			result.Running++
		}
		result.Cost += r.PricePerHour * end.Sub(r.started).Hours()
	}
	return result
}

// weightPattern returns the pattern that a weight file repeats: its name in 32
// bytes, padded or cut, so that the content of files differs.
func weightPattern(name string) string { return fmt.Sprintf("%-32.32s", name) }
