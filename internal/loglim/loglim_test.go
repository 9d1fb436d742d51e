package loglim_test

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dandelionfield/dandelionfield/internal/loglim"
)

// blockedOutput is an output whose reader has stopped until it is released.
type blockedOutput struct {
	mu      sync.Mutex
	release chan struct{}
	text    bytes.Buffer
}

func (o *blockedOutput) Write(p []byte) (int, error) {
	<-o.release
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(p)
}

func TestLimiterBoundsLinesPerClass(t *testing.T) {
	is := is.New(t)
	limiter := loglim.NewLimiter(20, time.Second)
	now := time.Unix(1_800_000_000, 0)
	allowed := 0
	for i := range 10_000 {
		if _, ok := limiter.Allow(now.Add(time.Duration(i)*time.Millisecond/10), "refused"); ok {
			allowed++
		}
	}
	is.Equal(allowed, 20) // ten thousand in a second
	_, ok := limiter.Allow(now, "timed_out")
	is.True(ok) // another class has its own limit
	suppressed, ok := limiter.Allow(now.Add(1100*time.Millisecond), "refused")
	is.True(ok)
	is.Equal(suppressed, 9980)
}

// A reader that stops may cost lines, which are counted, but must never block the writer.
func TestWriterDoesNotBlockOnStoppedReader(t *testing.T) {
	is := is.New(t)
	out := &blockedOutput{release: make(chan struct{})}
	writer := loglim.NewWriter(out)
	written := make(chan struct{})
	const lines = 50_000
	go func() {
		defer close(written)
		for i := range lines {
			_, _ = fmt.Fprintf(writer, "line=%d\n", i)
		}
	}()
	<-written // would block forever if Write waited for the reader
	close(out.release)
	writer.Close(10 * time.Second)
	kept := strings.Count(out.text.String(), "line=")
	is.True(kept > 1000 && kept < lines)
	_, err := writer.Write([]byte("late\n"))
	is.NoErr(err)
}

func TestDroppedLinesAreReportedWithNextLine(t *testing.T) {
	is := is.New(t)
	out := &blockedOutput{release: make(chan struct{})}
	writer := loglim.NewWriter(out)
	for range 5_000 {
		_, _ = writer.Write([]byte("line\n"))
	}
	close(out.release)
	for len(out.lines()) < 1000 {
		time.Sleep(time.Millisecond)
	}
	_, _ = writer.Write([]byte("last\n"))
	writer.Close(10 * time.Second)
	is.True(strings.Contains(out.text.String(), "event=lines_dropped count="))
	is.True(strings.HasSuffix(out.text.String(), "last\n"))
}

func (o *blockedOutput) lines() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return strings.Split(o.text.String(), "\n")
}
