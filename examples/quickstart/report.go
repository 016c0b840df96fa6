package main

import (
	"context"
	"fmt"
	"os"
	"slices"
	"sort"
	"text/tabwriter"
	"time"

	"github.com/juju/errors"

	"mangostand.example/mangostand/pkg/standin/executionlog"
)

// report prints the tables and the checks. It returns whether all passed.
func report(ctx context.Context, f *fleet, r *results) (bool, error) {
	executions, err := executionlog.NewClient("http://" + f.executionLog).Executions(ctx)
	if err != nil {
		return false, errors.Trace(err)
	}
	fmt.Println()
	printOutcomes(r)
	printLatencies(r)
	printMeasuring(ctx, f)
	printExecutions(f, r, executions)
	checks := runChecks(f, r, executions)
	passed := true
	for _, c := range checks {
		word := "pass"
		if c.problem != "" {
			word, passed = "FAIL", false
		}
		fmt.Printf("%s  %s", word, c.name)
		if c.problem != "" {
			fmt.Printf(": %s", c.problem)
		}
		fmt.Println()
	}
	return passed, nil
}

// printExecutions shows how often the bookings ran.
func printExecutions(f *fleet, r *results, executions []executionlog.Execution) {
	spread := executionsPerBooking(f, r.all(), countRuns(executions))
	w := newTable(fmt.Sprintf("executions per %s\tnone\tone\tmore", f.site.Booking))
	_, _ = fmt.Fprintf(w, "%ss\t%d\t%d\t%d\n", f.site.Booking, spread.none, spread.one, spread.more)
	endTable(w)
}

func newTable(header string) *tabwriter.Writer {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, header)
	return w
}

func endTable(w *tabwriter.Writer) {
	_ = w.Flush()
	fmt.Println()
}

// phase is a named set of results.
type phase struct {
	name    string
	results []Result
}

func (r *results) phases() []phase {
	return []phase{
		{"warm-up", r.warm}, {"direct", r.direct}, {"mesh", r.mesh}, {"mesh, faults", r.faults}, {"repeated", r.repeats},
	}
}

// all returns the results of all phases.
func (r *results) all() []Result {
	var all []Result
	for _, p := range r.phases() {
		all = append(all, p.results...)
	}
	return all
}

// measured returns the phases whose latencies count.
func (r *results) measured() []phase { return r.phases()[1:4] }

func printOutcomes(r *results) {
	w := newTable("calls by outcome\tkind\tsucceeded\tnot-run\tfailed\tunknown")
	for _, p := range r.phases() {
		for _, kind := range kinds(p.results) {
			counts := map[string]int{}
			for _, result := range p.results {
				if result.Kind == kind {
					counts[result.Outcome]++
				}
			}
			_, _ = fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\n", p.name, kind,
				counts["succeeded"], counts["not-run"], counts["failed"], counts["unknown"])
		}
	}
	endTable(w)
}

func kinds(list []Result) []string {
	seen := map[string]bool{}
	for _, r := range list {
		seen[r.Kind] = true
	}
	names := make([]string, 0, len(seen))
	for name := range seen {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// quantiles of the latency table.
var quantiles = []float64{0.5, 0.99, 0.999}

func printLatencies(r *results) {
	w := newTable("latency of succeeded calls\tkind\tcalls\tp50 ms\tp99 ms\tp99.9 ms")
	for _, p := range r.measured() {
		for _, kind := range kinds(p.results) {
			printRow(w, p.name, kind, latencies(p.results, kind))
		}
	}
	for _, kind := range kinds(r.mesh) {
		direct, mesh := latencies(r.direct, kind), latencies(r.mesh, kind)
		_, _ = fmt.Fprintf(w, "added by the mesh\t%s\t", kind)
		for _, q := range quantiles {
			_, _ = fmt.Fprintf(w, "\t%+.2f", ms(quantile(mesh, q)-quantile(direct, q)))
		}
		_, _ = fmt.Fprintln(w)
	}
	endTable(w)
}

func printRow(w *tabwriter.Writer, name, kind string, sorted []time.Duration) {
	_, _ = fmt.Fprintf(w, "%s\t%s\t%d", name, kind, len(sorted))
	for _, q := range quantiles {
		_, _ = fmt.Fprintf(w, "\t%.2f", ms(quantile(sorted, q)))
	}
	_, _ = fmt.Fprintln(w)
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// latencies returns the sorted latencies of succeeded calls of a kind.
func latencies(list []Result, kind string) []time.Duration {
	var sorted []time.Duration
	for _, r := range list {
		if r.Kind == kind && r.Outcome == "succeeded" {
			sorted = append(sorted, r.Latency)
		}
	}
	slices.Sort(sorted)
	return sorted
}

func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}
