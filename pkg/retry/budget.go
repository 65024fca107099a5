// Package retry limits retries and computes the timeout of each hop.
package retry

import (
	"sync"
	"time"
)

const (
	// maxBalance is the maximum number of retries that may accumulate. A larger balance would let a
	// burst of failures after a calm period double the load.
	maxBalance = 20.0
	// reserveShare is the share of the remaining time that each hop reserves for its own response.
	reserveShare = 0.02
	// minReserve is the minimum time that each hop reserves.
	minReserve = 2 * time.Millisecond
)

// Budget allows retries up to a ratio of the requests or a minimum rate, whichever is larger. It is
// safe for concurrent use.
type Budget struct {
	ratio        float64
	minPerSecond float64
	now          func() time.Time

	mu      sync.Mutex
	earned  float64 // retries earned by requests
	minimum float64 // retries available at the minimum rate
	last    time.Time
}

// NewBudget returns a Budget. ratio is the number of retries earned by each request, minPerSecond
// the rate of retries that is allowed in any case.
func NewBudget(ratio, minPerSecond float64, now func() time.Time) *Budget {
	return &Budget{ratio: ratio, minPerSecond: minPerSecond, now: now, minimum: minPerSecond, last: now()}
}

// Deposit records a request that is not a retry.
func (b *Budget) Deposit() {
	b.mu.Lock()
	b.earned = min(b.earned+b.ratio, maxBalance)
	b.mu.Unlock()
}

// Charge implements Limiter. The ratio of a kind covers its own retries only, so it has no effect.
func (b *Budget) Charge(float64) {}

// Withdraw reports whether a retry is allowed and records it. A retry counts against both the ratio
// and the minimum rate, so that the two do not add up.
func (b *Budget) Withdraw(bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(b.now())
	if b.earned < 1 && b.minimum < 1 {
		return false
	}
	b.earned = max(b.earned-1, 0)
	b.minimum = max(b.minimum-1, 0)
	return true
}

func (b *Budget) refill(now time.Time) {
	if elapsed := now.Sub(b.last); elapsed > 0 {
		b.minimum = min(b.minimum+b.minPerSecond*elapsed.Seconds(), max(b.minPerSecond, 1))
		b.last = now
	}
}

// HopTimeout returns the timeout of the next hop if left remains until the deadline. The
// difference, 2% but at least 2 ms, is reserved for the failure response of this hop. The result is
// zero if no time remains.
func HopTimeout(left time.Duration) time.Duration {
	reserve := max(time.Duration(float64(left)*reserveShare), minReserve)
	return max(left-reserve, 0)
}
