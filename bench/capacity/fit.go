package main

// fittedLine is a line fitted by least squares.
type fittedLine struct {
	slope, intercept float64
}

func (l fittedLine) at(x float64) float64 { return l.intercept + l.slope*x }

// fitLine fits a line by least squares. The slope is 0 if there are fewer than two
// different xs.
func fitLine(xs, ys []float64) fittedLine {
	n := float64(len(xs))
	if n == 0 {
		return fittedLine{}
	}
	var sumX, sumY, sumXX, sumXY float64
	for i, x := range xs {
		sumX += x
		sumY += ys[i]
		sumXX += x * x
		sumXY += x * ys[i]
	}
	denominator := n*sumXX - sumX*sumX
	if denominator == 0 {
		return fittedLine{intercept: sumY / n}
	}
	slope := (n*sumXY - sumX*sumY) / denominator
	return fittedLine{slope: slope, intercept: (sumY - slope*sumX) / n}
}
