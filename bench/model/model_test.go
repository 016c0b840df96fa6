package main

import (
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

func earnedShareByPolicy(t *testing.T, name string) map[string]float64 {
	t.Helper()
	s, err := loadScenario(filepath.Join("scenarios", name))
	require.NoError(t, err)
	shares := map[string]float64{}
	for _, p := range policies {
		shares[p.name] = earnedShare(s, simulate(s, p, 1))
	}
	return shares
}

// Plays a site on noisy hosts, near and above its limit. Guards against
// decisions under which callers get less than from simpler ones.
func TestPolicyInUseEarnsAtLeastAsMuchAsOthers(t *testing.T) {
	for _, name := range []string{"noisy.ini", "overload.ini", "knee.ini"} {
		t.Run(name, func(t *testing.T) {
			shares := earnedShareByPolicy(t, name)
			for _, p := range policies {
				require.GreaterOrEqual(t, shares["in use"]+0.02, shares[p.name], p.name)
			}
			require.Greater(t, shares["in use"], shares["random, fifo"])
		})
	}
}

// Guards against runs that differ with the same seed.
func TestSameSeedGivesSameOutcomes(t *testing.T) {
	s, err := loadScenario(filepath.Join("scenarios", "noisy.ini"))
	require.NoError(t, err)
	last := policies[len(policies)-1]
	require.Equal(t, simulate(s, last, 7), simulate(s, last, 7))
}

// Guards against a scenario with a mistake that is played in part.
func TestInvalidScenarioIsRejected(t *testing.T) {
	_, err := loadScenario(filepath.Join("testdata", "mistake.ini"))
	require.ErrorContains(t, err, "mistake.ini:4")
}
