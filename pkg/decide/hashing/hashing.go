// Package hashing holds the hash functions and the bucket digests that several
// decisions share. All nodes must use the same ones.
package hashing

import "hash/fnv"

// Mix is the finalizer of SplitMix64. It spreads the bits of an FNV hash, whose
// high bits differ little for short names.
func Mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// String returns the mixed FNV hash of a name.
func String(name string) uint64 {
	h := fnv.New64a()
	// Writing to a hash never fails.
	_, _ = h.Write([]byte(name))
	return Mix(h.Sum64())
}
