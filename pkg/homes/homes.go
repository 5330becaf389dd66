// Package homes decides in which regions a request may be handled.
package homes

import "slices"

// Lookup is a client's question for the addresses of daemons.
type Lookup struct {
	Host       string // of the requests that the client is going to make
	Region     string // of the client; empty if unknown
	DataCentre string // of the client; empty if unknown
}

// Regions returns the regions that are in each of the lists, without the empty lists,
// which allow all regions. restricted is false if all lists are empty.
func Regions(lists ...[]string) (regions []string, restricted bool) {
	for _, list := range lists {
		if len(list) == 0 {
			continue
		}
		if !restricted {
			regions, restricted = slices.Clone(list), true
			continue
		}
		regions = slices.DeleteFunc(regions, func(r string) bool { return !slices.Contains(list, r) })
	}
	return regions, restricted
}

// Filter returns a function that reports whether a data centre is in a region that is in
// each of the lists that aren't empty. A data centre whose region is unknown is in none.
// Filter returns nil if all data centres are allowed.
func Filter(regionOf map[string]string, lists ...[]string) func(dataCentre string) bool {
	regions, restricted := Regions(lists...)
	if !restricted {
		return nil
	}
	return func(dataCentre string) bool {
		region, known := regionOf[dataCentre]
		return known && slices.Contains(regions, region)
	}
}
