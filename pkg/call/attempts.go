package call

import (
	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/decide/retry"
	"mangostand.example/mangostand/pkg/dynconf"
	"mangostand.example/mangostand/pkg/metrics"
)

// maxAttempts bounds the attempts of one call, the first included.
const maxAttempts = 3

// discard takes the counts of an entry or executor that runs without a node.
var discard = metrics.Discard(len(board.OutcomeNames()))

func (e *Entry) traffic() *metrics.Traffic {
	if e.Metrics == nil {
		return discard
	}
	return e.Metrics
}

// openAttempts finds the attempt budget and the deadline of the call's tree. A
// nested call draws from the budget of the call that runs at this node; a call
// at the root of a tree starts a budget.
func (e *Entry) openAttempts(req *Request, config *dynconf.Config) {
	if req.TreeID != "" {
		if tree := e.Board.TreeBudgets.Find(req.TreeID); tree != nil {
			req.attempts = tree
			if !tree.Deadline.IsZero() && tree.Deadline.Before(req.Deadline) {
				req.Deadline = tree.Deadline
			}
			return
		}
	} else {
		req.TreeID = req.ID
	}
	n := config.Retries.MaxPerCallTree
	if req.AttemptsLeft >= 0 {
		n = min(n, req.AttemptsLeft)
	}
	req.attempts = board.NewTreeBudget(n)
}

// takeAttempt pays for one more attempt of a call after its last attempt
// ended with last. It returns false when the rules or the budgets allow none.
// The steps of a call at its entry use it before each attempt but the first.
func (e *Entry) takeAttempt(req *Request, idempotent bool, last *Result) bool {
	if !retry.Allowed(idempotent, last.Outcome, last.Reason) {
		return false
	}
	if !e.pay(req, retry.NeedsToken(last.Outcome, last.Reason)) {
		return false
	}
	e.traffic().Retries.Inc(1)
	return true
}

// takeHedge pays for a second attempt beside a running one.
func (e *Entry) takeHedge(req *Request) bool {
	if !e.pay(req, true) {
		return false
	}
	e.traffic().Hedges.Inc(1)
	return true
}

// pay spends an attempt of the tree and, if asked, a token of the service.
func (e *Entry) pay(req *Request, token bool) bool {
	if req.attempts.Take(1) == 0 {
		return false
	}
	service := e.Board.Budgets.Load().RetryByService[req.Service]
	if token && service != nil && !service.Take() {
		req.attempts.Return(1)
		return false
	}
	req.used.Add(1)
	return true
}

// settle takes back what an attempt has left of the attempts lent to it.
// Without an answer none return, since the nested calls may still spend them;
// they are not reported as used.
func settle(a *Attempt, result *Result) {
	if result.Outcome == board.OutcomeUnknown && !result.answered {
		return
	}
	used := max(-maxCarried, min(a.lent, result.AttemptsUsed))
	a.Request.attempts.Return(a.lent - used)
	a.Request.used.Add(int64(used))
}
