package bench

import (
	"fmt"
	"image/color"
	"io"
	"math"
	"strconv"
	"text/tabwriter"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"mangopier.example/mangopier/internal/protocol/code"
)

// WriteTable writes a row per variant and a column per measure, with the mean
// and, where runs differ, the minimum and maximum.
func (result Result) WriteTable(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "%s, %d seeds", result.Scenario, len(result.Seeds))
	if len(result.Rows) > 0 {
		for _, measure := range result.Rows[0].Measures {
			fmt.Fprintf(table, "\t%s %s", measure.Name, measure.Unit)
		}
	}
	fmt.Fprintln(table)
	for _, row := range result.Rows {
		fmt.Fprint(table, row.label())
		for _, measure := range row.Measures {
			fmt.Fprintf(table, "\t%s", measure)
		}
		fmt.Fprintln(table)
	}
	return code.Wrap(table.Flush(), code.Internal, "write table")
}

func (row Row) label() string {
	if row.Baseline {
		return row.Variant + " (baseline)"
	}
	return row.Variant
}

// String returns the mean and, where runs differ, the minimum and maximum.
func (measure MeasureSummary) String() string {
	if measure.Min == measure.Max {
		return formatValue(measure.Mean)
	}
	return fmt.Sprintf("%s (%s..%s)", formatValue(measure.Mean), formatValue(measure.Min), formatValue(measure.Max))
}

// formatValue returns a number with up to four significant digits, at most
// two of them decimals. Digits before the point are never dropped.
func formatValue(value float64) string {
	digits := 3 - int(math.Floor(math.Log10(max(math.Abs(value), 1))))
	return strconv.FormatFloat(value, 'f', min(max(digits, 0), 2), 64)
}

// WriteJSON writes the result as one JSON document.
func (result Result) WriteJSON(w io.Writer) error {
	err := json.MarshalWrite(w, result, json.Deterministic(true), jsontext.WithIndent("  "))
	if err == nil {
		_, err = io.WriteString(w, "\n")
	}
	return code.Wrap(err, code.Internal, "write JSON")
}

const (
	plotWidth  = 9 * vg.Inch
	plotHeight = 5 * vg.Inch
)

// WritePlot writes a PNG image: goodput over time if the result has a
// timeline, otherwise a bar per variant for the first measure.
func (result Result) WritePlot(w io.Writer) error {
	drawing := plot.New()
	drawing.Title.Text = result.Scenario
	drawing.Legend.Top = false
	draw := result.drawBars
	if len(result.Rows) > 0 && len(result.Rows[0].Timeline) > 0 {
		draw = result.drawLines
	}
	if err := draw(drawing); err != nil {
		return code.Wrap(err, code.Internal, "draw plot")
	}
	writer, err := drawing.WriterTo(plotWidth, plotHeight, "png")
	if err == nil {
		_, err = writer.WriteTo(w)
	}
	return code.Wrap(err, code.Internal, "write plot")
}

var lineColors = []color.Color{
	color.RGBA{R: 0x1f, G: 0x77, B: 0xb4, A: 0xff},
	color.RGBA{R: 0xd6, G: 0x27, B: 0x28, A: 0xff},
	color.RGBA{R: 0x2c, G: 0xa0, B: 0x2c, A: 0xff},
	color.RGBA{R: 0x94, G: 0x67, B: 0xbd, A: 0xff},
	color.RGBA{R: 0x8c, G: 0x56, B: 0x4b, A: 0xff},
}

func (result Result) drawLines(drawing *plot.Plot) error {
	drawing.X.Label.Text = "seconds"
	drawing.Y.Label.Text = "goodput"
	drawing.Y.Min, drawing.Y.Max = 0, 1
	for index, row := range result.Rows {
		points := make(plotter.XYs, len(row.Timeline))
		for at, point := range row.Timeline {
			points[at] = plotter.XY{X: point.Seconds, Y: point.Goodput}
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return err
		}
		line.Color = lineColors[index%len(lineColors)]
		drawing.Add(line)
		drawing.Legend.Add(row.label(), line)
	}
	return nil
}

func (result Result) drawBars(drawing *plot.Plot) error {
	var values plotter.Values
	var names []string
	for _, row := range result.Rows {
		if len(row.Measures) == 0 {
			continue
		}
		drawing.Y.Label.Text = row.Measures[0].Name + " " + row.Measures[0].Unit
		values = append(values, row.Measures[0].Mean)
		names = append(names, row.label())
	}
	if len(values) == 0 {
		return nil
	}
	bars, err := plotter.NewBarChart(values, vg.Points(30))
	if err != nil {
		return err
	}
	bars.Color = lineColors[0]
	drawing.Add(bars)
	drawing.NominalX(names...)
	return nil
}
