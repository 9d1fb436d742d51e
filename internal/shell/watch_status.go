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

// statusOptions holds the flags of the status command.
type statusOptions struct {
	all   bool
	watch bool
	count int
}

const (
	// redrawInterval is the time between two updates of status --watch.
	redrawInterval = time.Second

	// These terminal escape sequences move the cursor to the top left corner, and erase to
	// the end of the line and of the screen. Overwriting the screen avoids the flicker that
	// clearing it first causes.
	cursorHome       = "\x1b[H"
	eraseToLineEnd   = "\x1b[K"
	eraseToScreenEnd = "\x1b[J"
)

// isTerminal reports whether w writes to a terminal.
func isTerminal(w io.Writer) bool {
	file, ok := w.(*os.File)
	return ok && isatty.IsTerminal(file.Fd())
}

// watchStatus shows the status each second until the context ends or it has been shown
// --count times. If the node does not respond, it is asked again after redrawInterval.
func (a *app) watchStatus(ctx context.Context, options statusOptions, terminal bool) error {
	for shown := 1; ; shown++ {
		status, err := a.client.status(ctx)
		if ctx.Err() != nil {
			return nil
		}
		if errorx.IsOfType(err, BadInput) || errorx.IsOfType(err, Refused) {
			return err
		}
		if err := a.writeLiveStatus(status, err, options, terminal); err != nil {
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

// writeLiveStatus redraws the screen of a terminal. Otherwise it writes one plain line, or
// one document in the requested output format.
func (a *app) writeLiveStatus(status admin.Status, statusErr error, options statusOptions, terminal bool) error {
	if a.output == outputTable && terminal {
		return a.redraw(status, statusErr, options.all)
	}
	if statusErr != nil {
		_, _ = fmt.Fprintln(a.stderr, errorText(statusErr))
		return nil
	}
	switch a.output {
	case outputJSON:
		return json.NewEncoder(a.stdout).Encode(status)
	case outputYAML:
		_, _ = fmt.Fprintln(a.stdout, "---")
		return printYAML(a.stdout, status)
	}
	_, err := fmt.Fprintln(a.stdout, a.statusLine(status))
	return err
}

// redraw overwrites the previous status on the terminal.
func (a *app) redraw(status admin.Status, statusErr error, all bool) error {
	var text bytes.Buffer
	drawn := &app{stdout: &text, output: outputTable}
	_, _ = fmt.Fprintf(&text, "%s  %s\n", a.Clock.Now().UTC().Format(time.TimeOnly), a.client.node)
	if statusErr != nil {
		_, _ = fmt.Fprintln(&text, errorText(statusErr))
	} else if err := drawn.print(status, func(w io.Writer) { printStatus(w, status, all) }); err != nil {
		return err
	}
	lines := strings.ReplaceAll(text.String(), "\n", eraseToLineEnd+"\n")
	_, err := io.WriteString(a.stdout, cursorHome+lines+eraseToScreenEnd)
	return err
}

// statusLine returns the status as one line of key=value pairs: the totals of all services,
// and the conditions.
func (a *app) statusLine(status admin.Status) string {
	var line strings.Builder
	writePair(&line, "time", a.Clock.Now().UTC().Format(timeLayout))
	writePair(&line, "node", status.Node)
	writePair(&line, "revision", fmt.Sprint(status.Rollout.Revision))
	writePair(&line, "members", fmt.Sprint(status.Rollout.Members))
	writePair(&line, "lagging", fmt.Sprint(len(status.Rollout.Lagging)))
	var sum targetTotals
	targets := 0
	for _, service := range status.Services {
		t := sumTargets(service)
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
		writePair(&line, condition.Type, yesNo(condition.Holds))
		if condition.Action != "" {
			writePair(&line, "action", condition.Action)
		}
	}
	return line.String()
}
