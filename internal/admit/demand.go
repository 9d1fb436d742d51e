package admit

import (
	"math"
	"slices"
	"time"

	"github.com/dandelionfield/dandelionfield/pkg/schema"
)

const (
	// minTimeConstant and maxTimeConstant bound the time constant with which arrivals
	// decay. Within the bounds it is chosen so that about sampleCalls calls count; with
	// fewer, the floor would follow random fluctuations.
	minTimeConstant = 500 * time.Millisecond
	maxTimeConstant = 2 * time.Second
	sampleCalls     = 60
	// floorDelay is how long calls keep arriving that an entry node admitted before
	// it learned of a new floor.
	floorDelay = 300 * time.Millisecond
	// priorExposure lets the estimate for an importance that is rejected altogether
	// fall to zero, so that the floor drops and its calls are admitted and counted again.
	priorExposure = 3 * time.Millisecond
)

type (
	// demand estimates how many calls a second would reach the target if the entry
	// nodes did not reject those below the floor.
	//
	// Positions are hashes, so the calls of one importance are spread evenly over
	// its positions. The calls above the floor divided by the share of positions
	// above the floor therefore give the total demand. For example, with a floor at
	// three quarters of the positions of normal importance and 50 observed calls a
	// second of that importance, its demand is 50/(1/4) = 200 calls a second.
	demand struct {
		arrivals [importanceCount]float64
		// exposure is the observed time in seconds, weighted by the share of
		// positions above the floor at that time.
		exposure [importanceCount]float64
		at       time.Time
		// recentFloors holds the floors that entry nodes may still apply, in the order
		// in which they were announced.
		recentFloors []announcedFloor
	}

	// announcedFloor is a floor with the time until which entry nodes may apply it after
	// another one has replaced it.
	announcedFloor struct {
		floor uint32
		until time.Time
	}
)

// newDemand returns an estimate in the state that a long time without calls leaves.
func newDemand() demand {
	var d demand
	for i := range d.exposure {
		d.exposure[i] = minTimeConstant.Seconds()
	}
	return d
}

// announce records that entry nodes receive the floor from now on.
func (d *demand) announce(now time.Time, floor uint32) {
	d.advance(now)
	d.recentFloors = slices.DeleteFunc(d.recentFloors, func(a announcedFloor) bool {
		return !a.until.After(now) || a.floor <= floor
	})
	d.recentFloors = append(d.recentFloors, announcedFloor{floor: floor, until: now.Add(floorDelay)})
}

// highestFloor returns the highest floor that an entry node may still apply. The last
// announced floor applies until it is replaced.
func (d *demand) highestFloor(now time.Time) uint32 {
	floor := uint32(0)
	for i, a := range d.recentFloors {
		if i == len(d.recentFloors)-1 || a.until.After(now) {
			floor = max(floor, a.floor)
		}
	}
	return floor
}

// observe counts an offered call unless an entry node may be rejecting calls of its
// order.
func (d *demand) observe(now time.Time, order uint32) {
	d.advance(now)
	if order >= d.highestFloor(now) {
		d.arrivals[min(order/positionCount, importanceCount-1)]++
	}
}

// advance decays the counts and adds the elapsed time to the exposure.
func (d *demand) advance(now time.Time) {
	elapsed := now.Sub(d.at)
	if d.at.IsZero() {
		elapsed = 0
	}
	if elapsed < 0 {
		return
	}
	d.at = now
	timeConstant := d.timeConstant()
	decay := math.Exp(-elapsed.Seconds() / timeConstant)
	observed := timeConstant * (1 - decay)
	floor := d.highestFloor(now)
	for i := range d.arrivals {
		d.arrivals[i] *= decay
		d.exposure[i] = d.exposure[i]*decay + observed*shareAbove(floor, schema.Importance(i))
	}
}

// timeConstant returns the time constant, in seconds, with which arrivals decay.
func (d *demand) timeConstant() float64 {
	counted := 0.0
	for _, calls := range d.arrivals {
		counted += calls
	}
	wanted := minTimeConstant.Seconds() * sampleCalls / max(counted, 1)
	return min(max(wanted, minTimeConstant.Seconds()), maxTimeConstant.Seconds())
}

// rate returns the estimated demand of an importance in calls a second.
func (d *demand) rate(i schema.Importance) float64 {
	return d.arrivals[i] / (d.exposure[i] + priorExposure.Seconds())
}

// floorFor returns the floor at which the demand above the floor is the given rate.
func (d *demand) floorFor(callsPerSecond float64) uint32 {
	left := callsPerSecond
	for i := importanceCount - 1; i >= 0; i-- {
		rate := d.rate(schema.Importance(i))
		if rate <= left {
			left -= rate
			continue
		}
		refused := positionCount * (1 - left/rate)
		return Order(schema.Importance(i), uint16(min(refused, positionCount-1)))
	}
	return 0
}

// shareAbove returns the share of an importance's positions at or above the floor.
func shareAbove(floor uint32, i schema.Importance) float64 {
	start := Order(i, 0)
	switch {
	case floor <= start:
		return 1
	case floor >= start+positionCount:
		return 0
	}
	return float64(start+positionCount-floor) / positionCount
}
