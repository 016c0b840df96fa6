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

// hashRecord covers what decides a merge. The other fields follow from it,
// because only the instance itself raises its sequence.
func hashRecord(m board.Member) uint64 {
	var position [17]byte
	binary.BigEndian.PutUint64(position[0:], m.Incarnation)
	binary.BigEndian.PutUint64(position[8:], m.Sequence)
	position[16] = byte(m.State)
	h := fnv.New64a()
	_, _ = h.Write([]byte(m.Instance))
	_, _ = h.Write(position[:])
	return hashing.Mix(h.Sum64())
}

// BucketOf returns the bucket of an instance in a digest.
func BucketOf(id board.InstanceID) int { return int(hashID(id) % board.MemberDigestBucketCount) }

// Digest sums up the live records. Left and dead records stay out, so that
// nodes that drop them at different times agree; a node that missed a death
// still differs by its live record and gets the dead one for it.
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

// DifferingBuckets returns the buckets in which two digests differ. Buckets that the
// other side did not send count as different.
func DifferingBuckets(own [board.MemberDigestBucketCount]uint64, other []uint64) []uint8 {
	var different []uint8
	for i, hash := range own {
		if i >= len(other) || other[i] != hash {
			different = append(different, uint8(i))
		}
	}
	return different
}

// BucketRecords returns the records of some buckets, left and dead ones included, in
// the order of their instances and at most limit of them.
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

// MissingRecords returns the records of some buckets that a peer does not have, given
// all its records of these buckets, at most limit of them.
func MissingRecords(members *board.Members, buckets []uint8, theirs []board.Member, limit int) []board.Member {
	known := make(map[board.InstanceID]board.Member, len(theirs))
	for _, m := range theirs {
		known[m.Instance] = m
	}
	var missing []board.Member
	for _, m := range BucketRecords(members, buckets, len(members.ByInstance)) {
		their, found := known[m.Instance]
		if !found || Supersedes(m, their) {
			missing = append(missing, m)
		}
	}
	return missing[:min(len(missing), limit)]
}

// HashVersions returns the hash of a set of version numbers.
func HashVersions(numbers map[string]uint64) uint64 {
	var sum uint64
	for name, number := range numbers {
		sum ^= hashing.Mix(hashString(name) + hashing.Mix(number))
	}
	return sum
}

// HashRumors returns the hash of the IDs of the kept rumors.
func HashRumors(kept map[string]board.Rumor) uint64 {
	var sum uint64
	for id := range kept {
		sum ^= hashString(id)
	}
	return sum
}

// NewerVersions returns the versions in which a peer is ahead, by name.
func NewerVersions(own, peer map[string]uint64) []board.NamedVersion {
	var ahead []board.NamedVersion
	for _, name := range slices.Sorted(maps.Keys(peer)) {
		if peer[name] > own[name] {
			ahead = append(ahead, board.NamedVersion{Name: name, Number: peer[name]})
		}
	}
	return ahead
}
