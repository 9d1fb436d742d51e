package route

import (
	"slices"
	"time"
)

const (
	// spareUse is the use of a farther target's slots from which on a call from here is
	// expected to make calls there wait. The expected wait rises to reserveWait service times
	// at a full target and to maxReserveWait beyond. More would keep a data centre whose
	// targets are fuller than all others from sending any of its excess there.
	spareUse    = 0.85
	reserveWait = 1.0
	// maxReserveWait is in service times, too.
	maxReserveWait = 4.0
	// refusalCost is the time that a call is expected to lose at a target that has just
	// refused one: it may wait there, be refused as well and be sent again.
	refusalCost = 200 * time.Millisecond
	// lossCost is the time that a call is expected to lose if more calls arrive than can be
	// served and it is among those that are refused. It is higher than refusalCost, because
	// the retry budget does not cover such refusals: the request is lost with the work of
	// its other calls.
	lossCost = time.Second
	// leaveUse is the use of a target's slots from which on a call may leave while more calls
	// arrive here than can be served: the last slots may have been taken since the report.
	leaveUse = 0.9
	// bytePrice is the time added to the cost of a call for each byte between data centres.
	// Such traffic costs money. A call of 4 KB has to gain at least 1 ms by leaving.
	bytePrice = 250 * time.Nanosecond
	// spillMargin is the least gain, relative to the expected time here, for which a call
	// leaves. With less, calls would cross in both directions while all are equally full.
	spillMargin = 0.1
	// regionRTT and farRTT are the round-trip times assumed within a region and to another
	// region until one has been measured.
	regionRTT = 2 * time.Millisecond
	farRTT    = 100 * time.Millisecond
	// rttWeight is the weight of a call in the measured round-trip time, and maxRTT bounds what one
	// call contributes.
	rttWeight = 0.1
	maxRTT    = 500 * time.Millisecond
	// longestRTT is the longest round-trip time of a link that is not full, between distant regions.
	longestRTT = 120 * time.Millisecond
	// rttTTL is how long a measured round-trip time counts without a new call. A link that was full
	// would otherwise never be tried again.
	rttTTL = 5 * time.Second
	// measuredBytes is the length up to which calls count for the round-trip time and the mean length.
	// A longer one takes its time on the link, and would price out all others.
	measuredBytes = 64 << 10
	// A link is taken for full if the round-trip time is above slowRTTFactor times the
	// shortest one plus slowRTTSlack.
	slowRTTFactor = 2
	slowRTTSlack  = 10 * time.Millisecond
	// firstWindow is how many calls may be in flight to a data centre at first, and minWindow
	// how many at least. windowCut is the factor on the window once the link is full. Calls
	// that targets here have refused may use unprovenFactor times the window of a link that
	// has not been full.
	firstWindow    = 4
	minWindow      = 1
	windowCut      = 0.7
	unprovenFactor = 2
	// bytesWeight is the weight of a call in the mean length of calls.
	bytesWeight = 0.05
	// meanTimeWeight is the weight of a report in the mean service time of all targets.
	meanTimeWeight = 0.1
)

// Reasons for which a call leaves the data centre.
const (
	// NoTargetHere means that the data centre has no target of the service.
	NoTargetHere LeaveReason = "no_target_here"
	// NoneUsable means that all targets here fail or leave.
	NoneUsable LeaveReason = "none_usable"
	// AllTried means that all usable targets here have refused or lost the call.
	AllTried LeaveReason = "all_tried"
	// Cheaper means that the call would wait here for longer than leaving costs.
	Cheaper LeaveReason = "cheaper"
)

// spill decides which calls leave the nearest data centre, for loads in which the targets
// there are too few for a while. A call leaves if the expected time to its answer, with the
// round trip and a price for its bytes, is clearly shorter elsewhere. Only calls that would wait
// here leave, so that those that the targets here can take stay, however old the reports of
// the others are, and the wait here settles at what leaving costs.
type (
	spill struct {
		// paths holds what is known of the network paths, by data centre.
		paths map[string]*path
		// bytes is the mean length of a call with its answer, in bytes.
		bytes float64
		// meanTime is the mean service time, for targets that have not reported theirs.
		meanTime time.Duration
		// leave describes the last call for which a target was chosen. refused is set if
		// none was chosen for a call because links were full.
		leave   Leave
		refused bool
	}

	// Leave says why a call was sent to another data centre.
	Leave struct {
		// Reason is empty if the call stays.
		Reason LeaveReason
		// Here and There are the expected times to an answer, with the price of leaving.
		// They are set for Cheaper only.
		Here, There time.Duration
	}

	// LeaveReason is the name of a reason in metrics and logs.
	LeaveReason string

	// path is the network path to a data centre. Its window bounds the calls in flight, for
	// links that carry less than what would leave: calls queue up on a full link long before
	// the answer to the first of them shows it.
	path struct {
		rtt      time.Duration
		shortest time.Duration
		window   float64
		cutAt    time.Time
		// observedAt is when the round-trip time was last measured.
		observedAt time.Time
	}
)

// learnRTT records the round-trip time to a target's data centre and the length of a call.
func (t *Table) learnRTT(now time.Time, e *entry, r Report) {
	s := &t.spill
	p := s.paths[e.target.DataCentre]
	if p != nil && !r.HasLoad && (r.Outcome == Silent || r.Outcome == Failed) {
		p.cut(now) // no answer came in time
	}
	if r.Held <= 0 || r.Outcome != Complete || r.Bytes > measuredBytes {
		return
	}
	s.bytes += bytesWeight * (float64(r.Bytes) - s.bytes)
	if s.meanTime == 0 {
		s.meanTime = r.MeanTime
	}
	s.meanTime += time.Duration(meanTimeWeight * float64(r.MeanTime-s.meanTime))
	measured := min(max(r.Latency-r.Held, 0), maxRTT)
	if p == nil {
		p = &path{rtt: t.rtt(now, e.target), shortest: min(measured, longestRTT), window: firstWindow}
		if s.paths == nil {
			s.paths = map[string]*path{}
		}
		s.paths[e.target.DataCentre] = p
	}
	p.observe(now, measured, t.inFlightTo(e.target.DataCentre))
}

// observe records the round-trip time of one call, with the number of calls in flight. A
// window of which less than half is in use does not grow, because it says nothing about the
// link.
func (p *path) observe(now time.Time, measured time.Duration, inFlight int) {
	p.rtt += time.Duration(rttWeight * float64(measured-p.rtt))
	p.shortest = min(p.shortest, measured)
	p.observedAt = now
	if inFlight <= minWindow {
		// A call that is alone shows the length of the link, which may have changed.
		p.shortest += time.Duration(rttWeight * float64(min(measured, longestRTT)-p.shortest))
	}
	if measured <= slowRTTFactor*p.shortest+slowRTTSlack {
		if 2*float64(inFlight) >= p.window {
			p.window++
		}
		return
	}
	p.cut(now)
}

// cut makes the window smaller, at most once in a round-trip time.
func (p *path) cut(now time.Time) {
	if now.Sub(p.cutAt) > p.rtt {
		p.window = max(windowCut*p.window, minWindow)
		p.cutAt = now
	}
}

// window returns how many calls may be in flight to a data centre, and whether its link has
// been full.
func (t *Table) window(dataCentre string) (calls float64, wasFull bool) {
	p := t.spill.paths[dataCentre]
	if p == nil {
		return firstWindow, false
	}
	return p.window, !p.cutAt.IsZero()
}

// linkIsFull reports whether a call that the targets here have refused would wait on a full
// link, most likely until its caller has gone. If no target here is usable, calls leave all
// the same.
func (t *Table) linkIsFull(e *entry, exclude map[string]bool) bool {
	if !t.settings.SpillByCost || e.target.DataCentre == t.tiers[0][0].target.DataCentre || !t.allTried(exclude) {
		return false
	}
	window, wasFull := t.window(e.target.DataCentre)
	if !wasFull {
		window *= unprovenFactor
	}
	return float64(t.inFlightTo(e.target.DataCentre)) >= window
}

// allTried reports whether all usable targets of the nearest data centre are excluded, and
// there is one.
func (t *Table) allTried(exclude map[string]bool) bool {
	left := func(e *entry) bool { return e.usable() && !exclude[e.target.Name] }
	return slices.ContainsFunc(t.tiers[0], (*entry).usable) && !slices.ContainsFunc(t.tiers[0], left)
}

// inFlightTo returns how many calls of this node are in flight to a data centre.
func (t *Table) inFlightTo(dataCentre string) int {
	calls := 0
	for _, e := range t.entries {
		if e.target.DataCentre == dataCentre {
			calls += e.inFlight
		}
	}
	return calls
}

// rtt returns the round-trip time to a target's data centre: as measured, as declared or
// as assumed for the region.
func (t *Table) rtt(now time.Time, target Target) time.Duration {
	if p := t.spill.paths[target.DataCentre]; p != nil {
		if now.Sub(p.observedAt) >= rttTTL {
			return min(p.rtt, p.shortest)
		}
		return p.rtt
	}
	if distance, declared := t.settings.Distances[target.DataCentre]; declared {
		return 2 * distance
	}
	switch {
	case target.DataCentre == t.settings.DataCentre:
		return 0
	case target.Region == t.settings.Region:
		return regionRTT
	}
	return farRTT
}

// expectedTime returns the time to an answer that a call to the target is expected to take:
// the wait for a slot, the service time, the round trip and what a refusal costs. Queues are
// bounded, so that the wait alone does not tell a full data centre from one with twice the
// calls that it can serve.
func (t *Table) expectedTime(now time.Time, e *entry) time.Duration {
	service := e.meanTime
	if service == 0 {
		service = t.spill.meanTime
	}
	wait := max((e.load(now)+1)/e.limit()-1, 0)
	expected := time.Duration((1+wait)*float64(service)) + t.rtt(now, e.target)
	if e.refusedRecently(now) {
		expected += refusalCost
	}
	return expected + time.Duration(t.refusalShare(now, e.target.DataCentre)*float64(lossCost))
}

// refusalShare returns the share of the calls arriving in a data centre that its targets
// have to refuse, by the load offered to them as last reported. The sum over the targets
// varies less by chance than the load of each.
func (t *Table) refusalShare(now time.Time, dataCentre string) float64 {
	offered, limit := 0.0, 0.0
	for _, tier := range t.tiers {
		if tier[0].target.DataCentre != dataCentre {
			continue
		}
		for _, e := range tier {
			if e.usable() && !e.reportedAt.IsZero() && now.Sub(e.reportedAt) <= reportTTL {
				offered += e.offeredLoad
				limit += e.limit()
			}
		}
	}
	if offered <= limit {
		return 0
	}
	return 1 - limit/offered
}

// preferCheaper returns a near target unless a call would wait there and a farther one has
// slots to spare and is expected to answer clearly sooner. A call that was refused or lost already
// goes where it is expected to be answered first: the retry budget may not cover another
// refusal.
func (t *Table) preferCheaper(now time.Time, near, far []*entry, retried bool) *entry {
	nearest := t.lessLoaded(now, near)
	if !retried && t.takesCall(now, nearest) {
		return nearest
	}
	margin := spillMargin
	if retried {
		margin = 0
	}
	here := t.expectedTime(now, nearest)
	farther, there := t.cheapest(now, far)
	if farther != nil && float64(there) < (1-margin)*float64(here) {
		t.spill.leave = Leave{Reason: Cheaper, Here: here, There: there}
		return farther
	}
	return nearest
}

// takesCall reports whether a target here is expected to have a slot for a call.
func (t *Table) takesCall(now time.Time, e *entry) bool {
	use := e.load(now) / e.limit()
	if use >= 1 || e.refusedRecently(now) {
		return false
	}
	return use < leaveUse || t.refusalShare(now, e.target.DataCentre) == 0
}

// cheapest returns a target of the data centre that a call leaves for at the least cost, and
// that cost. It returns nil if the windows of all paths are in use. Targets of the same data
// centre that follow each other are compared first.
func (t *Table) cheapest(now time.Time, far []*entry) (cheapest *entry, least time.Duration) {
	for begin := 0; begin < len(far); {
		dataCentre := far[begin].target.DataCentre
		end := begin + 1
		for end < len(far) && far[end].target.DataCentre == dataCentre {
			end++
		}
		if window, _ := t.window(dataCentre); float64(t.inFlightTo(dataCentre)) < window {
			e := t.lessLoaded(now, far[begin:end])
			if cost := t.costThere(now, e); cheapest == nil || cost < least {
				cheapest, least = e, cost
			}
		}
		begin = end
	}
	return cheapest, least
}

// cheapestElsewhere returns the target of least cost if none of the usable ones is in the
// nearest data centre, or nil. It also returns nil if the windows of all paths are in use;
// linkIsFull then decides about the target that is chosen. Data centres of unknown distance
// are in the order of their names, in which all that was refused here would go to the first
// one.
func (t *Table) cheapestElsewhere(now time.Time, usable []*entry) *entry {
	isNearest := func(e *entry) bool { return e.target.DataCentre == t.tiers[0][0].target.DataCentre }
	if !t.settings.SpillByCost || slices.ContainsFunc(usable, isNearest) {
		return nil
	}
	e, _ := t.cheapest(now, usable)
	return e
}

// costThere returns the expected time to an answer of a call that leaves, with the price of
// its bytes and what it costs the callers there.
func (t *Table) costThere(now time.Time, e *entry) time.Duration {
	cost := t.expectedTime(now, e) + time.Duration(t.spill.bytes)*bytePrice
	if over := (e.load(now)+1)/e.limit() - spareUse; over > 0 {
		part := over / (1 - spareUse)
		wait := min(reserveWait*part*part, maxReserveWait)
		cost += time.Duration(wait * float64(e.meanTime))
	}
	return cost
}

// LastLeave says why the last call for which Choose returned a target leaves the data
// centre. It is empty unless calls leave by cost.
func (t *Table) LastLeave() Leave {
	return t.spill.leave
}

// LinksFull reports whether the last call for which Choose returned no target could have
// left only over a full link.
func (t *Table) LinksFull() bool {
	return t.spill.refused
}

// explainLeave records why a call to the chosen target leaves. A call that leaves because
// it is cheaper has its reason already.
func (t *Table) explainLeave(e *entry, exclude map[string]bool) {
	leave := &t.spill.leave
	if !t.settings.SpillByCost || e.target.DataCentre == t.settings.DataCentre {
		*leave = Leave{}
		return
	}
	if leave.Reason == Cheaper {
		return
	}
	switch {
	case t.tiers[0][0].target.DataCentre != t.settings.DataCentre:
		*leave = Leave{Reason: NoTargetHere}
	case t.allTried(exclude):
		*leave = Leave{Reason: AllTried}
	default:
		*leave = Leave{Reason: NoneUsable}
	}
}
