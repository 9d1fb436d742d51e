package lab

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
)

// Print writes the report as a table for people.
func (r Report) Print(w io.Writer) {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(table, "phase\tkind\toffered\tgood\tshare\tgood/s\tp50 ms\tp99 ms\t")
	for _, line := range r.Lines {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%.1f%%\t%.1f\t%.0f\t%.0f\t\n", line.Phase, line.Kind,
			line.Offered, line.Good, 100*line.Share, line.GoodPerSecond, line.P50MS, line.P99MS)
	}
	_ = table.Flush()
	_, _ = fmt.Fprintf(w, "goodput: %d of %d requests; recovery: %s\n", r.Good, r.Offered, r.recovery())
	_, _ = fmt.Fprintf(w, "attempts per request: %.2f by callers; calls at targets per request: %.2f, most %d\n",
		r.TriesPerRequest, r.CallsPerRequest, r.MostCalls)
	_, _ = fmt.Fprintf(w, "work: %d ms, wasted: %d ms\n", r.WorkMS, r.WastedMS)
	_, _ = fmt.Fprintf(w, "torn answers: %d; foreign answers: %d; double executions: %d; false not run: %d\n",
		r.Torn, r.Foreign, r.DoubleRuns, r.FalseNotRun)
	_, _ = fmt.Fprintf(w, "failed attempts: %s\n", r.refusals())
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
