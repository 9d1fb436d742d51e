package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record keeps what happened in a trial, with the time since its start.
type record struct {
	started time.Time

	mu    sync.Mutex
	lines []string
}

func newRecord() *record {
	return &record{started: time.Now()}
}

// add appends one line and returns the time that it carries.
func (r *record) add(format string, values ...any) time.Time {
	now := time.Now()
	text := fmt.Sprintf(format, values...)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, fmt.Sprintf("%8.3f %s", now.Sub(r.started).Seconds(), text))
	return now
}

// say adds a line and prints it as well.
func (r *record) say(format string, values ...any) time.Time {
	fmt.Printf(format+"\n", values...)
	return r.add(format, values...)
}

// since returns the seconds from the start of the trial to a time.
func (r *record) since(at time.Time) float64 {
	return at.Sub(r.started).Seconds()
}

func (r *record) write(file string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	out, err := os.Create(file)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	buffered := bufio.NewWriter(out)
	for _, line := range r.lines {
		_, _ = fmt.Fprintln(buffered, line)
	}
	return buffered.Flush()
}
