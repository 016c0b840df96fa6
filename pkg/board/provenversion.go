package board

import (
	"sync/atomic"
	"time"
)

// ProvenVersion is the configuration version that was provably the newest one in the
// store at some moment, on the clock that counts suspensions. Unlike ConfirmedVersion
// its age is never underestimated, whatever delays a message: it is only derived from
// responses, and counted from the moment at which this node sent the request.
type ProvenVersion struct {
	// Required is set if withdrawn API keys have to be void in time without contact to
	// the store. It does not change after the start of the node.
	Required bool

	latest atomic.Pointer[versionProof]
}

type versionProof struct {
	version uint64
	at      time.Duration
}

// Prove records that a version was the newest one at a time of package bootclock. A proof
// of a lower version than the one that was proven last, or an earlier one of the same
// version, changes nothing. An earlier time does not replace a later one, see Age.
func (p *ProvenVersion) Prove(version uint64, at time.Duration) {
	for {
		old := p.latest.Load()
		next := &versionProof{version, at}
		if old != nil {
			if version < old.version || version == old.version && at <= old.at {
				return
			}
			next.at = max(at, old.at)
		}
		if p.latest.CompareAndSwap(old, next) {
			return
		}
	}
}

// Age returns the time since a version was provably not outdated, or one hour if it
// never was or if a later one was proven. A proof of an earlier version counts for a
// version as well: all that was withdrawn before the proof is withdrawn in both, so that
// a node which has just received a version accepts keys without a new proof.
func (p *ProvenVersion) Age(version uint64, now time.Duration) time.Duration {
	proof := p.latest.Load()
	if proof == nil || proof.version > version {
		return time.Hour
	}
	return now - proof.at
}
