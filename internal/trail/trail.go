// Package trail keeps logs bounded: the lines of one class that go out in a
// period, and the wait for whoever reads them.
package trail

import (
	"io"
	"strconv"
	"sync"
	"time"
)

type (
	// Limiter lets a number of lines of each class out in each period. It is safe
	// for concurrent use.
	Limiter struct {
		most   int
		period time.Duration

		mu      sync.Mutex
		classes map[string]*class
	}

	class struct {
		began   time.Time
		lines   int
		leftOut int
	}

	// Writer hands lines to another writer without ever waiting for it. Lines that
	// find its buffer full are dropped and counted.
	Writer struct {
		out   io.Writer
		lines chan string
		done  chan struct{}

		mu      sync.Mutex
		closed  bool
		dropped int
	}
)

// bufferedLines is how many lines wait for a slow reader: some two seconds of a
// node under full load.
const bufferedLines = 1024

// NewLimiter returns a limiter for that many lines of each class in a period.
func NewLimiter(most int, period time.Duration) *Limiter {
	return &Limiter{most: most, period: period, classes: map[string]*class{}}
}

// Allow says whether a line may go out, and how many of its class were left out
// since the last one that did.
func (l *Limiter) Allow(now time.Time, name string) (leftOut int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.classes[name]
	if c == nil {
		c = &class{began: now}
		l.classes[name] = c
	}
	if now.Sub(c.began) >= l.period {
		c.began = now
		c.lines = 0
	}
	if c.lines >= l.most {
		c.leftOut++
		return 0, false
	}
	c.lines++
	leftOut = c.leftOut
	c.leftOut = 0
	return leftOut, true
}

// NewWriter returns a writer that writes to out from a goroutine of its own.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan string, bufferedLines), done: make(chan struct{})}
	go w.run()
	return w
}

// Write takes one line. It never fails, since nobody could log that.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return len(line), nil
	}
	select {
	case w.lines <- w.notice() + string(line):
		w.dropped = 0
	default:
		w.dropped++
	}
	return len(line), nil
}

// notice says how many lines were dropped before the one that goes out.
func (w *Writer) notice() string {
	if w.dropped == 0 {
		return ""
	}
	return "level=warn module=trail event=lines_dropped count=" + strconv.Itoa(w.dropped) + "\n"
}

// Close waits until what was taken is written, for the patience at most.
func (w *Writer) Close(patience time.Duration) {
	w.mu.Lock()
	if !w.closed {
		w.closed = true
		close(w.lines)
	}
	w.mu.Unlock()
	select {
	case <-w.done:
	case <-time.After(patience):
	}
}

func (w *Writer) run() {
	defer close(w.done)
	for line := range w.lines {
		// Where the output is gone there is nobody left to tell.
		_, _ = io.WriteString(w.out, line)
	}
}
