package main

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// record writes record.txt: one line for each request, answer, run and message.
type record struct {
	mu    sync.Mutex
	file  *os.File
	lines *bufio.Writer
	began time.Time
}

func newRecord(folder string) (*record, error) {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &record{file: file, lines: bufio.NewWriter(file), began: time.Now()}, nil
}

// note writes a line with the seconds since the start.
func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.lines, "%8.3f ", time.Since(r.began).Seconds())
	_, _ = fmt.Fprintf(r.lines, format+"\n", args...)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.lines.Flush()
	_ = r.file.Close()
}
