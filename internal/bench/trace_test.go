package bench

import (
	"math"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestNewTrace(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := LoadConfig{
			Seed:    rapid.Uint64().Draw(t, "seed"),
			Entries: make([]string, rapid.IntRange(1, 5).Draw(t, "entries")),
			Mix:     map[string]float64{"a": 0.1, "b": 0.2, "c": 0.7},
		}
		for i := range rapid.IntRange(1, 4).Draw(t, "phases") {
			config.Phases = append(config.Phases, Phase{
				Name:     string(rune('a' + i)),
				Duration: time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond,
				Rate:     float64(rapid.IntRange(0, 900).Draw(t, "rate")),
			})
		}
		arrivals := NewTrace(config)
		if !slices.Equal(arrivals, NewTrace(config)) {
			t.Fatal("the same seed gave a different trace")
		}
		start, next, mean := time.Duration(0), 0, 0.0
		for _, phase := range config.Phases {
			for next < len(arrivals) && arrivals[next].Phase == phase.Name {
				arrival := arrivals[next]
				if arrival.At < start || arrival.At >= start+phase.Duration || arrival.Entry >= len(config.Entries) {
					t.Fatalf("%+v is outside phase %+v", arrival, phase)
				}
				next++
			}
			start += phase.Duration
			mean += phase.Rate * phase.Duration.Seconds()
		}
		if next != len(arrivals) {
			t.Fatal("arrivals are out of order")
		}
		// The tolerance is seven standard deviations of a Poisson variable, plus 10 for
		// small means.
		if math.Abs(float64(len(arrivals))-mean) > 7*math.Sqrt(mean)+10 {
			t.Fatalf("%d arrivals; the mean is %f", len(arrivals), mean)
		}
	})
}

func TestTraceFileRoundTrip(t *testing.T) {
	is := is.New(t)
	config := LoadConfig{Seed: 3, Mix: map[string]float64{"a": 1, "b": 2},
		Phases: []Phase{{Name: "calm", Duration: time.Second, Rate: 100}}}
	arrivals := NewTrace(config)
	path := filepath.Join(t.TempDir(), "trace.json")
	is.NoErr(WriteTrace(path, arrivals))
	reread, err := ReadTrace(path)
	is.NoErr(err)
	is.Equal(reread, arrivals)
}
