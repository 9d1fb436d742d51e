package route

import (
	"sync"

	"github.com/dandelionfield/dandelionfield/pkg/schema"
)

type (
	// Splits deals the requests of split kinds out to their services. It is safe
	// for concurrent use.
	Splits struct {
		mu     sync.Mutex
		byName map[string]*split
	}

	// split deals by smooth weighted round robin: each part gains its weight with
	// every request, the richest part gets the request and pays for it, so that
	// the shares hold over any stretch and not only on average.
	split struct {
		parts []part
		total float64
	}

	part struct {
		kind   *schema.Kind
		weight float64
		credit float64
	}
)

// NewSplits returns the splits of the kinds that have one. Each begins at a
// random point, so that many nodes do not deal in step.
func NewSplits(kinds []schema.Kind, random func() float64) *Splits {
	s := &Splits{byName: map[string]*split{}}
	for i := range kinds {
		if len(kinds[i].Split) > 0 {
			s.byName[kinds[i].Name] = newSplit(&kinds[i], random)
		}
	}
	return s
}

// Next returns the kind with the one service that its next request goes to.
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
		whole := *kind
		whole.Service = share.Service
		weight := float64(share.Weight)
		s.total += weight
		s.parts = append(s.parts, part{kind: &whole, weight: weight, credit: random() * weight})
	}
	return s
}

func (s *split) next() *schema.Kind {
	richest := &s.parts[0]
	for i := range s.parts {
		p := &s.parts[i]
		p.credit += p.weight
		if p.weight > 0 && (richest.weight <= 0 || p.credit > richest.credit) {
			richest = p
		}
	}
	richest.credit -= s.total
	return richest.kind
}
