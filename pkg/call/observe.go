package call

import (
	"time"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/decide/breaker"
)

// observe updates the figures of a cell and the budget of its service after
// the head of an answer.
func (e *Entry) observe(cell *board.Endpoint, service string, result *Result, elapsed time.Duration) {
	now := time.Now()
	if result.Load != (board.LoadReport{}) {
		report := result.Load
		report.ReceivedAt = now
		cell.UpdateLoadReport(report)
	}
	switch breaker.Classify(result.Outcome, result.Reason, result.Status) {
	case breaker.Success:
		cell.Successes.Add(1)
		cell.ObserveOutcome(false, now)
		if b := e.Board.Budgets.Load().RetryByService[service]; b != nil {
			b.RecordSuccess(elapsed)
		}
	case breaker.Failure:
		cell.Failures.Add(1)
		cell.ObserveOutcome(true, now)
	case breaker.Rejection:
		cell.Rejections.Add(1)
	}
}
