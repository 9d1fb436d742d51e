package metric

import (
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
)

// Levels is a gauge whose labels come and go. It is read anew at each scrape, so that
// nothing is shown that is not known any more.
type Levels struct {
	description *prometheus.Desc
	read        atomic.Pointer[func() map[string]float64]
}

func newLevels(name, help, label string) *Levels {
	return &Levels{description: prometheus.NewDesc(prometheus.BuildFQName(namespace, "", name), help, []string{label}, nil)}
}

// From sets where the levels are read; until then there are none.
func (l *Levels) From(read func() map[string]float64) {
	l.read.Store(&read)
}

// Describe is part of a collector.
func (l *Levels) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- l.description
}

// Collect is part of a collector.
func (l *Levels) Collect(metrics chan<- prometheus.Metric) {
	read := l.read.Load()
	if read == nil {
		return
	}
	for label, level := range (*read)() {
		metrics <- prometheus.MustNewConstMetric(l.description, prometheus.GaugeValue, level, label)
	}
}

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
