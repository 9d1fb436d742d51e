package admit

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/dandelionfield/dandelionfield/internal/route"
	"github.com/dandelionfield/dandelionfield/pkg/schema"
)

const (
	hopTime   = time.Millisecond
	faultFrom = 5 * time.Second
	faultTo   = 15 * time.Second
	loopEnd   = 20 * time.Second
	sliceTime = 100 * time.Millisecond
	replicas  = 3
)

type (
	event struct {
		at  time.Time
		run func()
	}
	eventHeap []event

	tier struct {
		name     string
		slots    int
		workTime time.Duration
	}

	// node is a target with its gate, and what the node knows as a caller.
	node struct {
		name    string
		gate    *Gate
		door    *Door
		table   *route.Table // of the next tier
		waiting map[string]func(admitted bool)
	}

	request struct {
		call    Call
		arrived time.Duration
		repeats int
	}

	// plan is one trial. The fault lasts from faultFrom to faultTo.
	plan struct {
		name        string
		seed        uint64
		base        float64 // requests a second outside of the fault
		surge, slow float64 // factors during the fault on base and on the last tier's work time
		slowed      int     // how many targets are slow, 0 for all
		shedAt      int     // calls in flight at which the last tier sheds, 0 for never
		repeats     int     // that callers make after a refusal
		calls       int     // to the last tier, one after the other
		split       bool    // each call takes a position of its own
		hang        float64 // share of the last tier's calls that run into their deadline, during the fault
		openDoor    bool
		naive       bool // without door, order, deadlines and bound of the queue
		exponential bool // work times
		deadline    time.Duration
		wait        time.Duration
	}

	// loop runs a chain of services in virtual time.
	loop struct {
		plan               plan
		random             *rand.Rand
		start, now         time.Time
		events             eventHeap
		nodes              [][]*node // by tier
		entry              *node
		offered, completed [loopEnd / sliceTime]float64                      // by arrival
		kinds              [importances]struct{ offered, completed float64 } // that arrive during the fault
		goodput            float64                                           // requests that complete during the fault
		entered, refused   int                                               // past the door, and of these beside a target
	}
)

func (h eventHeap) Len() int           { return len(h) }
func (h eventHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h eventHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)        { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	e := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return e
}

func newLoop(p plan) *loop {
	l := &loop{plan: p, random: rand.New(rand.NewPCG(p.seed, 1)), start: time.Unix(1_000_000, 0)}
	l.now = l.start
	l.entry = &node{name: "entry", door: NewDoor()}
	callers := []*node{l.entry}
	for _, t := range chain {
		tierNodes := make([]*node, 0, replicas)
		targets := make([]route.Target, 0, replicas)
		for j := range replicas {
			s := Settings{Slots: t.slots, Queue: t.slots, QueueWait: p.wait}
			if p.naive {
				s.Queue, s.QueueWait = 1<<30, time.Hour
			}
			n := &node{name: fmt.Sprint(t.name, j), gate: NewGate(s), door: NewDoor(), waiting: map[string]func(bool){}}
			tierNodes = append(tierNodes, n)
			targets = append(targets, route.Target{Name: n.name})
		}
		for _, n := range callers {
			n.table = route.New(route.Settings{Random: l.random.Float64})
			n.table.Update(l.now, targets)
		}
		l.nodes = append(l.nodes, tierNodes)
		callers = tierNodes
	}
	return l
}

func (l *loop) after(d time.Duration, run func()) {
	heap.Push(&l.events, event{l.now.Add(d), run})
}

func (l *loop) since() time.Duration { return l.now.Sub(l.start) }

func inFault(at time.Duration) bool { return at >= faultFrom && at < faultTo }

func (l *loop) run() {
	l.after(0, func() { l.arrive(0) })
	l.after(0, l.tick)
	for l.since() < loopEnd+l.plan.deadline {
		e := heap.Pop(&l.events).(event)
		l.now = e.at
		e.run()
	}
}

func (l *loop) tick() {
	for _, tier := range l.nodes {
		for _, n := range tier {
			n.settle(n.gate.Tick(l.now))
		}
	}
	l.after(10*time.Millisecond, l.tick)
}

func (l *loop) arrive(number int) {
	rate := l.plan.base
	if inFault(l.since()) {
		rate *= l.plan.surge
	}
	l.after(time.Duration(l.random.ExpFloat64()/rate*float64(time.Second)), func() { l.arrive(number + 1) })
	importance := []schema.Importance{0, 0, 0, 1, 1, 1, 1, 1, schema.High, schema.Critical}[number%10]
	id := fmt.Sprint(number)
	call := Call{ID: id, Importance: importance, Position: Position(id, l.now), Deadline: l.now.Add(l.plan.deadline)}
	r := &request{call: call, arrived: l.since()}
	if inFault(r.arrived) {
		l.kinds[importance].offered++
	}
	if r.arrived < loopEnd {
		l.offered[r.arrived/sliceTime]++
	}
	l.enter(r)
}

func (l *loop) enter(r *request) {
	services := []string{chain[0].name, chain[1].name, chain[2].name}
	_, ok := l.entry.door.Allows(l.now, services, Order(r.call.Importance, r.call.Position))
	if !ok && !l.plan.openDoor && !l.plan.naive {
		l.ended(r, false)
		return
	}
	l.entered++
	l.send(l.entry, 0, r, func(ok bool) { l.ended(r, ok) })
}

func (l *loop) ended(r *request, ok bool) {
	if !ok && r.repeats < l.plan.repeats {
		again := *r
		again.repeats++
		again.call.ID += "+"
		l.after(time.Duration(50+l.random.IntN(100))*time.Millisecond, func() { l.enter(&again) })
		return
	}
	if !ok || l.now.After(r.call.Deadline) {
		return
	}
	if inFault(l.since()) {
		l.goodput++
	}
	if inFault(r.arrived) {
		l.kinds[r.call.Importance].completed++
	}
	if r.arrived < loopEnd {
		l.completed[r.arrived/sliceTime]++
	}
}

// send carries a call to a target of the tier, and the answer back.
func (l *loop) send(from *node, tier int, r *request, reply func(ok bool)) {
	target, _ := from.table.Choose(l.now, nil)
	at := 0
	for l.nodes[tier][at].name != target.Name {
		at++
	}
	to := l.nodes[tier][at]
	answer := func(outcome route.Outcome) {
		levels := append(to.door.Floors(l.now), Level{Service: chain[tier].name, Node: to.name, Floor: to.gate.Floor(l.now)})
		load := to.gate.Load(l.now)
		l.after(hopTime, func() {
			for _, level := range levels {
				from.door.Learn(l.now, level.Service, level.Node, level.Floor, level.Age)
			}
			from.table.Ended(l.now, to.name, route.Report{Outcome: outcome, Known: true, InFlight: load.InFlight, Limit: load.Limit, Queued: load.Queued})
			if outcome == route.Refused {
				l.refused++
			}
			reply(outcome == route.Complete)
		})
	}
	l.after(hopTime, func() { l.serve(to, tier, at, r, answer) })
}

func (l *loop) serve(n *node, tier, at int, r *request, answer func(route.Outcome)) {
	n.waiting[r.call.ID] = func(admitted bool) {
		if !admitted {
			answer(route.Refused)
			return
		}
		l.work(n, tier, at, r, answer)
	}
	call := r.call
	if l.plan.naive {
		call = Call{ID: call.ID, Deadline: call.Deadline.Add(time.Hour)}
	}
	d := n.gate.Offer(l.now, call)
	n.settle(d.Released)
	if d.Verdict != Queued {
		n.settle([]Release{{ID: call.ID, Verdict: d.Verdict}})
	}
}

// settle tells waiting calls their fate.
func (n *node) settle(released []Release) {
	for _, release := range released {
		fate := n.waiting[release.ID]
		delete(n.waiting, release.ID)
		fate(release.Verdict == Admitted)
	}
}

func (l *loop) work(n *node, tier, at int, r *request, answer func(route.Outcome)) {
	last := tier == len(chain)-1
	took := 0.5 + l.random.Float64()
	if l.plan.exponential {
		took = l.random.ExpFloat64()
	}
	if last && inFault(l.since()) && (l.plan.slowed == 0 || at < l.plan.slowed) {
		took *= l.plan.slow
	}
	work := time.Duration(took * float64(chain[tier].workTime))
	if last && inFault(l.since()) && l.random.Float64() < l.plan.hang {
		work = time.Hour
	}
	done := func(outcome Outcome, answered route.Outcome) {
		n.settle(n.gate.Done(l.now, r.call.ID, outcome))
		answer(answered)
	}
	left := r.call.Deadline.Sub(l.now)
	switch {
	case last && l.plan.shedAt > 0 && len(n.gate.running) > l.plan.shedAt:
		done(Shed, route.Refused)
	case work > left && !l.plan.naive:
		l.after(left, func() { done(TimedOut, route.Failed) })
	case last:
		l.after(work, func() { done(Completed, route.Complete) })
	default:
		l.after(work, func() {
			l.call(n, tier, r, 1, func(ok bool) {
				if ok {
					done(Completed, route.Complete)
					return
				}
				done(Completed, route.Blameless)
			})
		})
	}
}

// call makes the calls to the next tier, one after the other.
func (l *loop) call(n *node, tier int, r *request, number int, reply func(ok bool)) {
	own := *r
	if l.plan.split {
		own.call.Position = uint16(l.random.Uint32())
	}
	l.send(n, tier+1, &own, func(ok bool) {
		if ok && tier+2 == len(chain) && number < l.plan.calls {
			l.call(n, tier, r, number+1, reply)
			return
		}
		reply(ok)
	})
}
