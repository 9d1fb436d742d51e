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
