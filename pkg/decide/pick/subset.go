package pick

import (
	"cmp"
	"hash/fnv"
	"slices"

	"mangostand.example/mangostand/pkg/board"
)

// Subset returns the endpoints that an entry uses: all of them if there are at
// most size, else about size of them. The choice is deterministic and covers
// all failure domains: each contributes in proportion to its instances, and at
// least one. It is also balanced: within a domain, consecutive entries take
// consecutive segments of one ring, so that the numbers of entries of any two
// instances differ by at most one. The entryIndex is the position of the entry
// among all entries.
func Subset(endpoints []*board.Endpoint, entryIndex, size int) []*board.Endpoint {
	sorted := slices.Clone(endpoints)
	slices.SortFunc(sorted, byHash)
	if len(sorted) <= size {
		return sorted
	}
	var chosen []*board.Endpoint
	for _, domain := range failureDomains(sorted) {
		members := inFailureDomain(sorted, domain)
		count := max(1, (size*len(members)+len(sorted)/2)/len(sorted))
		chosen = append(chosen, ringSegment(members, entryIndex, min(count, len(members)))...)
	}
	slices.SortFunc(chosen, byHash)
	return chosen
}

// ringSegment returns the segment of a ring that an entry uses.
func ringSegment(ring []*board.Endpoint, entryIndex, count int) []*board.Endpoint {
	segment := make([]*board.Endpoint, 0, count)
	for i := range count {
		segment = append(segment, ring[(entryIndex*count+i)%len(ring)])
	}
	return segment
}

// failureDomains returns the sorted failure domains of the endpoints.
func failureDomains(endpoints []*board.Endpoint) []string {
	var domains []string
	for _, endpoint := range endpoints {
		if !slices.Contains(domains, endpoint.Member.FailureDomain) {
			domains = append(domains, endpoint.Member.FailureDomain)
		}
	}
	slices.Sort(domains)
	return domains
}

// inFailureDomain returns the endpoints in a failure domain.
func inFailureDomain(endpoints []*board.Endpoint, domain string) []*board.Endpoint {
	var members []*board.Endpoint
	for _, endpoint := range endpoints {
		if endpoint.Member.FailureDomain == domain {
			members = append(members, endpoint)
		}
	}
	return members
}

// byHash orders endpoints by the hash of their instance, so that neighbours in
// the order are unrelated.
func byHash(a, b *board.Endpoint) int {
	if order := cmp.Compare(instanceHash(a), instanceHash(b)); order != 0 {
		return order
	}
	return cmp.Compare(a.Member.Instance, b.Member.Instance)
}

func instanceHash(endpoint *board.Endpoint) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(endpoint.Member.Instance))
	return h.Sum64()
}
