package membership

import (
	"encoding/binary"
	"hash/fnv"
	"maps"
	"slices"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/decide/hashing"
)

func hashString(s string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(s))
	return hashing.Mix(h.Sum64())
}

func hashID(id board.InstanceID) uint64 { return hashString(string(id)) }

// hashRecord hashes the instance ID and the record version. The other fields
// follow from these, because only the instance itself raises its sequence.
func hashRecord(m board.Member) uint64 {
	var version [17]byte
	binary.BigEndian.PutUint64(version[0:], m.Incarnation)
	binary.BigEndian.PutUint64(version[8:], m.Sequence)
	version[16] = byte(m.State)
	h := fnv.New64a()
	_, _ = h.Write([]byte(m.Instance))
	_, _ = h.Write(version[:])
	return hashing.Mix(h.Sum64())
}

// BucketOf returns the digest bucket of an instance.
func BucketOf(id board.InstanceID) int { return int(hashID(id) % board.MemberDigestBucketCount) }

// Digest summarizes the live records as one hash per bucket and a root hash
// over all buckets. Left and dead records are excluded, so that nodes that drop
// tombstones at different times have equal digests. The digest of a node that
// missed a death still differs, because it includes the live record, and the
// exchange then sends the dead record to that node.
func Digest(members *board.Members) (buckets [board.MemberDigestBucketCount]uint64, root uint64) {
	for id, m := range members.ByInstance {
		if Live(m) {
			buckets[BucketOf(id)] ^= hashRecord(m)
		}
	}
	for _, b := range buckets {
		root = hashing.Mix(root ^ b)
	}
	return buckets, root
}

// DifferingBuckets returns the buckets in which two digests differ. A bucket
// that is missing from the digest of the peer counts as different.
func DifferingBuckets(own [board.MemberDigestBucketCount]uint64, other []uint64) []uint8 {
	var differing []uint8
	for i, hash := range own {
		if i >= len(other) || other[i] != hash {
			differing = append(differing, uint8(i))
		}
	}
	return differing
}

// BucketRecords returns the records in the given buckets, including left and
// dead ones, sorted by instance ID and at most limit of them.
func BucketRecords(members *board.Members, buckets []uint8, limit int) []board.Member {
	var records []board.Member
	for id, m := range members.ByInstance {
		if slices.Contains(buckets, uint8(BucketOf(id))) {
			records = append(records, m)
		}
	}
	slices.SortFunc(records, func(a, b board.Member) int {
		if a.Instance < b.Instance {
			return -1
		}
		return 1
	})
	return records[:min(len(records), limit)]
}

// MissingRecords returns the records in the given buckets that a peer lacks or
// has in an older version, at most limit of them. peerRecords are all records
// that the peer has in these buckets.
func MissingRecords(members *board.Members, buckets []uint8, peerRecords []board.Member, limit int) []board.Member {
	peerByID := make(map[board.InstanceID]board.Member, len(peerRecords))
	for _, m := range peerRecords {
		peerByID[m.Instance] = m
	}
	var missing []board.Member
	for _, m := range BucketRecords(members, buckets, len(members.ByInstance)) {
		peerRecord, found := peerByID[m.Instance]
		if !found || Supersedes(m, peerRecord) {
			missing = append(missing, m)
		}
	}
	return missing[:min(len(missing), limit)]
}

// HashVersions returns a hash of named version numbers that does not depend on
// their order.
func HashVersions(numbers map[string]uint64) uint64 {
	var sum uint64
	for name, number := range numbers {
		sum ^= hashing.Mix(hashString(name) + hashing.Mix(number))
	}
	return sum
}

// HashRumors returns a hash of the IDs of the retained rumors that does not
// depend on their order.
func HashRumors(retained map[string]board.Rumor) uint64 {
	var sum uint64
	for id := range retained {
		sum ^= hashString(id)
	}
	return sum
}

// NewerVersions returns the versions in which a peer is ahead of this node,
// sorted by name.
func NewerVersions(own, peer map[string]uint64) []board.NamedVersion {
	var newer []board.NamedVersion
	for _, name := range slices.Sorted(maps.Keys(peer)) {
		if peer[name] > own[name] {
			newer = append(newer, board.NamedVersion{Name: name, Number: peer[name]})
		}
	}
	return newer
}
