package pick

import (
	"cmp"
	"hash/fnv"
	"slices"

	"mangostand.example/mangostand/pkg/board"
)

// Subset returns the cells that an entry uses: all of a service with up to
// size instances, else about size of them. The choice is deterministic and
// diverse: each failure domain contributes in proportion to its instances, and
// at least one. It is balanced: within a domain, consecutive entries take
// consecutive parts of one ring, so that the numbers of entries of any two
// instances differ by at most one. Rank is the position of the entry among all
// entries.
func Subset(cells []*board.Endpoint, rank, size int) []*board.Endpoint {
	sorted := slices.Clone(cells)
	slices.SortFunc(sorted, byHash)
	if len(sorted) <= size {
		return sorted
	}
	var chosen []*board.Endpoint
	for _, domain := range failureDomains(sorted) {
		members := inFailureDomain(sorted, domain)
		share := max(1, (size*len(members)+len(sorted)/2)/len(sorted))
		chosen = append(chosen, ringSegment(members, rank, min(share, len(members)))...)
	}
	slices.SortFunc(chosen, byHash)
	return chosen
}

// ringSegment returns the part of a ring that belongs to an entry.
func ringSegment(ring []*board.Endpoint, rank, count int) []*board.Endpoint {
	part := make([]*board.Endpoint, 0, count)
	for i := range count {
		part = append(part, ring[(rank*count+i)%len(ring)])
	}
	return part
}

func failureDomains(cells []*board.Endpoint) []string {
	var domains []string
	for _, c := range cells {
		if !slices.Contains(domains, c.Member.FailureDomain) {
			domains = append(domains, c.Member.FailureDomain)
		}
	}
	slices.Sort(domains)
	return domains
}

func inFailureDomain(cells []*board.Endpoint, domain string) []*board.Endpoint {
	var members []*board.Endpoint
	for _, c := range cells {
		if c.Member.FailureDomain == domain {
			members = append(members, c)
		}
	}
	return members
}

// byHash orders cells so that neighbours in the order are unrelated.
func byHash(a, b *board.Endpoint) int {
	if order := cmp.Compare(instanceHash(a), instanceHash(b)); order != 0 {
		return order
	}
	return cmp.Compare(a.Member.Instance, b.Member.Instance)
}

func instanceHash(c *board.Endpoint) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(c.Member.Instance))
	return h.Sum64()
}
