package membership

import (
	"time"

	"mangostand.example/mangostand/pkg/board"
)

const (
	// TombstoneTime is how long a left or dead record is kept and dead members
	// are tried again. The regions are apart for minutes.
	TombstoneTime = 30 * time.Minute
	// FloorTime is how long a dropped record is remembered by its position
	// alone, so that no copy of it comes back.
	FloorTime = 24 * time.Hour
	// MaxFloors bounds the remembered positions: 600 instances replaced more
	// than six times within FloorTime.
	MaxFloors = 4096
)

// Floor is the position of a dropped record. Only a record that supersedes it
// is accepted again.
type Floor struct {
	Record board.Member
	Until  time.Time
}

// FloorOf returns the floor that a dropped record leaves.
func FloorOf(m board.Member, now time.Time) Floor {
	return Floor{
		Record: board.Member{Instance: m.Instance, Incarnation: m.Incarnation, Sequence: m.Sequence, State: m.State},
		Until:  now.Add(FloorTime),
	}
}

// Above reports whether a record may be accepted above a floor.
func Above(m board.Member, f Floor, now time.Time) bool {
	return !now.Before(f.Until) || comparePosition(m, f.Record) > 0
}
