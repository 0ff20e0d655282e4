package experiment

import (
	"slices"

	"gonum.org/v1/gonum/stat"
)

// meanAndQuantile returns the mean and a quantile (0 to 1) of a sample.
func meanAndQuantile(sample []float64, quantile float64) (float64, float64) {
	sorted := slices.Sorted(slices.Values(sample))
	if len(sorted) == 0 {
		return 0, 0
	}
	return stat.Mean(sorted, nil), stat.Quantile(quantile, stat.Empirical, sorted, nil)
}
