package main

import (
	"encoding/csv"
	"fmt"
	"io"
	"os"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/juju/errors"
)

// point is the value of one figure, such as resident memory, at one fleet size.
// mean and max are taken over the nodes; for a figure of the whole fleet they are
// equal.
type point struct {
	figure, unit string
	nodes        int
	mean, max    float64
}

// results holds the figures of a run in the order in which they were measured.
type results struct {
	points []point
}

func (r *results) add(p point) { r.points = append(r.points, p) }

// addPerNode adds a figure, given its value for each node.
func (r *results) addPerNode(figure, unit string, values []float64) {
	r.add(point{figure: figure, unit: unit, nodes: len(values), mean: sumOf(values) / float64(len(values)), max: maxOf(values)})
}

// addSingle adds a figure with a single value at a fleet size.
func (r *results) addSingle(figure, unit string, nodes int, value float64) {
	r.add(point{figure: figure, unit: unit, nodes: nodes, mean: value, max: value})
}

// write writes all points to a CSV file.
func (r *results) write(path string) error {
	file, err := os.Create(path)
	if err != nil {
		return errors.Trace(err)
	}
	w := csv.NewWriter(file)
	rows := [][]string{{"figure", "unit", "nodes", "mean", "max"}}
	for _, p := range r.points {
		rows = append(rows, []string{p.figure, p.unit, strconv.Itoa(p.nodes), formatFixed(p.mean), formatFixed(p.max)})
	}
	err = w.WriteAll(rows)
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	return errors.Trace(err)
}

func formatFixed(v float64) string { return strconv.FormatFloat(v, 'f', 3, 64) }

// series returns the sorted names of the figures that were measured at several
// sizes, and the points of all figures by name.
func (r *results) series() ([]string, map[string][]point) {
	byFigure := map[string][]point{}
	for _, p := range r.points {
		byFigure[p.figure] = append(byFigure[p.figure], p)
	}
	var names []string
	for name, points := range byFigure {
		if len(points) > 1 {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names, byFigure
}

// printTables prints a Markdown table of the series with their fitted lines, then
// one of the single figures.
func (r *results) printTables(out io.Writer) {
	names, byFigure := r.series()
	w := tabwriter.NewWriter(out, 0, 0, 1, ' ', 0)
	if len(names) > 0 {
		printHeader(w, byFigure[names[0]])
	}
	for _, name := range names {
		printSeries(w, name, byFigure[name])
	}
	_, _ = fmt.Fprintf(w, "\n| single figure\t| unit\t| nodes\t| value\t|\n|---\t|---\t|---\t|---\t|\n")
	for _, p := range r.points {
		if len(byFigure[p.figure]) == 1 {
			_, _ = fmt.Fprintf(w, "| %s\t| %s\t| %d\t| %s\t|\n", p.figure, p.unit, p.nodes, formatShort(p.mean))
		}
	}
	_ = w.Flush()
}

func printHeader(w io.Writer, points []point) {
	_, _ = fmt.Fprintf(w, "\n| figure\t| unit\t")
	for _, p := range points {
		_, _ = fmt.Fprintf(w, "| %d\t", p.nodes)
	}
	_, _ = fmt.Fprintf(w, "| slope per 100 nodes\t| intercept\t| at %d\t|\n%s|\n", designSize, strings.Repeat("|---\t", len(points)+5))
}

func printSeries(w io.Writer, name string, points []point) {
	var xs, ys []float64
	_, _ = fmt.Fprintf(w, "| %s\t| %s\t", name, points[0].unit)
	for _, p := range points {
		xs, ys = append(xs, float64(p.nodes)), append(ys, p.mean)
		_, _ = fmt.Fprintf(w, "| %s\t", formatShort(p.mean))
	}
	trend := fitLine(xs, ys)
	_, _ = fmt.Fprintf(w, "| %s\t| %s\t| %s\t|\n", formatShort(100*trend.slope), formatShort(trend.intercept), formatShort(trend.at(designSize)))
}

func formatShort(v float64) string { return strconv.FormatFloat(v, 'g', 4, 64) }
