// Package burn counts the outcomes of requests by service, rank and kind and computes the burn rate
// of each kind: how fast it consumes the error budget given by its objective.
package burn

import "kingcupwood.example/kingcupwood/pkg/verdict"

// Outcome is the result of a request from the point of view of its caller.
type Outcome uint8

// The numOutcomes. All but Good count against the objective.
const (
	// Good means that the complete response arrived within the deadline.
	Good Outcome = iota
	// Late means that the deadline passed before the response was complete.
	Late
	// Refused means that the caller received a refusal: the request was certainly not run.
	Refused
	// Lost means that the request failed otherwise and may have run.
	Lost

	numOutcomes = 4
)

// Classify returns the outcome of a request from its verdict and whether it missed its deadline or
// failed. A verdict that the request was not run takes precedence over both.
func Classify(v verdict.Verdict, late, failed bool) Outcome {
	switch {
	case v == verdict.NotRun:
		return Refused
	case late:
		return Late
	case failed || v != verdict.Ran:
		return Lost
	}
	return Good
}

// Counts holds the number of requests by outcome.
type Counts struct {
	Good    uint64 `json:"good"`
	Late    uint64 `json:"late"`
	Refused uint64 `json:"refused"`
	Lost    uint64 `json:"lost"`
}

// Total returns the number of requests.
func (c Counts) Total() uint64 { return c.Good + c.Bad() }

// Bad returns the number of requests that count against the objective.
func (c Counts) Bad() uint64 { return c.Late + c.Refused + c.Lost }

// Plus returns the sum of c and d.
func (c Counts) Plus(d Counts) Counts {
	return Counts{c.Good + d.Good, c.Late + d.Late, c.Refused + d.Refused, c.Lost + d.Lost}
}

// GoodShare returns the share of good requests, from 0 to 1. It is 1 if there were no requests.
func (c Counts) GoodShare() float64 {
	if c.Total() == 0 {
		return 1
	}
	return float64(c.Good) / float64(c.Total())
}
