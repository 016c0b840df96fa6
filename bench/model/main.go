// Command model simulates callers, executors and backend servers that use the
// decisions of the platform's path, and prints the outcome of the calls under
// each policy. It models decisions, not processes or networks, so the users'
// own benchmark has the last word.
package main

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/integrii/flaggy"
	"github.com/juju/errors"
)

// lateAnswerValue is the value of an answer after the objective, relative to one
// in time.
const lateAnswerValue = 0.1

func main() {
	pattern, seed := "bench/model/scenarios/*.ini", uint64(1)
	flaggy.SetName("model")
	flaggy.SetDescription("play loads against the decisions and compare policies")
	flaggy.DefaultParser.ShowCompletion = false
	flaggy.String(&pattern, "s", "scenarios", "scenario files, a pattern")
	flaggy.UInt64(&seed, "r", "seed", "seed of the run")
	flaggy.Parse()
	if err := run(pattern, seed); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
}

func run(pattern string, seed uint64) error {
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
		r := outcomes[class.name]
		total := float64(max(1, r.total))
		fmt.Printf("  %s: %.3f in time, %.3f late, %.3f refused, %.3f failed", class.name,
			float64(r.onTime)/total, float64(r.late)/total, float64(r.refused)/total, float64(r.failed)/total)
	}
	fmt.Println()
}

// earnedShare returns the value of the answered calls relative to the value if
// all calls had been answered in time.
func earnedShare(s *scenario, outcomes map[string]*outcomeCounts) float64 {
	earned, possible := 0.0, 0.0
	for _, class := range s.callClasses {
		r := outcomes[class.name]
		earned += class.value * (float64(r.onTime) + lateAnswerValue*float64(r.late))
		possible += class.value * float64(r.total)
	}
	return earned / possible
}
