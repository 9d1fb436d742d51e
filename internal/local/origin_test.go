package local

import (
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
)

// A node recognises internal calls even if a throttle admits only a few of them, here
// three per second, and remembers the verdict when the calls stop.
func TestFewCallsSufficeForInternalKind(t *testing.T) {
	is := is.New(t)
	o := newOrigins()
	for range 10 {
		for range 3 {
			o.count("inner", "orders")
		}
		o.decay()
	}
	is.True(o.isInternal("inner"))
	for range 60 {
		o.decay()
	}
	is.True(o.isInternal("inner"))
	for range 100 {
		o.count("inner", "orders")
		o.count("inner", "stock")
	}
	is.True(!o.isInternal("inner")) // callers request the kind too
}

// Callers spread their requests evenly over all nodes.
func TestEvenOriginsAreNotInternal(t *testing.T) {
	is := is.New(t)
	o := newOrigins()
	services := []string{"orders", "stock", "lines"}
	for i := range 30 {
		o.count("direct", services[i%len(services)])
	}
	is.True(!o.isInternal("direct"))
}

// After a change of weights, orders run at two services, and both make the same calls. The
// calls count as internal as long as other services make none of them.
func TestCallsOfTwoServicesAreInternal(t *testing.T) {
	is := is.New(t)
	o := newOrigins()
	services := []string{"orders", "stock", "lines", "rounds"}
	for i := range 200 {
		o.count("inner", services[i%2])
		o.count("direct", services[i%4])
	}
	is.True(o.isInternal("inner"))
	is.True(!o.isInternal("direct"))
}

// Random unevenness in the origins of callers' requests does not make them internal.
func TestRandomUnevennessIsNotInternal(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	services := []string{"orders", "stock", "lines", "rounds"}
	for range 1000 {
		o := newOrigins()
		for range 60 {
			o.count("direct", services[random.IntN(4)])
			o.count("other", services[random.IntN(4)])
			o.count("inner", services[random.IntN(2)])
		}
		if o.isInternal("direct") || o.isInternal("other") || !o.isInternal("inner") {
			t.Fatalf("kind misclassified, counts by kind and service: %v", o.byKind)
		}
	}
}

// The last verdict on a kind is kept while there are too few calls for a new one, but only
// as long as the kind is declared.
func TestOriginsOfRemovedKindsAreForgotten(t *testing.T) {
	is := is.New(t)
	o := newOrigins()
	for range 10 {
		o.count("gone", "a")
	}
	is.True(o.isInternal("gone"))
	for range 100 {
		o.decay()
	}
	is.True(o.isInternal("gone"))
	o.retain(func(string) bool { return false })
	is.Equal(o.isInternal("gone"), false)
	is.Equal(len(o.lastKnown)+len(o.byKind), 0)
}
