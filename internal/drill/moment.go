package drill

import "time"

// momentLength is the width of the intervals in which a run is drawn.
const momentLength = 500 * time.Millisecond

// Moment is one short interval of a run, for a drawing over time.
type Moment struct {
	// AtS is the start of the interval in seconds of the trace.
	AtS float64 `json:"at_s"`
	// Offered counts the requests that arrived in it.
	Offered int `json:"offered"`
	// Good counts the good answers that came in it, whenever their requests
	// had arrived.
	Good int `json:"good"`
	// Attempts counts what callers sent in it, first attempts and repeats.
	Attempts int `json:"attempts"`
}

// moments counts a run in intervals from its start to the last thing that
// happened, and at least to the end of its phases.
func moments(phases []Phase, outcomes []Outcome) []Moment {
	end := length(phases)
	for _, outcome := range outcomes {
		end = max(end, outcome.At+outcome.Took+1)
	}
	count := int((end + momentLength - 1) / momentLength)
	list := make([]Moment, count)
	for i := range list {
		list[i].AtS = (time.Duration(i) * momentLength).Seconds()
	}
	for _, outcome := range outcomes {
		list[outcome.At/momentLength].Offered++
		if outcome.Good {
			list[(outcome.At+outcome.Took)/momentLength].Good++
		}
		for _, try := range outcome.Tries {
			if try.sent() {
				list[min(int(try.At/momentLength), count-1)].Attempts++
			}
		}
	}
	return list
}

// length returns how long the phases last together.
func length(phases []Phase) time.Duration {
	total := time.Duration(0)
	for _, phase := range phases {
		total += phase.Duration
	}
	return total
}
