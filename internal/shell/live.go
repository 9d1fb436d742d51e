package shell

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/joomcode/errorx"
	"github.com/mattn/go-isatty"

	"github.com/dandelionfield/dandelionfield/internal/admin"
)

// statusOptions holds the flags of status.
type statusOptions struct {
	all   bool
	watch bool
	count int
}

const (
	// redrawInterval is the time between two statuses of status --watch.
	redrawInterval = time.Second

	// home, clearLine and clearRest move a terminal to its first line, and clear
	// the rest of a line and of the screen. A screen that is written over does
	// not flicker as one does that is cleared first.
	home      = "\x1b[H"
	clearLine = "\x1b[K"
	clearRest = "\x1b[J"
)

// isTerminal says whether somebody looks at what is written.
func isTerminal(w io.Writer) bool {
	file, ok := w.(*os.File)
	return ok && isatty.IsTerminal(file.Fd())
}

// watchStatus shows the status each second until the context ends, or as often as
// was asked for. A node that gives no answer is asked again.
func (a *app) watchStatus(ctx context.Context, options statusOptions, terminal bool) error {
	for shown := 1; ; shown++ {
		status, err := a.client.status(ctx)
		if ctx.Err() != nil {
			return nil
		}
		if errorx.IsOfType(err, BadInput) || errorx.IsOfType(err, Refused) {
			return err
		}
		if err := a.showLive(status, err, options, terminal); err != nil {
			return err
		}
		if shown == options.count {
			return nil
		}
		select {
		case <-ctx.Done():
			return nil
		case <-a.Clock.After(redrawInterval):
		}
	}
}

// showLive draws a screen on a terminal. Elsewhere it writes one plain line, or
// one document of the form that was asked for.
func (a *app) showLive(status admin.Status, lost error, options statusOptions, terminal bool) error {
	if a.output == outputTable && terminal {
		return a.redraw(status, lost, options.all)
	}
	if lost != nil {
		_, _ = fmt.Fprintln(a.stderr, message(lost))
		return nil
	}
	switch a.output {
	case outputJSON:
		return json.NewEncoder(a.stdout).Encode(status)
	case outputYAML:
		_, _ = fmt.Fprintln(a.stdout, "---")
		return printYAML(a.stdout, status)
	}
	_, err := fmt.Fprintln(a.stdout, a.plainLine(status))
	return err
}

// redraw writes the status over the former one.
func (a *app) redraw(status admin.Status, lost error, all bool) error {
	var text bytes.Buffer
	drawn := &app{stdout: &text, output: outputTable}
	_, _ = fmt.Fprintf(&text, "%s  %s\n", a.Clock.Now().UTC().Format(time.TimeOnly), a.client.node)
	if lost != nil {
		_, _ = fmt.Fprintln(&text, message(lost))
	} else if err := drawn.print(status, func(w io.Writer) { printStatus(w, status, all) }); err != nil {
		return err
	}
	lines := strings.ReplaceAll(text.String(), "\n", clearLine+"\n")
	_, err := io.WriteString(a.stdout, home+lines+clearRest)
	return err
}

// plainLine is the status as one line of key=value pairs: the conditions, and the
// totals of all services.
func (a *app) plainLine(status admin.Status) string {
	var line strings.Builder
	writePair(&line, "time", a.Clock.Now().UTC().Format(timeLayout))
	writePair(&line, "node", status.Node)
	writePair(&line, "revision", fmt.Sprint(status.Rollout.Revision))
	writePair(&line, "members", fmt.Sprint(status.Rollout.Members))
	writePair(&line, "lagging", fmt.Sprint(len(status.Rollout.Lagging)))
	var sum total
	targets := 0
	for _, service := range status.Services {
		t := totalOf(service)
		targets += len(service.Targets)
		sum.ready += t.ready
		sum.ejected += t.ejected
		sum.stopped += t.stopped
		sum.inFlight += t.inFlight
		sum.queued += t.queued
	}
	writePair(&line, "ready", fmt.Sprintf("%d/%d", sum.ready, targets))
	writePair(&line, "ejected", fmt.Sprint(sum.ejected))
	writePair(&line, "stopped", fmt.Sprint(sum.stopped))
	writePair(&line, "in_flight", fmt.Sprint(sum.inFlight))
	writePair(&line, "queued", fmt.Sprint(sum.queued))
	for _, condition := range status.Conditions {
		writePair(&line, condition.Type, yes(condition.Holds))
		if condition.Action != "" {
			writePair(&line, "action", condition.Action)
		}
	}
	return line.String()
}
