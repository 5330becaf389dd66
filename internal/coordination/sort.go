package coordination

import (
	"cmp"
	"slices"

	coordinatorv1 "github.com/dogwoodrudder/dogwoodrudder/api/coordinator/v1"
)

// sortUsage sorts the counts, so that equal states have equal encodings.
func sortUsage(state *coordinatorv1.UsageState) {
	slices.SortFunc(state.Daemons, func(a, b *coordinatorv1.ReportRequest) int { return cmp.Compare(a.Daemon, b.Daemon) })
	for _, daemon := range state.Daemons {
		slices.SortFunc(daemon.Windows, func(a, b *coordinatorv1.WindowCount) int {
			return cmp.Or(cmp.Compare(a.Window, b.Window), cmp.Compare(a.Account, b.Account))
		})
	}
}
