package gossip

import (
	"fmt"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/dogwoodrudder/dogwoodrudder/api/peer/v1"
)

// Bounds of itemCache.
const (
	// maxSeenIdentities is the number of identities kept to drop duplicates. The peak is
	// 47,000 changes a day, and duplicates arrive within seconds.
	maxSeenIdentities = 16384
	// maxLiveItems is the number of items that are gossiped at the same time.
	maxLiveItems = 512
	// maxItemBytesPerProbe bounds the total size of the items in a probe message.
	maxItemBytesPerProbe = 4096
	// verdictLifetime is how long a verdict is gossiped. A daemon that joins
	// later gets it with the configuration snapshot.
	verdictLifetime = 10 * time.Minute
	// maxReplySends is how often an item is sent to the same member in replies,
	// whose arrival isn't confirmed.
	maxReplySends = 3
)

// identity returns the key under which duplicates of an item are dropped, or
// an empty string for an item without content. The identity of a notice doesn't
// contain the time of its observation, so that all daemons that observe the same
// notice give it the same identity.
func identity(item *peerv1.Item) string {
	switch kind := item.GetKind().(type) {
	case *peerv1.Item_Change:
		return fmt.Sprintf("change %d %s", kind.Change.GetRevision(), kind.Change.GetChangeId())
	case *peerv1.Item_Verdict:
		v := kind.Verdict
		if v.GetOutcome() == "proved" {
			// The ramp depends on the time of the verdict. If several evaluators
			// decide, all daemons must get the earliest verdict, so verdicts with
			// different times are not duplicates.
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

// expiry returns the time until which an item is gossiped with probes. The zero
// time means that the item is only pushed.
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

// itemCache holds the identities of known items, to drop duplicates, and the
// items that are gossiped with probes.
type itemCache struct {
	mu   sync.Mutex
	seen *lru.Cache[string, time.Time] // expiry by identity
	live map[string]*liveItem          // by identity
}

type liveItem struct {
	item    *peerv1.Item
	expires time.Time
	bytes   int
	sends   map[string]int // by daemon ID; maxReplySends if the daemon is known to have the item
}

func newItemCache() *itemCache {
	seen, err := lru.New[string, time.Time](maxSeenIdentities)
	if err != nil {
		panic(err) // only for a size that isn't positive
	}
	return &itemCache{seen: seen, live: make(map[string]*liveItem)}
}

// add records an item received from the daemon with the ID from and reports
// whether it is new. Expired items aren't new.
func (s *itemCache) add(item *peerv1.Item, from string, now time.Time) bool {
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

// evict removes expired items. If the number of items still reaches maxLiveItems,
// it also removes the one that expires first.
func (s *itemCache) evict(now time.Time) {
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
	if len(s.live) >= maxLiveItems {
		delete(s.live, earliest)
	}
}

// selectFor returns live items that the daemon may not have, limited to
// maxItemBytesPerProbe, and counts them as sent.
func (s *itemCache) selectFor(to string, now time.Time) []*peerv1.Item {
	s.mu.Lock()
	defer s.mu.Unlock()
	var selected []*peerv1.Item
	remaining := maxItemBytesPerProbe
	for id, l := range s.live {
		if !now.Before(l.expires) {
			delete(s.live, id)
			continue
		}
		// An item that exceeds the limit by itself is sent as the only one.
		if l.sends[to] >= maxReplySends || l.bytes > remaining && len(selected) > 0 {
			continue
		}
		remaining -= l.bytes
		l.sends[to]++
		selected = append(selected, l.item)
	}
	return selected
}

// recordResult records whether a daemon received the items of a probe request.
func (s *itemCache) recordResult(to string, sent []*peerv1.Item, arrived bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, item := range sent {
		l, ok := s.live[identity(item)]
		switch {
		case !ok:
		case arrived:
			l.sends[to] = maxReplySends
		default:
			l.sends[to]-- // a failed request doesn't count as sent
		}
	}
}
