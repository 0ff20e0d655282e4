package experiment

import (
	"slices"

	"gonum.org/v1/gonum/stat"
)

// meanAndQuantile returns the mean and a quantile (0 to 1) of a sample, or zeros if it is
// empty.
func meanAndQuantile(sample []float64, quantile float64) (float64, float64) {
	sorted := slices.Sorted(slices.Values(sample))
	if len(sorted) == 0 {
		return 0, 0
	}
	return stat.Mean(sorted, nil), stat.Quantile(quantile, stat.Empirical, sorted, nil)
}

// linearFit is the fitted line y = intercept + perUnit*x with its coefficient of
// determination.
type linearFit struct {
	intercept, perUnit, r2 float64
}

// fit fits a line by least squares.
func fit(x, y []float64) linearFit {
	intercept, perUnit := stat.LinearRegression(x, y, nil, false)
	return linearFit{intercept: intercept, perUnit: perUnit, r2: stat.RSquared(x, y, nil, intercept, perUnit)}
}
