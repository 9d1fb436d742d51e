package bench

import (
	"slices"
	"strings"
)

type (
	// Chart holds the data of the chart of one trace.
	Chart struct {
		// Name is the label of the runs without the mesh.
		Name string
		// TriggerFrom and TriggerTo are in seconds from the start of the trace.
		TriggerFrom float64
		TriggerTo   float64
		// Offered is the rate of arrivals, which is the same for all meshes.
		Offered  Curve
		Good     []Curve
		Attempts []Curve
	}

	// Curve is a rate per second over time, over the runs of one mesh.
	Curve struct {
		Name   string
		Points []Point
	}

	// Point is the spread of a rate over the runs at one time.
	Point struct {
		AtS float64
		Spread
	}
)

// Charts returns a chart for each trace of each firm, with one curve for each mesh. The
// last element of a run's label is its mesh.
func Charts(runs []Run[Report]) []Chart {
	var charts []Chart
	for _, group := range groupByLabel(runs) {
		reports := presentReports(group)
		if len(reports) == 0 {
			continue
		}
		label := group[0].Label
		mesh, name := label[len(label)-1], strings.Join(label[:len(label)-1], "-")
		at := slices.IndexFunc(charts, func(c Chart) bool { return c.Name == name })
		if at < 0 {
			at = len(charts)
			charts = append(charts, newChart(name, reports))
		}
		chart := &charts[at]
		chart.Good = append(chart.Good, newCurve(mesh, reports, func(s TimeSlice) int { return s.Good }))
		chart.Attempts = append(chart.Attempts, newCurve(mesh, reports, func(s TimeSlice) int { return s.Attempts }))
	}
	return charts
}

func newChart(name string, reports []Report) Chart {
	from := reports[0].window("before").Seconds
	return Chart{
		Name:        name,
		TriggerFrom: from,
		TriggerTo:   from + reports[0].window("during").Seconds,
		Offered:     newCurve("requests", reports, func(s TimeSlice) int { return s.Offered }),
	}
}

// newCurve converts a count of the time slices to a rate per second. A run that ended
// before the longest one has rate 0 from its end on.
func newCurve(name string, reports []Report, count func(TimeSlice) int) Curve {
	longest := slices.MaxFunc(reports, func(a, b Report) int { return len(a.TimeSlices) - len(b.TimeSlices) })
	curve := Curve{Name: name, Points: make([]Point, 0, len(longest.TimeSlices))}
	for i, slice := range longest.TimeSlices {
		rates := make([]float64, 0, len(reports))
		for _, report := range reports {
			rates = append(rates, report.rateAt(i, count))
		}
		curve.Points = append(curve.Points, Point{AtS: slice.AtS, Spread: NewSpread(rates)})
	}
	return curve
}

func (r Report) rateAt(index int, count func(TimeSlice) int) float64 {
	if index >= len(r.TimeSlices) {
		return 0
	}
	return float64(count(r.TimeSlices[index])) / timeSliceLength.Seconds()
}
