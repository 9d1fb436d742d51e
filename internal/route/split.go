package route

import (
	"sync"

	"github.com/dandelionfield/dandelionfield/pkg/schema"
)

type (
	// Splits distributes the requests of kinds with a traffic split among the services of
	// the split. It is safe for concurrent use.
	Splits struct {
		mu     sync.Mutex
		byName map[string]*split
	}

	// split distributes requests by smooth weighted round robin. With each request, the
	// credit of every part grows by its weight; the part with the most credit gets the
	// request, and its credit falls by the sum of the weights. The shares therefore hold
	// over any run of requests and not only on average.
	split struct {
		parts []part
		total float64
	}

	// part is one service of a split, with the kind as resolved to this service.
	part struct {
		kind   *schema.Kind
		weight float64
		credit float64
	}
)

// NewSplits returns the splits of the kinds that have one. Each starts with random credits,
// so that many nodes do not choose the services in lockstep.
func NewSplits(kinds []schema.Kind, random func() float64) *Splits {
	s := &Splits{byName: map[string]*split{}}
	for i := range kinds {
		if len(kinds[i].Split) > 0 {
			s.byName[kinds[i].Name] = newSplit(&kinds[i], random)
		}
	}
	return s
}

// Next returns the kind with its service set to the one that the next request goes to.
func (s *Splits) Next(kind *schema.Kind) *schema.Kind {
	if len(kind.Split) == 0 {
		return kind
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.byName[kind.Name]
	if known == nil {
		return kind
	}
	return known.next()
}

func newSplit(kind *schema.Kind, random func() float64) *split {
	s := &split{}
	for _, share := range kind.Split {
		resolved := *kind
		resolved.Service = share.Service
		weight := float64(share.Weight)
		s.total += weight
		s.parts = append(s.parts, part{kind: &resolved, weight: weight, credit: random() * weight})
	}
	return s
}

// next picks the part that gets the next request, and returns its kind.
func (s *split) next() *schema.Kind {
	selected := &s.parts[0]
	for i := range s.parts {
		p := &s.parts[i]
		p.credit += p.weight
		if p.weight > 0 && (selected.weight <= 0 || p.credit > selected.credit) {
			selected = p
		}
	}
	selected.credit -= s.total
	return selected.kind
}
