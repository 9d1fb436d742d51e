package once

import (
	"fmt"
	"maps"
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

// script runs the commands of one data file. Times are milliseconds after a
// fixed start; a key is written as mint time, slash, number.
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

func (s *script) show() string {
	var b strings.Builder
	fmt.Fprintf(&b, "version %d\n", s.table.Version)
	for i, slot := range s.table.Slots {
		fmt.Fprintf(&b, "%d:", i)
		for _, h := range slot.Holdings {
			fmt.Fprintf(&b, " %s[%d,%d)", h.Keeper(), h.FromMS-startMS, h.UntilMS-startMS)
		}
		b.WriteString("\n")
	}
	return b.String()
}

// commit writes the plan unless the ledger's promise forbids it. Nobody learns
// of a write whose answer is lost.
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
			l.Learn(next)
		}
	}
	return s.show()
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
		s.nodes[arg(0)] = Node{Name: name, Address: name, Incarnation: arg(0), StartedMS: startMS + s.nowMS}
		s.ledgers[arg(0)] = NewLedger[string](s.nodes[arg(0)], s.rules, s.bytes)
	case "stop":
		delete(s.nodes, arg(0))
		delete(s.ledgers, arg(0))
	case "next":
		next, changed := Next(s.now(), s.table, self, slices.Collect(maps.Values(s.nodes)), s.rules)
		return s.commit(d, arg(0), next, changed)
	case "learn":
		l.Learn(s.table)
	case "handover":
		taken := d.HasArg("open") || s.ledgers[arg(1)].Import(arg(0), l.Export())
		next, changed := HandOver(s.now(), s.table, self, s.nodes[arg(1)], s.rules)
		return fmt.Sprintln("taken", taken) + s.commit(d, arg(0), next, changed && taken)
	case "accept":
		kind, hash := "order", uint64(1)
		d.MaybeScanArgs(t, "kind", &kind)
		d.MaybeScanArgs(t, "hash", &hash)
		verdict, answer, code := l.Accept(s.now(), s.key(arg(1)), kind, hash)
		return fmt.Sprintln([...]string{"run", "running", "done", "refuse"}[verdict], code, answer)
	case "finish":
		l.Finish(s.now(), s.key(arg(1)), "answer of "+arg(1), 100)
	case "lost":
		l.Lost(s.now(), s.key(arg(1)))
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
		living := func(incarnation string) bool { return s.ledgers[incarnation] != nil }
		h, code := Route(s.now(), s.table, s.key(arg(0)), d.HasArg("sent"), living, s.rules)
		return fmt.Sprintln(code, h.Keeper())
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

func TestMintedKeyIsReadBack(t *testing.T) {
	is := is.New(t)
	now := time.UnixMilli(startMS)
	k, err := ParseKey(Mint(now).Text)
	is.NoErr(err)
	is.True(k.Minted.Equal(now))
}

func FuzzParseKey(f *testing.F) {
	f.Add("018bcfe5-6800-7c6b-904d-833943209b3c")
	f.Add("018BCFE5-6800-7C6B-904D-833943209B3C")
	f.Add("018bcfe5-6800-4c6b-904d-833943209b3c")
	f.Add("018bcfe5-6800-7c6b-c04d-833943209b3c")
	f.Add("{018bcfe5-6800-7c6b-904d-833943209b3c}")
	f.Add("urn:uuid:018bcfe5-6800-7c6b-904d-833943209b3c")
	f.Fuzz(func(t *testing.T, text string) {
		k, err := ParseKey(text)
		canonical := len(text) == 36 && text[14] == '7' && strings.ContainsRune("89ab", rune(text[19]))
		if err == nil && (!canonical || k.Text != text || strings.ToLower(text) != text) {
			t.Fatalf("accepted %q as %q", text, k.Text)
		}
		if err == nil && fmt.Sprintf("%012x", k.Minted.UnixMilli()) != text[:8]+text[9:13] {
			t.Fatalf("%q has mint time %v", text, k.Minted)
		}
	})
}

func TestPlanDocument(t *testing.T) {
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

// Any number of nodes that start, leave and vanish reach a plan in which all
// slots are held by the living and no two shares differ by more than one.
func TestSharesLevel(t *testing.T) {
	rules := Rules{Slots: 12, Lease: time.Minute, Margin: 100 * time.Millisecond, KeyAge: time.Minute}
	rapid.Check(t, func(t *rapid.T) {
		now := time.UnixMilli(startMS)
		var p Plan
		members := map[string]Node{}
		for range rapid.IntRange(1, 6).Draw(t, "changes") {
			for _, name := range rapid.SliceOfN(rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}), 1, 4).Draw(t, "toggled") {
				if _, ok := members[name]; ok {
					delete(members, name)
				} else {
					members[name] = Node{Name: name, Incarnation: fmt.Sprint(name, now.UnixMilli()), StartedMS: now.UnixMilli()}
				}
			}
			for range 90 {
				now = now.Add(time.Second)
				for _, node := range members {
					p, _ = Next(now, p, node, slices.Collect(maps.Values(members)), rules)
				}
			}
			held := map[string]int{}
			for _, slot := range p.Slots {
				last, _ := slot.last()
				held[last.Incarnation]++
			}
			for _, node := range members {
				if held[node.Incarnation] < 12/len(members) || held[node.Incarnation] > (11+len(members))/len(members) {
					t.Fatalf("%d members hold %v", len(members), held)
				}
			}
		}
	})
}

func benchLedger(now time.Time, maxBytes int64) *Ledger[[]byte] {
	self := Node{Name: "a", Incarnation: "a1"}
	rules := Rules{Slots: 12, Lease: time.Hour, Margin: time.Second, KeyAge: time.Hour}
	l := NewLedger[[]byte](self, rules, maxBytes)
	p, _ := Next(now, Plan{}, self, nil, rules)
	l.Learn(p)
	return l
}

func BenchmarkAccept(b *testing.B) {
	now := time.UnixMilli(startMS)
	for _, held := range []int{1_000, 1_000_000} {
		b.Run(fmt.Sprint("held=", held), func(b *testing.B) {
			l := benchLedger(now, 1<<40)
			for i := range held {
				l.Accept(now, Mint(now.Add(time.Duration(i)*time.Hour/time.Duration(held))), "order", 1)
			}
			keys := make([]Key, 1<<16)
			for i := range keys {
				keys[i] = Mint(now)
			}
			i := 0
			for b.Loop() {
				k := keys[i%len(keys)]
				l.Accept(now, k, "order", 1)
				l.Abandon(now, k)
				i++
			}
		})
	}
}

// BenchmarkRecord reports the memory of one record without its answer.
func BenchmarkRecord(b *testing.B) {
	now := time.UnixMilli(startMS)
	const records = 500_000
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		l := benchLedger(now, 1<<40)
		for i := range records {
			l.Accept(now.Add(time.Duration(i)*time.Millisecond), Mint(now.Add(time.Duration(i)*time.Millisecond)), "order", 1)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/records, "bytes/record")
		b.ReportMetric(recordBytes, "bytes/charged")
		runtime.KeepAlive(l)
	}
}
