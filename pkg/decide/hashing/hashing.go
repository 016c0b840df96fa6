// Package hashing holds the hash step that the decisions on membership and key
// homes share. All nodes must use the same one.
package hashing

import "hash/fnv"

// Mix spreads the bits of an FNV hash, whose high bits differ little for short
// names (finalizer of SplitMix64).
func Mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// String returns the spread hash of a name.
func String(name string) uint64 {
	h := fnv.New64a()
	// A hash takes any bytes.
	_, _ = h.Write([]byte(name))
	return Mix(h.Sum64())
}
