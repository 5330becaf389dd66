package app

import "time"

// SetSettleTime sets the time that passes between the connection attempts that tell whether a
// service outlived its reply.
func (h *HTTP) SetSettleTime(d time.Duration) { h.settleTime = d }
