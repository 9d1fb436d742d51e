package metric

import "github.com/prometheus/client_golang/prometheus"

// RetainKinds removes the series of kinds that are not declared: kinds come and go with
// declarations, and each has some sixty series. A request in flight may recreate the
// series of a kind, so they are removed once more at the next call.
func (s *Set) RetainKinds(declared []string) {
	kinds := make(map[string]bool, len(declared))
	for _, kind := range declared {
		kinds[kind] = true
	}
	for kind, wasDeclared := range s.kinds {
		if kinds[kind] {
			continue
		}
		s.dropKind(kind)
		if wasDeclared {
			kinds[kind] = false
		}
	}
	s.kinds = kinds
}

func (s *Set) dropKind(kind string) {
	label := prometheus.Labels{"kind": kind}
	s.Requests.DeletePartialMatch(label)
	s.RequestSeconds.DeletePartialMatch(label)
	s.QueueSeconds.DeletePartialMatch(label)
	s.TargetSeconds.DeletePartialMatch(label)
}
