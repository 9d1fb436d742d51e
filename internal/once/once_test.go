package once

import (
	"fmt"
	"maps"
	"regexp"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/google/uuid"
	"github.com/joomcode/errorx"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/dandelionfield/dandelionfield/pkg/result"
)

// script runs the commands of one data file. Times are in milliseconds after a fixed start,
// and a key is written as its mint time, a slash and a number.
type script struct {
	nowMS   int64
	rules   Rules
	bytes   int64
	table   Plan
	nodes   map[string]Node
	ledgers map[string]*Ledger[string]
}

const startMS = 1_700_000_000_000

func (s *script) now() time.Time { return time.UnixMilli(startMS + s.nowMS) }

func (s *script) key(text string) Key {
	minted, number, _ := strings.Cut(text, "/")
	ms, err := strconv.ParseInt(minted, 10, 64)
	if err != nil {
		return Key{Text: text}
	}
	return mint(time.UnixMilli(startMS+ms), uuid.NewSHA1(uuid.Nil, []byte(number)))
}

func (s *script) formatTable() string {
	var b strings.Builder
	fmt.Fprintf(&b, "version %d\n", s.table.Version)
	for i, slot := range s.table.Slots {
		fmt.Fprintf(&b, "%d:", i)
		for _, h := range slot.Holdings {
			fmt.Fprintf(&b, " %s[%d,%d)", h.Owner(), h.FromMS-startMS, h.UntilMS-startMS)
		}
		b.WriteString("\n")
	}
	return b.String()
}

// commit writes the plan if the ledger promises its cuts. With the argument unwritten, the
// write fails after the promise. With the argument lost, the response to the write is lost,
// and no ledger learns the plan.
func (s *script) commit(d *datadriven.TestData, node string, next Plan, changed bool) string {
	if !changed {
		return "unchanged\n"
	}
	if !s.ledgers[node].Promise(s.now(), next) {
		return "no promise\n"
	}
	if d.HasArg("unwritten") {
		return "unwritten\n"
	}
	s.table = next
	for _, l := range s.ledgers {
		if !d.HasArg("lost") {
			l.ApplyPlan(next)
		}
	}
	return s.formatTable()
}

func (s *script) run(t *testing.T, d *datadriven.TestData) string {
	arg := func(i int) string {
		if i < len(d.CmdArgs) {
			return d.CmdArgs[i].Key
		}
		return ""
	}
	l := s.ledgers[arg(0)]
	self := s.nodes[arg(0)]
	switch d.Cmd {
	case "at":
		s.nowMS, _ = strconv.ParseInt(arg(0), 10, 64)
	case "start":
		var name string
		d.ScanArgs(t, "name", &name)
		s.nodes[arg(0)] = Node{Name: name, Address: name, Incarnation: arg(0), StartedMS: startMS + s.nowMS, Translated: d.HasArg("translated")}
		s.ledgers[arg(0)] = NewLedger[string](s.nodes[arg(0)], s.rules, s.bytes)
		s.ledgers[arg(0)].ApplyPlan(s.table)
	case "stop":
		delete(s.nodes, arg(0))
		delete(s.ledgers, arg(0))
	case "next":
		next, changed := Next(s.now(), s.table, self, slices.Collect(maps.Values(s.nodes)), s.rules)
		return s.commit(d, arg(0), next, changed)
	case "learn":
		l.ApplyPlan(s.table)
	case "handover":
		imported := d.HasArg("open") || s.ledgers[arg(1)].Import(arg(0), l.Export())
		next, changed := HandOver(s.now(), s.table, self, s.nodes[arg(1)], s.rules)
		return fmt.Sprintln("imported", imported) + s.commit(d, arg(0), next, changed && imported)
	case "takeover":
		from := Node{Incarnation: arg(1)}
		next, changed := HandOver(s.now(), s.table, from, self, s.rules)
		return s.commit(d, arg(0), next, changed)
	case "accept":
		kind, hash := "order", uint64(1)
		d.MaybeScanArgs(t, "kind", &kind)
		d.MaybeScanArgs(t, "hash", &hash)
		verdict, answer, code := l.Accept(s.now(), s.key(arg(1)), kind, hash)
		return fmt.Sprintln([...]string{"run", "running", "done", "refuse"}[verdict], code, answer)
	case "finish":
		l.Finish(s.now(), s.key(arg(1)), "answer of "+arg(1), 100)
	case "lost":
		l.MarkLost(s.now(), s.key(arg(1)))
	case "abandon":
		l.Abandon(s.now(), s.key(arg(1)))
	case "forget":
		l.Forget(s.now())
	case "leave":
		l.Leave(s.now())
		self.Leaving = true
		s.nodes[arg(0)] = self
	case "stats":
		return fmt.Sprintf("%+v\n", l.Stats())
	case "route":
		isLive := func(incarnation string) bool { return s.ledgers[incarnation] != nil }
		h, code := Route(s.now(), s.table, s.key(arg(0)), d.HasArg("sent"), isLive, s.rules)
		return fmt.Sprintln(code, h.Owner())
	case "conclude":
		former, _ := result.Parse(arg(0))
		newest, _ := result.Parse(arg(1))
		return fmt.Sprintln(Conclude(former, newest))
	default:
		t.Fatalf("unknown command %s", d.Cmd)
	}
	return ""
}

func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		s := &script{nodes: map[string]Node{}, ledgers: map[string]*Ledger[string]{}, bytes: 1 << 20}
		s.rules = Rules{Slots: 1, Lease: time.Minute, Margin: time.Second, KeyAge: 5 * time.Minute}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			if d.Cmd == "rules" {
				d.MaybeScanArgs(t, "slots", &s.rules.Slots)
				d.MaybeScanArgs(t, "bytes", &s.bytes)
				return ""
			}
			return s.run(t, d)
		})
	})
}

func FuzzParseKey(f *testing.F) {
	f.Add(Mint(time.UnixMilli(startMS)).Text)
	f.Add("018BCFE5-6800-7C6B-904D-833943209B3C")
	f.Add("018bcfe5-6800-4c6b-904d-833943209b3c")
	f.Add("018bcfe5-6800-7c6b-c04d-833943209b3c")
	f.Add("urn:uuid:018bcfe5-6800-7c6b-904d-833943209b3c")
	canonical := regexp.MustCompile(`^[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$`)
	f.Fuzz(func(t *testing.T, text string) {
		k, err := ParseKey(text)
		if (err == nil) != canonical.MatchString(text) {
			t.Fatalf("parsing %q returned error %v", text, err)
		}
		if err == nil && (k.Text != text || fmt.Sprintf("%012x", k.Minted.UnixMilli()) != text[:8]+text[9:13]) {
			t.Fatalf("%q was parsed as %v", text, k)
		}
	})
}

// TestDecodePlan checks that an encoded plan is decoded unchanged, and that a plan with
// overlapping holdings is rejected.
func TestDecodePlan(t *testing.T) {
	is := is.New(t)
	members := []Node{{Name: "a", Incarnation: "a1"}, {Name: "b", Incarnation: "b1"}}
	p, _ := Next(time.UnixMilli(startMS), Plan{Service: "orders"}, members[1], members, Rules{Slots: 3, Lease: time.Hour})
	decoded, err := DecodePlan(p.Encode())
	is.NoErr(err)
	is.Equal(decoded, p)
	p.Slots[1].Holdings = append(p.Slots[1].Holdings, p.Slots[1].Holdings...)
	_, err = DecodePlan(p.Encode())
	is.True(errorx.IsOfType(err, InvalidPlan))
}

// TestSlotsAreBalanced checks that after any sequence of joining and leaving nodes, the
// remaining nodes hold all slots, and their numbers of slots differ by at most one.
func TestSlotsAreBalanced(t *testing.T) {
	rules := Rules{Slots: 12, Margin: time.Second, KeyAge: time.Minute}
	toggled := rapid.SliceOfN(rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}), 1, 4)
	rapid.Check(t, func(t *rapid.T) {
		var p Plan
		members := map[string]Node{}
		rules.Lease = rapid.SampledFrom([]time.Duration{time.Minute, 4 * time.Second}).Draw(t, "lease")
		for round := range rapid.IntRange(1, 6).Draw(t, "rounds") {
			for _, name := range toggled.Draw(t, "toggled") {
				if _, ok := members[name]; ok {
					delete(members, name)
				} else {
					members[name] = Node{Name: name, Incarnation: fmt.Sprint(name, round), StartedMS: int64(round)}
				}
			}
			for second := range 90 {
				now := time.UnixMilli(startMS).Add(time.Duration(round*90+second) * time.Second)
				for _, node := range members {
					p, _ = Next(now, p, node, slices.Collect(maps.Values(members)), rules)
				}
			}
			held := map[string]int{}
			for _, slot := range p.Slots {
				held[slot.Holdings[len(slot.Holdings)-1].Incarnation]++
			}
			for _, node := range members {
				if low := rules.Slots / len(members); held[node.Incarnation] < low || held[node.Incarnation] > low+1 {
					t.Fatalf("%d members hold %v", len(members), held)
				}
			}
		}
	})
}

// benchLedger returns a ledger with records of keys that were minted in the last ten minutes.
func benchLedger(now time.Time, records int) *Ledger[[]byte] {
	self := Node{Name: "a", Incarnation: "a1"}
	rules := Rules{Slots: 12, Lease: time.Hour, Margin: time.Second, KeyAge: time.Hour}
	l := NewLedger[[]byte](self, rules, 1<<40)
	p, _ := Next(now.Add(-10*time.Minute), Plan{}, self, nil, rules)
	l.ApplyPlan(p)
	for i := range records {
		age := 10 * time.Minute * time.Duration(i) / time.Duration(records)
		l.Accept(now, Mint(now.Add(-age)), "order", 1)
	}
	return l
}

func BenchmarkAccept(b *testing.B) {
	now := time.UnixMilli(startMS)
	for _, held := range []int{1_000, 1_000_000} {
		l := benchLedger(now, held)
		keys := make([]Key, 1<<16)
		for i := range keys {
			keys[i] = Mint(now)
		}
		b.Run(fmt.Sprint("held=", held), func(b *testing.B) {
			for i := 0; b.Loop(); i++ {
				l.Accept(now, keys[i%len(keys)], "order", 1)
				l.Abandon(now, keys[i%len(keys)])
			}
		})
	}
}

// BenchmarkRecord measures the memory of one record without an answer.
func BenchmarkRecord(b *testing.B) {
	const records = 500_000
	heap := func() float64 {
		var stats runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&stats)
		return float64(stats.HeapAlloc)
	}
	for b.Loop() {
		before := heap()
		l := benchLedger(time.UnixMilli(startMS), records)
		b.ReportMetric((heap()-before)/records, "bytes/record")
		b.ReportMetric(float64(l.Stats().Bytes)/records, "bytes/charged")
	}
}
