package burn

import (
	"math"
	"sync/atomic"

	"kingcupwood.example/kingcupwood/pkg/snapshot"
)

// counter counts the outcomes of one kind at one rank. Its methods are safe for concurrent use.
type counter struct {
	// objective (the bits of a float64) and worth are those of the kind in the latest snapshot.
	objective atomic.Uint64
	worth     atomic.Int64
	total     [numOutcomes]atomic.Uint64
	ring      []bucket
}

// bucket counts the outcomes in one interval. Each cell holds the interval number in the upper 32
// bits and the count in the lower 32 bits. Resetting a cell for a new interval and incrementing it
// is thus a single atomic operation, which loses no concurrent increment.
type bucket [numOutcomes]atomic.Uint64

const countBitWidth = 32

func newCounter(buckets int) *counter { return &counter{ring: make([]bucket, buckets)} }

// setKind stores the objective and the worth of k. It writes only values that changed.
func (c *counter) setKind(k *snapshot.Kind) {
	if bits := math.Float64bits(k.Objective); c.objective.Load() != bits {
		c.objective.Store(bits)
	}
	if worth := int64(k.Worth); c.worth.Load() != worth {
		c.worth.Store(worth)
	}
}

// add counts one request in the given interval. If the bucket has already been reused for a later
// interval, the request is counted in that one.
func (c *counter) add(interval uint32, o Outcome) {
	c.total[o].Add(1)
	cell := &c.ring[int(interval)%len(c.ring)][o]
	for {
		old := cell.Load()
		next := old + 1
		if uint32(old>>countBitWidth) < interval {
			next = uint64(interval)<<countBitWidth | 1
		}
		if cell.CompareAndSwap(old, next) {
			return
		}
	}
}

// countsOf returns the counts of one interval. They are zero if the ring does not contain the
// interval any more or yet.
func (c *counter) countsOf(interval uint32) Counts {
	b := &c.ring[int(interval)%len(c.ring)]
	read := func(o Outcome) uint64 {
		value := b[o].Load()
		if uint32(value>>countBitWidth) != interval {
			return 0
		}
		return value & math.MaxUint32
	}
	return Counts{read(Good), read(Late), read(Refused), read(Lost)}
}

func (c *counter) totals() Counts {
	return Counts{c.total[Good].Load(), c.total[Late].Load(), c.total[Refused].Load(), c.total[Lost].Load()}
}
