package admission

import (
	"context"
	"time"
)

const (
	// maxLearned bounds the kinds whose service times are learned; further ones share one estimate.
	maxLearned = 256
	// safeShare is the time, in relation to the mean service time, that a request must have until its
	// aim when it starts. Service times spread widely; with less, half of the answers come late.
	safeShare = 1.5
	// shortWait is the wait that any request may have before it counts as late, as a share of its
	// target. It evens out random arrivals.
	shortWait = 0.15
	// fastShare is the share of the mean service time that a deadline must leave; with less, hardly any
	// request ends in time.
	fastShare = 0.6
)

// Request describes a request that needs a slot.
type Request struct {
	Kind string
	// Deadline is when the request must be finished.
	Deadline time.Time
	// Rank is the urgency of a request whose kind declares neither rate nor service time, 1 is the most
	// urgent. Zero stands for the declared kind.
	Rank int
	// TargetTime is the time until which the answer has its full worth; zero means none. A request that cannot
	// meet it yields to all those that can.
	TargetTime time.Time
	// Idempotent requests count less than others in an overload, because their callers may repeat them.
	Idempotent bool
	// MaxWait is the longest wait for a slot that the sender accepts; zero means any.
	MaxWait time.Duration
}

// AcquireFor is Acquire for a described request.
func (c *Controller) AcquireFor(ctx context.Context, r Request) (*Ticket, error) {
	if ctx.Err() != nil {
		return nil, &Refusal{Reason: ReasonCancelled}
	}
	w := &Waiter{ctl: c, deadline: r.Deadline, aim: r.TargetTime, rank: r.Rank, idempotent: r.Idempotent, patience: r.MaxWait}
	ticket, refusal, out := c.offer(w, r.Kind)
	out.deliver()
	switch {
	case ticket != nil:
		return ticket, nil
	case refusal != nil:
		return nil, refusal
	}
	return c.await(ctx, w)
}

// learnedKind returns the state of a kind that declares nothing.
func (c *Controller) learnedKind(name string, rank int) *kindState {
	if k := c.learned[name]; k != nil {
		if k.Rank != rank {
			k = &kindState{Kind: Kind{Name: name, Rank: rank}, observed: k.observed, undeclared: true}
			c.learned[name] = k
		}
		return k
	}
	if len(c.learned) >= maxLearned {
		return &kindState{Kind: Kind{Name: name, Rank: rank}, undeclared: true}
	}
	k := &kindState{Kind: Kind{Name: name, Rank: rank}, undeclared: true}
	c.learned[name] = k
	return k
}

// missesAim reports whether w is unlikely to be answered by its aim if it starts at the time start.
func (w *Waiter) missesAim(start time.Time) bool {
	return !w.aim.IsZero() && start.After(w.latest)
}

// latestStart returns the latest time at which w, which has arrived now, is likely to be in time.
func (w *Waiter) latestStart(now time.Time) time.Time {
	safe := w.aim.Add(-time.Duration(safeShare * float64(w.kind.observed)))
	short := now.Add(time.Duration(shortWait * float64(w.aim.Sub(now))))
	if short.After(safe) {
		return short
	}
	return safe
}

// classifyByAim sets the class of a request of an undeclared kind: by rank, behind all others if it
// cannot meet its aim after the estimated wait.
func (c *Controller) classifyByAim(w *Waiter, now time.Time) {
	w.work = w.kind.expected()
	w.seq = c.queue.seq + 1
	w.class = classOf(w.kind.Rank, true)
	w.latest = w.latestStart(now)
	c.shares.decay(now)
	if w.missesAim(now.Add(c.waitUnlessFree(w))) {
		w.class = classOf(w.kind.Rank, false)
	}
}

// waitUnlessFree returns the estimated wait of w, 0 if a slot is free.
func (c *Controller) waitUnlessFree(w *Waiter) time.Duration {
	if c.hasSlot(w.class) {
		return 0
	}
	return c.wait(w)
}

// demote moves w, which has waited past the point at which it could meet its aim, behind the requests that
// still can. It reports whether w may wait there; otherwise it has no chance before its deadline.
func (c *Controller) demote(w *Waiter, now time.Time) bool {
	w.class = classOf(w.kind.Rank, false)
	if !c.excessMayStart() && now.Add(c.wait(w)+w.kind.shortest()).After(w.deadline) {
		return false
	}
	c.queue.push(w)
	return true
}
