package admission

import (
	"math"
	"time"
)

// maxServerCallShare is the share of the work of a rank up to which calls that a running request waits for go
// before new requests. A call that is refused wastes the work of the request that waits for it; without a limit,
// a flood of calls would starve the new requests of the rank.
const maxServerCallShare = 0.8

// crowdedShare is the share of the slots from which the work of the last seconds and of the queue counts as an
// overload. Below it there is enough for all accounts, and requests are ordered as without accounts. A queue as long
// as the slots counts as well, since a flood on an idle server takes seconds to show in the work.
const crowdedShare = 0.9

// minServedShare is the served share of the requests of a rank, relative to that of all, below which the rank goes
// first whatever its worth, so that it does not starve.
const minServedShare = 0.3

// updateFairness brings the counts of the accounts up to date, and determines whether there is enough for all.
// Without several accounts there is nothing to divide.
func (c *Controller) updateFairness(now time.Time) {
	limit := float64(c.limiter.limit)
	if c.accounts.due(now) {
		c.accounts.refresh(now, limit)
	}
	if !c.accounts.several() {
		c.accounts.crowded = false
		return
	}
	c.shares.decay(now)
	used := 0.0
	for i := range c.shares.ranks {
		used += c.shares.ranks[i].usedSlots()
	}
	c.accounts.crowded = c.queue.size >= c.limiter.limit || used+slotsOf(c.queue.totalWork().Seconds(), shareHalfLife) >= crowdedShare*limit
}

// ordersFairly reports whether accounts or calls of running requests change the order of the queue.
func (c *Controller) ordersFairly() bool { return c.accounts.crowded || c.queue.serverCalls > 0 }

// overuse returns the work that the account of w has used if that is more than an equal share and there is not
// enough for all, otherwise 0.
func (c *Controller) overuse(w *Waiter) float64 {
	if w.account == nil || !c.accounts.crowded {
		return 0
	}
	if work := w.account.work(); work > c.accounts.even {
		return work
	}
	return 0
}

// floods reports whether the account of w alone causes the overload, and asks for more than its fair share of the
// slots with the requests of this rank.
func (c *Controller) floods(w *Waiter) bool {
	a := &c.accounts
	return a.crowded && w.account != nil && w.account == a.flooding && w.account.offered[rankIndex(w)] > a.share
}

// nextFair returns the request that starts next, nil if none may: by the shares of the ranks, then the one whose
// account is least over its share, then by deadline. Requests that miss their latency target follow by rank.
func (c *Controller) nextFair(excess bool) *Waiter {
	var best, late, call *Waiter
	lowest := math.Inf(1)
	yield := c.queue.serverCalls > 0 && c.shares.callsExceedShare()
	for rank := range lowestRank {
		w := c.firstOfRank(rank)
		switch {
		case w == nil || c.leavesSlot(w):
		case isExcess(w.class):
			if late == nil && excess {
				late = w
			}
		case w.forServer && yield:
			if call == nil {
				call = w
			}
		default:
			if ratio := c.shares.fairRatio(rank); best == nil || ratio < lowest {
				best, lowest = w, ratio
			}
		}
	}
	switch {
	case best != nil:
		return best
	case call != nil:
		return call
	}
	return late
}

// firstOfRank returns the request of a rank that starts first, nil if none waits.
func (c *Controller) firstOfRank(rank int) *Waiter {
	var call, other *Waiter
	for _, class := range []int{rank, rank + lowestRank} {
		for _, w := range c.queue.lanes[class] {
			switch {
			case w.forServer:
				if call == nil {
					call = w
				}
			case other == nil || c.overuse(w) < c.overuse(other):
				other = w
			}
			if other != nil && c.overuse(other) == 0 && (call != nil || c.queue.serverCalls == 0) {
				break // no later request of the class goes before these
			}
		}
	}
	switch {
	case call == nil:
		return other
	case other == nil || isExcess(other.class):
		return call
	case isExcess(call.class) || c.shares.serverCallsExceedShare(rank):
		return other // a call that misses its latency target would keep others from meeting theirs
	}
	return call
}

// goesBefore reports whether o, which is waiting, goes before w. Requests of other ranks that are on time do not
// count for one that is: the slots of the ranks are divided in the capacity for w.
func (c *Controller) goesBefore(o, w *Waiter) bool {
	if rankIndex(o) != rankIndex(w) {
		return isExcess(w.class) && (!isExcess(o.class) || o.class < w.class)
	}
	if c.overuse(o) != c.overuse(w) {
		return c.overuse(o) < c.overuse(w)
	}
	if o.class == w.class && o.forServer != w.forServer {
		return o.forServer && !c.shares.serverCallsExceedShare(rankIndex(w))
	}
	return o.before(w)
}

// fairWait estimates the time until w gets a slot, of which the given number is available to its rank.
func (c *Controller) fairWait(w *Waiter, capacity float64) time.Duration {
	var ahead time.Duration
	for _, lane := range c.queue.lanes {
		for _, o := range lane {
			if c.goesBefore(o, w) {
				ahead += o.work
			}
		}
	}
	limit := float64(c.limiter.limit)
	if !w.forServer && c.queue.serverCalls > 0 && c.shares.serverCallsExceedShare(rankIndex(w)) {
		capacity *= 1 - maxServerCallShare
	}
	if !w.forServer && c.shares.callsExceedShare() {
		capacity = max(capacity, (1-maxServerCallShare)*limit)
	}
	if c.floods(w) {
		capacity = min(capacity, c.accounts.shareSlots)
	}
	capacity = max(capacity, minCapacity*limit)
	wait := time.Duration(float64(ahead) / capacity)
	if !isExcess(w.class) && c.isServedNext(rankIndex(w)) {
		return wait + c.nextFree()
	}
	return wait + time.Duration(float64(c.nextFree())*limit/capacity)
}

// isServedNext reports whether a request of rank that is on time gets the next free slot. A rank that uses few slots
// because others flood it would otherwise seem to have no capacity, and would get none at all.
func (c *Controller) isServedNext(rank int) bool {
	ratio := c.shares.fairRatio(rank)
	for other, lane := range c.queue.lanes[:lowestRank] {
		if other != rank && len(lane) > 0 && c.shares.fairRatio(other) < ratio {
			return false
		}
	}
	return true
}

// victim returns the request to be rejected when w arrives at a full queue, which may be w: one that cannot
// end in time, then one of the account that is furthest over its share, then one of the rank that is served
// most for its worth per slot time. Without several accounts it is the last one in order.
func (c *Controller) victim(w *Waiter, now time.Time) *Waiter {
	if !c.accounts.several() {
		if last := c.queue.last(); w.before(last) {
			return last
		}
		return w
	}
	victim := w
	for _, lane := range c.queue.lanes {
		for _, o := range lane {
			if o.tooLate(now) {
				return o
			}
			if c.rejectedBefore(o, victim) {
				victim = o
			}
		}
	}
	return victim
}

// rejectedBefore reports whether o is rejected rather than v at a full queue.
func (c *Controller) rejectedBefore(o, v *Waiter) bool {
	switch a, b := c.accounts.isOver(o.account), c.accounts.isOver(v.account); {
	case a != b:
		return a
	case a && o.account != v.account:
		return o.account.work() > v.account.work()
	case isExcess(o.class) != isExcess(v.class):
		return isExcess(o.class)
	case o.forServer != v.forServer:
		return v.forServer
	case o.class == v.class:
		return v.before(o)
	case isExcess(o.class):
		return o.class > v.class
	default:
		return c.shares.fairRatio(o.class) > c.shares.fairRatio(v.class)
	}
}

// mayStart reports whether w may take a slot now.
func (c *Controller) mayStart(w *Waiter) bool { return c.hasSlot(w.class) && !c.leavesSlot(w) }

// leavesSlot reports whether w must leave the free slots to others: with requests of a rank that it floods, an account
// takes no more than its share of the slots, and never the last free one, so that requests of others do not wait
// until its long requests end. While calls of running requests wait, which go first, it would get nothing.
func (c *Controller) leavesSlot(w *Waiter) bool {
	if c.limiter.limit < reserveFrom || c.queue.serverCalls > 0 || !c.floods(w) {
		return false
	}
	share := max(int(c.accounts.shareSlots), 1)
	return c.running+1 >= c.limiter.limit || w.account.running >= share
}
