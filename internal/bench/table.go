package bench

import (
	"fmt"
	"io"
	"maps"
	"math"
	"slices"
	"strings"
)

// column is one column of a Markdown table.
type column[R any] struct {
	header string
	format string
	// value returns NaN when the run did not measure the value, and infinity for a time
	// that did not end.
	value func(r R) float64
}

// PrintLoadTable writes one row for the runs of each label, with the goals in the header.
// A cell has the median and, where runs differ, the lowest and highest value. Runs that
// have no report, missed an expectation or could not reach a target are listed below the
// table.
func PrintLoadTable(w io.Writer, runs []Run[Report]) {
	printRows(w, loadColumns(), groupByLabel(runs))
	for _, run := range runs {
		if run.Missing != "" {
			continue
		}
		name := run.title()
		if len(run.Report.Unreachable) > 0 {
			_, _ = fmt.Fprintf(w, "\n%s: could not ask %s what they ran.\n", name, strings.Join(run.Report.Unreachable, ", "))
		}
		if len(run.Report.Missed) > 0 {
			_, _ = fmt.Fprintf(w, "\n%s missed: %s.\n", name, strings.Join(run.Report.Missed, "; "))
		}
	}
	printMissing(w, runs)
}

// PrintAddedLatencyTable writes one row for the runs of each label, with the time that a
// mesh adds to a call.
func PrintAddedLatencyTable(w io.Writer, runs []Run[AddedLatencyReport]) {
	printRows(w, addedLatencyColumns(), groupByLabel(runs))
	printMissing(w, runs)
}

// PrintKindTable writes one row for each label and each kind of request that its runs had
// during the trigger.
func PrintKindTable(w io.Writer, runs []Run[Report]) {
	kinds := make([]Run[KindCount], 0, len(runs))
	for _, group := range groupByLabel(runs) {
		kinds = append(kinds, splitByKind(group)...)
	}
	printRows(w, kindColumns(), groupByLabel(kinds))
	printMissing(w, runs)
}

// splitByKind splits each run of one label into one run per kind, and appends the kind to
// the label.
func splitByKind(runs []Run[Report]) []Run[KindCount] {
	names := map[string]bool{}
	for _, run := range runs {
		for name := range run.Report.window("during").Kinds {
			names[name] = true
		}
	}
	list := make([]Run[KindCount], 0, len(names)*len(runs))
	for _, name := range slices.Sorted(maps.Keys(names)) {
		for _, run := range runs {
			list = append(list, Run[KindCount]{
				Label:   append(slices.Clone(run.Label), name),
				Report:  run.Report.window("during").Kinds[name],
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
		{"good of them", "%.1f%%", func(k KindCount) float64 { return 100 * ratio(k.Good, k.Offered) }},
	}
}

func loadColumns() []column[Report] {
	return []column[Report]{
		{"requests/s during", "%.0f", func(r Report) float64 { return r.window("during").offeredPerSecond() }},
		{"good answers/s during", "%.0f", func(r Report) float64 { return r.window("during").answeredPerSecond() }},
		{"bottleneck used for good answers (goal >= 90%)", "%.1f%%", func(r Report) float64 { return 100 * r.window("during").bottleneckShare() }},
		{"critical good of possible (goal >= 99%)", "%.1f%%", func(r Report) float64 { return 100 * r.window("during").criticalGoodShare() }},
		{"recovery (goal <= 2 s)", "%.1f s", Report.recoverySeconds},
		{"callers' attempts/request", "%.2f", func(r Report) float64 { return r.AttemptsPerRequest }},
		{"repeats of one attempt, most (goal <= R = 3)", "%.0f", func(r Report) float64 { return float64(r.MaxRepeats) }},
		{"double runs (goal 0)", "%.0f", func(r Report) float64 { return float64(r.DoubleRuns) }},
		{"false not run (goal 0)", "%.0f", func(r Report) float64 { return float64(r.FalseNotRun) }},
		{"torn or foreign (goal 0)", "%.0f", func(r Report) float64 { return float64(r.Torn + r.Foreign) }},
		{"calls at targets/request", "%.2f", func(r Report) float64 { return r.CallsPerRequest }},
		{"wasted work", "%.1f%%", Report.wastedPercent},
		{"processor of a node, mean of one core", "%.1f%%", func(r Report) float64 { return r.nodeUsage().ProcessorPercent }},
		{"memory of a node, most", "%.0f MB", func(r Report) float64 { return r.nodeUsage().MemoryMB }},
		{"load sent late, p99", "%.1f ms", func(r Report) float64 { return r.LateP99MS }},
	}
}

func addedLatencyColumns() []column[AddedLatencyReport] {
	return []column[AddedLatencyReport]{
		{"failed pairs", "%.0f", func(r AddedLatencyReport) float64 { return float64(r.Failed) }},
		{"direct p50", "%.3f ms", func(r AddedLatencyReport) float64 { return r.DirectP50MS }},
		{"direct p99", "%.3f ms", func(r AddedLatencyReport) float64 { return r.DirectP99MS }},
		{"relayed p50", "%.3f ms", func(r AddedLatencyReport) float64 { return r.RelayedP50MS }},
		{"relayed p99", "%.3f ms", func(r AddedLatencyReport) float64 { return r.RelayedP99MS }},
		{"added p50", "%.3f ms", func(r AddedLatencyReport) float64 { return r.AddedP50MS }},
		{"added p99 (goal <= 2 ms)", "%.3f ms", func(r AddedLatencyReport) float64 { return r.AddedP99MS }},
		{"processor time a relayed call", "%.3f ms", func(r AddedLatencyReport) float64 { return r.ProcessorMS }},
		{"all nodes in an idle second", "%.0f ms", func(r AddedLatencyReport) float64 { return r.IdleMS }},
	}
}

func printRows[R any](w io.Writer, columns []column[R], rows [][]Run[R]) {
	headers := make([]string, 0, len(columns))
	for _, column := range columns {
		headers = append(headers, column.header)
	}
	_, _ = fmt.Fprintf(w, "| run | runs | %s |\n|---|--:|%s\n", strings.Join(headers, " | "), strings.Repeat("--:|", len(headers)))
	for _, row := range rows {
		reports := presentReports(row)
		cells := make([]string, 0, len(columns))
		for _, column := range columns {
			cells = append(cells, column.formatCell(reports))
		}
		name := strings.Join(row[0].Label, " ")
		_, _ = fmt.Fprintf(w, "| %s | %s | %s |\n", name, formatRunCount(len(reports), len(row)), strings.Join(cells, " | "))
	}
}

func printMissing[R any](w io.Writer, runs []Run[R]) {
	for _, run := range runs {
		if run.Missing != "" {
			_, _ = fmt.Fprintf(w, "\n%s: %s.\n", run.title(), run.Missing)
		}
	}
}

// formatRunCount formats the number of runs, with the expected number when some are
// missing.
func formatRunCount(present, expected int) string {
	if present < expected {
		return fmt.Sprintf("%d of %d", present, expected)
	}
	return fmt.Sprint(present)
}

// groupByLabel groups the runs by label, in the order in which the labels first appear.
func groupByLabel[R any](runs []Run[R]) [][]Run[R] {
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

// formatCell returns the median over the reports and, where they differ, the lowest and
// highest value. It adds the number of runs when some reports lack the value.
func (c column[R]) formatCell(reports []R) string {
	values := make([]float64, 0, len(reports))
	for _, report := range reports {
		values = append(values, c.value(report))
	}
	spread := NewSpread(values)
	text := c.formatValue(spread.Median)
	if low, high := c.formatValue(spread.Low), c.formatValue(spread.High); low != high {
		text += fmt.Sprintf(" (%s to %s)", low, high)
	}
	if spread.Runs > 0 && spread.Runs < len(reports) {
		text += fmt.Sprintf(", %d of %d runs", spread.Runs, len(reports))
	}
	return text
}

func (c column[R]) formatValue(value float64) string {
	if math.IsNaN(value) {
		return "-"
	}
	if math.IsInf(value, 1) {
		return "none"
	}
	return fmt.Sprintf(c.format, value)
}

// recoverySeconds returns the recovery time. It is infinite when goodput did not recover,
// which ranks as worse than any recovery, and NaN when the trigger lasted until the end
// of the trace.
func (r Report) recoverySeconds() float64 {
	if r.window("after").Seconds == 0 {
		return math.NaN()
	}
	if r.RecoveryS == NotRecovered {
		return math.Inf(1)
	}
	return r.RecoveryS
}
