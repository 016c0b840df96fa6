package quota

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangostand.example/mangostand/pkg/decide/quota"
	"mangostand.example/mangostand/pkg/dynconf"
)

// Guards against a change to one of the simpler options of docs/design/quotas.md: each
// of them refuses customers below their quota, because single requests of small
// customers arrive at any node.
func TestSimplerOptionsRefuseCustomersBelowTheirQuota(t *testing.T) {
	for _, size := range []int{74, 300} {
		equal := playOption(size, equalParts)
		shares := playOption(size, sharesByDemand)
		t.Logf("%d nodes, refused below the quota: equal parts %.3f, shares by demand %.3f", size, equal, shares)
		require.Greater(t, equal, 0.1)
		require.Greater(t, shares, 0.1)
	}
}

// optionNode is what a node holds of a customer.
type optionNode struct {
	tokens, rate, capacity, demand float64
	arrived                        int
}

// equalParts gives each node the same part of the quota and of the capacity.
func equalParts(nodes []optionNode, q dynconf.RequestQuota) {
	for i := range nodes {
		nodes[i].rate, nodes[i].capacity = q.Rate/float64(len(nodes)), max(1, testLimits.Capacity(q)/float64(len(nodes)))
	}
}

// sharesByDemand gives each node the part of the quota that corresponds to its demand.
func sharesByDemand(nodes []optionNode, q dynconf.RequestQuota) {
	sum := 0.0
	for i := range nodes {
		sum += nodes[i].demand
	}
	for i := range nodes {
		share := nodes[i].demand / max(sum, 1e-9)
		nodes[i].rate, nodes[i].capacity = q.Rate*share, max(1, testLimits.Capacity(q)*share)
	}
}

// playOption returns the part of the requests that is refused at 1/1.6 of the quota. The
// shares are set once per second, at no cost of messages.
func playOption(size int, share func([]optionNode, dynconf.RequestQuota)) float64 {
	const step = 10 * time.Millisecond
	random := rand.New(rand.NewPCG(1, uint64(size)))
	requests, refused := 0, 0
	quotas := zipfQuotas(2)
	for customer := range len(quotas) {
		q := quotas[fmt.Sprintf("customer-%d", customer)]
		nodes := make([]optionNode, size)
		cumulated, sum := make([]float64, size), 0.0
		for i := range nodes {
			sum += math.Pow(random.ExpFloat64(), 2)
			cumulated[i] = sum
		}
		next := time.Duration(0)
		for now := time.Duration(0); now < 40*time.Second; now += step {
			if now%time.Second == 0 {
				for i := range nodes {
					nodes[i].demand = quota.UpdateDemand(nodes[i].demand, int64(nodes[i].arrived), time.Second)
					nodes[i].arrived = 0
				}
				share(nodes, q)
			}
			for i := range nodes {
				nodes[i].tokens = min(nodes[i].capacity, nodes[i].tokens+nodes[i].rate*step.Seconds())
			}
			for ; next <= now; next += time.Duration(random.ExpFloat64() / (q.Rate / 1.6) * float64(time.Second)) {
				x, i := random.Float64()*sum, 0
				for cumulated[i] < x {
					i++
				}
				nodes[i].arrived++
				if now < 10*time.Second {
					nodes[i].tokens = max(0, nodes[i].tokens-1)
					continue
				}
				requests++
				if nodes[i].tokens < 1 {
					refused++
				} else {
					nodes[i].tokens--
				}
			}
		}
	}
	return float64(refused) / float64(requests)
}
