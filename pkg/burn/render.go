package burn

import (
	"bytes"
	_ "embed"
	"encoding/json"
	"fmt"
	"html/template"
	"io"
	"math"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	"kingcupwood.example/kingcupwood/pkg/snapshot"
)

// WriteText writes the report as tables for a terminal.
func (r *Report) WriteText(w io.Writer) error {
	out := &bytes.Buffer{}
	fmt.Fprintf(out, "%s\n\n", r.caption())
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(table, "rank\trequests\tgood\tworth served\tlate\trefused\tlost\tburn %s\tburn %s\tbudget left\t  status\n",
		shortDuration(r.Short), shortDuration(r.Long))
	for _, k := range r.Ranks() {
		fmt.Fprintf(table, "%d\t%d\t%s\t%s\t%d\t%d\t%d\t%s\t%s\t%s\t  %s\n", k.Rank, k.Total.Total(), percent(k.Total.GoodShare()),
			percent(k.WorthShare), k.Total.Late, k.Total.Refused, k.Total.Lost,
			rate(k.BurnShort), rate(k.BurnLong), percent(k.BudgetLeft), k.Status)
	}
	_ = table.Flush() // Writing to a bytes.Buffer does not fail.
	fmt.Fprintln(out)
	table = tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "rank\tkind\trequests\tgood\tobjective\tlate\trefused\tlost\tburn %s\tburn %s\tbudget left\tstatus\n",
		shortDuration(r.Short), shortDuration(r.Long))
	for _, k := range r.Kinds {
		f := k.Figures()
		fmt.Fprintf(table, "%d\t%s/%s\t%d\t%s\t%s\t%d\t%d\t%d\t%s\t%s\t%s\t%s\n", k.Rank, k.Service, k.Kind, k.Total.Total(),
			percent(k.Total.GoodShare()), snapshot.FormatShare(k.Objective), k.Total.Late, k.Total.Refused, k.Total.Lost,
			rate(f.BurnShort), rate(f.BurnLong), percent(f.BudgetLeft), f.Status)
	}
	_ = table.Flush()
	_, err := w.Write(out.Bytes())
	return errors.Wrap(err, "write report")
}

// kindWithFigures is the JSON representation of a kind. Decode ignores the figures.
type kindWithFigures struct {
	Kind
	Figures Figures `json:"figures"`
}

// WriteJSON writes the report with its figures as JSON. Decode reads it.
func (r *Report) WriteJSON(w io.Writer) error {
	kinds := make([]kindWithFigures, len(r.Kinds))
	for i, k := range r.Kinds {
		kinds[i] = kindWithFigures{k, k.Figures()}
	}
	// Ranks and Kinds take precedence over the fields of the embedded report.
	output := struct {
		*Report
		Ranks []Rank            `json:"ranks"`
		Kinds []kindWithFigures `json:"kinds"`
	}{r, r.Ranks(), kinds}
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(output), "write report")
}

//go:embed page.html
var pageTemplateText string

var pageTemplate = template.Must(template.New("report").Funcs(template.FuncMap{
	"percent": percent, "rate": rate, "share": snapshot.FormatShare, "duration": shortDuration, "class": Status.class,
}).Parse(pageTemplateText))

// WriteHTML writes the report as a self-contained HTML page with an embedded SVG plot.
func (r *Report) WriteHTML(w io.Writer) error {
	var plot bytes.Buffer
	if err := r.WriteSVG(&plot); err != nil {
		return err
	}
	// The XML declaration is not allowed inside HTML.
	svg := plot.Bytes()
	if start := bytes.Index(svg, []byte("<svg")); start > 0 {
		svg = svg[start:]
	}
	data := struct {
		*Report
		Caption string
		Plot    template.HTML
	}{r, r.caption(), template.HTML(svg)}
	return errors.Wrap(pageTemplate.Execute(w, data), "write report")
}

func (r *Report) caption() string {
	const layout = "2006-01-02 15:04:05"
	daemons := "1 daemon"
	if r.Daemons != 1 {
		daemons = fmt.Sprintf("%d daemons", r.Daemons)
	}
	return fmt.Sprintf("Service level of %s, %s to %s UTC", daemons, r.Since.UTC().Format(layout), r.Until.UTC().Format(layout))
}

// class returns the CSS class of a status.
func (s Status) class() string {
	switch s {
	case StatusFast:
		return "fast"
	case StatusSlow:
		return "slow"
	}
	return "ok"
}

// percent formats a share rounded towards zero, so that it shows 100% only if no request failed.
func percent(share float64) string {
	return strconv.FormatFloat(math.Trunc(share*1e4+math.Copysign(1e-6, share))/1e2, 'f', 2, 64) + "%"
}

func rate(burn float64) string { return strconv.FormatFloat(burn, 'f', 2, 64) }

// shortDuration formats whole hours and minutes without the zero units that Duration.String
// appends.
func shortDuration(d time.Duration) string {
	switch {
	case d%time.Hour == 0:
		return fmt.Sprintf("%dh", d/time.Hour)
	case d%time.Minute == 0:
		return fmt.Sprintf("%dm", d/time.Minute)
	}
	return d.String()
}
