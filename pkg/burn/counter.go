package burn

import (
	"math"
	"sync/atomic"

	"kingcupwood.example/kingcupwood/pkg/snapshot"
)

// counter counts the outcomes of one kind at one rank. All methods are safe for concurrent use.
type counter struct {
	// objective holds the bits of a float64, worth the worth of the kind; both follow the snapshot.
	objective atomic.Uint64
	worth     atomic.Int64
	total     [outcomes]atomic.Uint64
	ring      []bucket
}

// bucket counts one interval. Each cell holds the number of the interval in its upper 32 bits and the
// count in its lower 32 bits, so that reusing a bucket for a new interval and counting in it are one
// atomic operation and no count is lost between them.
type bucket [outcomes]atomic.Uint64

const countBits = 32

func newCounter(buckets int) *counter { return &counter{ring: make([]bucket, buckets)} }

// describe stores the objective and the worth, writing only when they changed.
func (c *counter) describe(k *snapshot.Kind) {
	if bits := math.Float64bits(k.Objective); c.objective.Load() != bits {
		c.objective.Store(bits)
	}
	if worth := int64(k.Worth); c.worth.Load() != worth {
		c.worth.Store(worth)
	}
}

// add counts one request in the given interval. If another request has already begun a later
// interval in the same bucket, the request is counted there.
func (c *counter) add(interval uint32, o Outcome) {
	c.total[o].Add(1)
	cell := &c.ring[int(interval)%len(c.ring)][o]
	for {
		held := cell.Load()
		next := held + 1
		if uint32(held>>countBits) < interval {
			next = uint64(interval)<<countBits | 1
		}
		if cell.CompareAndSwap(held, next) {
			return
		}
	}
}

// at returns the counts of one interval, zero if it is no longer or not yet held.
func (c *counter) at(interval uint32) Counts {
	b := &c.ring[int(interval)%len(c.ring)]
	read := func(o Outcome) uint64 {
		held := b[o].Load()
		if uint32(held>>countBits) != interval {
			return 0
		}
		return held & math.MaxUint32
	}
	return Counts{read(Good), read(Late), read(Refused), read(Lost)}
}

func (c *counter) totals() Counts {
	return Counts{c.total[Good].Load(), c.total[Late].Load(), c.total[Refused].Load(), c.total[Lost].Load()}
}
