package admission

import (
	"slices"
	"time"
)

// classes is the number of classes in the queue: protected by rank, then excess by rank.
const classes = 2 * lowestRank

// classOf returns the class of a request. Lower classes come first.
func classOf(rank int, protected bool) int {
	class := min(max(rank, 1), lowestRank) - 1
	if !protected {
		class += lowestRank
	}
	return class
}

func isExcess(class int) bool { return class >= lowestRank }

// Waiter is a request that waits for a slot.
type Waiter struct {
	ctl      *Controller
	kind     *kindState
	class    int
	deadline time.Time
	// targetTime, rank and maxWait are those of the Request.
	targetTime time.Time
	// startBy is the latest start time at which the request is likely to meet its latency target.
	startBy    time.Time
	rank       int
	idempotent bool
	maxWait    time.Duration
	// accountName and forServer are those of the Request. account is the use of the account, nil if it is not
	// counted.
	accountName string
	account     *accountUse
	forServer   bool
	seq         uint64
	// work is the expected service time when the request entered the queue. It is kept so that the
	// sums of the queue stay exact while the estimate of the kind changes.
	work time.Duration
	// notify receives the outcome; exactly one argument is not nil.
	notify func(*Ticket, *Refusal)
	result chan result // for a blocked Acquire
	queued bool
	ticket Ticket // returned when the request starts; embedded by value to save an allocation
}

// before reports whether w comes before o: by class, earliest deadline, order of arrival.
func (w *Waiter) before(o *Waiter) bool {
	if w.class != o.class {
		return w.class < o.class
	}
	if !w.deadline.Equal(o.deadline) {
		return w.deadline.Before(o.deadline)
	}
	return w.seq < o.seq
}

// queue holds the waiting requests of each class in order of deadline. It uses sorted slices
// instead of heaps because eviction needs the last request in order. A new request usually has the
// latest deadline of its class, so that insertion is an append.
type queue struct {
	lanes [classes][]*Waiter
	work  [classes]time.Duration
	size  int
	// protected is the number of protected requests in the queue.
	protected int
	// serverCalls is the number of requests in the queue for which running requests wait.
	serverCalls int
	seq         uint64
}

func (q *queue) push(w *Waiter) {
	q.seq++
	w.seq = q.seq
	w.queued = true
	q.lanes[w.class] = slices.Insert(q.lanes[w.class], q.position(w), w)
	q.work[w.class] += w.work
	q.count(w, 1)
}

func (q *queue) count(w *Waiter, n int) {
	q.size += n
	if !isExcess(w.class) {
		q.protected += n
	}
	if w.forServer {
		q.serverCalls += n
	}
	w.account.queue(n, w.work)
}

// position returns the index of w in its lane, or the index at which it has to be inserted.
func (q *queue) position(w *Waiter) int {
	i, _ := slices.BinarySearchFunc(q.lanes[w.class], w, func(a, b *Waiter) int {
		if a.before(b) {
			return -1
		}
		return 1
	})
	return i
}

// remove takes w out and reports whether it was waiting.
func (q *queue) remove(w *Waiter) bool {
	if !w.queued {
		return false
	}
	q.removeAt(w.class, q.position(w))
	return true
}

func (q *queue) removeAt(class, i int) *Waiter {
	lane := q.lanes[class]
	w := lane[i]
	w.queued = false
	if i == 0 {
		lane[0] = nil
		q.lanes[class] = lane[1:]
	} else {
		q.lanes[class] = slices.Delete(lane, i, i+1)
	}
	q.work[class] -= w.work
	q.count(w, -1)
	return w
}

// first returns the first request in order, or nil. With excess false only protected requests are
// considered.
func (q *queue) first(excess bool) *Waiter {
	limit := classes
	if !excess {
		limit = lowestRank
	}
	for class := range limit {
		if len(q.lanes[class]) > 0 {
			return q.lanes[class][0]
		}
	}
	return nil
}

// all returns the waiting requests in order.
func (q *queue) all() []*Waiter { return slices.Concat(q.lanes[:]...) }

// last returns the last request in order, or nil.
func (q *queue) last() *Waiter {
	for class := classes - 1; class >= 0; class-- {
		if n := len(q.lanes[class]); n > 0 {
			return q.lanes[class][n-1]
		}
	}
	return nil
}

// expired reports whether w has no time left to run. A request of an undeclared kind expires as
// soon as hardly any request of its kind would finish in the remaining time.
func (w *Waiter) expired(now time.Time) bool {
	if w.kind.undeclared {
		return w.tooLate(now)
	}
	return !w.deadline.After(now)
}

// popExpired removes one expired request, or returns nil.
func (q *queue) popExpired(now time.Time) *Waiter {
	if q.size == 0 {
		return nil
	}
	for class := range classes {
		if lane := q.lanes[class]; len(lane) > 0 && lane[0].expired(now) {
			return q.removeAt(class, 0)
		}
	}
	return nil
}

// workBefore returns the sum of the expected service times of all requests that come before w. In
// the lane of w it is estimated from the position.
func (q *queue) workBefore(w *Waiter) time.Duration {
	var sum time.Duration
	for class := range w.class {
		sum += q.work[class]
	}
	return sum + q.workInLaneBefore(w)
}

// workInLaneBefore returns the part of workBefore that is in the lane of w.
func (q *queue) workInLaneBefore(w *Waiter) time.Duration {
	if n := len(q.lanes[w.class]); n > 0 {
		return q.work[w.class] * time.Duration(q.position(w)) / time.Duration(n)
	}
	return 0
}

func (q *queue) totalWork() time.Duration {
	var sum time.Duration
	for _, work := range q.work {
		sum += work
	}
	return sum
}
