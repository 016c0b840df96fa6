package main

import (
	"encoding/csv"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/juju/errors"
)

// report collects the results of all runs.
type report struct {
	runs           []*runResult
	addedLatencies []*addedLatency
}

func (rep *report) addRun(r *runResult) {
	rep.runs = append(rep.runs, r)
	res := r.loadResult
	fmt.Printf("%-11s %-13s %-10s #%d %s p50 %6.1f p99 %6.1f p99.9 %6.1f ms missed %5.2f%% good %5.0f/s attempts %.3f odd %.2f probes/call %.4f lag %v %v\n",
		r.site, r.scenario, r.policy, r.repeat, options.label, milliseconds(res.P50()), milliseconds(res.P99()), milliseconds(res.P999()), 100*r.missedShare(),
		res.Goodput(), res.AttemptsPerCall(), r.firstServerShare, r.probesPerCall(), res.MaxStartDelay.Round(time.Millisecond), res.CallsByOutcome)
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

func (r *runResult) missedShare() float64 {
	return float64(r.loadResult.MissedDeadline) / float64(max(r.loadResult.Sent+r.loadResult.Dropped, 1))
}

func (r *runResult) probesPerCall() float64 { return r.probes / float64(max(r.loadResult.Sent, 1)) }

// write creates runs.csv, targets.csv and one plot per site.
func (rep *report) write(dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return errors.Trace(err)
	}
	if err := writeCSV(filepath.Join(dir, "runs.csv"), rep.runTable()); err != nil {
		return errors.Trace(err)
	}
	if err := writeCSV(filepath.Join(dir, "targets.csv"), rep.targetTable()); err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(rep.plotSites(dir))
}

func writeCSV(path string, records [][]string) error {
	file, err := os.Create(path)
	if err != nil {
		return errors.Trace(err)
	}
	w := csv.NewWriter(file)
	if err := w.WriteAll(records); err != nil {
		_ = file.Close()
		return errors.Trace(err)
	}
	return errors.Trace(file.Close())
}

func (rep *report) runTable() [][]string {
	table := [][]string{{
		"label", "shape", "scenario", "policy", "repeat", "seed", "load", "sent", "goodput_per_s", "p50_ms", "p99_ms",
		"p999_ms", "missed_share", "attempts_per_call", "probes_per_call", "probe_bytes_per_call", "odd_server_share", "max_lag_ms",
	}}
	for _, r := range rep.runs {
		res := r.loadResult
		table = append(table, []string{
			options.label, r.site, r.scenario, r.policy, fmt.Sprint(r.repeat), fmt.Sprint(r.seed), fmt.Sprint(r.loadFactor),
			fmt.Sprint(res.Sent), formatNumber(res.Goodput()), formatNumber(milliseconds(res.P50())), formatNumber(milliseconds(res.P99())), formatNumber(milliseconds(res.P999())),
			formatNumber(r.missedShare()), formatNumber(res.AttemptsPerCall()), formatNumber(r.probesPerCall()),
			formatNumber(r.probeBytes / float64(max(res.Sent, 1))), formatNumber(r.firstServerShare), formatNumber(milliseconds(res.MaxStartDelay)),
		})
	}
	return table
}

func formatNumber(v float64) string { return fmt.Sprintf("%.4f", v) }

// findRun returns the result of a run, or nil if it was not made.
func (rep *report) findRun(site, scenario, policy string, repeat int) *runResult {
	for _, r := range rep.runs {
		if r.site == site && r.scenario == scenario && r.policy == policy && r.repeat == repeat {
			return r
		}
	}
	return nil
}

// summary holds the median and the range of repeated measurements.
type summary struct{ median, low, high float64 }

// summarize reports false if there are no values.
func summarize(values []float64) (summary, bool) {
	if len(values) == 0 {
		return summary{}, false
	}
	sorted := slices.Sorted(slices.Values(values))
	return summary{median: sorted[len(sorted)/2], low: sorted[0], high: sorted[len(sorted)-1]}, true
}

// ratiosOf returns, for each repeat in which both runs were made, the metric of run
// a divided by that of run b. A run is identified by its scenario and policy.
func (rep *report) ratiosOf(site string, a, b [2]string, metric func(*runResult) float64) []float64 {
	var values []float64
	for repeat := range options.repeats {
		x, y := rep.findRun(site, a[0], a[1], repeat), rep.findRun(site, b[0], b[1], repeat)
		if x != nil && y != nil && metric(y) > 0 {
			values = append(values, metric(x)/metric(y))
		}
	}
	return values
}

// valuesOf returns the metric of a run for each repeat.
func (rep *report) valuesOf(site, scenario, policy string, metric func(*runResult) float64) []float64 {
	var values []float64
	for repeat := range options.repeats {
		if r := rep.findRun(site, scenario, policy, repeat); r != nil {
			values = append(values, metric(r))
		}
	}
	return values
}

func p99Millis(r *runResult) float64        { return milliseconds(r.loadResult.P99()) }
func goodput(r *runResult) float64          { return r.loadResult.Goodput() }
func attemptsPerCall(r *runResult) float64  { return r.loadResult.AttemptsPerCall() }
func firstServerShare(r *runResult) float64 { return r.firstServerShare }

// performanceTarget is a target of section 1.3 of the design page with the values
// measured for it, one per repeat.
type performanceTarget struct {
	name   string
	values []float64
	bound  float64
	// atLeast is set if bound is a lower bound; it is an upper bound otherwise.
	atLeast bool
}

func (rep *report) performanceTargets(site string) []performanceTarget {
	const policyUnderTest = "hotcold"
	var addedMillis []float64
	for _, a := range rep.addedLatencies {
		if a.site == site {
			addedMillis = append(addedMillis, milliseconds(a.meshP99-a.directP99))
		}
	}
	return []performanceTarget{
		{"p99 at 75 % over random", rep.ratiosOf(site, [2]string{"swings-75", policyUnderTest}, [2]string{"swings-75", "random"}, p99Millis), 0.5, false},
		{"p99 at 75 % over twochoices", rep.ratiosOf(site, [2]string{"swings-75", policyUnderTest}, [2]string{"swings-75", "twochoices"}, p99Millis), 0.8, false},
		{"p99 at 75 % over random, hedged", rep.ratiosOf(site, [2]string{"swings-75", policyUnderTest + hedgeSuffix}, [2]string{"swings-75", "random"}, p99Millis), 0.5, false},
		{"p99 at 75 % over twochoices, hedged", rep.ratiosOf(site, [2]string{"swings-75", policyUnderTest + hedgeSuffix}, [2]string{"swings-75", "twochoices"}, p99Millis), 0.8, false},
		{"probes per call at 75 %", rep.valuesOf(site, "swings-75", policyUnderTest, (*runResult).probesPerCall), 0.5, false},
		{"attempts per call in overload", rep.valuesOf(site, "overload", policyUnderTest, attemptsPerCall), 1.1, false},
		{"goodput at 2x over capacity", rep.ratiosOf(site, [2]string{"overload", policyUnderTest}, [2]string{"capacity", policyUnderTest}, goodput), 0.9, true},
		{"share of a server that fails fast", rep.valuesOf(site, "fails-fast", policyUnderTest, firstServerShare), 1, false},
		{"share of a server with false load", rep.valuesOf(site, "false-report", policyUnderTest, firstServerShare), 1.05, false},
		{"p99 added by the mesh in ms", addedMillis, 1.6, false},
	}
}

// verdict compares the median of the values with the bound.
func (t *performanceTarget) verdict(observed summary) string {
	met := observed.median <= t.bound
	if t.atLeast {
		met = observed.median >= t.bound
	}
	if met {
		return "met"
	}
	return "missed"
}

func (rep *report) targetTable() [][]string {
	table := [][]string{{"label", "shape", "target", "bound", "median", "lowest", "highest", "verdict"}}
	for i := range sites {
		for _, t := range rep.performanceTargets(sites[i].name) {
			observed, ok := summarize(t.values)
			if !ok {
				continue
			}
			record := []string{
				options.label, sites[i].name, t.name, formatNumber(t.bound), formatNumber(observed.median), formatNumber(observed.low), formatNumber(observed.high), t.verdict(observed),
			}
			fmt.Println(record)
			table = append(table, record)
		}
	}
	return table
}
