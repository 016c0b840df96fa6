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

// Prove records that a version was the newest one at a time of package bootclock. A
// lower version than the one that was proven last, or an earlier time for the same
// one, changes nothing.
func (p *ProvenVersion) Prove(version uint64, at time.Duration) {
	next := &versionProof{version, at}
	for {
		old := p.latest.Load()
		if old != nil && (version < old.version || version == old.version && at <= old.at) || p.latest.CompareAndSwap(old, next) {
			return
		}
	}
}

// Age returns the time since a version was provably the newest one, or one hour if it
// never was or if a later one was.
func (p *ProvenVersion) Age(version uint64, now time.Duration) time.Duration {
	proof := p.latest.Load()
	if proof == nil || proof.version != version {
		return time.Hour
	}
	return now - proof.at
}
