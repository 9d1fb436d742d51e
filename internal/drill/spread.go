package drill

import (
	"math"
	"slices"
)

// Spread is what one figure was over several runs.
type Spread struct {
	Median float64
	Low    float64
	High   float64
	// Runs is how many runs have the figure.
	Runs int
}

// NewSpread returns the spread of the figures. The median of an even number is
// halfway between the two in the middle. A figure that is not a number was not
// measured and is left out; infinity stands for worse than any number.
//
// Of 0.5, 1.5, not a number, 4 and 2 the median is 1.75, from 0.5 to 4 in 4 runs.
func NewSpread(figures []float64) Spread {
	measured := slices.DeleteFunc(slices.Clone(figures), math.IsNaN)
	if len(measured) == 0 {
		return Spread{Median: math.NaN(), Low: math.NaN(), High: math.NaN()}
	}
	slices.Sort(measured)
	last := len(measured) - 1
	return Spread{
		Median: halfway(measured[last/2], measured[(last+1)/2]),
		Low:    measured[0],
		High:   measured[last],
		Runs:   len(measured),
	}
}

// halfway returns the mean of two figures, of which the second may be infinite.
func halfway(a, b float64) float64 {
	return a/2 + b/2
}
