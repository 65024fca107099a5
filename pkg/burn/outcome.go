// Package burn counts the outcomes of requests by service, rank and kind, and derives from them how
// fast each kind uses up the share of requests that its objective allows to fail.
package burn

import "kingcupwood.example/kingcupwood/pkg/verdict"

// Outcome is what became of a request, as its caller saw it.
type Outcome uint8

// The outcomes. All but Good count against the objective.
const (
	// Good means that the complete response arrived within the deadline.
	Good Outcome = iota
	// Late means that the deadline passed before the response was complete.
	Late
	// Refused means that the caller was told that the request was not run.
	Refused
	// Lost means that the request failed otherwise and may have run.
	Lost

	outcomes = 4
)

// Classify returns the outcome for the verdict of a request that missed its deadline, failed, or
// neither. A proof that the request was not run takes precedence.
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

// GoodShare returns the share of good requests between 0 and 1, 1 if there were none.
func (c Counts) GoodShare() float64 {
	if c.Total() == 0 {
		return 1
	}
	return float64(c.Good) / float64(c.Total())
}
