package local

import (
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
