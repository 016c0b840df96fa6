package call

import (
	"time"

	"mangostand.example/mangostand/pkg/board"
)

// countRetired counts a call if it was refused because its service or route is
// retired.
func countRetired(b *board.Board, reason board.Reason, caller, service string) {
	if reason == board.ReasonRetired {
		b.RetiredTraffic.CountRefusal(board.RetiredTrafficKey{Caller: caller, Service: service}, time.Now())
	}
}
