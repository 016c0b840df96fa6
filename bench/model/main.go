// Command model simulates callers, executors and backend servers that use the
// decisions of the platform's path, and prints the outcome of the calls under
// each policy. It does not model processes or networks, so its results have to
// be confirmed with the users' benchmark of the whole system.
package main

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/integrii/flaggy"
	"github.com/juju/errors"
)

// lateResponseValue is the value of a response after the objective, relative to a
// response in time.
const lateResponseValue = 0.1

func main() {
	pattern, seed := "bench/model/scenarios/*.ini", uint64(1)
	var fleetSizes []int
	flaggy.SetName("model")
	flaggy.SetDescription("play loads against the decisions and compare policies")
	flaggy.DefaultParser.ShowCompletion = false
	flaggy.String(&pattern, "s", "scenarios", "scenario files, a pattern; those with failure domains are in bench/model/scenarios/domains and take some minutes")
	flaggy.UInt64(&seed, "r", "seed", "seed of the run")
	flaggy.IntSlice(&fleetSizes, "n", "nodes", "sizes of the fleet for scenarios with failure domains")
	flaggy.Parse()
	if len(fleetSizes) == 0 {
		fleetSizes = defaultFleetSizes
	}
	if err := run(pattern, seed, fleetSizes); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
}

func run(pattern string, seed uint64, sizes []int) error {
	files, err := filepath.Glob(pattern)
	if err != nil {
		return errors.Trace(err)
	}
	if len(files) == 0 {
		return errors.Errorf("no scenario matches %s", pattern)
	}
	for _, file := range files {
		s, err := loadScenario(file)
		if err != nil {
			return errors.Trace(err)
		}
		fmt.Printf("%s, seed %d\n", filepath.Base(file), seed)
		if len(s.domains) > 0 {
			printDomainTable(s, sizes, seed)
			continue
		}
		for _, p := range policies {
			printRow(s, p, simulate(s, p, seed))
		}
	}
	return nil
}

// printRow prints the earned share of the value of all calls, and for each call
// class the shares of calls in time, late, refused and failed.
func printRow(s *scenario, p policy, outcomes map[string]*outcomeCounts) {
	fmt.Printf("  %-28s worth %.3f", p.name, earnedShare(s, outcomes))
	for _, class := range s.callClasses {
		counts := outcomes[class.name]
		total := float64(max(1, counts.total))
		fmt.Printf("  %s: %.3f in time, %.3f late, %.3f refused, %.3f failed", class.name,
			float64(counts.onTime)/total, float64(counts.late)/total, float64(counts.refused)/total, float64(counts.failed)/total)
	}
	fmt.Println()
}

// earnedShare returns the value of all responses, relative to their value if each
// call had received its response in time.
func earnedShare(s *scenario, outcomes map[string]*outcomeCounts) float64 {
	earned, possible := 0.0, 0.0
	for _, class := range s.callClasses {
		counts := outcomes[class.name]
		earned += class.value * (float64(counts.onTime) + lateResponseValue*float64(counts.late))
		possible += class.value * float64(counts.total)
	}
	return earned / possible
}
