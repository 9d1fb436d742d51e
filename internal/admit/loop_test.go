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
	hopTime       = time.Millisecond
	faultFrom     = 5 * time.Second
	faultTo       = 15 * time.Second
	simulationEnd = 20 * time.Second
	sliceTime     = 100 * time.Millisecond
	replicas      = 3
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

	// node is the node beside a target: the target's gate, and what the node needs to make
	// calls. The entry node has no gate.
	node struct {
		name      string
		gate      *Gate
		entryGate *EntryGate
		table     *route.Table // targets of the next tier
		waiting   map[string]func(admitted bool)
	}

	request struct {
		call    Call
		arrived time.Duration
		retries int
	}

	// scenario configures one simulation. The fault lasts from faultFrom to faultTo.
	scenario struct {
		name            string
		seed            uint64
		base            float64 // requests a second outside of the fault
		surge, slow     float64 // factors on base and on the last tier's work time during the fault
		slowed          int     // number of slow targets, 0 for all
		shedAt          int     // calls in flight at which the last tier sheds, 0 for never
		retries         int     // retries by callers after a rejection
		calls           int     // sequential calls to the last tier
		positionPerCall bool    // each call has its own position
		hangShare       float64 // share of the last tier's calls that time out during the fault
		admitAll        bool    // the entry node admits all requests
		naive           bool    // no rejection at the entry, no order, no deadlines, unbounded queues
		exponential     bool    // exponentially distributed work times
		deadline        time.Duration
		wait            time.Duration
	}

	// eventLoop is a simulation of a chain of services in virtual time.
	eventLoop struct {
		scenario           scenario
		random             *rand.Rand
		start, now         time.Time
		events             eventHeap
		nodes              [][]*node // by tier
		entry              *node
		offered, completed [simulationEnd / sliceTime]float64                    // requests by time of arrival
		kinds              [importanceCount]struct{ offered, completed float64 } // requests that arrive during the fault
		goodput            float64                                               // requests that complete during the fault
		entered, refused   int                                                   // requests admitted at the entry, and calls rejected at a target
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

func newEventLoop(sc scenario) *eventLoop {
	l := &eventLoop{scenario: sc, random: rand.New(rand.NewPCG(sc.seed, 1)), start: time.Unix(1_000_000, 0)}
	l.now = l.start
	l.entry = &node{name: "entry", entryGate: NewEntryGate()}
	callers := []*node{l.entry}
	for _, t := range chain {
		tierNodes := make([]*node, 0, replicas)
		targets := make([]route.Target, 0, replicas)
		for j := range replicas {
			s := Settings{Slots: t.slots, Queue: t.slots, QueueWait: sc.wait}
			if sc.naive {
				s.Queue, s.QueueWait = 1<<30, time.Hour
			}
			n := &node{name: fmt.Sprint(t.name, j), gate: NewGate(s), entryGate: NewEntryGate(), waiting: map[string]func(bool){}}
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

func (l *eventLoop) after(d time.Duration, run func()) {
	heap.Push(&l.events, event{l.now.Add(d), run})
}

func (l *eventLoop) since() time.Duration { return l.now.Sub(l.start) }

func inFault(at time.Duration) bool { return at >= faultFrom && at < faultTo }

func (l *eventLoop) run() {
	l.after(0, func() { l.arrive(0) })
	l.after(0, l.tick)
	for l.since() < simulationEnd+l.scenario.deadline {
		e := heap.Pop(&l.events).(event)
		l.now = e.at
		e.run()
	}
}

func (l *eventLoop) tick() {
	for _, tier := range l.nodes {
		for _, n := range tier {
			n.deliver(n.gate.Tick(l.now))
		}
	}
	l.after(10*time.Millisecond, l.tick)
}

func (l *eventLoop) arrive(number int) {
	rate := l.scenario.base
	if inFault(l.since()) {
		rate *= l.scenario.surge
	}
	l.after(time.Duration(l.random.ExpFloat64()/rate*float64(time.Second)), func() { l.arrive(number + 1) })
	importance := []schema.Importance{0, 0, 0, 1, 1, 1, 1, 1, schema.High, schema.Critical}[number%10]
	id := fmt.Sprint(number)
	call := Call{ID: id, Importance: importance, Position: Position(id, l.now), Deadline: l.now.Add(l.scenario.deadline)}
	r := &request{call: call, arrived: l.since()}
	if inFault(r.arrived) {
		l.kinds[importance].offered++
	}
	if r.arrived < simulationEnd {
		l.offered[r.arrived/sliceTime]++
	}
	l.enter(r)
}

func (l *eventLoop) enter(r *request) {
	services := []string{chain[0].name, chain[1].name, chain[2].name}
	_, ok := l.entry.entryGate.Allows(l.now, services, Order(r.call.Importance, r.call.Position))
	if !ok && !l.scenario.admitAll && !l.scenario.naive {
		l.ended(r, false)
		return
	}
	l.entered++
	l.send(l.entry, 0, r, func(ok bool) { l.ended(r, ok) })
}

func (l *eventLoop) ended(r *request, ok bool) {
	if !ok && r.retries < l.scenario.retries {
		again := *r
		again.retries++
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
	if r.arrived < simulationEnd {
		l.completed[r.arrived/sliceTime]++
	}
}

// send delivers a call to a target of the tier, and the answer to the caller.
func (l *eventLoop) send(from *node, tier int, r *request, reply func(ok bool)) {
	target, _ := from.table.Choose(l.now, nil)
	at := 0
	for l.nodes[tier][at].name != target.Name {
		at++
	}
	to := l.nodes[tier][at]
	answer := func(outcome route.Outcome) {
		levels := append(to.entryGate.Levels(l.now), Level{Service: chain[tier].name, Node: to.name, Floor: to.gate.Floor(l.now)})
		load := to.gate.Load(l.now)
		l.after(hopTime, func() {
			for _, level := range levels {
				from.entryGate.Learn(l.now, level.Service, level.Node, level.Floor, level.Age)
			}
			from.table.Ended(l.now, to.name, route.Report{Outcome: outcome, HasLoad: true, InFlight: load.InFlight, Limit: load.Limit, Queued: load.Queued})
			if outcome == route.Refused {
				l.refused++
			}
			reply(outcome == route.Complete)
		})
	}
	l.after(hopTime, func() { l.serve(to, tier, at, r, answer) })
}

func (l *eventLoop) serve(n *node, tier, at int, r *request, answer func(route.Outcome)) {
	n.waiting[r.call.ID] = func(admitted bool) {
		if !admitted {
			answer(route.Refused)
			return
		}
		l.work(n, tier, at, r, answer)
	}
	call := r.call
	if l.scenario.naive {
		call = Call{ID: call.ID, Deadline: call.Deadline.Add(time.Hour)}
	}
	d := n.gate.Offer(l.now, call)
	n.deliver(d.Released)
	if d.Verdict != Queued {
		n.deliver([]Release{{ID: call.ID, Verdict: d.Verdict}})
	}
}

// deliver passes the decisions on to the queued calls.
func (n *node) deliver(released []Release) {
	for _, release := range released {
		notify := n.waiting[release.ID]
		delete(n.waiting, release.ID)
		notify(release.Verdict == Admitted)
	}
}

func (l *eventLoop) work(n *node, tier, at int, r *request, answer func(route.Outcome)) {
	last := tier == len(chain)-1
	took := 0.5 + l.random.Float64()
	if l.scenario.exponential {
		took = l.random.ExpFloat64()
	}
	if last && inFault(l.since()) && (l.scenario.slowed == 0 || at < l.scenario.slowed) {
		took *= l.scenario.slow
	}
	work := time.Duration(took * float64(chain[tier].workTime))
	if last && inFault(l.since()) && l.random.Float64() < l.scenario.hangShare {
		work = time.Hour
	}
	done := func(outcome Outcome, answered route.Outcome) {
		n.deliver(n.gate.Done(l.now, r.call.ID, outcome))
		answer(answered)
	}
	left := r.call.Deadline.Sub(l.now)
	switch {
	case last && l.scenario.shedAt > 0 && len(n.gate.running) > l.scenario.shedAt:
		done(Shed, route.Refused)
	case work > left && !l.scenario.naive:
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

// call makes the calls to the next tier sequentially.
func (l *eventLoop) call(n *node, tier int, r *request, number int, reply func(ok bool)) {
	own := *r
	if l.scenario.positionPerCall {
		own.call.Position = uint16(l.random.Uint32())
	}
	l.send(n, tier+1, &own, func(ok bool) {
		if ok && tier+2 == len(chain) && number < l.scenario.calls {
			l.call(n, tier, r, number+1, reply)
			return
		}
		reply(ok)
	})
}
