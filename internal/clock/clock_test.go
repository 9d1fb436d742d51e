package clock_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dandelionfield/dandelionfield/internal/clock"
)

func TestSinceTakesTheLongerOfTheClocks(t *testing.T) {
	is := is.New(t)
	then := time.Now()
	is.Equal(clock.Since(then.Add(time.Second), then), time.Second)
	// Without a monotonic reading the wall clock decides.
	is.Equal(clock.Since(then.Add(time.Hour).Round(0), then), time.Hour)
	is.Equal(clock.Since(then, then), time.Duration(0))
}
