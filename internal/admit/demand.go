package admit

import (
	"math"
	"slices"
	"time"

	"github.com/dandelionfield/dandelionfield/pkg/schema"
)

const (
	// minMemory and maxMemory bound how far back calls count. In between the
	// memory holds about steadyCalls: fewer would make the floor follow chance.
	minMemory   = 500 * time.Millisecond
	maxMemory   = 2 * time.Second
	steadyCalls = 60
	// floorDelay is how long calls keep arriving that passed a door before
	// it learned of a new floor.
	floorDelay = 300 * time.Millisecond
	// priorExposure lets the estimate for an importance that is refused
	// altogether fall to zero, so that the floor comes down and looks again.
	priorExposure = 3 * time.Millisecond
)

type (
	// demand estimates how many calls a second are meant for the target,
	// although the doors hold back those below the floor.
	//
	// Positions are hashes, so the calls of one importance spread evenly over
	// its positions. Counting only those above the floor and dividing by the
	// share of positions that lie above it gives the whole demand. With a
	// floor at three quarters of normal, say, 50 calls a second are seen and
	// the demand is 50/(1/4) = 200.
	demand struct {
		arrivals [importances]float64
		// exposure is the time that was watched, weighted by the share of
		// positions that could be seen, in seconds.
		exposure [importances]float64
		at       time.Time
		// recent holds the floors that doors may still apply, with the time
		// of each announcement.
		recent []announced
	}

	announced struct {
		floor uint32
		until time.Time
	}
)

// newDemand starts out as after a long time without calls.
func newDemand() demand {
	var d demand
	for i := range d.exposure {
		d.exposure[i] = minMemory.Seconds()
	}
	return d
}

// announce records that doors learn of the floor from now on.
func (d *demand) announce(now time.Time, floor uint32) {
	d.advance(now)
	d.recent = slices.DeleteFunc(d.recent, func(a announced) bool {
		return !a.until.After(now) || a.floor <= floor
	})
	d.recent = append(d.recent, announced{floor: floor, until: now.Add(floorDelay)})
}

// highest returns the highest floor that a door may still apply. The last
// floor counts until it is replaced.
func (d *demand) highest(now time.Time) uint32 {
	floor := uint32(0)
	for i, a := range d.recent {
		if i == len(d.recent)-1 || a.until.After(now) {
			floor = max(floor, a.floor)
		}
	}
	return floor
}

// observe counts an offered call.
func (d *demand) observe(now time.Time, order uint32) {
	d.advance(now)
	if order >= d.highest(now) {
		d.arrivals[min(order/positions, importances-1)]++
	}
}

func (d *demand) advance(now time.Time) {
	elapsed := now.Sub(d.at)
	if d.at.IsZero() {
		elapsed = 0
	}
	if elapsed < 0 {
		return
	}
	d.at = now
	memory := d.memory()
	keep := math.Exp(-elapsed.Seconds() / memory)
	watched := memory * (1 - keep)
	floor := d.highest(now)
	for i := range d.arrivals {
		d.arrivals[i] *= keep
		d.exposure[i] = d.exposure[i]*keep + watched*shareAbove(floor, schema.Importance(i))
	}
}

// memory returns the time constant, in seconds, with which calls are forgotten.
func (d *demand) memory() float64 {
	counted := 0.0
	for _, calls := range d.arrivals {
		counted += calls
	}
	wanted := minMemory.Seconds() * steadyCalls / max(counted, 1)
	return min(max(wanted, minMemory.Seconds()), maxMemory.Seconds())
}

// rate returns the estimated calls a second of an importance.
func (d *demand) rate(i schema.Importance) float64 {
	return d.arrivals[i] / (d.exposure[i] + priorExposure.Seconds())
}

// floorFor returns the floor above which the demand is the given rate.
func (d *demand) floorFor(callsPerSecond float64) uint32 {
	left := callsPerSecond
	for i := importances - 1; i >= 0; i-- {
		rate := d.rate(schema.Importance(i))
		if rate <= left {
			left -= rate
			continue
		}
		refused := positions * (1 - left/rate)
		return Order(schema.Importance(i), uint16(min(refused, positions-1)))
	}
	return 0
}

// shareAbove returns the share of an importance's positions at or above the floor.
func shareAbove(floor uint32, i schema.Importance) float64 {
	start := Order(i, 0)
	switch {
	case floor <= start:
		return 1
	case floor >= start+positions:
		return 0
	}
	return float64(start+positions-floor) / positions
}
