package coordination

import (
	"cmp"
	"maps"
	"slices"

	coordinatorv1 "github.com/dogwoodrudder/dogwoodrudder/api/coordinator/v1"
)

// earlierVersions reports whether a daemon that may become the coordinator might not read
// the compact form of the counts: one that reports in the earlier form, or that is
// announced and has not reported to this holder of the duty. The caller holds the lock.
func (c *Coordinator) earlierVersions() bool {
	for _, report := range c.reports {
		if report.listsLoads && c.config.Now()-report.received <= silentAfter {
			return true
		}
	}
	for _, id := range c.config.Members() {
		if report := c.reports[id]; report == nil || report.sequence == 0 || report.listsLoads {
			return true
		}
	}
	return false
}

// listedUsage returns the counts from a window on, each with its window and account.
func (c *Coordinator) listedUsage(first int64) *coordinatorv1.UsageState {
	state := &coordinatorv1.UsageState{}
	for name, report := range c.reports {
		daemon := &coordinatorv1.ReportRequest{Daemon: name}
		for window, counts := range report.windows {
			if window < first {
				continue
			}
			for account, count := range counts {
				daemon.Windows = append(daemon.Windows, &coordinatorv1.WindowCount{Window: window, Account: account, Count: count})
			}
		}
		if len(daemon.Windows) > 0 {
			state.Daemons = append(state.Daemons, daemon)
		}
	}
	sortUsage(state)
	return state
}

// compactUsage returns the counts from a window on in the compact form, which has about 2
// bytes for each count and 40 for each daemon.
func (c *Coordinator) compactUsage(first int64) *coordinatorv1.UsageState {
	known := map[string]bool{}
	for _, report := range c.reports {
		for window, counts := range report.windows {
			if window < first {
				continue
			}
			for account := range counts {
				known[account] = true
			}
		}
	}
	state := &coordinatorv1.UsageState{Accounts: slices.Sorted(maps.Keys(known)), FirstWindow: first}
	for name, report := range c.reports {
		daemon := &coordinatorv1.DaemonUsage{Daemon: name}
		for window := first; window < first+persistedWindows; window++ {
			counts := report.windows[window]
			if len(counts) == 0 {
				continue
			}
			usage := &coordinatorv1.WindowUsage{Offset: uint32(window - first)} //nolint:gosec // below persistedWindows
			for i, account := range state.Accounts {
				if count, ok := counts[account]; ok {
					usage.Accounts = append(usage.Accounts, uint32(i)) //nolint:gosec // index
					usage.Counts = append(usage.Counts, count)
				}
			}
			daemon.Windows = append(daemon.Windows, usage)
		}
		if len(daemon.Windows) > 0 {
			state.Usage = append(state.Usage, daemon)
		}
	}
	slices.SortFunc(state.Usage, func(a, b *coordinatorv1.DaemonUsage) int { return cmp.Compare(a.Daemon, b.Daemon) })
	return state
}

// expandUsage returns the counts of the compact form, each with its window and account. It
// leaves out what isn't well-formed.
func expandUsage(state *coordinatorv1.UsageState) []*coordinatorv1.ReportRequest {
	daemons := make([]*coordinatorv1.ReportRequest, 0, len(state.Usage))
	for _, usage := range state.Usage {
		daemon := &coordinatorv1.ReportRequest{Daemon: usage.Daemon}
		for _, w := range usage.Windows {
			for i, account := range w.Accounts {
				if i < len(w.Counts) && int(account) < len(state.Accounts) {
					daemon.Windows = append(daemon.Windows, &coordinatorv1.WindowCount{
						Window: state.FirstWindow + int64(w.Offset), Account: state.Accounts[account], Count: w.Counts[i],
					})
				}
			}
		}
		daemons = append(daemons, daemon)
	}
	return daemons
}
