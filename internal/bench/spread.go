package bench

import (
	"math"
	"slices"
)

// Spread summarises one value over several runs.
type Spread struct {
	Median float64
	Low    float64
	High   float64
	// Runs is the number of runs in which the value was measured.
	Runs int
}

// NewSpread returns the spread of the values. The median of an even number of values is
// the mean of the middle two. NaN means that a value was not measured and is left out;
// infinity ranks as worse than any number.
//
// For example, 0.5, 1.5, NaN, 4 and 2 have the median 1.75, from 0.5 to 4 in 4 runs.
func NewSpread(values []float64) Spread {
	measured := slices.DeleteFunc(slices.Clone(values), math.IsNaN)
	if len(measured) == 0 {
		return Spread{Median: math.NaN(), Low: math.NaN(), High: math.NaN()}
	}
	slices.Sort(measured)
	last := len(measured) - 1
	return Spread{
		Median: mean(measured[last/2], measured[(last+1)/2]),
		Low:    measured[0],
		High:   measured[last],
		Runs:   len(measured),
	}
}

// mean returns the mean of two values, of which the second may be infinite.
func mean(a, b float64) float64 {
	return a/2 + b/2
}
