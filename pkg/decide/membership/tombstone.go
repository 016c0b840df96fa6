package membership

import (
	"time"

	"mangostand.example/mangostand/pkg/board"
)

const (
	// TombstoneTTL is how long a left or dead record is kept and dead members
	// are tried again. The regions are apart for minutes.
	TombstoneTTL = 30 * time.Minute
	// VersionFloorTTL is how long a dropped record is remembered by its position
	// alone, so that no copy of it comes back.
	VersionFloorTTL = 24 * time.Hour
	// MaxVersionFloors bounds the remembered positions: 600 instances replaced more
	// than six times within FloorTime.
	MaxVersionFloors = 4096
)

// VersionFloor is the position of a dropped record. Only a record that supersedes it
// is accepted again.
type VersionFloor struct {
	Record    board.Member
	ExpiresAt time.Time
}

// NewVersionFloor returns the floor that a dropped record leaves.
func NewVersionFloor(m board.Member, now time.Time) VersionFloor {
	return VersionFloor{
		Record:    board.Member{Instance: m.Instance, Incarnation: m.Incarnation, Sequence: m.Sequence, State: m.State},
		ExpiresAt: now.Add(VersionFloorTTL),
	}
}

// AboveFloor reports whether a record may be accepted above a floor.
func AboveFloor(m board.Member, f VersionFloor, now time.Time) bool {
	return !now.Before(f.ExpiresAt) || compareRecordVersion(m, f.Record) > 0
}
