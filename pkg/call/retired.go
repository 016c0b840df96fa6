package call

import (
	"time"

	"mangostand.example/mangostand/pkg/board"
)

// countRetired counts a call that was refused as retired, at the node that
// refused it.
func countRetired(b *board.Board, reason board.Reason, caller, service string) {
	if reason == board.ReasonRetired {
		b.RetiredTraffic.CountRefusal(board.RetiredTrafficKey{Caller: caller, Service: service}, time.Now())
	}
}
