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

// printReport prints the tables and the results of the checks. It returns whether
// all checks passed.
func printReport(ctx context.Context, f *fleet, r *results) (bool, error) {
	executions, err := executionlog.NewClient("http://" + f.executionLogAddr).Executions(ctx)
	if err != nil {
		return false, errors.Trace(err)
	}
	fmt.Println()
	printOutcomes(r)
	printLatencies(r)
	printOverhead(ctx, f)
	printExecutions(f, r, executions)
	checks := runChecks(f, r, executions)
	passed := true
	for _, c := range checks {
		verdict := "pass"
		if c.failure != "" {
			verdict, passed = "FAIL", false
		}
		fmt.Printf("%s  %s", verdict, c.name)
		if c.failure != "" {
			fmt.Printf(": %s", c.failure)
		}
		fmt.Println()
	}
	return passed, nil
}

// printExecutions prints how many bookings were executed never, once and more than
// once.
func printExecutions(f *fleet, r *results, executions []executionlog.Execution) {
	counts := countBookings(f, r.all(), countExecutions(executions))
	w := newTable(fmt.Sprintf("executions per %s\tnone\tone\tmore", f.site.BookingKind))
	_, _ = fmt.Fprintf(w, "%ss\t%d\t%d\t%d\n", f.site.BookingKind, counts.notExecuted, counts.executedOnce, counts.executedMoreThanOnce)
	flushTable(w)
}

func newTable(header string) *tabwriter.Writer {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, header)
	return w
}

func flushTable(w *tabwriter.Writer) {
	_ = w.Flush()
	fmt.Println()
}

// phase is the results of a phase with its name in the report.
type phase struct {
	name    string
	results []Result
}

func (r *results) phases() []phase {
	return []phase{
		{"warm-up", r.warmUp}, {"direct", r.direct}, {"mesh", r.mesh}, {"mesh, faults", r.duringFaults}, {"repeated", r.repeats},
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

// measuredPhases returns the phases whose latencies are reported.
func (r *results) measuredPhases() []phase { return r.phases()[1:4] }

func printOutcomes(r *results) {
	w := newTable("calls by outcome\tkind\tsucceeded\tnot-run\tfailed\tunknown")
	for _, p := range r.phases() {
		for _, kind := range callKinds(p.results) {
			outcomeCounts := map[string]int{}
			for _, result := range p.results {
				if result.Kind == kind {
					outcomeCounts[result.Outcome]++
				}
			}
			_, _ = fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\n", p.name, kind,
				outcomeCounts["succeeded"], outcomeCounts["not-run"], outcomeCounts["failed"], outcomeCounts["unknown"])
		}
	}
	flushTable(w)
}

func callKinds(list []Result) []string {
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

// quantiles are the columns of the latency table.
var quantiles = []float64{0.5, 0.99, 0.999}

func printLatencies(r *results) {
	w := newTable("latency of succeeded calls\tkind\tcalls\tp50 ms\tp99 ms\tp99.9 ms")
	for _, p := range r.measuredPhases() {
		for _, kind := range callKinds(p.results) {
			printLatencyRow(w, p.name, kind, succeededLatencies(p.results, kind))
		}
	}
	for _, kind := range callKinds(r.mesh) {
		direct, mesh := succeededLatencies(r.direct, kind), succeededLatencies(r.mesh, kind)
		_, _ = fmt.Fprintf(w, "added by the mesh\t%s\t", kind)
		for _, q := range quantiles {
			_, _ = fmt.Fprintf(w, "\t%+.2f", milliseconds(quantile(mesh, q)-quantile(direct, q)))
		}
		_, _ = fmt.Fprintln(w)
	}
	flushTable(w)
}

func printLatencyRow(w *tabwriter.Writer, name, kind string, sorted []time.Duration) {
	_, _ = fmt.Fprintf(w, "%s\t%s\t%d", name, kind, len(sorted))
	for _, q := range quantiles {
		_, _ = fmt.Fprintf(w, "\t%.2f", milliseconds(quantile(sorted, q)))
	}
	_, _ = fmt.Fprintln(w)
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// succeededLatencies returns the sorted latencies of the succeeded calls of a kind.
func succeededLatencies(list []Result, kind string) []time.Duration {
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
