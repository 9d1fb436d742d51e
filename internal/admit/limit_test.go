package admit_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dandelionfield/dandelionfield/internal/admit"
)

// A target of 40 slots whose calls take a third longer from 95% of its slots on completes
// more calls a second if the last slots stay free. A target without such a knee completes
// hardly fewer.
func TestReservedSlotsKeepThroughput(t *testing.T) {
	const slots = 40
	const callTime = 40 * time.Millisecond
	rate := func(inUse int, knee float64) float64 {
		took := callTime.Seconds()
		if float64(inUse) >= 0.95*slots {
			took *= knee
		}
		return float64(inUse) / took
	}
	is := is.New(t)
	usable := admit.UsableSlots(slots)
	is.True(rate(usable, 1.3) >= 1.15*rate(slots, 1.3))
	is.True(rate(usable, 1) >= 0.9*rate(slots, 1))
}

// All slots of a target with fewer than 17 are used.
func TestSmallTargetsUseAllSlots(t *testing.T) {
	is := is.New(t)
	for _, slots := range []int{1, 4, 16} {
		is.Equal(admit.UsableSlots(slots), slots)
	}
	is.Equal(admit.UsableSlots(17), 15)
	is.Equal(admit.UsableSlots(133), 125)
}
