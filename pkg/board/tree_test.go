package board

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a call tree that spends more attempts than its budget, over 7
// levels with several nested calls at once on each.
func TestTreeNeverSpendsMoreThanItsBudget(t *testing.T) {
	for seed := range uint64(50) {
		const budget = 3
		nodes := make([]Trees, 4)
		var spent atomic.Int64
		root := NewTreeBudget(budget)
		used := callTree(nodes, root, 7, seed, &spent)
		require.LessOrEqual(t, spent.Load(), int64(budget), "seed %d", seed)
		require.Equal(t, spent.Load(), int64(used), "seed %d", seed)
		require.Equal(t, budget-used, root.Left(), "seed %d", seed)
		for i := range nodes {
			require.Nil(t, nodes[i].Find("tree"), "seed %d", seed)
		}
	}
}

// callTree makes two nested calls at once from a budget. Each tries to spend
// an attempt before it is sent.
func callTree(nodes []Trees, from *TreeBudget, depth int, seed uint64, spent *atomic.Int64) (used int) {
	if depth == 0 {
		return 0
	}
	var total atomic.Int64
	var group sync.WaitGroup
	for branch := range uint64(2) {
		branchSeed := seed*31 + branch + uint64(depth)
		group.Go(func() {
			random := rand.New(rand.NewPCG(branchSeed, 1))
			if random.IntN(2) == 0 && from.Take(1) == 1 {
				spent.Add(1)
				total.Add(1)
			}
			executor := &nodes[random.IntN(len(nodes))]
			lent := from.Delegate()
			tree := executor.Open("tree", lent, time.Time{})
			callTree(nodes, tree, depth-1, branchSeed, spent)
			usedThere := executor.Close("tree", tree, lent)
			from.Return(lent - usedThere)
			total.Add(int64(usedThere))
		})
	}
	group.Wait()
	return int(total.Load())
}

// Guards against a budget that outlives its tree, or is closed under a call
// that just joined it.
func TestTreeEndsWithItsLastCall(t *testing.T) {
	var trees Trees
	first := trees.Open("t", 2, time.Time{})
	second := trees.Open("t", 1, time.Time{})
	require.Same(t, first, second)
	require.Equal(t, 3, first.Left())
	require.Zero(t, trees.Close("t", first, 2))
	require.NotNil(t, trees.Find("t"))
	require.Equal(t, 1, second.Take(1))
	require.Equal(t, 1, trees.Close("t", second, 1))
	require.Nil(t, trees.Find("t"))
}

// Guards against attempts that are lost when a call ends while the attempts of
// its tree are lent to a sibling's nested calls.
func TestLastCallReturnsWhatWasLentOut(t *testing.T) {
	var trees Trees
	tree := trees.Open("t", 2, time.Time{})
	trees.Open("t", 1, time.Time{})
	lent := tree.Take(3)
	require.Equal(t, 3, lent)
	used := trees.Close("t", tree, 1)
	tree.Return(lent)
	used += trees.Close("t", tree, 2)
	require.Zero(t, used, "no attempt was spent")
}
