package board

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a call tree that spends more attempts than its budget, with 7
// levels of nested calls and two concurrent calls from each.
func TestCallTreeStaysWithinItsBudget(t *testing.T) {
	for seed := range uint64(50) {
		const budget = 3
		nodes := make([]TreeBudgets, 4)
		var spent atomic.Int64
		root := NewTreeBudget(budget)
		used := runCallTree(nodes, root, 7, seed, &spent)
		require.LessOrEqual(t, spent.Load(), int64(budget), "seed %d", seed)
		require.Equal(t, spent.Load(), int64(used), "seed %d", seed)
		require.Equal(t, budget-used, root.Remaining(), "seed %d", seed)
		for i := range nodes {
			require.Nil(t, nodes[i].Find("tree"), "seed %d", seed)
		}
	}
}

// runCallTree runs two concurrent calls with the budget of their parent, each
// with nested calls down to depth. Half of the calls spend an additional attempt
// first, if one is left. It returns the attempts reported as used.
func runCallTree(nodes []TreeBudgets, budget *TreeBudget, depth int, seed uint64, spent *atomic.Int64) (used int) {
	if depth == 0 {
		return 0
	}
	var total atomic.Int64
	var calls sync.WaitGroup
	for branch := range uint64(2) {
		branchSeed := seed*31 + branch + uint64(depth)
		calls.Go(func() {
			random := rand.New(rand.NewPCG(branchSeed, 1))
			if random.IntN(2) == 0 && budget.Take(1) == 1 {
				spent.Add(1)
				total.Add(1)
			}
			executor := &nodes[random.IntN(len(nodes))]
			delegated := budget.Delegate()
			tree := executor.Open("tree", delegated, time.Time{})
			runCallTree(nodes, tree, depth-1, branchSeed, spent)
			childUsed := executor.Close("tree", tree, delegated)
			budget.Return(delegated - childUsed)
			total.Add(int64(childUsed))
		})
	}
	calls.Wait()
	return int(total.Load())
}

// Guards against a budget that outlives its call tree, or that is closed while a
// call of the tree still uses it.
func TestTreeBudgetIsRemovedWithItsLastCall(t *testing.T) {
	var trees TreeBudgets
	first := trees.Open("t", 2, time.Time{})
	second := trees.Open("t", 1, time.Time{})
	require.Same(t, first, second)
	require.Equal(t, 3, first.Remaining())
	require.Zero(t, trees.Close("t", first, 2))
	require.NotNil(t, trees.Find("t"))
	require.Equal(t, 1, second.Take(1))
	require.Equal(t, 1, trees.Close("t", second, 1))
	require.Nil(t, trees.Find("t"))
}

// Guards against attempts that are counted as spent when a call ends while they
// are delegated to nested calls of a concurrent call.
func TestLastCallReturnsDelegatedAttempts(t *testing.T) {
	var trees TreeBudgets
	tree := trees.Open("t", 2, time.Time{})
	trees.Open("t", 1, time.Time{})
	delegated := tree.Take(3)
	require.Equal(t, 3, delegated)
	used := trees.Close("t", tree, 1)
	tree.Return(delegated)
	used += trees.Close("t", tree, 2)
	require.Zero(t, used, "no attempt was spent")
}
