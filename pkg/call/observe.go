package call

import (
	"time"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/decide/breaker"
)

// recordFeedback updates the statistics of an endpoint and the retry budget of
// its service when the result of an attempt is known. A response body has not
// been read at this point.
func (e *Entry) recordFeedback(endpoint *board.Endpoint, service string, result *Result, elapsed time.Duration) {
	now := time.Now()
	if result.LoadReport != (board.LoadReport{}) {
		report := result.LoadReport
		report.ReceivedAt = now
		endpoint.UpdateLoadReport(report)
	}
	switch breaker.Classify(result.Outcome, result.Reason, result.Status) {
	case breaker.Success:
		endpoint.Successes.Add(1)
		endpoint.ObserveOutcome(false, now)
		if retryBudget := e.Board.Budgets.Load().RetryByService[service]; retryBudget != nil {
			retryBudget.RecordSuccess(elapsed)
		}
	case breaker.Failure:
		endpoint.Failures.Add(1)
		endpoint.ObserveOutcome(true, now)
	case breaker.Rejection:
		endpoint.Rejections.Add(1)
	}
}
