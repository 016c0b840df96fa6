package fairshare

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxLargest is the number of customers that are the largest ones at a time.
	maxLargest = 8
	// maxNamed bounds the names in counters over the life of a process.
	maxNamed = 32
)

// Usage is the service that a customer received lately.
type Usage struct {
	Name    string
	Service time.Duration
}

// Named returns the names of the customers that counters name: those of before,
// since the sums of a name must not lose calls later, and the largest ones of now
// while there is room.
func Named(before []string, usage []Usage) []string {
	largest := slices.DeleteFunc(slices.Clone(usage), func(u Usage) bool { return u.Service <= 0 })
	slices.SortFunc(largest, func(a, b Usage) int {
		return cmp.Or(cmp.Compare(b.Service, a.Service), cmp.Compare(a.Name, b.Name))
	})
	named := slices.Clone(before)
	for _, u := range largest[:min(maxLargest, len(largest))] {
		if len(named) < maxNamed && !slices.Contains(named, u.Name) {
			named = append(named, u.Name)
		}
	}
	return named
}
