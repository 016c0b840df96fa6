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

// report collects the rows of all runs.
type report struct {
	rows  []*row
	added []*added
}

func (p *report) add(r *row) {
	p.rows = append(p.rows, r)
	res := r.result
	fmt.Printf("%-11s %-13s %-10s #%d %s p50 %6.1f p99 %6.1f p99.9 %6.1f ms missed %5.2f%% good %5.0f/s attempts %.3f odd %.2f probes/call %.4f lag %v %v\n",
		r.shape, r.scenario, r.policy, r.repeat, options.label, ms(res.P50()), ms(res.P99()), ms(res.P999()), 100*r.missed(),
		res.Goodput(), res.AttemptsPerCall(), r.oddShare, r.probesPerCall(), res.MaxStartDelay.Round(time.Millisecond), res.CallsByOutcome)
}

func ms(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

func (r *row) missed() float64 {
	return float64(r.result.MissedDeadline) / float64(max(r.result.Sent+r.result.Dropped, 1))
}

func (r *row) probesPerCall() float64 { return r.probes / float64(max(r.result.Sent, 1)) }

// write creates runs.csv, targets.csv and one plot per shape.
func (p *report) write(dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return errors.Trace(err)
	}
	if err := writeCSV(filepath.Join(dir, "runs.csv"), p.runTable()); err != nil {
		return errors.Trace(err)
	}
	if err := writeCSV(filepath.Join(dir, "targets.csv"), p.targetTable()); err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(p.plotAll(dir))
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

func (p *report) runTable() [][]string {
	table := [][]string{{
		"label", "shape", "scenario", "policy", "repeat", "seed", "load", "sent", "goodput_per_s", "p50_ms", "p99_ms",
		"p999_ms", "missed_share", "attempts_per_call", "probes_per_call", "probe_bytes_per_call", "odd_server_share", "max_lag_ms",
	}}
	for _, r := range p.rows {
		res := r.result
		table = append(table, []string{
			options.label, r.shape, r.scenario, r.policy, fmt.Sprint(r.repeat), fmt.Sprint(r.seed), fmt.Sprint(r.load),
			fmt.Sprint(res.Sent), figure(res.Goodput()), figure(ms(res.P50())), figure(ms(res.P99())), figure(ms(res.P999())),
			figure(r.missed()), figure(res.AttemptsPerCall()), figure(r.probesPerCall()),
			figure(r.probeBytes / float64(max(res.Sent, 1))), figure(r.oddShare), figure(ms(res.MaxStartDelay)),
		})
	}
	return table
}

func figure(v float64) string { return fmt.Sprintf("%.4f", v) }

// find returns the row of a run, or nil.
func (p *report) find(shape, scenario, policy string, repeat int) *row {
	for _, r := range p.rows {
		if r.shape == shape && r.scenario == scenario && r.policy == policy && r.repeat == repeat {
			return r
		}
	}
	return nil
}

// spread is the median of figures with their range.
type spread struct{ median, low, high float64 }

func spreadOf(values []float64) (spread, bool) {
	if len(values) == 0 {
		return spread{}, false
	}
	sorted := slices.Sorted(slices.Values(values))
	return spread{median: sorted[len(sorted)/2], low: sorted[0], high: sorted[len(sorted)-1]}, true
}

// ratios returns the ratio of a figure between two runs of the same repeat.
func (p *report) ratios(shape string, a, b [2]string, figure func(*row) float64) []float64 {
	var values []float64
	for repeat := range options.repeats {
		x, y := p.find(shape, a[0], a[1], repeat), p.find(shape, b[0], b[1], repeat)
		if x != nil && y != nil && figure(y) > 0 {
			values = append(values, figure(x)/figure(y))
		}
	}
	return values
}

func (p *report) figures(shape, scenario, policy string, figure func(*row) float64) []float64 {
	var values []float64
	for repeat := range options.repeats {
		if r := p.find(shape, scenario, policy, repeat); r != nil {
			values = append(values, figure(r))
		}
	}
	return values
}

func p99(r *row) float64      { return ms(r.result.P99()) }
func goodput(r *row) float64  { return r.result.Goodput() }
func attempts(r *row) float64 { return r.result.AttemptsPerCall() }
func odd(r *row) float64      { return r.oddShare }

// target is a goal of section 1.3 of the design page.
type target struct {
	name    string
	values  []float64
	bound   float64
	atLeast bool
}

func (p *report) targets(shape string) []target {
	const own = "hotcold"
	var addedMS []float64
	for _, a := range p.added {
		if a.shape == shape {
			addedMS = append(addedMS, ms(a.mesh-a.direct))
		}
	}
	return []target{
		{"p99 at 75 % over random", p.ratios(shape, [2]string{"swings-75", own}, [2]string{"swings-75", "random"}, p99), 0.5, false},
		{"p99 at 75 % over twochoices", p.ratios(shape, [2]string{"swings-75", own}, [2]string{"swings-75", "twochoices"}, p99), 0.8, false},
		{"p99 at 75 % over random, hedged", p.ratios(shape, [2]string{"swings-75", own + hedgeSuffix}, [2]string{"swings-75", "random"}, p99), 0.5, false},
		{"p99 at 75 % over twochoices, hedged", p.ratios(shape, [2]string{"swings-75", own + hedgeSuffix}, [2]string{"swings-75", "twochoices"}, p99), 0.8, false},
		{"probes per call at 75 %", p.figures(shape, "swings-75", own, (*row).probesPerCall), 0.5, false},
		{"attempts per call in overload", p.figures(shape, "overload", own, attempts), 1.1, false},
		{"goodput at 2x over capacity", p.ratios(shape, [2]string{"overload", own}, [2]string{"capacity", own}, goodput), 0.9, true},
		{"share of a server that fails fast", p.figures(shape, "fails-fast", own, odd), 1, false},
		{"share of a server with false load", p.figures(shape, "false-report", own, odd), 1.05, false},
		{"p99 added by the mesh in ms", addedMS, 1.6, false},
	}
}

func (t *target) verdict(s spread) string {
	met := s.median <= t.bound
	if t.atLeast {
		met = s.median >= t.bound
	}
	if met {
		return "met"
	}
	return "missed"
}

func (p *report) targetTable() [][]string {
	table := [][]string{{"label", "shape", "target", "bound", "median", "lowest", "highest", "verdict"}}
	for i := range shapes {
		for _, t := range p.targets(shapes[i].name) {
			s, ok := spreadOf(t.values)
			if !ok {
				continue
			}
			record := []string{
				options.label, shapes[i].name, t.name, figure(t.bound), figure(s.median), figure(s.low), figure(s.high), t.verdict(s),
			}
			fmt.Println(record)
			table = append(table, record)
		}
	}
	return table
}
