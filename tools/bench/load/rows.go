package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"

	"kingcupwood.example/kingcupwood/tools/bench/row"
)

// Bounds of section 9 of the design page, in percent.
const (
	// topRankBound is the share of the top rank that is served in time in a flood of the least urgent
	// kind.
	topRankBound = 99
	// declaredBound is the share of its declared rate that every other kind keeps in a flood of the
	// most urgent kind. It is checked against the requests sent at that rate, which leaves out the
	// random number of arrivals in the window.
	declaredBound = 90
	// minSent is the number of requests below which a share says nothing about a bound.
	minSent = 20
)

// rows returns the figures of a finished run.
func (r *run) rows() []row.Row {
	prefix := fmt.Sprintf("load/%s/%s/%s", r.user.name, r.title(), r.policy)
	list := []row.Row{
		{Name: prefix + "/scale", Value: r.scale, Unit: "factor"},
		{Name: prefix + "/load_average", Value: r.load, Unit: "processes"},
		{Name: prefix + "/generator_lag_p99", Value: r.generator.lagP99(), Unit: "ms"},
		{Name: prefix + "/generator_dropped", Value: float64(r.generator.dropped.Load()), Unit: "requests", Never: true},
	}
	for _, s := range r.generator.streams {
		list = append(list, r.kindRows(prefix, s)...)
	}
	return list
}

// title is the name of the experiment with the flooded service.
func (r *run) title() string {
	if r.flooded == nil {
		return r.experiment.name
	}
	return r.experiment.name + "-" + r.flooded.Name
}

func (r *run) kindRows(prefix string, s *stream) []row.Row {
	t := s.tally
	name := fmt.Sprintf("%s/%s.%s/", prefix, s.service, s.kind.Name)
	share := func(n int) float64 { return 100 * float64(n) / float64(max(t.sent, 1)) }
	kept := 100 * float64(t.inTime) / max(s.declared*r.window.Seconds(), 1)
	list := []row.Row{
		{Name: name + "sent", Value: float64(t.sent), Unit: "requests"},
		{Name: name + "in_time", Value: share(t.inTime), Unit: "%", Least: r.bound(s)},
		{Name: name + "declared_kept", Value: kept, Unit: "%"},
		{Name: name + "late", Value: share(t.late), Unit: "%"},
		{Name: name + "refused", Value: share(t.refused), Unit: "%"},
		{Name: name + "failed", Value: share(t.failed), Unit: "%"},
		{Name: name + "unknown", Value: share(t.unknown), Unit: "%"},
		{Name: name + "p50", Value: float64(t.latency.ValueAtQuantile(50)) / 1000, Unit: "ms"},
		{Name: name + "p99", Value: float64(t.latency.ValueAtQuantile(99)) / 1000, Unit: "ms"},
	}
	if !s.kind.Idempotent {
		f := t.check(r.runs[s.service])
		list = append(list,
			row.Row{Name: name + "run_twice", Value: float64(f.repeated), Unit: "requests", Never: r.policy == policyRanked},
			row.Row{Name: name + "false_not_run", Value: float64(f.falseNotRun), Unit: "requests", Never: r.policy == policyRanked})
	}
	return list
}

// bound returns the bound for the share in time; zero means none. Only the policy of the daemon has
// bounds, and only the flooded service.
func (r *run) bound(s *stream) float64 {
	if r.policy != policyRanked || s.flooding || s.tally.sent < minSent || r.flooded == nil {
		return 0
	}
	switch {
	case r.experiment.flood == floodMost:
		return declaredBound
	case s.service == r.flooded.Name && s.kind == extreme(r.flooded, true):
		return topRankBound
	}
	return 0
}

func (g *generator) lagP99() float64 { return float64(g.lag.ValueAtQuantile(99)) / 1000 }

// loadAverage returns the mean number of runnable processes of the last minute, zero if unknown.
func loadAverage() float64 {
	data, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return 0
	}
	first, _, _ := strings.Cut(string(data), " ")
	value, _ := strconv.ParseFloat(first, 64) // zero if the format is unknown
	return value
}
