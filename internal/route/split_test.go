package route

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"github.com/dandelionfield/dandelionfield/pkg/schema"
)

// The shares must hold over a short run of requests at each of many nodes, and over all nodes
// together.
func TestSplitsFollowWeights(t *testing.T) {
	is := is.New(t)
	kinds := []schema.Kind{{Name: "look_up", Split: []schema.Share{{Service: "old", Weight: 90}, {Service: "new", Weight: 10}, {Service: "off", Weight: 0}}}}
	random := rand.New(rand.NewPCG(3, 3))
	sum := map[string]int{}
	for range 30 {
		splits := NewSplits(kinds, random.Float64)
		counts := map[string]int{}
		for range 40 {
			service := splits.Next(&kinds[0]).Service
			counts[service]++
			sum[service]++
		}
		is.True(math.Abs(float64(counts["new"])-4) <= 1)
	}
	is.Equal(sum["off"], 0)
	is.True(math.Abs(float64(sum["new"])/1200-0.1) <= 0.01)
}

func TestKindWithoutSplitIsUnchanged(t *testing.T) {
	is := is.New(t)
	kind := schema.Kind{Name: "order", Service: "orders"}
	is.Equal(NewSplits(nil, rand.Float64).Next(&kind), &kind)
}
