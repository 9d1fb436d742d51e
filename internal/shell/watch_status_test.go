package shell

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestWatchStatusErasesPreviousScreen draws three screens on a terminal: two of a node
// that responds, and one of a node that cannot be reached. Each screen has to erase what
// is left of the previous one.
func TestWatchStatusErasesPreviousScreen(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	clock := &skipClock{timers: map[chan time.Time]time.Time{}, skip: redrawInterval}
	a := &app{Dependencies: Dependencies{Clock: clock}, stdout: &out, output: outputTable}
	a.client.node = statusByNode{"a": nodeStatus("a", "east", newMember("a", "east", awaitedRevision))}.serve(t)["a"]
	is.NoErr(a.watchStatus(t.Context(), statusOptions{count: 2}, true))
	a.client.node = "127.0.0.1:1"
	is.NoErr(a.watchStatus(t.Context(), statusOptions{count: 1}, true))
	screens := strings.Split(out.String(), cursorHome)[1:]
	is.Equal(len(screens), 3)
	is.True(strings.HasPrefix(screens[1], "00:00:01")) // one redrawInterval later
	is.True(strings.Contains(screens[1], "members"))
	is.True(strings.Contains(screens[2], "no connection to 127.0.0.1:1"))
	for _, screen := range screens {
		is.Equal(strings.Count(screen, "\n"), strings.Count(screen, eraseToLineEnd+"\n")) // each line erases the rest of the old line
		is.True(strings.HasSuffix(screen, eraseToScreenEnd))
	}
}
