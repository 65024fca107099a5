package caller

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// timeoutEstimateTTL is the age at which a longer timeout is discarded, so that the estimate
	// follows callers that have shortened their timeouts.
	timeoutEstimateTTL = 20 * time.Second
	// maxTimeoutEstimates bounds the number of routes with an estimate.
	maxTimeoutEstimates = 4096
)

// timeoutEstimates estimates the full timeout that callers set for each route. A request with a
// shorter timeout is probably a resubmission; the difference is the time that its caller has
// already waited.
type timeoutEstimates struct {
	byRoute sync.Map // string to *timeoutEstimate
	size    atomic.Int64
}

// timeoutEstimate is the longest timeout seen within timeoutEstimateTTL.
type timeoutEstimate struct {
	longest atomic.Int64 // nanoseconds
	seen    atomic.Int64 // Unix nanoseconds at which longest was last allowed
}

// waited returns the estimated time that the caller of a request has already waited, given the
// route and the remaining timeout of the request.
func (a *timeoutEstimates) waited(route string, allowed time.Duration, now time.Time) time.Duration {
	found, ok := a.byRoute.Load(route)
	if !ok {
		if a.size.Add(1) > maxTimeoutEstimates {
			a.byRoute.Clear()
			a.size.Store(1)
		}
		found, _ = a.byRoute.LoadOrStore(route, &timeoutEstimate{})
	}
	estimate := found.(*timeoutEstimate)
	longest := time.Duration(estimate.longest.Load())
	if allowed >= longest || now.UnixNano()-estimate.seen.Load() > int64(timeoutEstimateTTL) {
		estimate.longest.Store(int64(allowed))
		estimate.seen.Store(now.UnixNano())
		return 0
	}
	return longest - allowed
}
