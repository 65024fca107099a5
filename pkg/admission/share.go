package admission

import (
	"math"
	"time"
)

const (
	// shareMemory is the time in which what was seen of a rank counts half. It spans some hundred
	// requests of a server and follows a burst within seconds.
	shareMemory = 2 * time.Second
	// rankWeight is the worth of a request in relation to one of the next more urgent rank, where the
	// operator declares ranks only.
	rankWeight = 0.5
	// unrepeatableWeight is the worth of a non-idempotent request in relation to an idempotent one of
	// its rank: if it fails, no caller may submit it again.
	unrepeatableWeight = 2.0
	// rankPreference is the share that a rank gets in relation to the next more urgent one at the same
	// worth per time in a slot, so that the urgent one is never served less often.
	rankPreference = 0.75
	// minCapacity is the least part of the slots that an estimate assumes for a rank.
	minCapacity = 0.02
)

// rankShare is what was seen of the requests of one rank, weighted down with age.
type rankShare struct {
	// offered and started count requests; offeredWork and startedWork sum up their expected time in a
	// slot in seconds, offeredWorth their worth.
	offered, started         float64
	offeredWork, startedWork float64
	offeredWorth             float64
}

// shares divides the slots among the ranks of requests that declare no rates. In an overload, each rank gets
// the part of its requests served that its worth per time in a slot gives it: ranks of the same worth
// share alike, one of a lower worth gets a smaller part, and none gets nothing.
type shares struct {
	ranks [lowestRank]rankShare
	last  time.Time
}

// worthOf returns the worth of a request.
func worthOf(rank int, idempotent bool) float64 {
	worth := math.Pow(rankWeight, float64(rank-1))
	if !idempotent {
		worth *= unrepeatableWeight
	}
	return worth
}

func (s *shares) decay(now time.Time) {
	age := now.Sub(s.last)
	if age <= 0 {
		return
	}
	s.last = now
	factor := math.Exp2(-float64(age) / float64(shareMemory))
	for i := range s.ranks {
		r := &s.ranks[i]
		r.offered *= factor
		r.started *= factor
		r.offeredWork *= factor
		r.startedWork *= factor
		r.offeredWorth *= factor
	}
}

func (s *shares) rank(w *Waiter) *rankShare { return &s.ranks[min(max(w.kind.Rank, 1), lowestRank)-1] }

func (s *shares) offer(w *Waiter, now time.Time) {
	s.decay(now)
	r := s.rank(w)
	r.offered++
	r.offeredWork += w.work.Seconds()
	r.offeredWorth += worthOf(w.kind.Rank, w.idempotent)
}

func (s *shares) start(w *Waiter, now time.Time) {
	s.decay(now)
	r := s.rank(w)
	r.started++
	r.startedWork += w.work.Seconds()
}

// claim returns how far a rank is behind its part; the rank with the lowest one comes next.
func (s *shares) claim(rank int) float64 {
	r := &s.ranks[rank]
	if r.offered <= 0 || r.offeredWork <= 0 {
		return 0
	}
	density := r.offeredWorth / r.offeredWork * math.Pow(rankPreference, float64(rank))
	return r.started / r.offered / density
}

// usedSlots returns the slots that the started requests of a rank keep busy.
func (r *rankShare) usedSlots() float64 {
	// A constant rate x per second, weighted down with the half-life T, sums up to x * T / ln 2.
	return r.startedWork * math.Ln2 / shareMemory.Seconds()
}

// capacity returns the slots that are available to a rank out of limit: what it uses, or what the others
// leave. For requests that miss their aim it is what all ranks leave.
func (s *shares) capacity(rank, limit int, late bool) float64 {
	others := 0.0
	for i := range s.ranks {
		if i != rank || late {
			others += s.ranks[i].usedSlots()
		}
	}
	available := float64(limit) - others
	if !late {
		available = max(available, s.ranks[rank].usedSlots())
	}
	return max(available, minCapacity*float64(limit))
}

// waitByShare estimates the time until w, of an undeclared kind, gets a slot.
func (c *Controller) waitByShare(w *Waiter) time.Duration {
	late := isExcess(w.class)
	capacity := c.shares.capacity(min(max(w.kind.Rank, 1), lowestRank)-1, c.limiter.limit, late)
	ahead := c.queue.workInLaneBefore(w)
	if late {
		ahead = c.queue.workBefore(w)
	}
	return time.Duration(float64(ahead)/capacity) + time.Duration(float64(c.nextFree())*float64(c.limiter.limit)/capacity)
}

// next returns the request that starts next, nil if none may.
func (c *Controller) next() *Waiter {
	excess := c.excessMayStart()
	if len(c.learned) == 0 {
		return c.queue.first(excess)
	}
	best, lowest := -1, math.Inf(1)
	for rank := range lowestRank {
		if len(c.queue.lanes[rank]) == 0 {
			continue
		}
		if claim := c.shares.claim(rank); best < 0 || claim < lowest {
			best, lowest = rank, claim
		}
	}
	if best >= 0 {
		return c.queue.lanes[best][0]
	}
	return c.queue.first(excess)
}
