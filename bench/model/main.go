// Command model plays loads against the decisions of the platform's path in a
// small simulation of callers, executors and backend servers, and prints what
// callers get under each policy. It models decisions, not processes or
// networks; the users' bench decides.
package main

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/integrii/flaggy"
	"github.com/juju/errors"
)

// lateAnswerValue is the part of its worth that a late answer keeps.
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

// printRow prints the share of the worth that is earned, and for each kind the
// shares in time, late, refused and failed.
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

// earnedShare returns the part of the worth of all calls that was earnedShare.
func earnedShare(s *scenario, outcomes map[string]*outcomeCounts) float64 {
	earned, possible := 0.0, 0.0
	for _, class := range s.callClasses {
		r := outcomes[class.name]
		earned += class.value * (float64(r.onTime) + lateAnswerValue*float64(r.late))
		possible += class.value * float64(r.total)
	}
	return earned / possible
}
