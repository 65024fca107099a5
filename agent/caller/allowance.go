package caller

import (
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

// allowance is the time that the caller of a request allows for it, in milliseconds.
type allowance struct {
	ms        int64
	set       bool
	malformed bool
}

// readAllowance reads the header with the given name. A number out of range gives the nearest one.
func readAllowance(r *http.Request, name string) allowance {
	value := headerValue(r, name)
	if value == "" {
		return allowance{}
	}
	ms, err := strconv.ParseInt(value, 10, 64)
	if err != nil && !errors.Is(err, strconv.ErrRange) {
		return allowance{malformed: true}
	}
	return allowance{ms: ms, set: true}
}

// within returns the smaller of the deadline of the kind and the time allowed, 0 if that is negative: the
// time of the caller is over, which is no fault of its request.
func (a allowance) within(deadline time.Duration) time.Duration {
	if !a.set || a.ms > deadline.Milliseconds() {
		return deadline
	}
	return time.Duration(max(a.ms, 0)) * time.Millisecond
}

// duration returns the time allowed, and whether the caller has set a usable one.
func (a allowance) duration() (time.Duration, bool) {
	usable := a.set && a.ms > 0 && a.ms <= math.MaxInt32
	return time.Duration(min(a.ms, math.MaxInt32)) * time.Millisecond, usable
}
