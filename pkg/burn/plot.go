package burn

import (
	"bytes"
	"fmt"
	"image/color"
	"io"
	"math"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/text"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"
	"gonum.org/v1/plot/vg/vgsvg"
)

const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 16 * vg.Centimeter
	// legendWidth is the width of the margin that holds the legend. Inside the plots the legend
	// would cover the lines.
	legendWidth = 3.9 * vg.Centimeter
	plotPadding = 3 * vg.Millimeter

	// maxPlottedBurnRate caps the plotted burn rate. A full outage has a rate of 1,000 at an
	// objective of 99.9%; on that scale the range in which an operator can still react would be a
	// flat line.
	maxPlottedBurnRate = 20
)

// rankColors has a color for each rank. The colors are distinguishable with the common color vision
// deficiencies.
var rankColors = []color.RGBA{
	{0xd5, 0x5e, 0x00, 0xff}, {0x00, 0x72, 0xb2, 0xff}, {0x00, 0x9e, 0x73, 0xff},
	{0xcc, 0x79, 0xa7, 0xff}, {0xe6, 0x9f, 0x00, 0xff}, {0x56, 0xb4, 0xe9, 0xff},
	{0x7f, 0x7f, 0x7f, 0xff}, {0x8c, 0x56, 0x4b, 0xff}, {0x00, 0x00, 0x00, 0xff},
}

// WriteSVG writes a plot of the good share and the burn rate of each rank over the long window as
// SVG.
func (r *Report) WriteSVG(w io.Writer) error {
	canvas := vgsvg.New(plotWidth, plotHeight)
	if err := r.draw(canvas); err != nil {
		return err
	}
	var svg bytes.Buffer
	if _, err := canvas.WriteTo(&svg); err != nil {
		return errors.Wrap(err, "write plot")
	}
	// Viewers that lack the font of the plot library would fall back to a serif font with other
	// character widths.
	_, err := w.Write(bytes.ReplaceAll(svg.Bytes(), []byte("font-family:Liberation Sans;"),
		[]byte("font-family:Liberation Sans,Arial,Helvetica,sans-serif;")))
	return errors.Wrap(err, "write plot")
}

// WritePNG writes the same plot as WriteSVG as PNG.
func (r *Report) WritePNG(w io.Writer) error {
	canvas := vgimg.New(plotWidth, plotHeight)
	if err := r.draw(canvas); err != nil {
		return err
	}
	_, err := vgimg.PngCanvas{Canvas: canvas}.WriteTo(w)
	return errors.Wrap(err, "write plot")
}

func (r *Report) draw(canvas vg.CanvasSizer) error {
	legend := newLegend()
	share, burn := r.newPlot(0, 25, 50, 75, 100), r.newPlot(0, 5, 10, 15, maxPlottedBurnRate)
	share.Title.Text = "Service level by rank"
	share.Y.Label.Text = "good and in time, %"
	burn.Y.Label.Text = fmt.Sprintf("burn rate (capped at %d)", maxPlottedBurnRate)
	burn.X.Label.Text = "UTC"
	for start := 0; start < len(r.Series); {
		end := start
		for end < len(r.Series) && r.Series[end].Rank == r.Series[start].Rank {
			end++
		}
		if err := r.drawRank(share, burn, &legend, r.Series[start:end]); err != nil {
			return err
		}
		start = end
	}
	objectiveLine := plotter.NewFunction(func(float64) float64 { return SlowBurn })
	objectiveLine.Dashes = []vg.Length{vg.Points(4), vg.Points(3)}
	burn.Add(objectiveLine)
	legend.Add("objective met", objectiveLine)
	drawLayout(draw.New(canvas), legend, share, burn)
	return nil
}

// newPlot returns an empty plot. Its time axis covers the long window; its value axis has the given
// ticks.
func (r *Report) newPlot(ticks ...float64) *plot.Plot {
	p := plot.New()
	p.X.Min, p.X.Max = float64(r.Until.Add(-r.Long).Unix()), float64(r.Until.Unix())
	p.Y.Min, p.Y.Max = ticks[0], ticks[len(ticks)-1]
	p.X.Tick.Marker = plot.TickerFunc(timeTicks)
	var marks plot.ConstantTicks
	for _, value := range ticks {
		marks = append(marks, plot.Tick{Value: value, Label: strconv.Itoa(int(value))})
	}
	p.Y.Tick.Marker = marks
	for _, style := range []*text.Style{&p.Title.TextStyle, &p.X.Label.TextStyle, &p.Y.Label.TextStyle, &p.X.Tick.Label, &p.Y.Tick.Label} {
		style.Font.Variant = fontVariant
	}
	p.Add(plotter.NewGrid())
	return p
}

const fontVariant = "Sans"

func newLegend() plot.Legend {
	legend := plot.NewLegend()
	legend.Top, legend.Left = true, true
	legend.TextStyle.Font.Variant = fontVariant
	legend.XOffs = plotPadding
	legend.Padding = vg.Points(2)
	return legend
}

// tickSteps lists the supported intervals between ticks of the time axis. The smallest one that
// gives at most maxTicks ticks is used.
var tickSteps = []time.Duration{time.Second, 5 * time.Second, 10 * time.Second, 30 * time.Second, time.Minute,
	5 * time.Minute, 10 * time.Minute, 30 * time.Minute, time.Hour, 3 * time.Hour, 6 * time.Hour, 24 * time.Hour, 7 * 24 * time.Hour}

const maxTicks = 9

// timeTicks returns ticks at round times between two Unix times in seconds.
func timeTicks(from, to float64) []plot.Tick {
	step, layout := time.Duration(math.Ceil((to-from)/maxTicks))*time.Second, "2006-01-02"
	for _, candidate := range tickSteps {
		if (to-from)/candidate.Seconds() <= maxTicks {
			step = candidate
			break
		}
	}
	switch {
	case step < time.Minute:
		layout = "15:04:05"
	case step < 24*time.Hour:
		layout = "15:04"
	}
	var ticks []plot.Tick
	for at := math.Ceil(from/step.Seconds()) * step.Seconds(); at <= to; at += step.Seconds() {
		ticks = append(ticks, plot.Tick{Value: at, Label: time.Unix(int64(at), 0).UTC().Format(layout)})
	}
	return ticks
}

// drawRank adds the lines of one rank to both plots. It omits points outside the window, which a
// merged report contains if the clocks of the daemons differ.
func (r *Report) drawRank(share, burn *plot.Plot, legend *plot.Legend, points []Point) error {
	var good, rates plotter.XYs
	for _, p := range points {
		x := (float64(p.Interval) + 0.5) * r.Bucket.Seconds()
		if x < share.X.Min || x > share.X.Max+r.Bucket.Seconds() {
			continue
		}
		x = min(x, share.X.Max)
		good = append(good, plotter.XY{X: x, Y: 100 * p.Counts.GoodShare()})
		bad := burnRate(float64(p.Counts.Bad()), float64(p.AllowedMicro)/micro)
		rates = append(rates, plotter.XY{X: x, Y: min(bad, maxPlottedBurnRate)})
	}
	if len(good) == 0 {
		return nil
	}
	for p, xys := range map[*plot.Plot]plotter.XYs{share: good, burn: rates} {
		line, err := plotter.NewLine(xys)
		if err != nil {
			return errors.Wrapf(err, "plot rank %d", points[0].Rank)
		}
		line.Width = vg.Points(1.5)
		line.Color = rankColors[(points[0].Rank-1)%len(rankColors)]
		p.Add(line)
		if len(xys) == 1 {
			// A line through a single point, as in the first minute, is invisible.
			if err := drawSinglePoint(p, xys, line.Color); err != nil {
				return err
			}
		}
		if p == share {
			legend.Add(fmt.Sprintf("rank %d", points[0].Rank), line)
		}
	}
	return nil
}

// drawSinglePoint draws a dot for the only point of a rank.
func drawSinglePoint(p *plot.Plot, xys plotter.XYs, c color.Color) error {
	points, err := plotter.NewScatter(xys)
	if err != nil {
		return errors.Wrap(err, "plot single point")
	}
	points.GlyphStyle = draw.GlyphStyle{Color: c, Radius: vg.Points(3), Shape: draw.CircleGlyph{}}
	p.Add(points)
	return nil
}

// drawLayout draws the plots below one another with aligned time axes and the legend to their
// right.
func drawLayout(canvas draw.Canvas, legend plot.Legend, plots ...*plot.Plot) {
	canvas.SetColor(color.White)
	canvas.Fill(canvas.Rectangle.Path())
	var rows [][]*plot.Plot
	for _, p := range plots {
		rows = append(rows, []*plot.Plot{p})
	}
	tiles := draw.Tiles{Rows: len(rows), Cols: 1, PadY: plotPadding, PadRight: legendWidth,
		PadLeft: plotPadding, PadTop: plotPadding, PadBottom: plotPadding}
	for i, row := range plot.Align(rows, tiles, canvas) {
		plots[i].Draw(row[0])
	}
	margin := draw.Crop(canvas, canvas.Max.X-canvas.Min.X-legendWidth, -plotPadding, 0, -plotPadding)
	legend.Draw(margin)
}
