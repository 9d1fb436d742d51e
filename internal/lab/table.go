package lab

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"math"
	"slices"
	"strings"
	"text/tabwriter"
)

// column is one figure of the table in markdown.
type column struct {
	head   string
	format string
	figure func(r Report) float64
}

// Print writes the report as a table for people.
func (r Report) Print(w io.Writer) {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(table, "phase\tkind\toffered\tgood\tshare\tgood/s\tp50 ms\tp99 ms\t")
	for _, line := range r.Lines {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%.1f%%\t%.1f\t%.0f\t%.0f\t\n", line.Phase, line.Kind,
			line.Offered, line.Good, 100*line.Share, line.GoodPerSecond, line.P50MS, line.P99MS)
	}
	_ = table.Flush()
	r.printSpells(w)
	_, _ = fmt.Fprintf(w, "goodput: %d of %d requests; recovery: %s\n", r.Good, r.Offered, r.recovery())
	_, _ = fmt.Fprintf(w, "attempts per request: %.2f by callers; repeats of one attempt, most: %d; calls at targets per request: %.2f, most %d\n",
		r.TriesPerRequest, r.MostRepeats, r.CallsPerRequest, r.MostCalls)
	_, _ = fmt.Fprintf(w, "work: %d ms, wasted: %d ms\n", r.WorkMS, r.WastedMS)
	_, _ = fmt.Fprintf(w, "torn answers: %d; foreign answers: %d; double executions: %d; false not run: %d\n",
		r.Torn, r.Foreign, r.DoubleRuns, r.FalseNotRun)
	_, _ = fmt.Fprintf(w, "failed attempts: %s\n", r.refusals())
	for _, missed := range r.Missed {
		_, _ = fmt.Fprintln(w, "missed:", missed)
	}
	if len(r.Silent) > 0 {
		_, _ = fmt.Fprintf(w, "targets that could not be asked what they ran: %s\n", strings.Join(r.Silent, ", "))
	}
}

func (r Report) recovery() string {
	if r.RecoveryS == NotRecovered {
		return "not in the trace"
	}
	return fmt.Sprintf("%.1f s", r.RecoveryS)
}

func (r Report) refusals() string {
	if len(r.Refusals) == 0 {
		return "none"
	}
	var words []string
	for _, name := range slices.Sorted(maps.Keys(r.Refusals)) {
		words = append(words, fmt.Sprintf("%s=%d", name, r.Refusals[name]))
	}
	return strings.Join(words, " ")
}

// PrintMarkdown writes one row for the reports of each label, with the stated
// goals in the head. Where a label has several reports, a figure is followed by
// the lowest and the highest of them.
func PrintMarkdown(w io.Writer, reports []Report) {
	shown := columns()
	head := make([]string, 0, len(shown))
	for _, column := range shown {
		head = append(head, column.head)
	}
	_, _ = fmt.Fprintf(w, "| run | runs | %s |\n|---|--:|%s\n", strings.Join(head, " | "), strings.Repeat("--:|", len(head)))
	for _, group := range grouped(reports) {
		row := make([]string, 0, len(shown))
		for _, column := range shown {
			row = append(row, column.cell(group))
		}
		_, _ = fmt.Fprintf(w, "| %s | %d | %s |\n", strings.Join(group[0].Label, " "), len(group), strings.Join(row, " | "))
	}
	for _, report := range reports {
		name := strings.Join(report.Label, " ")
		if len(report.Silent) > 0 {
			_, _ = fmt.Fprintf(w, "\n%s: could not ask %s what they ran.\n", name, strings.Join(report.Silent, ", "))
		}
		if len(report.Missed) > 0 {
			_, _ = fmt.Fprintf(w, "\n%s missed: %s.\n", name, strings.Join(report.Missed, "; "))
		}
	}
}

func columns() []column {
	return []column{
		{"requests/s during", "%.0f", func(r Report) float64 { return r.spell("during").perSecond(r.spell("during").Offered) }},
		{"good answers/s during", "%.0f", func(r Report) float64 { return r.spell("during").perSecond(r.spell("during").Answered) }},
		{"bottleneck used for good answers (goal >= 90%)", "%.1f%%", func(r Report) float64 { return 100 * r.spell("during").bottleneckShare() }},
		{"critical good of possible (goal >= 99%)", "%.1f%%", func(r Report) float64 { return 100 * r.spell("during").criticalGoodShare() }},
		{"recovery (goal <= 2 s)", "%.1f s", func(r Report) float64 { return r.RecoveryS }},
		{"repeats of one attempt, most (goal <= R = 3)", "%.0f", func(r Report) float64 { return float64(r.MostRepeats) }},
		{"double runs (goal 0)", "%.0f", func(r Report) float64 { return float64(r.DoubleRuns) }},
		{"false not run (goal 0)", "%.0f", func(r Report) float64 { return float64(r.FalseNotRun) }},
		{"torn or foreign (goal 0)", "%.0f", func(r Report) float64 { return float64(r.Torn + r.Foreign) }},
		{"calls at targets/request", "%.2f", func(r Report) float64 { return r.CallsPerRequest }},
		{"wasted work", "%.1f%%", Report.wastedPercent},
	}
}

// grouped returns the reports by label, in the order in which labels appear.
func grouped(reports []Report) [][]Report {
	var groups [][]Report
	for _, report := range reports {
		at := slices.IndexFunc(groups, func(g []Report) bool { return slices.Equal(g[0].Label, report.Label) })
		if at < 0 {
			groups = append(groups, []Report{report})
			continue
		}
		groups[at] = append(groups[at], report)
	}
	return groups
}

// cell returns the middle figure of the reports, and the lowest and highest.
func (c column) cell(reports []Report) string {
	figures := make([]float64, 0, len(reports))
	for _, report := range reports {
		figures = append(figures, c.figure(report))
	}
	// A run that never recovered is worse than any that did.
	slices.SortFunc(figures, func(a, b float64) int { return cmp.Compare(neverLast(a), neverLast(b)) })
	low, high := c.print(figures[0]), c.print(figures[len(figures)-1])
	if low == high {
		return low
	}
	return fmt.Sprintf("%s (%s to %s)", c.print(figures[(len(figures)-1)/2]), low, high)
}

func (c column) print(figure float64) string {
	if figure == NotRecovered {
		return "none"
	}
	return fmt.Sprintf(c.format, figure)
}

func neverLast(figure float64) float64 {
	if figure == NotRecovered {
		return math.Inf(1)
	}
	return figure
}

func (r Report) wastedPercent() float64 {
	if r.WorkMS == 0 {
		return 0
	}
	return 100 * float64(r.WastedMS) / float64(r.WorkMS)
}

func (r Report) spell(name string) Spell {
	for _, spell := range r.Spells {
		if spell.Name == name {
			return spell
		}
	}
	return Spell{}
}

func (s Spell) rate() string {
	if s.Seconds == 0 {
		return "-"
	}
	return fmt.Sprintf("%.0f of %.0f", float64(s.Answered)/s.Seconds, float64(s.Offered)/s.Seconds)
}

func (s Spell) perSecond(count int) float64 {
	if s.Seconds == 0 {
		return 0
	}
	return float64(count) / s.Seconds
}

func (s Spell) criticalShare() string {
	if s.CriticalOffered == 0 {
		return "-"
	}
	return fmt.Sprintf("%.1f%% (%.1f%% of possible)", 100*float64(s.CriticalGood)/float64(s.CriticalOffered), 100*s.criticalGoodShare())
}

// tightest says how many useful calls the bottleneck made and could make.
func (s Spell) tightest() string {
	service := s.bottleneck()
	if service == "" {
		return "-"
	}
	return fmt.Sprintf("%s %.1f/s of %.1f/s", service, s.Useful[service], min(s.Demand[service], s.Capacity[service]))
}

func (r Report) printSpells(w io.Writer) {
	for _, spell := range r.Spells {
		_, _ = fmt.Fprintf(w, "%s the trigger: good answers %s requests a second; critical good %s; useful calls a second and capacity:",
			spell.Name, spell.rate(), spell.criticalShare())
		for _, service := range slices.Sorted(maps.Keys(spell.Useful)) {
			_, _ = fmt.Fprintf(w, " %s=%.0f/%.0f", service, spell.Useful[service], spell.Capacity[service])
		}
		_, _ = fmt.Fprintln(w)
	}
}
