package coordination

import (
	"time"

	coordinatorv1 "github.com/dogwoodrudder/dogwoodrudder/api/coordinator/v1"
)

// maxAckAge is the age of the last response from which on a daemon sends all its usage
// counts again. It is below reportRetention, after which the coordinator drops them.
const maxAckAge = reportRetention / 2

// usageAck is what the holder of the coordinator duty is known to have of this daemon's
// usage counts, so that reports carry only the others.
type usageAck struct {
	token  int64                      // of the holder
	counts map[int64]map[string]int64 // nil if none are known
}

// missing returns the counts that the coordinator isn't known to have, and the fencing
// token of that coordinator. The token is 0 if the counts are all there are.
func (a *usageAck) missing(windows []*coordinatorv1.WindowCount, sinceResponse time.Duration) (missing []*coordinatorv1.WindowCount, base int64) {
	if sinceResponse > maxAckAge {
		a.counts = nil
	}
	if a.counts == nil {
		return windows, 0
	}
	kept := make(map[int64]bool, reportedWindows)
	for _, w := range windows {
		kept[w.Window] = true
		if a.counts[w.Window][w.Account] != w.Count {
			missing = append(missing, w)
		}
	}
	for window := range a.counts {
		if !kept[window] {
			delete(a.counts, window)
		}
	}
	return missing, a.token
}

// record records that the holder with the token has received counts that rest on base.
// Another holder than that of base lacks some, so that the next report has all.
func (a *usageAck) record(token int64, sent []*coordinatorv1.WindowCount, base int64) {
	if base != 0 && token != base {
		a.forget()
		return
	}
	if token != a.token || a.counts == nil {
		*a = usageAck{token: token, counts: map[int64]map[string]int64{}}
	}
	for _, w := range sent {
		if a.counts[w.Window] == nil {
			a.counts[w.Window] = map[string]int64{}
		}
		a.counts[w.Window][w.Account] = w.Count
	}
}

// forget makes the next report have all counts.
func (a *usageAck) forget() { *a = usageAck{} }
