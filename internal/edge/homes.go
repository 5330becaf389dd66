package edge

import (
	"maps"
	"slices"

	"github.com/dogwoodrudder/dogwoodrudder/internal/settings"
	"github.com/dogwoodrudder/dogwoodrudder/internal/traffic"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/homes"
)

// regionsOf returns the region of each data centre that the settings name.
func regionsOf(s *settings.Edge) map[string]string {
	regions := map[string]string{}
	maps.Copy(regions, s.Regions)
	if _, known := regions[s.DataCentre]; !known && s.Region != "" {
		regions[s.DataCentre] = s.Region
	}
	return regions
}

// routesWithHomes returns the number of routes whose requests are bound to regions.
func routesWithHomes(t *traffic.Table) int {
	count := 0
	for _, r := range t.Routes() {
		if len(r.HomeRegions) > 0 {
			count++
		}
	}
	return count
}

// nearHomes returns the daemons in the client's region and in the regions that are homes
// of all routes of the host that have homes. It returns all daemons if none of the routes
// has homes, or if no daemon is in these regions: a client without an address can't be
// served at all. Homes of accounts don't count, because a lookup names no account.
func (d *Daemon) nearHomes(all []member, lookup homes.Lookup) []member {
	table := d.state.Table()
	if table == nil {
		return all
	}
	var lists [][]string
	for _, r := range table.RoutesOf(lookup.Host) {
		lists = append(lists, r.HomeRegions)
	}
	regions, restricted := homes.Regions(lists...)
	if !restricted {
		return all
	}
	client := lookup.Region
	if client == "" {
		client = d.regions[lookup.DataCentre]
	}
	near := slices.DeleteFunc(slices.Clone(all), func(m member) bool {
		region := d.regions[m.DataCentre]
		return region == "" || region != client && !slices.Contains(regions, region)
	})
	if len(near) == 0 {
		return all
	}
	return near
}
