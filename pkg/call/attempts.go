package call

import (
	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/decide/retry"
	"mangostand.example/mangostand/pkg/dynconf"
	"mangostand.example/mangostand/pkg/metrics"
)

// maxAttempts bounds the attempts of one call, the first included.
const maxAttempts = 3

// discardMetrics takes the counts of an entry or executor that runs without a node.
var discardMetrics = metrics.Discard(len(board.OutcomeNames()))

func (e *Entry) metricsOrDiscard() *metrics.Traffic {
	if e.Metrics == nil {
		return discardMetrics
	}
	return e.Metrics
}

// joinCallTree finds the attempt budget and the deadline of the call's tree. A
// nested call draws from the budget of the call that runs at this node; a call
// at the root of a tree starts a budget.
func (e *Entry) joinCallTree(req *Request, config *dynconf.Config) {
	if req.TreeID != "" {
		if tree := e.Board.Trees.Find(req.TreeID); tree != nil {
			req.attemptBudget = tree
			if !tree.Deadline.IsZero() && tree.Deadline.Before(req.Deadline) {
				req.Deadline = tree.Deadline
			}
			return
		}
	} else {
		req.TreeID = req.ID
	}
	budget := config.Retries.PerTree
	if req.AttemptsLeft >= 0 {
		budget = min(budget, req.AttemptsLeft)
	}
	req.attemptBudget = board.NewTreeBudget(budget)
}

// chargeRetry pays for one more attempt of a call after its last attempt
// ended with last. It returns false when the rules or the budgets allow none.
// The steps of a call at its entry use it before each attempt but the first.
func (e *Entry) chargeRetry(req *Request, idempotent bool, lastResult *Result) bool {
	if !retry.Allowed(idempotent, lastResult.Outcome, lastResult.Reason) {
		return false
	}
	if !e.chargeAttempt(req, retry.NeedsToken(lastResult.Outcome, lastResult.Reason)) {
		return false
	}
	e.metricsOrDiscard().Retries.Inc(1)
	return true
}

// chargeHedge pays for a second attempt beside a running one.
func (e *Entry) chargeHedge(req *Request) bool {
	if !e.chargeAttempt(req, true) {
		return false
	}
	e.metricsOrDiscard().Hedges.Inc(1)
	return true
}

// chargeAttempt spends an attempt of the tree and, if asked, a token of the service.
func (e *Entry) chargeAttempt(req *Request, needsToken bool) bool {
	if req.attemptBudget.Take(1) == 0 {
		return false
	}
	retryBudget := e.Board.Budgets.Load().ByService[req.Service]
	if needsToken && retryBudget != nil && !retryBudget.Take() {
		req.attemptBudget.Give(1)
		return false
	}
	req.attemptsUsed.Add(1)
	return true
}

// returnUnusedAttempts takes back what an attempt has left of the attempts lent to it.
// Without an answer none return, since the nested calls may still spend them;
// they are not reported as used.
func returnUnusedAttempts(a *Attempt, result *Result) {
	if result.Outcome == board.OutcomeUnknown && !result.fromExecutor {
		return
	}
	used := max(-maxEncodedAttempts, min(a.delegatedAttempts, result.AttemptsUsed))
	a.Request.attemptBudget.Give(a.delegatedAttempts - used)
	a.Request.attemptsUsed.Add(int64(used))
}
