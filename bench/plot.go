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
	// sidePadding is the space beside the first and last group of bars, in units
	// of the distance between two groups.
	sidePadding = 0.5
	// legendHeadroom extends the vertical axis so that no bar overlaps the legend.
	legendHeadroom = 1.4
)

// policyOrder lists the selection policies in the order of their bars.
var policyOrder = []string{"random", "roundrobin", "twochoices", "hotcold", "hotcold" + hedgeSuffix}

func (rep *report) plotSites(dir string) error {
	for i := range sites {
		if err := rep.plotSite(dir, sites[i].name); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

// plotSite draws the median p99 latency of each policy in each scenario.
func (rep *report) plotSite(dir, site string) error {
	var scenarioNames []string
	for i := range scenarios {
		if rep.hasRun(site, scenarios[i].name) {
			scenarioNames = append(scenarioNames, scenarios[i].name)
		}
	}
	if len(scenarioNames) == 0 {
		return nil
	}
	chart := plot.New()
	chart.Title.Text = "p99 latency, " + site + " (" + options.label + ")"
	chart.Y.Label.Text = "ms"
	chart.Y.Min = 0
	chart.Legend.Top = true
	for i, policy := range policyOrder {
		if !isSelected(options.policies, policy) {
			continue
		}
		bars, err := plotter.NewBarChart(rep.barValues(site, policy, scenarioNames), barWidth)
		if err != nil {
			return errors.Trace(err)
		}
		bars.Color = plotutil.Color(i)
		bars.Offset = barWidth * vg.Length(2*i-len(policyOrder)+1) / 2
		chart.Add(bars)
		chart.Legend.Add(policy, bars)
	}
	chart.NominalX(scenarioNames...)
	// Leave room for the outermost bars and for the legend above all bars.
	chart.X.Min, chart.X.Max = -sidePadding, float64(len(scenarioNames)-1)+sidePadding
	chart.Y.Max *= legendHeadroom
	return errors.Trace(chart.Save(plotWidth, plotHeight, filepath.Join(dir, site+"-p99.png")))
}

// hasRun reports whether a scenario was run at a site.
func (rep *report) hasRun(site, scenario string) bool {
	return slices.ContainsFunc(rep.runs, func(r *runResult) bool { return r.site == site && r.scenario == scenario })
}

func (rep *report) barValues(site, policy string, scenarioNames []string) plotter.Values {
	var values plotter.Values
	for _, scenario := range scenarioNames {
		latency, _ := summarize(rep.valuesOf(site, scenario, policy, p99Millis))
		values = append(values, latency.median)
	}
	return values
}
