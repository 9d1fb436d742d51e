package shell

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"sync"

	"github.com/hashicorp/go-hclog"

	"github.com/dandelionfield/dandelionfield/internal/clock"
)

// lineSink writes each log event as one line of key=value pairs:
//
//	time=2026-03-01T10:00:00.000Z level=info module=node event="revision accepted" revision=7
type lineSink struct {
	mutex sync.Mutex
	out   io.Writer
	level hclog.Level
	clock clock.Clock
}

// timeLayout is the format of UTC times with milliseconds.
const timeLayout = "2006-01-02T15:04:05.000Z"

// newLogger returns a logger whose lines consist of key=value pairs only. Lines in hclog's
// own format begin with a time and a level that have no keys, so a lineSink writes the lines
// instead.
func newLogger(level string, out io.Writer, clock clock.Clock) hclog.Logger {
	threshold := hclog.LevelFromString(level)
	logger := hclog.NewInterceptLogger(&hclog.LoggerOptions{Level: threshold, Output: io.Discard})
	logger.RegisterSink(&lineSink{out: out, level: threshold, clock: clock})
	return logger
}

// Accept implements hclog.SinkAdapter. It writes one event.
func (s *lineSink) Accept(name string, level hclog.Level, event string, args ...any) {
	if level < s.level {
		return
	}
	var line strings.Builder
	writePair(&line, "time", s.clock.Now().UTC().Format(timeLayout))
	writePair(&line, "level", level.String())
	if name != "" {
		writePair(&line, "module", name)
	}
	writePair(&line, "event", event)
	for i := 0; i+1 < len(args); i += 2 {
		writePair(&line, fmt.Sprint(args[i]), fmt.Sprint(args[i+1]))
	}
	if len(args)%2 != 0 {
		writePair(&line, hclog.MissingKey, fmt.Sprint(args[len(args)-1]))
	}
	line.WriteByte('\n')
	s.mutex.Lock()
	defer s.mutex.Unlock()
	_, _ = io.WriteString(s.out, line.String())
}

// writePair appends a key=value pair to the line. It quotes empty values and values that
// could not be parsed unquoted.
func writePair(line *strings.Builder, key, value string) {
	if line.Len() > 0 {
		line.WriteByte(' ')
	}
	if value == "" || strings.ContainsAny(value, " =\"") || strconv.Quote(value) != `"`+value+`"` {
		value = strconv.Quote(value)
	}
	line.WriteString(key + "=" + value)
}
