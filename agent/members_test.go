package agent

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against daemons that each use a large share of a shared budget because they have just
// started or no longer see the others, and against a share that stays small permanently.
func TestAssumedMembers(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	const settling = 10 * time.Second
	c := memberCount{started: start}
	is.Equal(c.estimate(start, 1, 0, settling), math.MaxInt32)            // no other daemon is visible yet
	is.Equal(c.estimate(start.Add(time.Second), 3, 60, settling), 60)     // the directory lists more than the membership
	is.Equal(c.estimate(start.Add(2*time.Second), 82, 64, settling), 82)  // the membership has more than the directory lists at once
	is.Equal(c.estimate(start.Add(30*time.Second), 20, 64, settling), 82) // a partition
	is.Equal(c.estimate(start.Add(2*time.Minute), 20, 20, settling), 20)  // the others have left permanently
	alone := memberCount{started: start}
	is.Equal(alone.estimate(start.Add(settling), 1, 1, settling), 1)
}
