package drill

import (
	"fmt"
	"io"
	"maps"
	"math"
	"slices"
	"strings"
)

// column is one figure of a table in markdown.
type column[R any] struct {
	head   string
	format string
	// figure is not a number where the run did not measure it, and infinite
	// where a time did not end.
	figure func(r R) float64
}

// PrintLoadTable writes one row for the runs of each label, with the stated goals
// in the head. A cell is the median and, where runs differ, the lowest and the
// highest. Runs without a report are named below the table.
func PrintLoadTable(w io.Writer, runs []Run[Report]) {
	printRows(w, loadColumns(), grouped(runs))
	for _, run := range runs {
		if run.Missing != "" {
			continue
		}
		name := run.title()
		if len(run.Report.Silent) > 0 {
			_, _ = fmt.Fprintf(w, "\n%s: could not ask %s what they ran.\n", name, strings.Join(run.Report.Silent, ", "))
		}
		if len(run.Report.Missed) > 0 {
			_, _ = fmt.Fprintf(w, "\n%s missed: %s.\n", name, strings.Join(run.Report.Missed, "; "))
		}
	}
	printMissing(w, runs)
}

// PrintAddedTable writes one row for the runs of each label of the time that a mesh
// adds to a call.
func PrintAddedTable(w io.Writer, runs []Run[AddedReport]) {
	printRows(w, addedColumns(), grouped(runs))
	printMissing(w, runs)
}

// PrintKindTable writes one row for each kind of request that the runs of a label
// had during the trigger.
func PrintKindTable(w io.Writer, runs []Run[Report]) {
	kinds := make([]Run[KindCount], 0, len(runs))
	for _, group := range grouped(runs) {
		kinds = append(kinds, byKind(group)...)
	}
	printRows(w, kindColumns(), grouped(kinds))
	printMissing(w, runs)
}

// byKind parts the runs of one label into those of its kinds.
func byKind(runs []Run[Report]) []Run[KindCount] {
	names := map[string]bool{}
	for _, run := range runs {
		for name := range run.Report.spell("during").Kinds {
			names[name] = true
		}
	}
	list := make([]Run[KindCount], 0, len(names)*len(runs))
	for _, name := range slices.Sorted(maps.Keys(names)) {
		for _, run := range runs {
			list = append(list, Run[KindCount]{
				Label:   append(slices.Clone(run.Label), name),
				Report:  run.Report.spell("during").Kinds[name],
				Missing: run.Missing,
			})
		}
	}
	return list
}

func kindColumns() []column[KindCount] {
	return []column[KindCount]{
		{"requests/s during", "%.1f", func(k KindCount) float64 { return perSecond(k.Offered, k.Seconds) }},
		{"good of them/s", "%.1f", func(k KindCount) float64 { return perSecond(k.Good, k.Seconds) }},
		{"good of them", "%.1f%%", func(k KindCount) float64 { return 100 * share(k.Good, k.Offered) }},
	}
}

func loadColumns() []column[Report] {
	return []column[Report]{
		{"requests/s during", "%.0f", func(r Report) float64 { return r.spell("during").offeredPerSecond() }},
		{"good answers/s during", "%.0f", func(r Report) float64 { return r.spell("during").answeredPerSecond() }},
		{"bottleneck used for good answers (goal >= 90%)", "%.1f%%", func(r Report) float64 { return 100 * r.spell("during").bottleneckShare() }},
		{"critical good of possible (goal >= 99%)", "%.1f%%", func(r Report) float64 { return 100 * r.spell("during").criticalGoodShare() }},
		{"recovery (goal <= 2 s)", "%.1f s", Report.recoverySeconds},
		{"callers' attempts/request", "%.2f", func(r Report) float64 { return r.TriesPerRequest }},
		{"repeats of one attempt, most (goal <= R = 3)", "%.0f", func(r Report) float64 { return float64(r.MostRepeats) }},
		{"double runs (goal 0)", "%.0f", func(r Report) float64 { return float64(r.DoubleRuns) }},
		{"false not run (goal 0)", "%.0f", func(r Report) float64 { return float64(r.FalseNotRun) }},
		{"torn or foreign (goal 0)", "%.0f", func(r Report) float64 { return float64(r.Torn + r.Foreign) }},
		{"calls at targets/request", "%.2f", func(r Report) float64 { return r.CallsPerRequest }},
		{"wasted work", "%.1f%%", Report.wastedPercent},
		{"processor of a node, mean of one core", "%.1f%%", func(r Report) float64 { return r.nodeUse().ProcessorPercent }},
		{"memory of a node, most", "%.0f MB", func(r Report) float64 { return r.nodeUse().MemoryMB }},
		{"load sent late, p99", "%.1f ms", func(r Report) float64 { return r.LateP99MS }},
	}
}

func addedColumns() []column[AddedReport] {
	return []column[AddedReport]{
		{"failed pairs", "%.0f", func(r AddedReport) float64 { return float64(r.Failed) }},
		{"direct p50", "%.3f ms", func(r AddedReport) float64 { return r.DirectP50MS }},
		{"direct p99", "%.3f ms", func(r AddedReport) float64 { return r.DirectP99MS }},
		{"relayed p50", "%.3f ms", func(r AddedReport) float64 { return r.RelayedP50MS }},
		{"relayed p99", "%.3f ms", func(r AddedReport) float64 { return r.RelayedP99MS }},
		{"added p50", "%.3f ms", func(r AddedReport) float64 { return r.AddedP50MS }},
		{"added p99 (goal <= 2 ms)", "%.3f ms", func(r AddedReport) float64 { return r.AddedP99MS }},
		{"processor time a relayed call", "%.3f ms", func(r AddedReport) float64 { return r.ProcessorMS }},
		{"all nodes in an idle second", "%.0f ms", func(r AddedReport) float64 { return r.IdleMS }},
	}
}

func printRows[R any](w io.Writer, columns []column[R], rows [][]Run[R]) {
	heads := make([]string, 0, len(columns))
	for _, column := range columns {
		heads = append(heads, column.head)
	}
	_, _ = fmt.Fprintf(w, "| run | runs | %s |\n|---|--:|%s\n", strings.Join(heads, " | "), strings.Repeat("--:|", len(heads)))
	for _, row := range rows {
		reports := measured(row)
		cells := make([]string, 0, len(columns))
		for _, column := range columns {
			cells = append(cells, column.cell(reports))
		}
		name := strings.Join(row[0].Label, " ")
		_, _ = fmt.Fprintf(w, "| %s | %s | %s |\n", name, countRuns(len(reports), len(row)), strings.Join(cells, " | "))
	}
}

func printMissing[R any](w io.Writer, runs []Run[R]) {
	for _, run := range runs {
		if run.Missing != "" {
			_, _ = fmt.Fprintf(w, "\n%s: %s.\n", run.title(), run.Missing)
		}
	}
}

// countRuns says how many of the wanted runs there are.
func countRuns(have, want int) string {
	if have < want {
		return fmt.Sprintf("%d of %d", have, want)
	}
	return fmt.Sprint(have)
}

// grouped returns the runs by label, in the order in which labels appear.
func grouped[R any](runs []Run[R]) [][]Run[R] {
	var groups [][]Run[R]
	for _, run := range runs {
		at := slices.IndexFunc(groups, func(g []Run[R]) bool { return slices.Equal(g[0].Label, run.Label) })
		if at < 0 {
			groups = append(groups, []Run[R]{run})
			continue
		}
		groups[at] = append(groups[at], run)
	}
	return groups
}

// cell returns the middle figure of the reports, and the lowest and highest.
// It says so when some of them lack the figure.
func (c column[R]) cell(reports []R) string {
	figures := make([]float64, 0, len(reports))
	for _, report := range reports {
		figures = append(figures, c.figure(report))
	}
	spread := NewSpread(figures)
	text := c.print(spread.Median)
	if low, high := c.print(spread.Low), c.print(spread.High); low != high {
		text += fmt.Sprintf(" (%s to %s)", low, high)
	}
	if spread.Runs > 0 && spread.Runs < len(reports) {
		text += fmt.Sprintf(", %d of %d runs", spread.Runs, len(reports))
	}
	return text
}

func (c column[R]) print(figure float64) string {
	if math.IsNaN(figure) {
		return "-"
	}
	if math.IsInf(figure, 1) {
		return "none"
	}
	return fmt.Sprintf(c.format, figure)
}

// recoverySeconds returns the recovery time: infinite when goodput did not come
// back, which is worse than any run in which it did, and not a number when the
// trigger lasted to the trace's end.
func (r Report) recoverySeconds() float64 {
	if r.spell("after").Seconds == 0 {
		return math.NaN()
	}
	if r.RecoveryS == NotRecovered {
		return math.Inf(1)
	}
	return r.RecoveryS
}
