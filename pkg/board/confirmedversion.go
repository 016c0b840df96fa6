package board

import (
	"sync/atomic"
	"time"

	"mangostand.example/mangostand/pkg/bootclock"
)

// ConfirmedVersion is the configuration version that was last found to be the newest
// one in the store, and when.
type ConfirmedVersion struct {
	latest atomic.Pointer[versionConfirmation]
}

type versionConfirmation struct {
	version uint64
	at      time.Time
}

// Confirm records that a version was the newest one at a time. A lower version than the
// one that was confirmed last, or an earlier time for the same one, changes nothing.
func (c *ConfirmedVersion) Confirm(version uint64, at time.Time) {
	next := &versionConfirmation{version, at}
	for {
		old := c.latest.Load()
		if old != nil && (version < old.version || version == old.version && !at.After(old.at)) || c.latest.CompareAndSwap(old, next) {
			return
		}
	}
}

// Age returns the time elapsed since a version was confirmed, or one hour if it was not
// or if a later one was.
func (c *ConfirmedVersion) Age(version uint64, now time.Time) time.Duration {
	confirmed := c.latest.Load()
	if confirmed == nil || confirmed.version != version {
		return time.Hour
	}
	return now.Sub(confirmed.at)
}

// ConfigAdvertisement is the configuration version that a node advertises to
// others.
type ConfigAdvertisement struct {
	// Version is the version of the routes in force at the node.
	Version uint64 `cbor:"1,keyasint"`
	// ConfirmedAgeMillis is the age of the last confirmation that Version is the
	// newest one.
	ConfirmedAgeMillis int64 `cbor:"2,keyasint"`
	// ProvenAgeMillis is the age in ProvenVersion, rounded up, 0 when it is not known.
	ProvenAgeMillis int64 `cbor:"3,keyasint,omitempty"`
}

// assumedTransitDelay is added to the age of a received confirmation for the
// network delay of the message.
const assumedTransitDelay = 20 * time.Millisecond

// ConfigAdvertisement returns the advertisement of this node.
func (b *MeshBoard) ConfigAdvertisement(now time.Time) ConfigAdvertisement {
	version := b.Routes.Load().Version
	advertisement := ConfigAdvertisement{Version: version, ConfirmedAgeMillis: b.ConfigConfirmed.Age(version, now).Milliseconds()}
	if b.ConfigProven.Required {
		advertisement.ProvenAgeMillis = b.ConfigProven.Age(version, bootclock.Now()).Milliseconds() + 1
	}
	return advertisement
}

// ConfigRequestSentAt returns the time from which the age of the configuration in a
// response counts. A node that needs no proof reads no clock for it.
func (b *MeshBoard) ConfigRequestSentAt() time.Duration {
	if !b.ConfigProven.Required {
		return 0
	}
	return bootclock.Now()
}

// ReceiveConfigProof processes the advertisement in a response to a request that this
// node sent at a time of ConfigRequestSentAt. The responder read its clock after that
// time, so its proof is at most as old as it says, counted from there.
func (b *MeshBoard) ReceiveConfigProof(ad ConfigAdvertisement, sentAt time.Duration) {
	if !b.ConfigProven.Required || ad.ProvenAgeMillis <= 0 || ad.Version != b.Routes.Load().Version {
		return
	}
	b.ConfigProven.Prove(ad.Version, sentAt-time.Duration(ad.ProvenAgeMillis)*time.Millisecond)
}

// ReceiveConfigAdvertisement processes the advertisement of the node with the
// peer address from. An equal version confirms the routes in force; a higher one
// makes control/routefeed fetch the routes.
func (b *MeshBoard) ReceiveConfigAdvertisement(ad ConfigAdvertisement, from string, now time.Time) {
	switch current := b.Routes.Load().Version; {
	case ad.Version == current:
		b.ConfigConfirmed.Confirm(current, now.Add(-time.Duration(ad.ConfirmedAgeMillis)*time.Millisecond-assumedTransitDelay))
	case ad.Version > current && from != "":
		b.RouteTableHints.Post(RouteTableHint{From: from, Version: ad.Version})
	}
}

// RouteTableHint reports the version of the route table at another node.
type RouteTableHint struct {
	// From is the peer address of the node.
	From    string
	Version uint64
}
