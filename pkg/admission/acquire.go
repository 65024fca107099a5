package admission

import (
	"context"
	"sync/atomic"
	"time"
)

// Outcome is the observed result of a request that held a slot.
type Outcome struct {
	// ServiceTime is the time for which the slot was held. Zero records no sample, for example after
	// an early failure.
	ServiceTime time.Duration
	// Shed means that the backend server refused the request because it was overloaded.
	Shed bool
}

// Ticket is a slot held by a running request.
type Ticket struct {
	ctl   *Controller
	kind  *kindState
	class int
	work  time.Duration
	// account is the use to which work was charged, nil if none.
	account *accountUse
	done    atomic.Bool
}

// Protected reports whether the request was within the declared rate of its kind.
func (t *Ticket) Protected() bool { return !isExcess(t.class) }

// Done returns the slot. Only the first call has an effect.
func (t *Ticket) Done(o Outcome) {
	if t.done.Swap(true) {
		return
	}
	c := t.ctl
	c.mu.Lock()
	now := c.now()
	c.running--
	c.finishRate -= rateOf(t.work)
	if c.running == 0 {
		c.finishRate = 0 // drops rounding errors
	}
	t.account.end(t.work, o.ServiceTime)
	c.observe(t.kind, o)
	c.limiter.adjust(now)
	out := c.dispatch(now, nil)
	c.mu.Unlock()
	out.deliver()
}

func (c *Controller) observe(kind *kindState, o Outcome) {
	if o.Shed {
		// Undeclared kinds are excluded: where the servers announce their slots, a refusal below that
		// number is no sign of overload.
		c.limiter.shed = c.limiter.shed || !kind.undeclared
		return
	}
	if o.ServiceTime > 0 {
		kind.observe(o.ServiceTime)
		c.limiter.observe(kind.ServiceTime, o.ServiceTime)
	}
}

// Acquire waits for a slot for a request of kind that must be finished by deadline. The caller
// calls Done on the ticket when the request has left the backend server. The error is a *Refusal;
// the request has then not run. ctx should end no later than deadline; if it ends while the request
// is waiting, the request leaves the queue.
func (c *Controller) Acquire(ctx context.Context, kind string, deadline time.Time) (*Ticket, error) {
	return c.AcquireFor(ctx, Request{Kind: kind, Deadline: deadline})
}

func (c *Controller) await(ctx context.Context, w *Waiter) (*Ticket, error) {
	select {
	case r := <-w.result:
		return r.unpack()
	case <-ctx.Done():
	}
	if w.Cancel() {
		return nil, &Refusal{Reason: ReasonCancelled}
	}
	// The outcome was decided concurrently; a granted slot is released unused.
	r := <-w.result
	if r.ticket != nil {
		r.ticket.Done(Outcome{})
	}
	return nil, &Refusal{Reason: ReasonCancelled}
}

// Offer is Acquire for callers that must not block: notify is called once, before or after Offer
// returns, with a ticket or a refusal, and without any lock held.
func (c *Controller) Offer(kind string, deadline time.Time, notify func(*Ticket, *Refusal)) *Waiter {
	w := &Waiter{ctl: c, deadline: deadline, notify: notify}
	ticket, refusal, out := c.offer(w, kind)
	out.deliver()
	if ticket != nil || refusal != nil {
		notify(ticket, refusal)
	}
	return w
}

// Cancel takes a waiting request out of the queue and reports whether it was waiting. After true
// the request is not notified any more and never runs.
func (w *Waiter) Cancel() bool {
	w.ctl.mu.Lock()
	defer w.ctl.mu.Unlock()
	removed := w.ctl.queue.remove(w)
	w.ctl.publish()
	return removed
}

// offer starts, queues or refuses w. If ticket and refusal are nil, w is waiting.
func (c *Controller) offer(w *Waiter, kind string) (*Ticket, *Refusal, deliveries) {
	c.mu.Lock()
	defer c.mu.Unlock()
	ticket, refusal, out := c.admit(w, kind)
	if refusal != nil {
		c.counts.add(refusal)
	}
	return ticket, refusal, out
}

// admit is offer without counting a refusal; the caller holds c.mu.
func (c *Controller) admit(w *Waiter, kind string) (*Ticket, *Refusal, deliveries) {
	if c.draining || c.closed {
		return nil, &Refusal{Reason: ReasonDraining}, nil
	}
	now := c.now()
	c.limiter.adjust(now)
	// Waiting requests that can start because the limit was raised or because the requests ahead of
	// them expired go first.
	out := c.dispatch(now, nil)
	if w.rank > 0 {
		w.kind = c.undeclaredKind(kind)
		if !w.forServer {
			w.account = c.accounts.seenAt(w.accountName, now)
		}
	} else {
		w.kind = c.kind(kind)
	}
	if w.tooLate(now) {
		return nil, &Refusal{Reason: ReasonDeadline, RetryAfter: c.retryAfter()}, out
	}
	if w.kind.undeclared {
		c.classifyByTarget(w, now)
	} else {
		w.classify(now)
	}
	if c.mayStart(w) {
		if w.kind.undeclared {
			c.countOffer(w, now)
		}
		ticket := c.start(w, now)
		c.publish()
		return ticket, nil, out
	}
	refusal, out := c.enqueue(w, now, out)
	c.publish()
	return nil, refusal, out
}

// tooLate reports whether w would miss its deadline even if it started now.
func (w *Waiter) tooLate(now time.Time) bool {
	return !w.deadline.After(now) || now.Add(w.kind.shortest()).After(w.deadline)
}

// classify consumes a token of the kind and sets the class of w. Requests that are too late must be
// refused first, so that they consume no token.
func (w *Waiter) classify(now time.Time) {
	w.class = classOf(w.kind.Rank, w.kind.bucket.AllowN(now, 1))
	w.work = w.kind.expected()
}

// enqueue puts w into the queue, or refuses it if its deadline cannot be met or if the queue is
// full of requests of higher precedence. Otherwise a full queue evicts its last request.
func (c *Controller) enqueue(w *Waiter, now time.Time, out deliveries) (*Refusal, deliveries) {
	refusal := c.refusalOf(w, now)
	var victim *Waiter
	if refusal == nil && c.queue.size >= c.queueLimit {
		victim = c.victim(w, now) // before the shares change, which would make it another one than refusalOf saw
	}
	if w.kind.undeclared && (refusal == nil || refusal.Reason != ReasonBusy) {
		c.countOffer(w, now)
	}
	if refusal != nil {
		return refusal, out
	}
	if victim != nil {
		reason := ReasonEvicted
		if c.accounts.several() && victim.tooLate(now) {
			reason = ReasonDeadline
		}
		c.queue.remove(victim)
		out = c.reject(out, victim, c.refusal(victim, reason))
	}
	if w.notify == nil {
		w.prepareResult()
	}
	c.queue.push(w)
	return nil, out
}

// refusalOf returns why w cannot enter the queue at the time now, nil if it can.
func (c *Controller) refusalOf(w *Waiter, now time.Time) *Refusal {
	w.seq = c.queue.seq + 1
	wait := c.wait(w)
	switch {
	case w.maxWait > 0 && wait > w.maxWait:
		return c.refusal(w, ReasonBusy)
	case now.Add(wait + w.kind.shortest()).After(w.deadline):
		return c.refusal(w, ReasonDeadline)
	case c.queue.size >= c.queueLimit && c.victim(w, now) == w:
		return c.refusal(w, ReasonQueueFull)
	}
	return nil
}

// Preview returns the refusal that AcquireFor would give r now, nil if it would admit r. It takes
// neither a slot nor a place in the queue, so that a request can be refused before its body is sent.
func (c *Controller) Preview(r Request) *Refusal {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.draining || c.closed {
		return &Refusal{Reason: ReasonDraining}
	}
	if r.Rank == 0 {
		return nil // a preview would consume a token of the declared kind
	}
	now := c.now()
	w := r.waiter(c)
	w.kind = c.undeclaredKind(r.Kind)
	if !w.forServer {
		w.account = c.accounts.seenAt(w.accountName, now)
	}
	c.updateFairness(now)
	if w.tooLate(now) {
		return &Refusal{Reason: ReasonDeadline, RetryAfter: c.retryAfter()}
	}
	c.classifyByTarget(w, now)
	if c.mayStart(w) {
		return nil
	}
	return c.refusalOf(w, now)
}

// result is the outcome that a blocked Acquire receives.
type result struct {
	ticket  *Ticket
	refusal *Refusal
}

func (r result) unpack() (*Ticket, error) {
	if r.refusal != nil {
		return nil, r.refusal
	}
	return r.ticket, nil
}

// prepareResult prepares w for a blocked Acquire. The channel is buffered so that delivery never
// blocks.
func (w *Waiter) prepareResult() {
	ch := make(chan result, 1)
	w.result = ch
	w.notify = func(t *Ticket, r *Refusal) { ch <- result{ticket: t, refusal: r} }
}
