package admission

import (
	"math"
	"time"
)

const (
	// shareHalfLife is the half-life of the counts of a rank. It spans some hundred requests of a
	// server and follows a burst within seconds.
	shareHalfLife = 2 * time.Second
	// rankWeight is the worth of a request relative to one of the next more urgent rank, where the
	// operator declares only ranks.
	rankWeight = 0.5
	// unrepeatableWeight is the worth of a non-idempotent request relative to an idempotent one of the
	// same rank: if it fails, the caller may not repeat it.
	unrepeatableWeight = 2.0
	// rankPreference is the share of a rank relative to the next more urgent one at the same worth per
	// slot time, so that the more urgent one is never served less often.
	rankPreference = 0.75
	// minCapacity is the smallest share of the slots that an estimate assumes for a rank.
	minCapacity = 0.02
)

// rankShare holds the exponentially decayed counts of the requests of one rank.
type rankShare struct {
	// offered and started count requests; offeredWork and startedWork are the sums of their expected
	// service times in seconds, offeredWorth is the sum of their worth.
	offered, started         float64
	offeredWork, startedWork float64
	offeredWorth             float64
	// callWork is the part of startedWork that calls for which running requests wait have.
	callWork float64
}

// shares divides the slots among the ranks of requests of undeclared kinds. In an overload, the
// share of the requests of a rank that is served is proportional to its worth per slot time: ranks
// of equal worth get equal shares, ranks of lower worth get smaller ones, and no rank is starved.
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
	factor := math.Exp2(-float64(age) / float64(shareHalfLife))
	for i := range s.ranks {
		r := &s.ranks[i]
		r.offered *= factor
		r.started *= factor
		r.offeredWork *= factor
		r.startedWork *= factor
		r.offeredWorth *= factor
		r.callWork *= factor
	}
}

func (s *shares) rank(w *Waiter) *rankShare { return &s.ranks[rankIndex(w)] }

// rankIndex returns the index of the rank of w, which is of an undeclared kind.
func rankIndex(w *Waiter) int { return min(max(w.rank, 1), lowestRank) - 1 }

// offer counts an arrived request with a weight up to 1.
func (s *shares) offer(w *Waiter, weight float64, now time.Time) {
	s.decay(now)
	r := s.rank(w)
	r.offered += weight
	r.offeredWork += weight * w.work.Seconds()
	r.offeredWorth += weight * worthOf(w.rank, w.idempotent)
}

func (s *shares) start(w *Waiter, now time.Time) {
	s.decay(now)
	r := s.rank(w)
	r.started++
	r.startedWork += w.work.Seconds()
	if w.forServer {
		r.callWork += w.work.Seconds()
	}
}

// callsExceedShare reports whether such calls have more of the work of all ranks than goes before new requests.
func (s *shares) callsExceedShare() bool {
	calls, all := 0.0, 0.0
	for i := range s.ranks {
		calls += s.ranks[i].callWork
		all += s.ranks[i].startedWork
	}
	return calls > maxServerCallShare*all
}

// serverCallsExceedShare reports whether such calls have more of the work of a rank than goes before new requests.
func (s *shares) serverCallsExceedShare(rank int) bool {
	return s.ranks[rank].callWork > maxServerCallShare*s.ranks[rank].startedWork
}

// serviceRatio returns the served share of the requests of a rank in relation to its worth per slot
// time. The rank with the lowest ratio is served next.
func (s *shares) serviceRatio(rank int) float64 {
	r := &s.ranks[rank]
	if r.offered <= 0 || r.offeredWork <= 0 {
		return 0
	}
	density := r.offeredWorth / r.offeredWork * math.Pow(rankPreference, float64(rank))
	return r.started / r.offered / density
}

// fairRatio is serviceRatio, but 0 for a rank that would starve.
func (s *shares) fairRatio(rank int) float64 {
	started, offered := 0.0, 0.0
	for i := range s.ranks {
		started += s.ranks[i].started
		offered += s.ranks[i].offered
	}
	if r := &s.ranks[rank]; r.started*offered < minServedShare*started*r.offered {
		return 0
	}
	return s.serviceRatio(rank)
}

// usedSlots returns the number of slots that the started requests of a rank occupy.
func (r *rankShare) usedSlots() float64 {
	return slotsOf(r.startedWork, shareHalfLife)
}

// capacity returns the number of slots out of limit that are available to a rank: those that it
// uses or those that the other ranks leave free, whichever is larger. For requests that miss their
// latency target (late) it is the number that all ranks leave free.
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
	capacity := c.shares.capacity(rankIndex(w), c.limiter.limit, late)
	if c.ordersFairly() {
		return c.fairWait(w, capacity)
	}
	ahead := c.queue.workInLaneBefore(w)
	if late {
		ahead = c.queue.workBefore(w)
	}
	return time.Duration(float64(ahead)/capacity) + time.Duration(float64(c.nextFree())*float64(c.limiter.limit)/capacity)
}

// next returns the request that starts next, nil if none may.
func (c *Controller) next() *Waiter {
	excess := c.excessMayStart()
	if len(c.undeclaredKinds) == 0 {
		return c.queue.first(excess)
	}
	if c.ordersFairly() {
		return c.nextFair(excess)
	}
	best, lowest := -1, math.Inf(1)
	for rank := range lowestRank {
		if len(c.queue.lanes[rank]) == 0 {
			continue
		}
		if ratio := c.shares.serviceRatio(rank); best < 0 || ratio < lowest {
			best, lowest = rank, ratio
		}
	}
	if best >= 0 {
		return c.queue.lanes[best][0]
	}
	return c.queue.first(excess)
}
