package shell

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestWatchDrawsOverTheFormerStatus shows a terminal three statuses of a node that
// cannot be asked after the first.
func TestWatchDrawsOverTheFormerStatus(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	clock := &skipClock{alarms: map[chan time.Time]time.Time{}, skip: redrawInterval}
	a := &app{Seams: Seams{Clock: clock}, stdout: &out, output: outputTable}
	a.client.node = nodes{"a": seen("a", "east", at("a", "east", awaited))}.serve(t)["a"]
	is.NoErr(a.watchStatus(t.Context(), statusOptions{count: 2}, true))
	a.client.node = "127.0.0.1:1"
	is.NoErr(a.watchStatus(t.Context(), statusOptions{count: 1}, true))
	screens := strings.Split(out.String(), home)[1:]
	is.Equal(len(screens), 3)
	is.True(strings.HasPrefix(screens[1], "00:00:01")) // a second later
	is.True(strings.Contains(screens[1], "members"))
	is.True(strings.Contains(screens[2], "no connection to 127.0.0.1:1"))
	for _, screen := range screens {
		is.Equal(strings.Count(screen, "\n"), strings.Count(screen, clearLine+"\n")) // nothing of the former shows at a line's end
		is.True(strings.HasSuffix(screen, clearRest))
	}
}
