package outlier

import "slices"

// medianOf returns the median of v, which must not be empty. It sorts v in place.
func medianOf(v []float64) float64 {
	slices.Sort(v)
	n := len(v)
	if n%2 == 1 {
		return v[n/2]
	}
	return (v[n/2-1] + v[n/2]) / 2
}
