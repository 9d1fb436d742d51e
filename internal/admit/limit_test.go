package admit_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dandelionfield/dandelionfield/internal/admit"
)

// A target of 40 slots that works a third slower from 95% of them on completes more
// calls a second when the last slots stay free, and one without such a knee hardly
// fewer.
func TestLastSlotsCostMoreThanTheyCarry(t *testing.T) {
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
	usable := admit.Usable(slots)
	is.True(rate(usable, 1.3) >= 1.15*rate(slots, 1.3))
	is.True(rate(usable, 1) >= 0.9*rate(slots, 1))
}

// A small target has no slot to spare.
func TestSmallTargetsUseAllSlots(t *testing.T) {
	is := is.New(t)
	for _, slots := range []int{1, 4, 16} {
		is.Equal(admit.Usable(slots), slots)
	}
	is.Equal(admit.Usable(17), 15)
	is.Equal(admit.Usable(133), 125)
}
