package agent

import (
	"math"
	"sync"
	"time"
)

// memberRetention is the time for which members that are no longer visible still count. It spans a
// partition, during which the daemons on the other side continue to use their shares of the budget.
const memberRetention = time.Minute

// memberCount estimates the number of daemons that share a budget. With too low an estimate, the
// daemons together would exceed the budget, so the estimate starts high and decreases with a delay.
type memberCount struct {
	started time.Time

	mu        sync.Mutex
	highest   int
	highestAt time.Time
}

// estimate returns the estimated number of daemons. known is the number in the membership of this
// daemon, listed that in the directory. While neither contains another daemon, the estimate is so
// large that no share of the budget is left, for at most the time settling after the start.
func (c *memberCount) estimate(now time.Time, known, listed int, settling time.Duration) int {
	count := max(known, listed)
	if count <= 1 && now.Sub(c.started) < settling {
		return math.MaxInt32
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if count >= c.highest || now.Sub(c.highestAt) > memberRetention {
		c.highest, c.highestAt = count, now
	}
	return max(c.highest, 1)
}
