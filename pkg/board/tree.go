package board

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

// TreeBudget is the part of a call tree's budget of additional attempts that
// this node holds. A part is handed down with each call and what is left of it
// returns with the answer, so that no attempt is spent twice.
type TreeBudget struct {
	// Deadline is the deadline of the tree; zero means none.
	Deadline time.Time

	left atomic.Int64
	refs atomic.Int64
}

// NewTreeBudget returns a budget of attempts.
func NewTreeBudget(attempts int) *TreeBudget {
	t := &TreeBudget{}
	t.left.Store(int64(max(0, attempts)))
	return t
}

// Left returns the attempts that are left at this node.
func (t *TreeBudget) Left() int { return int(t.left.Load()) }

// Take removes up to n attempts and returns how many it removed.
func (t *TreeBudget) Take(n int) int {
	for {
		old := t.left.Load()
		taken := min(old, int64(n))
		if taken <= 0 {
			return 0
		}
		if t.left.CompareAndSwap(old, old-taken) {
			return int(taken)
		}
	}
}

// Return returns n attempts.
func (t *TreeBudget) Return(n int) {
	if n > 0 {
		t.left.Add(int64(n))
	}
}

// Delegate removes the larger half of what is left, to be handed down with a call.
// The rest stays for a hedge or a sibling of the call.
func (t *TreeBudget) Delegate() int { return t.Take((t.Left() + 1) / 2) }

// Trees holds the budgets of the call trees that run at this executor. Nested
// calls enter at the same node and draw from them.
type Trees struct {
	byID sync.Map // of string to *TreeBudget
}

// Open adds the attempts that came with a call to the budget of its tree.
// Close must follow.
func (t *Trees) Open(id string, attempts int, deadline time.Time) *TreeBudget {
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
		// The last call of the tree closes it at this moment.
		t.byID.CompareAndDelete(id, tree)
	}
}

// retain adds a reference unless the budget is closed.
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

// Close takes back what is left of the attempts of a call and returns how many
// of them were used. A call that ends while attempts of the tree are lent out
// reports those as used; the tree's last call returns them, so that its result
// may be negative and the sum over the calls of the tree is what was spent.
func (t *Trees) Close(id string, tree *TreeBudget, attempts int) (used int) {
	used = attempts - tree.Take(attempts)
	if tree.refs.Add(-1) == 0 {
		t.byID.CompareAndDelete(id, tree)
		used -= tree.Take(math.MaxInt)
	}
	return used
}

// Find returns the budget of a tree that runs here, or nil.
func (t *Trees) Find(id string) *TreeBudget {
	if tree, ok := t.byID.Load(id); ok {
		return tree.(*TreeBudget)
	}
	return nil
}
