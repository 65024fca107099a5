package caller

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// allowanceMemory is the time after which a longer allowance is forgotten, so that the estimate
	// follows callers that now allow less.
	allowanceMemory = 20 * time.Second
	// maxAllowances bounds the routes whose allowance is remembered.
	maxAllowances = 4096
)

// allowances learns how long callers allow for a request of each route. A request that allows less has
// probably been submitted before, and the difference is the time that its caller has been waiting.
type allowances struct {
	byRoute sync.Map // string to *allowance
	size    atomic.Int64
}

// allowance is the longest time that was allowed lately.
type allowance struct {
	longest atomic.Int64 // nanoseconds
	seen    atomic.Int64 // Unix nanoseconds at which longest was last allowed
}

// waited returns how long the caller of a request of a route has probably been waiting, given the time that it
// allows now.
func (a *allowances) waited(route string, allowed time.Duration, now time.Time) time.Duration {
	found, ok := a.byRoute.Load(route)
	if !ok {
		if a.size.Add(1) > maxAllowances {
			a.byRoute.Clear()
			a.size.Store(1)
		}
		found, _ = a.byRoute.LoadOrStore(route, &allowance{})
	}
	usual := found.(*allowance)
	longest := time.Duration(usual.longest.Load())
	if allowed >= longest || now.UnixNano()-usual.seen.Load() > int64(allowanceMemory) {
		usual.longest.Store(int64(allowed))
		usual.seen.Store(now.UnixNano())
		return 0
	}
	return longest - allowed
}
