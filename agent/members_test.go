package agent

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against daemons that each take a large part of a shared budget, because they have just started or have
// lost sight of the others, and against a part that stays small for good.
func TestAssumedMembers(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	const settling = 10 * time.Second
	c := memberCount{started: start}
	is.Equal(c.assume(start, 1, 0, settling), math.MaxInt32)            // nothing is known yet
	is.Equal(c.assume(start.Add(time.Second), 3, 60, settling), 60)     // the directory lists more than are known
	is.Equal(c.assume(start.Add(2*time.Second), 82, 64, settling), 82)  // more are known than the directory lists at once
	is.Equal(c.assume(start.Add(30*time.Second), 20, 64, settling), 82) // a partition
	is.Equal(c.assume(start.Add(2*time.Minute), 20, 20, settling), 20)  // the others have gone for good
	alone := memberCount{started: start}
	is.Equal(alone.assume(start.Add(settling), 1, 1, settling), 1)
}
