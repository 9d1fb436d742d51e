package bench

import (
	colour "image/color" //nolint:misspell // The library's spelling.
	"os"
	"path/filepath"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
)

// Layout of a picture.
const (
	pictureWidth  = 8 * vg.Inch
	pictureHeight = 7 * vg.Inch
	pictureMargin = vg.Inch / 12
	lineWidth     = vg.Length(1.5)
	bandOpacity   = 0x38
	// headroom is the ratio of the y axis to the highest value, which keeps the legend
	// clear of the curves.
	headroom = 1.3
)

var (
	// meshColours are distinguishable with the common forms of colour blindness.
	meshColours = []colour.NRGBA{
		{R: 0xd5, G: 0x5e, B: 0x00, A: 0xff},
		{R: 0x00, G: 0x72, B: 0xb2, A: 0xff},
		{R: 0x00, G: 0x9e, B: 0x73, A: 0xff},
		{R: 0xcc, G: 0x79, B: 0xa7, A: 0xff},
	}
	offeredColour = colour.NRGBA{R: 0x55, G: 0x55, B: 0x55, A: 0xff}
	triggerColour = colour.NRGBA{R: 0xee, G: 0xee, B: 0xe4, A: 0xff}
)

// Save draws the chart into a file, in the format given by the file extension. The panel
// of good answers is above that of attempts, on the same time axis.
func (c Chart) Save(path string) error {
	good, err := c.panel(c.Name, "good answers a second", c.Good)
	if err != nil {
		return err
	}
	attempts, err := c.panel("", "callers' attempts a second", c.Attempts)
	if err != nil {
		return err
	}
	attempts.X.Label.Text = "seconds of the trace; the shaded part is the surge or fault"
	format := strings.TrimPrefix(filepath.Ext(path), ".")
	canvas, err := draw.NewFormattedCanvas(pictureWidth, pictureHeight, format)
	if err != nil {
		return badFileError.Wrap(err, "%s", path)
	}
	stack(draw.New(canvas), good, attempts)
	file, err := os.Create(path)
	if err != nil {
		return badFileError.Wrap(err, "write picture")
	}
	if _, err := canvas.WriteTo(file); err != nil {
		_ = file.Close()
		return badFileError.Wrap(err, "%s", path)
	}
	return file.Close()
}

// stack draws the panels in one column with aligned axes.
func stack(canvas draw.Canvas, panels ...*plot.Plot) {
	rows := make([][]*plot.Plot, 0, len(panels))
	for _, panel := range panels {
		rows = append(rows, []*plot.Plot{panel})
	}
	tiles := draw.Tiles{
		Rows:      len(rows),
		Cols:      1,
		PadTop:    pictureMargin,
		PadBottom: pictureMargin,
		PadLeft:   pictureMargin,
		PadRight:  pictureMargin,
		PadY:      pictureMargin,
	}
	for i, cells := range plot.Align(rows, tiles, canvas) {
		panels[i].Draw(cells[0])
	}
}

// panel returns a plot of the arrivals and of one curve for each mesh.
func (c Chart) panel(title, label string, curves []Curve) (*plot.Plot, error) {
	panel := plot.New()
	panel.Title.Text = title
	panel.Y.Label.Text = label
	panel.Y.Min = 0
	panel.Y.Max = headroom * c.highest(curves)
	panel.Legend.Top = true
	panel.Legend.Left = true
	if err := c.addTrigger(panel); err != nil {
		return nil, err
	}
	panel.Add(plotter.NewGrid())
	if err := addLine(panel, c.Offered, offeredColour, []vg.Length{vg.Points(3), vg.Points(3)}); err != nil {
		return nil, err
	}
	for i, curve := range curves {
		paint := meshColours[i%len(meshColours)]
		if err := addBand(panel, curve, paint); err != nil {
			return nil, err
		}
		if err := addLine(panel, curve, paint, nil); err != nil {
			return nil, err
		}
	}
	return panel, nil
}

// addTrigger shades the time of the trigger over the full height of the panel.
func (c Chart) addTrigger(panel *plot.Plot) error {
	top := panel.Y.Max
	shade, err := plotter.NewPolygon(plotter.XYs{
		{X: c.TriggerFrom, Y: 0},
		{X: c.TriggerFrom, Y: top},
		{X: c.TriggerTo, Y: top},
		{X: c.TriggerTo, Y: 0},
	})
	if err != nil {
		return badFileError.Wrap(err, "%s", c.Name)
	}
	shade.Color = triggerColour //nolint:misspell // The library's spelling.
	shade.Width = 0
	panel.Add(shade)
	return nil
}

// addLine draws the median of a curve.
func addLine(panel *plot.Plot, curve Curve, paint colour.NRGBA, dashes []vg.Length) error {
	points := make(plotter.XYs, 0, len(curve.Points))
	for _, point := range curve.Points {
		points = append(points, plotter.XY{X: point.AtS, Y: point.Median})
	}
	line, err := plotter.NewLine(points)
	if err != nil {
		return badFileError.Wrap(err, "%s", curve.Name)
	}
	line.Color = paint //nolint:misspell // The library's spelling.
	line.Width = lineWidth
	line.Dashes = dashes
	panel.Add(line)
	panel.Legend.Add(curve.Name, line)
	return nil
}

// addBand shades the range from the lowest to the highest run when there are at least
// two runs.
func addBand(panel *plot.Plot, curve Curve, paint colour.NRGBA) error {
	if len(curve.Points) == 0 || curve.Points[0].Runs < 2 {
		return nil
	}
	count := len(curve.Points)
	outline := make(plotter.XYs, 2*count)
	for i, point := range curve.Points {
		outline[i] = plotter.XY{X: point.AtS, Y: point.Low}
		outline[2*count-1-i] = plotter.XY{X: point.AtS, Y: point.High}
	}
	band, err := plotter.NewPolygon(outline)
	if err != nil {
		return badFileError.Wrap(err, "%s", curve.Name)
	}
	paint.A = bandOpacity
	band.Color = paint //nolint:misspell // The library's spelling.
	band.Width = 0
	panel.Add(band)
	return nil
}

// highest returns the highest value of the curves and the arrivals, and at least 1, so
// that an empty run has a valid y axis.
func (c Chart) highest(curves []Curve) float64 {
	top := 1.0
	for _, curve := range append([]Curve{c.Offered}, curves...) {
		for _, point := range curve.Points {
			top = max(top, point.High)
		}
	}
	return top
}
