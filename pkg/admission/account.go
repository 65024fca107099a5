package admission

import (
	"hash/maphash"
	"math"
	"time"
)

const (
	// accountHalfLife is the half-life of the work counted for an account. With 2 s, chance moved an account that needs
	// a quarter of the slots above one that floods, and it lost a seventh of its requests.
	accountHalfLife = 5 * time.Second
	// accountIdleTime is the time after the last request of an account from which it is not active any more and
	// is forgotten.
	accountIdleTime = 5 * time.Second
	// maxAccounts bounds the accounts of which the work is counted, and so the memory: about 200 bytes each.
	// Requests of further ones count as within their share. A server at the target size gets 120 requests/s,
	// that is 600 within accountIdleTime.
	maxAccounts = 1024
	// refreshInterval is the time between two decays of the counts and computations of the fair share. The counts
	// lose 1% in that time.
	refreshInterval = 50 * time.Millisecond
	// shareAccuracy is the relative error at which the computation of the fair share ends.
	shareAccuracy = 0.01
)

// accountUse is the recent use of the slots by the requests of one client account.
type accountUse struct {
	// started is the work of the started requests in seconds, with the half-life accountHalfLife. queued is that of
	// the requests in the queue, so that a sudden flood counts before it has used the slots.
	started, queued float64
	// offered is the work by rank of the requests that arrived for this server, decayed as started.
	offered [lowestRank]float64
	// weight is the part of the offered work that is within the fair share.
	weight float64
	// waiting and running are the numbers of requests in the queue and in slots.
	waiting, running int
	seen             time.Time
}

// work returns the work that counts for the fair share, in seconds.
func (u *accountUse) work() float64 { return u.started + u.queued }

// demand returns the work that the account has asked for lately, in seconds.
func (u *accountUse) demand() float64 {
	sum := 0.0
	for _, work := range u.offered {
		sum += work
	}
	return sum
}

// limitWeight sets the weight for a share of the given work, and returns the part of the share that the account asks
// for.
func (u *accountUse) limitWeight(share float64) float64 {
	demand := u.demand()
	if demand <= share {
		u.weight = 1
		return demand
	}
	u.weight = share / demand
	return share
}

// decay reduces the counts by factor.
func (u *accountUse) decay(factor float64) {
	u.started *= factor
	for rank := range u.offered {
		u.offered[rank] *= factor
	}
}

// queue counts n requests more in the queue, each with the given work. u may be nil.
func (u *accountUse) queue(n int, work time.Duration) {
	if u == nil {
		return
	}
	u.waiting += n
	u.queued += float64(n) * work.Seconds()
	if u.waiting == 0 {
		u.queued = 0 // drops rounding errors
	}
}

// start counts a request that takes a slot. u may be nil.
func (u *accountUse) start(work time.Duration) {
	if u != nil {
		u.running++
		u.started += work.Seconds()
	}
}

// end counts a request that returns its slot, and its observed work in place of the expected one unless that is
// zero. u may be nil.
func (u *accountUse) end(expected, observed time.Duration) {
	if u == nil {
		return
	}
	u.running--
	if observed > 0 {
		u.started = max(u.started+(observed-expected).Seconds(), 0)
	}
}

func (u *accountUse) isIdle(now time.Time) bool {
	return u.waiting+u.running == 0 && now.Sub(u.seen) > accountIdleTime
}

// accounts divides the slots among client accounts by max-min fairness: an account that needs less than its fair
// share gets all of it, and the others get equal shares of the rest.
type accounts struct {
	// uses is indexed by a hash of the name, so that names of any length take the same memory. Two accounts
	// with the same hash would share one share.
	uses map[uint64]*accountUse
	// calls is the use by calls for which running requests wait.
	calls     accountUse
	seed      maphash.Seed
	refreshed time.Time
	// share is the work in seconds that an account does with its max-min fair share of the slots, infinite if there is
	// enough for all; even is that with an equal share. In an overload that has just begun they are parts of the work
	// that was done so far. shareSlots is share as a number of slots.
	share, even, shareSlots float64
	// flooding is the account that asks for more than its fair share if it is the only one.
	flooding *accountUse
	// demands is the memory for maxMinShare.
	demands []float64
	// crowded means that there is not enough for all accounts.
	crowded bool
}

func newAccounts() accounts {
	return accounts{uses: map[uint64]*accountUse{}, seed: maphash.MakeSeed(), share: math.Inf(1), calls: accountUse{weight: 1}}
}

// several reports whether requests of different accounts were seen lately.
func (a *accounts) several() bool { return len(a.uses) > 1 }

// seenAt returns the use of an account that has sent a request, nil if too many are known.
func (a *accounts) seenAt(name string, now time.Time) *accountUse {
	key := maphash.String(a.seed, name)
	u := a.uses[key]
	if u == nil {
		if len(a.uses) >= maxAccounts {
			return nil
		}
		u = &accountUse{weight: 1}
		a.uses[key] = u
	}
	u.seen = now
	return u
}

// offer counts the work of w, which has arrived, and returns its weight in the shares of the ranks: that of a flood
// is low, so that the flood of one account does not enlarge the share of its rank.
func (a *accounts) offer(w *Waiter) float64 {
	u := w.account
	if w.forServer {
		u = &a.calls
	}
	if u == nil {
		return 1
	}
	u.offered[rankIndex(w)] += w.work.Seconds()
	if u != &a.calls && !a.several() {
		return 1
	}
	return u.weight
}

// due reports whether refresh should be called.
func (a *accounts) due(now time.Time) bool {
	return now.Sub(a.refreshed) >= refreshInterval
}

// refresh decays the counts, drops the accounts that are not active any more, and computes the fair share of
// the given number of slots. Calls of running requests take up to maxServerCallShare of them.
func (a *accounts) refresh(now time.Time, slots float64) {
	factor := math.Exp2(-float64(max(now.Sub(a.refreshed), 0)) / float64(accountHalfLife))
	a.refreshed = now
	a.demands = a.demands[:0]
	used := 0.0
	for key, u := range a.uses {
		if u.isIdle(now) {
			delete(a.uses, key)
			continue
		}
		u.decay(factor)
		used += u.started
		a.demands = append(a.demands, u.demand())
	}
	a.calls.decay(factor)
	all := workOf(slots, accountHalfLife)
	left := all - a.calls.limitWeight(maxServerCallShare*all)
	a.divide(left, used, slots*left/all)
}

// divide computes the shares of the work that is left to the accounts in the given slots. used is the work that
// they have used.
func (a *accounts) divide(work, used, slots float64) {
	if a.crowded {
		work = min(work, used)
	}
	a.even, a.share = work/float64(max(len(a.uses), 1)), maxMinShare(work, a.demands)
	a.shareSlots = slots
	if a.share < work {
		a.shareSlots *= a.share / work
	}
	over := 0
	for _, u := range a.uses {
		if u.limitWeight(a.share) == a.share {
			a.flooding = u
			over++
		}
	}
	if over != 1 {
		a.flooding = nil
	}
}

// maxMinShare returns the share of the given work by max-min fairness: those that demand less get what they demand,
// and the others get equal shares of the rest. It is infinite if there is enough for all.
func maxMinShare(work float64, demands []float64) float64 {
	sum := 0.0
	for _, demand := range demands {
		sum += demand
	}
	if sum <= work {
		return math.Inf(1)
	}
	share := work / float64(len(demands))
	for {
		rest, above := work, 0
		for _, demand := range demands {
			if demand <= share {
				rest -= demand
			} else {
				above++
			}
		}
		next := rest / float64(max(above, 1))
		if next <= share*(1+shareAccuracy) {
			return share
		}
		share = next
	}
}

// isOver reports whether an account is over its fair share, which requires that there is not enough for all.
func (a *accounts) isOver(u *accountUse) bool {
	return a.crowded && u != nil && u.weight < 1 && u.work() > a.share
}

// waitingOver returns the number of accounts that are over their share and have requests in the queue.
func (a *accounts) waitingOver() int {
	n := 0
	for _, u := range a.uses {
		if u.waiting > 0 && a.isOver(u) {
			n++
		}
	}
	return n
}

// A constant use of x slots, decayed with the half-life T, sums up to x * T / ln 2.

// slotsOf returns the slots that work in seconds occupies if it is such a sum.
func slotsOf(work float64, halfLife time.Duration) float64 {
	return work * math.Ln2 / halfLife.Seconds()
}

// workOf is the inverse of slotsOf.
func workOf(slots float64, halfLife time.Duration) float64 {
	return slots * halfLife.Seconds() / math.Ln2
}
