package call

import (
	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/decide/retry"
	"mangostand.example/mangostand/pkg/dynconf"
	"mangostand.example/mangostand/pkg/metrics"
)

// maxAttempts is the maximum number of attempts of one call, including the
// first one.
const maxAttempts = 3

// discardMetrics drops the counts of an entry or executor without metrics.
var discardMetrics = metrics.NewNoopTrafficMetrics(len(board.OutcomeNames()))

// metricsOrDiscard returns the counters of the entry, or ones that drop their
// counts if it has none.
func (e *Entry) metricsOrDiscard() *metrics.TrafficMetrics {
	if e.Metrics == nil {
		return discardMetrics
	}
	return e.Metrics
}

// joinCallTree sets the attempt budget of a call and limits its deadline to
// that of its call tree. A nested call shares the budget of its tree if a call
// of the tree runs on this node. Any other call gets a new budget.
func (e *Entry) joinCallTree(req *Request, config *dynconf.Config) {
	if req.TreeID != "" {
		if tree := e.Board.TreeBudgets.Find(req.TreeID); tree != nil {
			req.attemptBudget = tree
			if !tree.Deadline.IsZero() && tree.Deadline.Before(req.Deadline) {
				req.Deadline = tree.Deadline
			}
			return
		}
	} else {
		req.TreeID = req.ID
	}
	budget := config.Retries.MaxPerCallTree
	if req.AttemptsLeft >= 0 {
		budget = min(budget, req.AttemptsLeft)
	}
	req.attemptBudget = board.NewTreeBudget(budget)
}

// chargeRetry takes one retry from the budgets after an attempt that ended
// with lastResult. It returns false if the retry rules or the budgets allow
// none. It must be called before each attempt except the first.
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

// chargeHedge takes one hedge, a concurrent second attempt, from the budgets.
// It returns false if they do not allow one.
func (e *Entry) chargeHedge(req *Request) bool {
	if !e.chargeAttempt(req, true) {
		return false
	}
	e.metricsOrDiscard().Hedges.Inc(1)
	return true
}

// chargeAttempt takes one attempt from the budget of the call tree and, if
// needsToken is set, a token from the retry budget of the service. It returns
// false, and takes nothing, if one of them is empty.
func (e *Entry) chargeAttempt(req *Request, needsToken bool) bool {
	if req.attemptBudget.Take(1) == 0 {
		return false
	}
	retryBudget := e.Board.Budgets.Load().RetryByService[req.Service]
	if needsToken && retryBudget != nil && !retryBudget.Take() {
		req.attemptBudget.Return(1)
		return false
	}
	req.attemptsUsed.Add(1)
	return true
}

// returnUnusedAttempts returns to the budget what an attempt has not used of
// the additional attempts delegated to it. Without a response from the
// executor none are returned, since the nested calls may still use them; they
// are not counted as used either.
func returnUnusedAttempts(a *Attempt, result *Result) {
	if result.Outcome == board.OutcomeUnknown && !result.fromExecutor {
		return
	}
	used := max(-maxEncodedAttempts, min(a.delegatedAttempts, result.AttemptsUsed))
	a.Request.attemptBudget.Return(a.delegatedAttempts - used)
	a.Request.attemptsUsed.Add(int64(used))
}
