package metric

import "github.com/prometheus/client_golang/prometheus"

// Keep takes in which kinds are declared, and no longer shows the others: names of
// kinds come and go with declarations, and each holds some sixty series. A request that
// was under way may bring a kind back, so that it is dropped once more the next time.
func (s *Set) Keep(declared []string) {
	kinds := make(map[string]bool, len(declared))
	for _, kind := range declared {
		kinds[kind] = true
	}
	for kind, was := range s.kinds {
		if kinds[kind] {
			continue
		}
		s.dropKind(kind)
		if was {
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
