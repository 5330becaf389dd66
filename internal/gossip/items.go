package gossip

import (
	"fmt"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/dogwoodrudder/dogwoodrudder/api/peer/v1"
)

// Bounds of the items that a daemon remembers.
const (
	// maxSeen is the number of identities kept to drop duplicates. The peak is
	// 47,000 changes a day, and duplicates arrive within seconds.
	maxSeen = 16384
	maxLive = 512
	// itemBytes bounds the items of one probe message.
	itemBytes = 4096
	// verdictLifetime ends the gossip of a verdict. A daemon that joins later
	// gets it with the configuration snapshot.
	verdictLifetime = 10 * time.Minute
	// maxReplySends is how often an item is put into replies to the same
	// member, because the arrival of a reply isn't confirmed.
	maxReplySends = 3
)

// identity returns the key under which duplicates of an item are dropped, or
// an empty string for an item without content. All daemons that observe the
// same notice give it the same identity, whatever their time of observation.
func identity(item *peerv1.Item) string {
	switch kind := item.GetKind().(type) {
	case *peerv1.Item_Change:
		return fmt.Sprintf("change %d %s", kind.Change.GetRevision(), kind.Change.GetChangeId())
	case *peerv1.Item_Verdict:
		v := kind.Verdict
		if v.GetOutcome() == "proved" {
			// The ramp depends on the time of the proof. All daemons must get
			// the earliest one if several evaluators decide.
			return fmt.Sprintf("verdict %s %d %s %d", v.GetMove(), v.GetGeneration(), v.GetOutcome(), v.GetDecidedUnixMs())
		}
		return fmt.Sprintf("verdict %s %d %s", v.GetMove(), v.GetGeneration(), v.GetOutcome())
	case *peerv1.Item_UpstreamNotice:
		n := kind.UpstreamNotice
		return fmt.Sprintf("notice %s %s %s", n.GetUpstream(), n.GetAddress(), n.GetCause())
	default:
		return ""
	}
}

// expiry returns the time until which an item is gossiped; the zero time means
// that it is only pushed.
func expiry(item *peerv1.Item) time.Time {
	switch kind := item.GetKind().(type) {
	case *peerv1.Item_Verdict:
		return time.UnixMilli(kind.Verdict.GetDecidedUnixMs()).Add(verdictLifetime)
	case *peerv1.Item_UpstreamNotice:
		return time.UnixMilli(kind.UpstreamNotice.GetExpiresUnixMs())
	default:
		return time.Time{}
	}
}

// items keeps the identities of known items and the items that are gossiped.
type items struct {
	mu   sync.Mutex
	seen *lru.Cache[string, time.Time] // identity to expiry
	live map[string]*liveItem
}

type liveItem struct {
	item    *peerv1.Item
	expires time.Time
	bytes   int
	sends   map[string]int // by daemon ID; maxReplySends if it has the item
}

func newItems() *items {
	seen, err := lru.New[string, time.Time](maxSeen)
	if err != nil {
		panic(err) // only for a size that isn't positive
	}
	return &items{seen: seen, live: make(map[string]*liveItem)}
}

// add records an item that came from a daemon and reports whether it is new.
// Expired items are not new.
func (s *items) add(item *peerv1.Item, from string, now time.Time) bool {
	id := identity(item)
	if id == "" {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if known, ok := s.seen.Get(id); ok && (known.IsZero() || now.Before(known)) {
		if l, ok := s.live[id]; ok {
			l.sends[from] = maxReplySends
		}
		return false
	}
	expires := expiry(item)
	if !expires.IsZero() && !now.Before(expires) {
		return false
	}
	s.seen.Add(id, expires)
	if !expires.IsZero() {
		s.evict(now)
		s.live[id] = &liveItem{item: item, expires: expires, bytes: proto.Size(item), sends: map[string]int{from: maxReplySends}}
	}
	return true
}

// evict removes expired items, and the one that expires first if there is no room.
func (s *items) evict(now time.Time) {
	earliest := ""
	for id, l := range s.live {
		if !now.Before(l.expires) {
			delete(s.live, id)
			continue
		}
		if earliest == "" || l.expires.Before(s.live[earliest].expires) {
			earliest = id
		}
	}
	if len(s.live) >= maxLive {
		delete(s.live, earliest)
	}
}

// take returns live items that the daemon may not have, within the size bound.
func (s *items) take(to string, now time.Time) []*peerv1.Item {
	s.mu.Lock()
	defer s.mu.Unlock()
	var taken []*peerv1.Item
	room := itemBytes
	for id, l := range s.live {
		if !now.Before(l.expires) {
			delete(s.live, id)
			continue
		}
		// An item above the bound travels alone.
		if l.sends[to] >= maxReplySends || l.bytes > room && len(taken) > 0 {
			continue
		}
		room -= l.bytes
		l.sends[to]++
		taken = append(taken, l.item)
	}
	return taken
}

// confirm records whether a daemon received the items of a probe request.
func (s *items) confirm(to string, sent []*peerv1.Item, arrived bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, item := range sent {
		l, ok := s.live[identity(item)]
		switch {
		case !ok:
		case arrived:
			l.sends[to] = maxReplySends
		default:
			l.sends[to]-- // a failed request doesn't use up a send
		}
	}
}
