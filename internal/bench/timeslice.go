package bench

import "time"

// timeSliceLength is the width of a TimeSlice.
const timeSliceLength = 500 * time.Millisecond

// TimeSlice holds the counts of one short interval of a run, for charts over time.
type TimeSlice struct {
	// AtS is the start of the interval, in seconds from the start of the trace.
	AtS float64 `json:"at_s"`
	// Offered counts the requests that arrived in the interval.
	Offered int `json:"offered"`
	// Good counts the good answers received in the interval, no matter when their
	// requests arrived.
	Good int `json:"good"`
	// Attempts counts the attempts that callers sent in the interval, first ones and
	// retries.
	Attempts int `json:"attempts"`
}

// countTimeSlices counts a run in intervals from its start to the last answer, and at
// least to the end of its phases.
func countTimeSlices(phases []Phase, outcomes []Outcome) []TimeSlice {
	end := totalDuration(phases)
	for _, outcome := range outcomes {
		end = max(end, outcome.At+outcome.Took+1)
	}
	count := int((end + timeSliceLength - 1) / timeSliceLength)
	list := make([]TimeSlice, count)
	for i := range list {
		list[i].AtS = (time.Duration(i) * timeSliceLength).Seconds()
	}
	for _, outcome := range outcomes {
		list[outcome.At/timeSliceLength].Offered++
		if outcome.Good {
			list[(outcome.At+outcome.Took)/timeSliceLength].Good++
		}
		for _, attempt := range outcome.Attempts {
			if attempt.wasSent() {
				list[min(int(attempt.SentAt/timeSliceLength), count-1)].Attempts++
			}
		}
	}
	return list
}

// totalDuration returns the sum of the durations of the phases.
func totalDuration(phases []Phase) time.Duration {
	total := time.Duration(0)
	for _, phase := range phases {
		total += phase.Duration
	}
	return total
}
