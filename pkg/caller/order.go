package caller

import "time"

// order keeps in mind which nodes gave no answer, so that requests begin at
// others for a while. It is not safe for concurrent use.
type order struct {
	until map[string]time.Time
}

// avoidTime is how long a node that gave no answer comes after the others.
const avoidTime = 5 * time.Second

// nodes returns all nodes, beginning at the position and going round, with
// those that gave no answer lately after the others.
func (o *order) nodes(now time.Time, nodes []string, position int) []string {
	sorted := make([]string, 0, len(nodes))
	var avoided []string
	for i := range nodes {
		node := nodes[(position+i)%len(nodes)]
		if now.Before(o.until[node]) {
			avoided = append(avoided, node)
			continue
		}
		sorted = append(sorted, node)
	}
	return append(sorted, avoided...)
}

// ended takes in whether a node gave an answer, be it a refusal.
func (o *order) ended(now time.Time, node string, answered bool) {
	if answered {
		delete(o.until, node)
		return
	}
	if o.until == nil {
		o.until = map[string]time.Time{}
	}
	o.until[node] = now.Add(avoidTime)
}
