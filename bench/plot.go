package main

import (
	"path/filepath"
	"slices"

	"github.com/juju/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 28 * vg.Centimeter
	plotHeight = 14 * vg.Centimeter
	barWidth   = 4 * vg.Millimeter
)

const (
	// sidePadding is the space beside the outer groups of bars, in groups.
	sidePadding = 0.5
	// legendHeadroom raises the vertical axis so that no bar reaches the legend.
	legendHeadroom = 1.4
)

var policyOrder = []string{"random", "roundrobin", "twochoices", "hotcold", "hotcold" + hedgeSuffix}

func (p *report) plotAll(dir string) error {
	for i := range shapes {
		if err := p.plotShape(dir, shapes[i].name); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

// plotShape draws the median 99th percentile of each policy and scenario.
func (p *report) plotShape(dir, shape string) error {
	var names []string
	for i := range scenarios {
		if p.measured(shape, scenarios[i].name) {
			names = append(names, scenarios[i].name)
		}
	}
	if len(names) == 0 {
		return nil
	}
	chart := plot.New()
	chart.Title.Text = "p99 latency, " + shape + " (" + options.label + ")"
	chart.Y.Label.Text = "ms"
	chart.Y.Min = 0
	chart.Legend.Top = true
	for i, policy := range policyOrder {
		if !chosen(options.policies, policy) {
			continue
		}
		bars, err := plotter.NewBarChart(p.bars(shape, policy, names), barWidth)
		if err != nil {
			return errors.Trace(err)
		}
		bars.Color = plotutil.Color(i)
		bars.Offset = barWidth * vg.Length(2*i-len(policyOrder)+1) / 2
		chart.Add(bars)
		chart.Legend.Add(policy, bars)
	}
	chart.NominalX(names...)
	// Room for the outer bars, and above all bars for the legend.
	chart.X.Min, chart.X.Max = -sidePadding, float64(len(names)-1)+sidePadding
	chart.Y.Max *= legendHeadroom
	return errors.Trace(chart.Save(plotWidth, plotHeight, filepath.Join(dir, shape+"-p99.png")))
}

// measured reports whether there is a run of a scenario.
func (p *report) measured(shape, scenario string) bool {
	return slices.ContainsFunc(p.rows, func(r *row) bool { return r.shape == shape && r.scenario == scenario })
}

func (p *report) bars(shape, policy string, names []string) plotter.Values {
	var values plotter.Values
	for _, name := range names {
		s, _ := spreadOf(p.figures(shape, name, policy, p99))
		values = append(values, s.median)
	}
	return values
}
