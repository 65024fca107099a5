package admission

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

const (
	// reserveFrom is the number of slots from which one slot is not available to excess work.
	reserveFrom = 4
	// lateReserveShare is the share of the slots that is reserved for requests that can still meet
	// their latency target.
	lateReserveShare = 0.17
	// smoothing is the weight of a new sample in the observed service time of a kind.
	smoothing = 0.1
	// defaultServiceTime is the estimate for kinds that declare none and have not been observed yet.
	defaultServiceTime = 10 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the retry hint of a refusal.
	minRetryAfter = 20 * time.Millisecond
	maxRetryAfter = 10 * time.Second
	// maxProtectedShare bounds the estimate for excess work when the declared rates need all slots.
	maxProtectedShare = 0.9
)

// kindState is the state of one kind. Its fields are guarded by the lock of the Controller.
type kindState struct {
	Kind
	bucket   *rate.Limiter
	observed time.Duration // smoothed service time, starts at the declared one
	// undeclared is set for kinds without a declared rate and service time; bucket is then nil.
	undeclared bool
}

func newKindState(cfg Config, k Kind) *kindState {
	return &kindState{Kind: k, bucket: rate.NewLimiter(cfg.tokenRate(k), cfg.burst(k)), observed: k.ServiceTime}
}

// reconfigured returns the state of a kind after a configuration change. Tokens and the observed
// time are kept. Waiting requests keep a reference to the old state, which is not modified.
func (s *kindState) reconfigured(cfg Config, k Kind, now time.Time) *kindState {
	next := &kindState{Kind: k, bucket: s.bucket, observed: s.observed}
	next.bucket.SetLimitAt(now, cfg.tokenRate(k))
	next.bucket.SetBurstAt(now, cfg.burst(k))
	if k.ServiceTime != s.ServiceTime {
		next.observed = k.ServiceTime
	}
	return next
}

// Controller admits requests to one backend server. Its methods may be called concurrently.
type Controller struct {
	now  func() time.Time
	load atomic.Uint64 // bits of a float64

	mu      sync.Mutex
	kinds   map[string]*kindState
	unknown *kindState // for kinds from a configuration newer than the local one
	// undeclaredKinds holds the kinds without a declared rate and service time.
	undeclaredKinds map[string]*kindState
	shares          shares
	// accounts divides the slots of a rank among client accounts.
	accounts   accounts
	counts     counts
	limiter    limiter
	queue      queue
	queueLimit int
	// declaredSlots is the number of slots that the declared rates occupy.
	declaredSlots float64
	running       int
	// finishRate is the expected number of running requests that finish per second.
	finishRate float64
	draining   bool
	// closed means that the backend server takes no new requests at present.
	closed bool
}

// New returns a Controller that reads the time from now.
func New(cfg Config, now func() time.Time) *Controller {
	c := &Controller{
		now:             now,
		kinds:           map[string]*kindState{},
		undeclaredKinds: map[string]*kindState{},
		accounts:        newAccounts(),
		unknown:         newKindState(cfg, Kind{Rank: lowestRank}),
		limiter:         newLimiter(cfg.slots(), now()),
	}
	c.Configure(cfg)
	return c
}

// Configure replaces the configuration. Waiting and running requests, tokens and observed times are
// kept. Requests of an unconfigured kind are excess work of the lowest rank.
func (c *Controller) Configure(cfg Config) {
	c.mu.Lock()
	now := c.now()
	kinds := make(map[string]*kindState, len(cfg.Kinds))
	for _, k := range cfg.Kinds {
		if old := c.kinds[k.Name]; old != nil {
			kinds[k.Name] = old.reconfigured(cfg, k, now)
		} else {
			kinds[k.Name] = newKindState(cfg, k)
		}
	}
	c.kinds = kinds
	c.declaredSlots = cfg.declaredSlots(math.MaxInt)
	c.queueLimit = cfg.queueLimit()
	c.limiter.declare(cfg.slots())
	out := c.dispatch(now, nil)
	c.mu.Unlock()
	out.deliver()
}

// Load returns the load reported in responses: 0 is idle, 1 means that all slots are busy, above 1
// requests are waiting. Waiting excess work adds at most 1 in total. Slow requests raise the load
// in proportion.
func (c *Controller) Load() float64 { return math.Float64frombits(c.load.Load()) }

// Slots returns the number of slots in use at present, which is at most the declared number.
func (c *Controller) Slots() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.limiter.limit
}

// Drain refuses all new work from now on. Waiting and running requests finish.
func (c *Controller) Drain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.draining = true
}

// SetOpen records whether the backend server takes new requests. While it does not, waiting and new
// requests are refused with ReasonDraining; running requests finish. It returns the number of waiting
// requests that it refused.
func (c *Controller) SetOpen(open bool) int {
	c.mu.Lock()
	c.closed = !open
	var out deliveries
	if c.closed {
		out = c.refuseWaiting(func(*Waiter) bool { return true })
	}
	c.mu.Unlock()
	out.deliver()
	return len(out)
}

// RefuseAfter refuses with ReasonDraining the waiting requests whose deadline is after end, and returns
// their number.
func (c *Controller) RefuseAfter(end time.Time) int {
	c.mu.Lock()
	out := c.refuseWaiting(func(w *Waiter) bool { return w.deadline.After(end) })
	c.mu.Unlock()
	out.deliver()
	return len(out)
}

// refuseWaiting removes the waiting requests that match. The caller must deliver the result after
// releasing the lock.
func (c *Controller) refuseWaiting(match func(*Waiter) bool) deliveries {
	var out deliveries
	for _, w := range c.queue.all() {
		if match(w) {
			c.queue.remove(w)
			out = c.reject(out, w, &Refusal{Reason: ReasonDraining})
		}
	}
	c.publish()
	return out
}

// hasSlot reports whether a request of the class may start now.
func (c *Controller) hasSlot(class int) bool {
	if c.running >= c.limiter.limit {
		return false
	}
	return !isExcess(class) || c.excessMayStart()
}

// excessMayStart reports whether excess work may take a slot now. From reserveFrom slots on it
// never takes the last free one, so that protected work finds a slot even while long requests hold
// the others.
func (c *Controller) excessMayStart() bool {
	reserved := 0
	if c.limiter.limit >= reserveFrom {
		reserved = 1
	}
	if len(c.undeclaredKinds) > 0 {
		reserved = max(reserved, int(lateReserveShare*float64(c.limiter.limit)))
	}
	return c.running+reserved < c.limiter.limit
}

// start takes a slot for w.
func (c *Controller) start(w *Waiter, now time.Time) *Ticket {
	if w.kind.undeclared {
		c.countStart(w, now)
	}
	c.running++
	c.finishRate += rateOf(w.work)
	w.ticket = Ticket{ctl: c, kind: w.kind, class: w.class, work: w.work, account: w.account}
	return &w.ticket
}

// countOffer counts the arrival of w, of an undeclared kind, in the shares of its account and of its rank.
func (c *Controller) countOffer(w *Waiter, now time.Time) {
	if c.accounts.isOver(w.account) {
		c.counts.arrivedOverShare++
	}
	c.shares.offer(w, c.accounts.offer(w), now)
}

// countStart counts the start of w, of an undeclared kind, in the shares of its account and of its rank.
func (c *Controller) countStart(w *Waiter, now time.Time) {
	w.account.start(w.work)
	c.shares.start(w, now)
}

// dispatch starts waiting requests while slots are free and refuses those that are too late. The
// caller must deliver the result after releasing the lock.
func (c *Controller) dispatch(now time.Time, out deliveries) deliveries {
	c.updateFairness(now)
	for w := c.queue.popExpired(now); w != nil; w = c.queue.popExpired(now) {
		out = c.reject(out, w, c.refusal(w, ReasonDeadline))
	}
	for c.queue.size > 0 && c.running < c.limiter.limit {
		w := c.next()
		if w == nil {
			break
		}
		c.queue.remove(w)
		missed := w.kind.undeclared && !isExcess(w.class) && w.missesTarget(now)
		if missed && c.demote(w, now) {
			continue
		}
		if missed || w.tooLate(now) {
			out = c.reject(out, w, c.refusal(w, ReasonDeadline))
			continue
		}
		out = append(out, delivery{w: w, ticket: c.start(w, now)})
	}
	c.publish()
	return out
}

// publish stores the load for readers that do not hold the lock. Waiting excess work counts as at
// most one request per slot: during a flood the queue is full on every instance, and counting all
// of it would hide how many protected requests are waiting.
func (c *Controller) publish() {
	excess := min(c.queue.size-c.queue.protected, c.limiter.limit)
	load := float64(c.running+c.queue.protected+excess) / c.limiter.capacity()
	c.load.Store(math.Float64bits(load))
}

// wait estimates the time until w gets a slot. Protected work that arrives in the meantime
// overtakes excess work, so only the remaining part of the slots serves excess work.
func (c *Controller) wait(w *Waiter) time.Duration {
	if w.kind.undeclared {
		return c.waitByShare(w)
	}
	d := c.queue.workBefore(w)/time.Duration(c.limiter.limit) + c.nextFree()
	if isExcess(w.class) {
		d = time.Duration(float64(d) / (1 - c.protectedShare()))
	}
	return d
}

// protectedShare returns the share of the slots that the declared rates need.
func (c *Controller) protectedShare() float64 {
	return min(c.declaredSlots/float64(c.limiter.limit), maxProtectedShare)
}

// nextFree estimates the time until the next slot is free. The first request in order needs only
// one slot, so the mean over the running requests would be far too long when most of them are long.
func (c *Controller) nextFree() time.Duration {
	if c.running < c.limiter.limit || c.finishRate <= 0 {
		return 0
	}
	return time.Duration(float64(time.Second) / c.finishRate)
}

func (c *Controller) retryAfter() time.Duration {
	d := c.queue.totalWork()/time.Duration(c.limiter.limit) + c.nextFree()
	return min(max(d, minRetryAfter), maxRetryAfter)
}

// rateOf returns the requests per second that one slot finishes if each request takes d.
func rateOf(d time.Duration) float64 {
	return float64(time.Second) / float64(max(d, time.Microsecond))
}

// shortest returns the time that must remain until the deadline for a request to be admitted. It is
// the smaller of the declared and the observed service time: otherwise a phase of slow responses
// could lead to the refusal of all requests, and no new sample would ever correct the estimate.
func (s *kindState) shortest() time.Duration {
	if s.undeclared {
		return time.Duration(minDeadlineRatio * float64(s.observed))
	}
	return min(s.ServiceTime, s.observed)
}

// expected returns the service time used in estimates.
func (s *kindState) expected() time.Duration {
	if s.observed <= 0 {
		return defaultServiceTime
	}
	return s.observed
}

// observe adds a sample to the smoothed service time.
func (s *kindState) observe(d time.Duration) {
	if s.observed == 0 {
		s.observed = d
		return
	}
	s.observed += time.Duration(smoothing * float64(d-s.observed))
}

// delivery is the outcome of a request that was waiting.
type delivery struct {
	w       *Waiter
	ticket  *Ticket
	refusal *Refusal
}

type deliveries []delivery

func (d deliveries) deliver() {
	for _, x := range d {
		x.w.notify(x.ticket, x.refusal)
	}
}
