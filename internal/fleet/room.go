package fleet

// Room is what the instances of a service can start now, by the known loads.
type Room struct {
	Instances     int // that may be picked and are healthy
	Slots         int // of these instances
	Running       int // requests that run or queue at them
	PrefillTokens int // prompt tokens that wait for their first event
	Own           int // requests of this daemon at these instances
	// Report changes with each report of the loads of other daemons.
	Report uint64
}

// Room returns the room of a service.
func (s *Set) Room(service string) Room {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := Room{Report: s.loadReports}
	for _, i := range s.byService[service] {
		if i.weight <= 0 || !s.selectable(i, Query{Service: service}) {
			continue
		}
		load := i.load()
		r.Instances++
		r.Slots += i.Slots
		r.Running += load.Inflight
		r.PrefillTokens += load.PrefillTokens
		r.Own += i.inflight
	}
	return r
}
