package health

import "time"

// windowBuckets is the number of intervals in the failure window.
const windowBuckets = 10

// window counts outcomes over the last windowBuckets intervals, in a ring of one
// bucket per interval.
type window struct {
	total, failed [windowBuckets]int
	epoch         int64 // interval number of the newest bucket
}

// advance clears the buckets of expired intervals and returns the index of the
// current bucket. length is the duration of the whole window.
func (w *window) advance(now time.Time, length time.Duration) int {
	epoch := now.UnixNano() / max(1, int64(length)/windowBuckets)
	if w.epoch == 0 || epoch-w.epoch >= windowBuckets {
		*w = window{epoch: epoch}
	}
	for ; w.epoch < epoch; w.epoch++ {
		i := (w.epoch + 1) % windowBuckets
		w.total[i], w.failed[i] = 0, 0
	}
	return int(w.epoch % windowBuckets)
}

func (w *window) add(now time.Time, length time.Duration, failed bool) {
	i := w.advance(now, length)
	w.total[i]++
	if failed {
		w.failed[i]++
	}
}

func (w *window) sums(now time.Time, length time.Duration) (total, failed int) {
	w.advance(now, length)
	for i := range w.total {
		total += w.total[i]
		failed += w.failed[i]
	}
	return total, failed
}
