// Package verdict describes whether a request may have run on a backend server. Every error of the
// request path carries a verdict, which is passed to the caller in the response header Header.
package verdict

import (
	"fmt"

	"github.com/pkg/errors"
)

// Header is the response header that carries the verdict to the caller.
const Header = "Kingcupwood-Verdict"

// Verdict states whether a request may have run. The zero value is MayHaveRun, so that an error
// without a verdict is never treated as proof that the request did not run.
type Verdict uint8

// The verdicts.
const (
	// MayHaveRun means that the outcome is unknown.
	MayHaveRun Verdict = iota
	// NotRun means that the request has not run and never will.
	NotRun
	// Ran means that the backend server has responded.
	Ran
)

var names = [...]string{MayHaveRun: "may-have-run", NotRun: "not-run", Ran: "ran"}

// String returns the value used in Header.
func (v Verdict) String() string {
	if int(v) < len(names) {
		return names[v]
	}
	return fmt.Sprintf("verdict(%d)", uint8(v))
}

// Parse returns the verdict for a value of Header. Unknown values give MayHaveRun and an error.
func Parse(value string) (Verdict, error) {
	for v, name := range names {
		if name == value {
			return Verdict(v), nil
		}
	}
	return MayHaveRun, errors.Errorf("unknown verdict %q", value)
}

// Error is an error of the request path with its verdict.
type Error struct {
	Verdict Verdict
	Err     error
}

// Wrap returns err with verdict v, or nil if err is nil.
func Wrap(v Verdict, err error) error {
	if err == nil {
		return nil
	}
	return &Error{Verdict: v, Err: err}
}

// Error implements error.
func (e *Error) Error() string { return e.Err.Error() + " (" + e.Verdict.String() + ")" }

// Unwrap returns the error without its verdict.
func (e *Error) Unwrap() error { return e.Err }

// Of returns the verdict of err: Ran for nil, MayHaveRun if err carries none.
func Of(err error) Verdict {
	if err == nil {
		return Ran
	}
	var e *Error
	if errors.As(err, &e) {
		return e.Verdict
	}
	return MayHaveRun
}
