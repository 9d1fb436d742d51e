package drill

import (
	"slices"
	"strings"
)

type (
	// Chart is what the picture of one trace shows.
	Chart struct {
		// Name is the label of its runs without the mesh.
		Name string
		// TriggerFrom and TriggerTo are in seconds of the trace.
		TriggerFrom float64
		TriggerTo   float64
		// Offered is the arrivals, which are the same for all meshes.
		Offered  Curve
		Good     []Curve
		Attempts []Curve
	}

	// Curve is one figure a second of the runs of a mesh over time.
	Curve struct {
		Name   string
		Points []Point
	}

	// Point is a figure at one time, over the runs.
	Point struct {
		AtS float64
		Spread
	}
)

// Charts returns a chart for each trace of each firm: the last word of a run's
// label is its mesh, which is one curve.
func Charts(runs []Run[Report]) []Chart {
	var charts []Chart
	for _, group := range grouped(runs) {
		reports := measured(group)
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
		chart.Good = append(chart.Good, newCurve(mesh, reports, func(m Moment) int { return m.Good }))
		chart.Attempts = append(chart.Attempts, newCurve(mesh, reports, func(m Moment) int { return m.Attempts }))
	}
	return charts
}

func newChart(name string, reports []Report) Chart {
	from := reports[0].spell("before").Seconds
	return Chart{
		Name:        name,
		TriggerFrom: from,
		TriggerTo:   from + reports[0].spell("during").Seconds,
		Offered:     newCurve("requests", reports, func(m Moment) int { return m.Offered }),
	}
}

// newCurve returns a count of the moments as a rate. A run that ended before
// the longest one counts as nothing from there on.
func newCurve(name string, reports []Report, count func(Moment) int) Curve {
	longest := slices.MaxFunc(reports, func(a, b Report) int { return len(a.Moments) - len(b.Moments) })
	curve := Curve{Name: name, Points: make([]Point, 0, len(longest.Moments))}
	for i, moment := range longest.Moments {
		rates := make([]float64, 0, len(reports))
		for _, report := range reports {
			rates = append(rates, report.rateAt(i, count))
		}
		curve.Points = append(curve.Points, Point{AtS: moment.AtS, Spread: NewSpread(rates)})
	}
	return curve
}

func (r Report) rateAt(index int, count func(Moment) int) float64 {
	if index >= len(r.Moments) {
		return 0
	}
	return float64(count(r.Moments[index])) / momentLength.Seconds()
}
