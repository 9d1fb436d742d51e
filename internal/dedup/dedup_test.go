package dedup

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/google/uuid"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/dandelionfield/dandelionfield/pkg/result"
)

const startMS = 1_700_000_000_000

var testSettings = Settings{Retention: 10 * time.Second, MaxBytes: 6 * entryBytes, Margin: time.Second}

// attemptID returns an id with the given mint time, and random bits derived from the number.
func attemptID(mintedMS int64, number int) string {
	id := uuid.NewSHA1(uuid.Nil, fmt.Append(nil, number))
	for i := range 6 {
		id[i] = byte(mintedMS >> (40 - 8*i))
	}
	id[6] = 0x70 | id[6]&0x0f
	return id.String()
}

func at(ms int64) time.Time { return time.UnixMilli(startMS + ms) }

func id(ms int64, number int) string { return attemptID(startMS+ms, number) }

// TestAttemptRunsAtMostOnce checks random sequences of operations, with late, duplicate and
// reordered deliveries and a clock that jumps. Every attempt runs at most once, does not
// run if it was ever reported as not run, and gets its own answer.
func TestAttemptRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := New[string](testSettings)
		nowMS := int64(startMS)
		var ids []string
		ran, ended, notRun := map[string]int{}, map[string]bool{}, map[string]bool{}
		pick := func(t *rapid.T) string {
			if len(ids) == 0 || rapid.IntRange(0, 3).Draw(t, "fresh") == 0 {
				skewMS := rapid.Int64Range(-1000, 1000).Draw(t, "skew")
				ids = append(ids, attemptID(nowMS+skewMS, len(ids)))
				return ids[len(ids)-1]
			}
			return rapid.SampledFrom(ids).Draw(t, "id")
		}
		check := func(verdict Verdict, attempt, answer string) {
			if verdict == Done && (answer != "answer of "+attempt || !ended[attempt]) {
				t.Fatalf("attempt %s got %q", attempt, answer)
			}
			if verdict == Running && ended[attempt] {
				t.Fatalf("attempt %s has ended but is reported as running", attempt)
			}
			if ran[attempt] > 1 || ran[attempt] == 1 && notRun[attempt] {
				t.Fatalf("attempt %s ran %d times, reported as not run: %t", attempt, ran[attempt], notRun[attempt])
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				is.New(t).True(store.Stats().Bytes <= testSettings.MaxBytes)
			},
			// A clock that is set back must not make a forgotten id valid again.
			"wait": func(t *rapid.T) { nowMS += rapid.Int64Range(-8000, 12000).Draw(t, "ms") },
			"begin": func(t *rapid.T) {
				attempt := pick(t)
				verdict, answer := store.Begin(time.UnixMilli(nowMS), attempt)
				if verdict == Fresh {
					ran[attempt]++
				}
				notRun[attempt] = notRun[attempt] || verdict == Full || verdict == Tombstoned
				check(verdict, attempt, answer)
			},
			"end": func(t *rapid.T) {
				attempt := pick(t)
				store.End(time.UnixMilli(nowMS), attempt, "answer of "+attempt, rapid.IntRange(0, 3*entryBytes).Draw(t, "size"))
				ended[attempt] = ended[attempt] || ran[attempt] > 0
			},
			"query": func(t *rapid.T) {
				attempt := pick(t)
				state, answer := store.Query(time.UnixMilli(nowMS), attempt)
				notRun[attempt] = notRun[attempt] || state == NeverSeen
				check(state, attempt, answer)
			},
			"forget": func(*rapid.T) { store.Forget(time.UnixMilli(nowMS)) },
		})
	})
}

// TestScripts runs the operations in the data files. An attempt is written as its mint time
// in milliseconds after a fixed start, a slash and a number.
func TestScripts(t *testing.T) {
	names := [...]string{"fresh", "running", "done", "dropped", "tombstoned", "full", "never_seen", "expired", "invalid"}
	datadriven.Walk(t, "testdata/store", func(t *testing.T, path string) {
		store := New[string](testSettings)
		nowMS := int64(0)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			attempt := ""
			if len(d.CmdArgs) > 0 {
				attempt = d.CmdArgs[0].Key
			}
			var minted int64
			var number int
			if _, err := fmt.Sscanf(attempt, "%d/%d", &minted, &number); err == nil {
				attempt = id(minted, number)
			}
			switch d.Cmd {
			case "at":
				_, err := fmt.Sscan(attempt, &nowMS)
				is.New(t).NoErr(err)
			case "begin":
				verdict, answer := store.Begin(at(nowMS), attempt)
				return fmt.Sprintln(names[verdict], verdict.Code(), answer)
			case "query":
				state, answer := store.Query(at(nowMS), attempt)
				return fmt.Sprintln(names[state], answer)
			case "end":
				var size int
				d.ScanArgs(t, "size", &size)
				store.End(at(nowMS), attempt, fmt.Sprint("answer ", number), size)
			case "forget":
				store.Forget(at(nowMS))
			case "stats":
				return fmt.Sprintf("%+v\n", store.Stats())
			default:
				t.Fatalf("unknown command %s", d.Cmd)
			}
			return ""
		})
	})
}

// TestResultCodes checks the codes that Classify and Resolve return for the facts in the data
// files.
func TestResultCodes(t *testing.T) {
	states := map[string]State{
		"running": Running, "done": Done, "dropped": Dropped,
		"never_seen": NeverSeen, "expired": Expired, "invalid": Invalid,
	}
	datadriven.Walk(t, "testdata/codes", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			has := d.HasArg
			if d.Cmd == "classify" {
				f := Facts{Sent: has("sent"), BodyComplete: has("complete"), TooLarge: has("large")}
				f.TimedOut, f.Cancelled, f.ChildCallsRan = has("timed_out"), has("cancelled"), has("children")
				f.OtherIncarnation = has("other")
				d.MaybeScanArgs(t, "status", &f.Status)
				d.MaybeScanArgs(t, "shed", &f.ShedStatus)
				return fmt.Sprintln(Classify(f))
			}
			l := LostAnswer{Sent: has("sent"), OtherIncarnation: has("other"), Answer: result.TargetFailed}
			l.TimedOut, l.Cancelled = has("timed_out"), has("cancelled")
			for name, state := range states {
				if has(name) {
					l.Queried, l.State = true, state
				}
			}
			return fmt.Sprintln(Resolve(l))
		})
	})
}

// TestNotRunNeedsProof checks that Classify returns a code of the family NotRun only if
// nothing was sent or the target shed the call, and none of the calls made by the target
// ran. A caller retries after such a code, so a wrong one would run the call twice.
func TestNotRunNeedsProof(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		flag := func(name string) bool { return rapid.Bool().Draw(t, name) }
		f := Facts{Sent: flag("sent"), BodyComplete: flag("complete"), TooLarge: flag("large")}
		f.TimedOut, f.Cancelled, f.ChildCallsRan = flag("timed out"), flag("cancelled"), flag("children")
		f.Status = rapid.SampledFrom([]int{0, 101, 200, 302, 404, 429, 500, 503, 504, 700}).Draw(t, "status")
		proven := !f.ChildCallsRan && (!f.Sent || f.Status == 503)
		code := Classify(f)
		if (code.Family() == result.NotRun) != proven {
			t.Fatalf("%+v is %v", f, code)
		}
		if code == result.OK && (!f.BodyComplete || f.TooLarge) {
			t.Fatalf("%+v is %v", f, code)
		}
	})
}
