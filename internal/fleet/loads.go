package fleet

// Load is the load on an instance: its running requests, and the prompt tokens of
// those that still wait for their first event.
type Load struct{ Inflight, PrefillTokens int }

// LoadKey identifies an instance in reports of loads: the 64-bit FNV-1a hash of its ID.
func LoadKey(id string) uint64 { return fnvAdd(fnvOffset, id) }

// LocalLoads returns this daemon's load by instance ID, without idle instances.
func (s *Set) LocalLoads() map[string]Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	loads := map[string]Load{}
	for id, i := range s.instances {
		if i.inflight > 0 {
			loads[id] = Load{Inflight: i.inflight, PrefillTokens: i.prefill}
		}
	}
	return loads
}

// SetRemoteLoads records the load that other daemons put on the instances, by
// instance ID. Instances that aren't listed have none.
func (s *Set) SetRemoteLoads(loads map[string]Load) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loadReports, s.loadReportAt = s.loadReports+1, s.clock.Now()
	for key := range s.remote {
		s.setRemoteLoad(key, Load{})
	}
	for id, l := range loads {
		s.setRemoteLoad(LoadKey(id), l)
	}
}

// UpdateRemoteLoads records the load that other daemons put on some of the instances, by
// LoadKey. Other instances keep theirs.
func (s *Set) UpdateRemoteLoads(loads map[uint64]Load) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loadReports, s.loadReportAt = s.loadReports+1, s.clock.Now()
	for key, l := range loads {
		s.setRemoteLoad(key, l)
	}
}

// setRemoteLoad records the load of an instance, which may be announced later. The caller
// holds the lock.
func (s *Set) setRemoteLoad(key uint64, l Load) {
	load := remoteLoad{remoteInflight: l.Inflight, remotePrefill: l.PrefillTokens}
	if s.remote[key] = load; load == (remoteLoad{}) {
		delete(s.remote, key)
	}
	if i := s.byHash[key]; i != nil {
		i.remoteLoad = load
	}
}
