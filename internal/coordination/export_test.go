package coordination

import "time"

// Interval exposes interval to tests.
func (a *Agent) Interval() time.Duration { return a.interval() }

// WriteInterval exposes writeInterval to tests.
const WriteInterval = writeInterval
