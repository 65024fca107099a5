package main

import "time"

// outcome is what became of a request.
type outcome uint8

const (
	outcomeServed  outcome = iota // in time
	outcomeLate                   // ran, but its response came after the deadline
	outcomeRefused                // not run
	outcomeFailed                 // failed or unknown
	outcomes
)

// tally counts the outcomes of the requests sent in the measured window, by kind.
type tally struct {
	from, to time.Duration
	counts   map[string]*[outcomes]int
}

func newTally() *tally { return &tally{counts: map[string]*[outcomes]int{}} }

func (t *tally) add(r *request, o outcome) {
	if r.at < t.from || r.at >= t.to {
		return
	}
	c := t.counts[r.kind.Name]
	if c == nil {
		c = &[outcomes]int{}
		t.counts[r.kind.Name] = c
	}
	c[o]++
}

// servedShare returns the share of all requests of the kind that were served in time, in percent.
func (t *tally) servedShare(kind string) float64 {
	c := t.counts[kind]
	if c == nil {
		return 0
	}
	total := 0
	for _, n := range c {
		total += n
	}
	return 100 * float64(c[outcomeServed]) / float64(total)
}
