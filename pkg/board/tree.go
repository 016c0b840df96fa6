package board

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

// TreeBudget is the part of a call tree's budget of additional attempts that this
// node holds. Each outgoing call carries a part of it and returns the unused rest
// with the response, so that no attempt is spent twice.
type TreeBudget struct {
	// Deadline is the deadline of the call tree, zero when it has none.
	Deadline time.Time

	remaining atomic.Int64
	refs      atomic.Int64
}

// NewTreeBudget returns a budget with the number of attempts.
func NewTreeBudget(attempts int) *TreeBudget {
	t := &TreeBudget{}
	t.remaining.Store(int64(max(0, attempts)))
	return t
}

// Remaining returns the number of attempts left at this node.
func (t *TreeBudget) Remaining() int { return int(t.remaining.Load()) }

// Take removes up to n attempts and returns the number removed.
func (t *TreeBudget) Take(n int) int {
	for {
		old := t.remaining.Load()
		taken := min(old, int64(n))
		if taken <= 0 {
			return 0
		}
		if t.remaining.CompareAndSwap(old, old-taken) {
			return int(taken)
		}
	}
}

// Return gives n attempts back to the budget.
func (t *TreeBudget) Return(n int) {
	if n > 0 {
		t.remaining.Add(int64(n))
	}
}

// Delegate removes half of the remaining attempts, rounded up, for an outgoing
// call to carry, and returns their number. The rest remains for a hedge or for
// other calls of the tree.
func (t *TreeBudget) Delegate() int { return t.Take((t.Remaining() + 1) / 2) }

// TreeBudgets holds the budgets of the call trees with calls running at this
// executor. The nested calls of the backend server enter at the same node and
// draw from these budgets.
type TreeBudgets struct {
	byID sync.Map // of string to *TreeBudget
}

// Open adds the attempts that an incoming call carries to the budget of its tree,
// and references the budget until Close.
func (t *TreeBudgets) Open(id string, attempts int, deadline time.Time) *TreeBudget {
	for {
		fresh := NewTreeBudget(0)
		fresh.Deadline = deadline
		fresh.refs.Store(1)
		actual, loaded := t.byID.LoadOrStore(id, fresh)
		tree := actual.(*TreeBudget)
		if !loaded || tree.retain() {
			tree.Return(attempts)
			return tree
		}
		// The last call of the tree is closing this budget concurrently.
		t.byID.CompareAndDelete(id, tree)
	}
}

// retain adds a reference. It returns false when the budget is closed.
func (t *TreeBudget) retain() bool {
	for {
		refs := t.refs.Load()
		if refs == 0 {
			return false
		}
		if t.refs.CompareAndSwap(refs, refs+1) {
			return true
		}
	}
}

// Close removes the unused attempts of a call from the budget and returns how
// many were used. A call that ends while attempts of the tree are delegated to
// nested calls reports these as used. The last call of the tree returns whatever
// is left, so that its result may be negative and the results of all calls add
// up to the attempts spent.
func (t *TreeBudgets) Close(id string, tree *TreeBudget, attempts int) (used int) {
	used = attempts - tree.Take(attempts)
	if tree.refs.Add(-1) == 0 {
		t.byID.CompareAndDelete(id, tree)
		used -= tree.Take(math.MaxInt)
	}
	return used
}

// Find returns the budget of a call tree, or nil when none of its calls runs
// here.
func (t *TreeBudgets) Find(id string) *TreeBudget {
	if tree, ok := t.byID.Load(id); ok {
		return tree.(*TreeBudget)
	}
	return nil
}
