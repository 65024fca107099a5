package agent

import (
	"math"
	"sync"
	"time"
)

// memberMemory is the time for which a daemon assumes that the members it once knew are still there. It spans a
// partition, in which the others go on to use their parts of what all daemons share.
const memberMemory = time.Minute

// memberCount estimates the number of daemons that divide a shared budget among them. Too low a number would let
// all daemons together exceed the budget, so it follows losses late and starts high.
type memberCount struct {
	started time.Time

	mu     sync.Mutex
	most   int
	mostAt time.Time
}

// assume returns the number of daemons to be assumed, of which this daemon knows some and the directory lists some.
// Until either tells of others, for the time of settling, it is so large that no part of the budget is left.
func (c *memberCount) assume(now time.Time, known, listed int, settling time.Duration) int {
	count := max(known, listed)
	if count <= 1 && now.Sub(c.started) < settling {
		return math.MaxInt32
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if count >= c.most || now.Sub(c.mostAt) > memberMemory {
		c.most, c.mostAt = count, now
	}
	return max(c.most, 1)
}
