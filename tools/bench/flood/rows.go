package main

import (
	"fmt"
	"io"
)

// Bounds of section 9 of the design, in percent.
const (
	// topRankBound is the share of the top rank that is served in time in a flood of the least
	// urgent kind.
	topRankBound = 99.0
	// declaredBound is the share of its declared rate that every other kind keeps in a flood of the
	// most urgent kind. These kinds are sent at the declared rate, so it is checked against the
	// requests sent, which leaves out the random number of arrivals in the window.
	declaredBound = 90.0
)

// row is one line of the report.
type row struct {
	name  string
	value float64
	unit  string
	bound float64 // smallest allowed value; zero means none
}

func (r row) over() bool { return r.bound > 0 && r.value < r.bound }

func (r row) write(out io.Writer) error {
	bound, state := "-", "ok"
	if r.bound > 0 {
		bound = fmt.Sprintf(">=%.0f", r.bound)
	}
	if r.over() {
		state = "over"
	}
	_, err := fmt.Fprintf(out, "%-48s %7.2f %s %s %s\n", r.name, r.value, r.unit, bound, state)
	return err
}

// rows returns the rows of one run. Only the policy of the daemon has bounds; the baselines are
// there for comparison.
func rows(u *user, sc scenario, policy string, t *tally) []row {
	var list []row
	for i := range u.kinds {
		k := &u.kinds[i]
		r := row{name: fmt.Sprintf("%s/%s/%s/%s", u.name, sc.name, policy, k.Name), unit: "%-in-time"}
		r.value = t.servedShare(k.Name)
		if policy == policyRanked {
			r.bound = bound(sc, i == 0)
		}
		list = append(list, r)
	}
	return list
}

func bound(sc scenario, top bool) float64 {
	switch {
	case sc.unbounded:
		return 0
	case sc.floodMost && !top:
		return declaredBound
	case !sc.floodMost && top:
		return topRankBound
	}
	return 0
}
