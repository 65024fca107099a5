// Package retry limits retries and computes the time that a hop may use.
package retry

import (
	"sync"
	"time"
)

const (
	// maxBalance is the number of retries that may be saved up. A larger balance would let a burst
	// of failures after a calm period double the load.
	maxBalance = 20.0
	// reserveShare is the part of the remaining time that each hop keeps for its own response.
	reserveShare = 0.02
	// minReserve is the least time that each hop keeps.
	minReserve = 2 * time.Millisecond
)

// Budget allows retries up to the larger of a share of the requests and a minimum rate. Its methods
// may be called concurrently.
type Budget struct {
	ratio        float64
	minPerSecond float64
	now          func() time.Time

	mu      sync.Mutex
	earned  float64 // retries earned by requests
	minimum float64 // retries available at the minimum rate
	last    time.Time
}

// NewBudget returns a Budget. ratio is the number of retries that each request earns, minPerSecond
// the retries per second that are allowed in any case.
func NewBudget(ratio, minPerSecond float64, now func() time.Time) *Budget {
	return &Budget{ratio: ratio, minPerSecond: minPerSecond, now: now, minimum: minPerSecond, last: now()}
}

// Deposit records a request that is not a retry.
func (b *Budget) Deposit() {
	b.mu.Lock()
	b.earned = min(b.earned+b.ratio, maxBalance)
	b.mu.Unlock()
}

// Withdraw reports whether a retry is allowed and records it. A retry counts against both the
// share and the minimum, so that the two do not add up.
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

// HopTimeout returns the time that the next hop may use if left remains until the deadline. The
// difference is kept for the failure response of this hop: 2%, at least 2 ms. The result is zero if
// nothing remains.
func HopTimeout(left time.Duration) time.Duration {
	reserve := max(time.Duration(float64(left)*reserveShare), minReserve)
	return max(left-reserve, 0)
}
