package main

// line is a least-squares line through points.
type line struct {
	slope, intercept float64
}

func (l line) at(x float64) float64 { return l.intercept + l.slope*x }

// fit returns the least-squares line. With fewer than two different xs the
// line is level.
func fit(xs, ys []float64) line {
	n := float64(len(xs))
	if n == 0 {
		return line{}
	}
	var sumX, sumY, sumXX, sumXY float64
	for i, x := range xs {
		sumX += x
		sumY += ys[i]
		sumXX += x * x
		sumXY += x * ys[i]
	}
	spread := n*sumXX - sumX*sumX
	if spread == 0 {
		return line{intercept: sumY / n}
	}
	slope := (n*sumXY - sumX*sumY) / spread
	return line{slope: slope, intercept: (sumY - slope*sumX) / n}
}
