package main

import (
	"path/filepath"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func loadDomains(t *testing.T) *scenario {
	t.Helper()
	s, err := loadScenario(filepath.Join("scenarios", "domains", "uneven.ini"))
	require.NoError(t, err)
	return s
}

// policyInUse returns the policy of the product.
func policyInUse() domainPolicy { return domainPolicies[len(domainPolicies)-1] }

func runDomains(s *scenario, p domainPolicy, nodes int, age time.Duration) *domainResult {
	return newDomainSim(s, fleetVariant{nodes, age}, p, 1).run(nil)
}

// Guards against a domain with too few servers whose callers are served worse than
// others, and against calls that leave without need: more than twice the share that
// the capacity of their domain requires, with a tenth of all calls for noisy servers.
func TestDomainsAreServedEvenlyUnderUnevenDemand(t *testing.T) {
	s := loadDomains(t)
	servers, demand := 0.0, 0.0
	for _, d := range s.domains {
		servers, demand = servers+d.servers, demand+d.demand
	}
	required := 0.0
	for _, d := range s.domains {
		peak := s.load * d.demand / demand * (1 + s.waveShare)
		required += max(0, peak-d.servers/servers) / s.load
	}
	for _, age := range reportAges {
		t.Run(age.String(), func(t *testing.T) {
			r := runDomains(s, policyInUse(), 70, age)
			mean := float64(sum(r.inTime)) / float64(sum(r.total))
			require.Greater(t, mean, 0.9)
			for d := range s.domains {
				require.Greater(t, r.inTimeShare(d), 0.95*mean, s.domains[d].name)
			}
			require.Less(t, r.leftShare(), 0.1+2*required)
		})
	}
}

// Guards against a flow between domains that goes to and fro because all entries
// follow the same old reports. With 70 nodes, a domain has 75 to 95 calls in a window,
// so that drawing alone changes a share of 0.2 by 5 points on average, and the waves of
// the demand change it by another 2.
func TestFlowDoesNotSwing(t *testing.T) {
	for _, shared := range []bool{false, true} {
		for _, age := range reportAges {
			t.Run(age.String()+", shared "+strconv.FormatBool(shared), func(t *testing.T) {
				s := loadDomains(t)
				s.sharedReports = shared
				require.Less(t, runDomains(s, policyInUse(), 70, age).swing, 7.0)
			})
		}
	}
}

// Guards against callers that are not served because their domain has no server.
func TestDomainWithoutServers(t *testing.T) {
	s := loadDomains(t)
	s.domains[1].servers = 0
	s.load = 0.5
	r := runDomains(s, policyInUse(), 70, 100*time.Millisecond)
	require.Greater(t, r.inTimeShare(1), 0.9)
	require.InDelta(t, r.total[1], r.left[1], 0.1*float64(r.total[1]))
}

// Guards against callers that are answered with errors or late because the servers of
// their domain fail, and against calls that do not return afterwards.
func TestDomainWhoseServersFail(t *testing.T) {
	s := loadDomains(t)
	s.load = 0.4
	const from, to = 3 * time.Second, 5 * time.Second
	sim := newDomainSim(s, fleetVariant{70, 100 * time.Millisecond}, policyInUse(), 1)
	var leftBefore, leftAtEnd, totalAtEnd int
	r := sim.run(func(elapsed time.Duration) {
		for _, srv := range sim.servers {
			srv.failing = srv.domain == 0 && elapsed >= from && elapsed < to
		}
		switch elapsed {
		case from:
			leftBefore = sim.result.left[0]
		case to + 2*time.Second:
			leftAtEnd, totalAtEnd = sim.result.left[0], sim.result.total[0]
		}
	})
	require.Greater(t, r.inTimeShare(0), 0.9)
	require.Greater(t, leftAtEnd, leftBefore)
	require.Less(t, float64(r.left[0]-leftAtEnd), 0.2*float64(r.total[0]-totalAtEnd))
}

// Guards against runs with the same seed whose outcomes differ.
func TestSameSeedGivesSameDomainOutcomes(t *testing.T) {
	s := loadDomains(t)
	s.duration = 2 * time.Second
	require.Equal(t, runDomains(s, policyInUse(), 70, 100*time.Millisecond), runDomains(s, policyInUse(), 70, 100*time.Millisecond))
}
