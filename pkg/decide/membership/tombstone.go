package membership

import (
	"time"

	"mangostand.example/mangostand/pkg/board"
)

const (
	// TombstoneTTL is how long a left or dead record is kept, and how long
	// nodes try to reconnect to a dead member. Partitions between regions last
	// for minutes.
	TombstoneTTL = 30 * time.Minute
	// VersionFloorTTL is how long the record version of a dropped record is
	// remembered, so that stale copies of the record are not accepted again.
	VersionFloorTTL = 24 * time.Hour
	// MaxVersionFloors limits the remembered record versions. It suffices for
	// 600 instances that are each replaced more than six times within
	// VersionFloorTTL.
	MaxVersionFloors = 4096
)

// VersionFloor is the record version of a dropped record. Until it expires,
// only a record with a higher version is accepted for the instance.
type VersionFloor struct {
	// Record holds only the instance ID and the record version.
	Record    board.Member
	ExpiresAt time.Time
}

// NewVersionFloor returns the version floor for a dropped record.
func NewVersionFloor(m board.Member, now time.Time) VersionFloor {
	return VersionFloor{
		Record:    board.Member{Instance: m.Instance, Incarnation: m.Incarnation, Sequence: m.Sequence, State: m.State},
		ExpiresAt: now.Add(VersionFloorTTL),
	}
}

// AboveFloor reports whether a record has a higher version than a floor or the
// floor has expired.
func AboveFloor(m board.Member, f VersionFloor, now time.Time) bool {
	return !now.Before(f.ExpiresAt) || compareRecordVersion(m, f.Record) > 0
}
