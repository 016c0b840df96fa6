// Package bodies decides which request bodies a node holds in its memory.
package bodies

const (
	// defaultShare is the share of the memory limit that request bodies may take by
	// default. The rest is for responses, the node's own state and the garbage
	// collector, whose soft limit is 0.6 of the memory limit.
	defaultShare = 0.5
	// maxFreePart is the part of the bound that every body leaves free at most, so that
	// small bodies are accepted beside large ones.
	maxFreePart = 16
)

// Bound returns how many bytes of request bodies a node may hold: configuredMB, or, if
// that is 0, a share of the memory limit. 0 means no bound.
func Bound(configuredMB, memoryLimitMB int) int64 {
	if configuredMB > 0 {
		return int64(configuredMB) << 20
	}
	return int64(defaultShare * float64(memoryLimitMB) * (1 << 20))
}

// Accept reports whether a body fits beside the bytes that are held. It leaves as many
// bytes free as it takes itself, up to a part of the bound.
func Accept(size, held, bound int64) bool {
	return bound <= 0 || size <= bound-held-min(size, bound/maxFreePart)
}
