package metric

import (
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
)

// DynamicGauge is a gauge whose label values come and go. It is read at each scrape, so
// that values no longer known are not exported.
type DynamicGauge struct {
	description *prometheus.Desc
	read        atomic.Pointer[func() map[string]float64]
}

// ScrapedGauge is a gauge without labels that is read at each scrape.
type ScrapedGauge struct {
	description *prometheus.Desc
	read        atomic.Pointer[func() float64]
}

func newScrapedGauge(name, help string) *ScrapedGauge {
	return &ScrapedGauge{description: prometheus.NewDesc(prometheus.BuildFQName(namespace, "", name), help, nil, nil)}
}

// SetSource sets the function that returns the value. Until then there is none.
func (g *ScrapedGauge) SetSource(read func() float64) {
	g.read.Store(&read)
}

// Describe implements prometheus.Collector.
func (g *ScrapedGauge) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- g.description
}

// Collect implements prometheus.Collector.
func (g *ScrapedGauge) Collect(metrics chan<- prometheus.Metric) {
	if read := g.read.Load(); read != nil {
		metrics <- prometheus.MustNewConstMetric(g.description, prometheus.GaugeValue, (*read)())
	}
}

func newDynamicGauge(name, help, label string) *DynamicGauge {
	return &DynamicGauge{description: prometheus.NewDesc(prometheus.BuildFQName(namespace, "", name), help, []string{label}, nil)}
}

// SetSource sets the function that returns the values by label. Until then there are none.
func (g *DynamicGauge) SetSource(read func() map[string]float64) {
	g.read.Store(&read)
}

// Describe implements prometheus.Collector.
func (g *DynamicGauge) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- g.description
}

// Collect implements prometheus.Collector.
func (g *DynamicGauge) Collect(metrics chan<- prometheus.Metric) {
	read := g.read.Load()
	if read == nil {
		return
	}
	for label, value := range (*read)() {
		metrics <- prometheus.MustNewConstMetric(g.description, prometheus.GaugeValue, value, label)
	}
}
