package hashing

// Nodes that synchronize a set of named entries compare one digest per bucket
// of names and send each other only the entries that may differ. A digest does
// not depend on the order of the entries.

// Bucket returns the bucket of a name.
func Bucket(name string, buckets int) int { return int(String(name) % uint64(buckets)) }

// AddEntry adds the content of a named entry to the digest of its bucket.
func AddEntry(digests []uint32, name, content string) {
	digests[Bucket(name, len(digests))] ^= uint32(String(content))
}

// MayDiffer reports whether a named entry may differ between two nodes with the
// given digests. When the numbers of digests differ, so do the buckets, and any
// entry may differ.
func MayDiffer(name string, own, other []uint32) bool {
	if len(own) != len(other) {
		return true
	}
	bucket := Bucket(name, len(own))
	return own[bucket] != other[bucket]
}
