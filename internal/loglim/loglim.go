// Package loglim bounds logging: the lines of one class that are written in a period, and
// the wait for a slow reader of the log.
package loglim

import (
	"io"
	"strconv"
	"sync"
	"time"
)

type (
	// Limiter allows a limited number of lines of each class in each period. It is safe
	// for concurrent use.
	Limiter struct {
		maxLines int
		period   time.Duration

		mu      sync.Mutex
		classes map[string]*lineClass
	}

	lineClass struct {
		periodStart time.Time
		lines       int
		suppressed  int
	}

	// Writer passes lines to another writer without ever waiting for it. Lines that do
	// not fit into its buffer are dropped and counted.
	Writer struct {
		out   io.Writer
		lines chan string
		done  chan struct{}

		mu      sync.Mutex
		closed  bool
		dropped int
	}
)

// bufferLines is how many lines are buffered for a slow reader: about two seconds of a
// node under full load.
const bufferLines = 1024

// NewLimiter returns a limiter that allows up to maxLines lines of each class in a
// period.
func NewLimiter(maxLines int, period time.Duration) *Limiter {
	return &Limiter{maxLines: maxLines, period: period, classes: map[string]*lineClass{}}
}

// Allow reports whether a line may be written and, if so, how many lines of its class were
// suppressed since the last one that was written.
func (l *Limiter) Allow(now time.Time, className string) (suppressed int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.classes[className]
	if c == nil {
		c = &lineClass{periodStart: now}
		l.classes[className] = c
	}
	if now.Sub(c.periodStart) >= l.period {
		c.periodStart = now
		c.lines = 0
	}
	if c.lines >= l.maxLines {
		c.suppressed++
		return 0, false
	}
	c.lines++
	suppressed = c.suppressed
	c.suppressed = 0
	return suppressed, true
}

// NewWriter returns a Writer that writes to out from its own goroutine.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan string, bufferLines), done: make(chan struct{})}
	go w.run()
	return w
}

// Write queues one line. It never fails, since nobody could log the failure.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return len(line), nil
	}
	select {
	case w.lines <- w.droppedNotice() + string(line):
		w.dropped = 0
	default:
		w.dropped++
	}
	return len(line), nil
}

// droppedNotice returns a line with the number of lines dropped so far, or nothing if
// there are none.
func (w *Writer) droppedNotice() string {
	if w.dropped == 0 {
		return ""
	}
	return "level=warn module=trail event=lines_dropped count=" + strconv.Itoa(w.dropped) + "\n"
}

// Close waits until the queued lines are written, up to the timeout.
func (w *Writer) Close(timeout time.Duration) {
	w.mu.Lock()
	if !w.closed {
		w.closed = true
		close(w.lines)
	}
	w.mu.Unlock()
	select {
	case <-w.done:
	case <-time.After(timeout):
	}
}

func (w *Writer) run() {
	defer close(w.done)
	for line := range w.lines {
		// An error means that the output is gone, so the error cannot be reported.
		_, _ = io.WriteString(w.out, line)
	}
}
