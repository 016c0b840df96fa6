package hashing

// Two nodes that compare digests of what they know send each other only what
// may differ. Each digest stands for the entries of one bucket of names; the
// order of the entries does not matter.

// Bucket returns the bucket of a name.
func Bucket(name string, buckets int) int { return int(String(name) % uint64(buckets)) }

// AddEntry adds the content of the entry with a name to the digests.
func AddEntry(digests []uint32, name, content string) {
	digests[Bucket(name, len(digests))] ^= uint32(String(content))
}

// MayDiffer reports whether the entry with a name may differ between two nodes
// with the digests. Other numbers of digests stand for other buckets.
func MayDiffer(name string, own, other []uint32) bool {
	if len(own) != len(other) {
		return true
	}
	bucket := Bucket(name, len(own))
	return own[bucket] != other[bucket]
}
