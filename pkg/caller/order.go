package caller

import "time"

// nodeOrder remembers which nodes did not answer recently, so that requests try other nodes
// first. It is not safe for concurrent use.
type nodeOrder struct {
	// avoidUntil maps the address of a node to the time until which it is tried last.
	avoidUntil map[string]time.Time
}

// avoidTime is how long a node that did not answer is tried last.
const avoidTime = 5 * time.Second

// sorted returns all nodes, starting at the position and wrapping around. Nodes that did
// not answer recently come after the others.
func (o *nodeOrder) sorted(now time.Time, nodes []string, position int) []string {
	sorted := make([]string, 0, len(nodes))
	var avoided []string
	for i := range nodes {
		node := nodes[(position+i)%len(nodes)]
		if now.Before(o.avoidUntil[node]) {
			avoided = append(avoided, node)
			continue
		}
		sorted = append(sorted, node)
	}
	return append(sorted, avoided...)
}

// recordAttempt records whether a node answered. A rejection counts as an answer.
func (o *nodeOrder) recordAttempt(now time.Time, node string, answered bool) {
	if answered {
		delete(o.avoidUntil, node)
		return
	}
	if o.avoidUntil == nil {
		o.avoidUntil = map[string]time.Time{}
	}
	o.avoidUntil[node] = now.Add(avoidTime)
}
