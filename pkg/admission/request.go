package admission

import (
	"context"
	"time"
)

const (
	// maxLearned bounds the kinds whose service times are learned; further ones share one estimate.
	maxLearned = 256
	// likelyShare is the share of the mean service time within which about half of the requests end.
	likelyShare = 0.7
	// fastShare is the share of the mean service time that a deadline must leave; with less, hardly any
	// request ends in time.
	fastShare = 0.4
)

// Request describes a request that needs a slot.
type Request struct {
	Kind string
	// Deadline is when the request must be finished.
	Deadline time.Time
	// Rank is the urgency of a request whose kind declares neither rate nor service time, 1 is the most
	// urgent. Zero stands for the declared kind.
	Rank int
	// Aim is the time until which the answer has its full worth; zero means none. A request that cannot
	// meet it yields to all those that can.
	Aim time.Time
	// Patience is the longest wait for a slot that the sender accepts; zero means any.
	Patience time.Duration
}

// AcquireFor is Acquire for a described request.
func (c *Controller) AcquireFor(ctx context.Context, r Request) (*Ticket, error) {
	if ctx.Err() != nil {
		return nil, &Refusal{Reason: ReasonCancelled}
	}
	w := &Waiter{ctl: c, deadline: r.Deadline, aim: r.Aim, rank: r.Rank, patience: r.Patience}
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

// learned returns the state of a kind that declares nothing.
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
	if w.aim.IsZero() {
		return false
	}
	likely := time.Duration(likelyShare * float64(w.kind.observed))
	return start.Add(likely).After(w.aim)
}

// classifyByAim sets the class of a request of an undeclared kind: by rank, behind all others if it
// cannot meet its aim after the estimated wait.
func (c *Controller) classifyByAim(w *Waiter, now time.Time) {
	w.work = w.kind.expected()
	w.seq = c.queue.seq + 1
	w.class = classOf(w.kind.Rank, true)
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

// demoted reports whether w has waited past the point at which it could meet its aim, and moves it
// behind the requests that still can.
func (c *Controller) demoted(w *Waiter, now time.Time) bool {
	if isExcess(w.class) || !w.kind.undeclared || !w.missesAim(now) {
		return false
	}
	w.class = classOf(w.kind.Rank, false)
	c.queue.push(w)
	return true
}
