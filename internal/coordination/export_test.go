package coordination

import "time"

// Interval exposes the time until the next report.
func (a *Agent) Interval() time.Duration { return a.interval() }

// KeepInterval is the time between two writes of the usage counts.
const KeepInterval = keepInterval
