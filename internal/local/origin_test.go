package local

import (
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
)

// A node learns from the few calls of targets that a throttle lets through, here
// three a second, that targets make them, and does not forget it when they cease.
func TestCallsOfTargetsAreKnownByFew(t *testing.T) {
	is := is.New(t)
	o := newOrigins()
	for range 10 {
		for range 3 {
			o.count("inner", "orders")
		}
		o.fade()
	}
	is.True(o.inner("inner"))
	for range 60 {
		o.fade()
	}
	is.True(o.inner("inner"))
	for range 100 {
		o.count("inner", "orders")
		o.count("inner", "stock")
	}
	is.True(!o.inner("inner")) // callers ask for it too
}

// Requests of callers come through all nodes alike.
func TestRequestsOfCallersAreNotTakenForCallsOfTargets(t *testing.T) {
	is := is.New(t)
	o := newOrigins()
	services := []string{"orders", "stock", "lines"}
	for i := range 30 {
		o.count("direct", services[i%len(services)])
	}
	is.True(!o.inner("direct"))
}

// Since a change of weights, orders run at two services, and both make the same
// calls. They are calls of targets as long as other services make none.
func TestCallsOfTwoServicesAreCallsOfTargets(t *testing.T) {
	is := is.New(t)
	o := newOrigins()
	services := []string{"orders", "stock", "lines", "rounds"}
	for i := range 200 {
		o.count("inner", services[i%2])
		o.count("direct", services[i%4])
	}
	is.True(o.inner("inner"))
	is.True(!o.inner("direct"))
}

// Requests of callers that chance spreads unevenly stay what they are.
func TestUnevenRequestsOfCallersAreNotTakenForCallsOfTargets(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	services := []string{"orders", "stock", "lines", "rounds"}
	for range 1000 {
		o := newOrigins()
		for range 60 {
			o.count("direct", services[random.IntN(4)])
			o.count("other", services[random.IntN(4)])
			o.count("inner", services[random.IntN(2)])
		}
		if o.inner("direct") || o.inner("other") || !o.inner("inner") {
			t.Fatalf("taken wrongly: %v", o.byKind)
		}
	}
}

// What was last seen of a kind stays while there are too few calls to tell, but not
// longer than the kind is declared.
func TestOriginsOfRemovedKindsAreForgotten(t *testing.T) {
	is := is.New(t)
	o := newOrigins()
	for range 10 {
		o.count("gone", "a")
	}
	is.True(o.inner("gone"))
	for range 100 {
		o.fade()
	}
	is.True(o.inner("gone"))
	o.keep(func(string) bool { return false })
	is.Equal(o.inner("gone"), false)
	is.Equal(len(o.known)+len(o.byKind), 0)
}
