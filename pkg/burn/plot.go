package burn

import (
	"fmt"
	"image/color"
	"io"
	"time"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"
	"gonum.org/v1/plot/vg/vgsvg"
)

const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 16 * vg.Centimeter

	// maxPlottedBurn cuts the burn rate in the plot. An outage reaches 1,000 at an objective of
	// 99.9%, and the range in which an operator still has time to act would be flat beside it.
	maxPlottedBurn = 20
)

// rankColors has a colour for each rank, distinguishable with the common colour vision deficiencies.
var rankColors = []color.RGBA{
	{0xd5, 0x5e, 0x00, 0xff}, {0x00, 0x72, 0xb2, 0xff}, {0x00, 0x9e, 0x73, 0xff},
	{0xcc, 0x79, 0xa7, 0xff}, {0xe6, 0x9f, 0x00, 0xff}, {0x56, 0xb4, 0xe9, 0xff},
	{0x7f, 0x7f, 0x7f, 0xff}, {0x8c, 0x56, 0x4b, 0xff}, {0x00, 0x00, 0x00, 0xff},
}

// WriteSVG plots the good share and the burn rate of each rank over the long window as SVG.
func (r *Report) WriteSVG(w io.Writer) error {
	canvas := vgsvg.New(plotWidth, plotHeight)
	if err := r.draw(canvas); err != nil {
		return err
	}
	_, err := canvas.WriteTo(w)
	return errors.Wrap(err, "write plot")
}

// WritePNG plots the same as WriteSVG as PNG.
func (r *Report) WritePNG(w io.Writer) error {
	canvas := vgimg.New(plotWidth, plotHeight)
	if err := r.draw(canvas); err != nil {
		return err
	}
	_, err := vgimg.PngCanvas{Canvas: canvas}.WriteTo(w)
	return errors.Wrap(err, "write plot")
}

func (r *Report) draw(canvas vg.CanvasSizer) error {
	share, burn := r.newPlot(), r.newPlot()
	share.Title.Text = "Service level by rank"
	share.Y.Label.Text = "good and in time, %"
	share.Y.Min, share.Y.Max = 0, 100
	burn.Y.Label.Text = fmt.Sprintf("burn rate (cut at %d)", maxPlottedBurn)
	burn.X.Label.Text = "UTC"
	burn.Y.Min, burn.Y.Max = 0, maxPlottedBurn
	for start := 0; start < len(r.Series); {
		end := start
		for end < len(r.Series) && r.Series[end].Rank == r.Series[start].Rank {
			end++
		}
		if err := r.drawRank(share, burn, r.Series[start:end]); err != nil {
			return err
		}
		start = end
	}
	limit := plotter.NewFunction(func(float64) float64 { return SlowBurn })
	limit.Dashes = []vg.Length{vg.Points(4), vg.Points(3)}
	burn.Add(limit)
	burn.Legend.Add("objective just met", limit)
	r.arrange(canvas, share, burn)
	return nil
}

// newPlot returns an empty plot whose time axis is the long window.
func (r *Report) newPlot() *plot.Plot {
	p := plot.New()
	p.X.Min = float64(r.Until.Add(-r.Long).Unix())
	p.X.Max = float64(r.Until.Unix())
	layout := "15:04"
	if r.Long < 10*time.Minute {
		layout = "15:04:05"
	}
	p.X.Tick.Marker = plot.TimeTicks{Format: layout, Time: plot.UTCUnixTime}
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	return p
}

// drawRank adds the lines of one rank. Points outside the window, which reports of daemons with
// differing clocks may contain, are left out.
func (r *Report) drawRank(share, burn *plot.Plot, points []Point) error {
	var good, rates plotter.XYs
	for _, p := range points {
		x := (float64(p.Interval) + 0.5) * r.Bucket.Seconds()
		if x < share.X.Min || x > share.X.Max+r.Bucket.Seconds() {
			continue
		}
		x = min(x, share.X.Max)
		good = append(good, plotter.XY{X: x, Y: 100 * p.Counts.GoodShare()})
		bad := burnRate(float64(p.Counts.Bad()), float64(p.AllowedMicro)/micro)
		rates = append(rates, plotter.XY{X: x, Y: min(bad, maxPlottedBurn)})
	}
	if len(good) == 0 {
		return nil
	}
	rank := points[0].Rank
	if err := addLine(share, good, rank); err != nil {
		return err
	}
	return addLine(burn, rates, rank)
}

func addLine(p *plot.Plot, points plotter.XYs, rank int) error {
	line, err := plotter.NewLine(points)
	if err != nil {
		return errors.Wrapf(err, "plot rank %d", rank)
	}
	line.Width = vg.Points(1.5)
	line.Color = rankColors[(rank-1)%len(rankColors)]
	p.Add(line)
	p.Legend.Add(fmt.Sprintf("rank %d", rank), line)
	return nil
}

// arrange draws the plots below each other with the same time axis.
func (r *Report) arrange(canvas vg.CanvasSizer, plots ...*plot.Plot) {
	var rows [][]*plot.Plot
	for _, p := range plots {
		rows = append(rows, []*plot.Plot{p})
	}
	tiles := draw.Tiles{Rows: len(rows), Cols: 1, PadY: vg.Millimeter * 4, PadRight: vg.Millimeter * 4,
		PadLeft: vg.Millimeter * 2, PadTop: vg.Millimeter * 2, PadBottom: vg.Millimeter * 2}
	for i, row := range plot.Align(rows, tiles, draw.New(canvas)) {
		plots[i].Draw(row[0])
	}
}
