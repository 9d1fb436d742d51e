package gopool_test

import (
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dandelionfield/dandelionfield/internal/gopool"
)

// A function never waits for another one, however many there are.
func TestFunctionsRunConcurrently(t *testing.T) {
	pool := gopool.New(4)
	const count = 100
	var begun, ended sync.WaitGroup
	release := make(chan struct{})
	for range 3 {
		begun.Add(count)
		ended.Add(count)
		for range count {
			pool.Go(func() {
				begun.Done()
				<-release
				ended.Done()
			})
		}
		begun.Wait()
		close(release)
		ended.Wait()
		release = make(chan struct{})
	}
}

// The number of idle goroutines stays within MaxIdle.
func TestIdleGoroutineLimitIsEnforced(t *testing.T) {
	is := is.New(t)
	before := runtime.NumGoroutine()
	pool := gopool.New(4)
	var done sync.WaitGroup
	for range 200 {
		done.Add(1)
		pool.Go(done.Done)
	}
	done.Wait()
	for end := time.Now().Add(5 * time.Second); runtime.NumGoroutine() > before+4; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d additional goroutines after 5 s", runtime.NumGoroutine()-before)
		}
	}
	is.True(runtime.NumGoroutine() <= before+4)
}
