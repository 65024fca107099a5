package admission

import (
	"context"
	"time"
)

const (
	// maxUndeclaredKinds bounds the undeclared kinds whose service times are kept; requests of further
	// kinds use the default estimate.
	maxUndeclaredKinds = 256
	// startMarginRatio is the time that must remain until the target time when a request starts, as a
	// multiple of the mean service time. Service times vary widely; with a lower margin, half of the
	// responses miss the target.
	startMarginRatio = 1.5
	// toleratedWaitRatio is the wait after which a request may first count as late, as a share of its
	// latency target. It evens out random arrivals.
	toleratedWaitRatio = 0.15
	// minDeadlineRatio is the share of the mean service time that must remain until the deadline. With
	// less, hardly any request finishes in time.
	minDeadlineRatio = 0.6
)

// Request describes a request that needs a slot.
type Request struct {
	Kind string
	// Deadline is when the request must be finished.
	Deadline time.Time
	// Rank is the urgency of a request whose kind declares neither rate nor service time; 1 is the
	// most urgent. Zero means that the kind is declared.
	Rank int
	// TargetTime is the time until which a response meets the latency target; zero means none.
	// Requests that cannot meet it have lower precedence than all those that can.
	TargetTime time.Time
	// Idempotent requests have a lower weight in an overload, because their callers may repeat them.
	Idempotent bool
	// MaxWait is the longest wait for a slot that the sender accepts; zero means no limit.
	MaxWait time.Duration
	// Account names the client account that sent the request, empty for none. Requests without an account share
	// one fair share. It applies to requests with a Rank, as does ForServer.
	Account string
	// ForServer means that the request is a call for which a running request waits. It goes before new
	// requests of its rank and counts for no account.
	ForServer bool
}

func (r *Request) waiter(c *Controller) *Waiter {
	return &Waiter{ctl: c, deadline: r.Deadline, targetTime: r.TargetTime, rank: r.Rank, idempotent: r.Idempotent, maxWait: r.MaxWait, accountName: r.Account, forServer: r.ForServer && r.Rank > 0}
}

// AcquireFor is Acquire for a described request.
func (c *Controller) AcquireFor(ctx context.Context, r Request) (*Ticket, error) {
	if ctx.Err() != nil {
		return nil, &Refusal{Reason: ReasonCancelled}
	}
	w := r.waiter(c)
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

// undeclaredKind returns the state of a kind without a declared rate and service time. It holds no rank, since
// requests of one kind may come with the ranks of several accounts, and have the same service times.
func (c *Controller) undeclaredKind(name string) *kindState {
	if k := c.undeclaredKinds[name]; k != nil {
		return k
	}
	k := &kindState{Kind: Kind{Name: name}, undeclared: true}
	if len(c.undeclaredKinds) < maxUndeclaredKinds {
		c.undeclaredKinds[name] = k
	}
	return k
}

// missesTarget reports whether w is unlikely to meet its latency target if it starts at start.
func (w *Waiter) missesTarget(start time.Time) bool {
	return !w.targetTime.IsZero() && start.After(w.startBy)
}

// latestStart returns the latest start time at which w, which arrived now, is likely to meet its
// latency target.
func (w *Waiter) latestStart(now time.Time) time.Time {
	byMargin := w.targetTime.Add(-time.Duration(startMarginRatio * float64(w.kind.observed)))
	byWait := now.Add(time.Duration(toleratedWaitRatio * float64(w.targetTime.Sub(now))))
	if byWait.After(byMargin) {
		return byWait
	}
	return byMargin
}

// classifyByTarget sets the class of a request of an undeclared kind: by rank, and behind all
// others if it cannot meet its latency target after the estimated wait.
func (c *Controller) classifyByTarget(w *Waiter, now time.Time) {
	w.work = w.kind.expected()
	w.seq = c.queue.seq + 1
	w.class = classOf(w.rank, true)
	w.startBy = w.latestStart(now)
	c.shares.decay(now)
	if w.missesTarget(now.Add(c.waitUnlessFree(w))) {
		w.class = classOf(w.rank, false)
	}
}

// waitUnlessFree returns the estimated wait of w, 0 if a slot is free.
func (c *Controller) waitUnlessFree(w *Waiter) time.Duration {
	if c.mayStart(w) {
		return 0
	}
	return c.wait(w)
}

// demote moves w, which can no longer meet its latency target, behind the requests that still can.
// It returns false and does not queue w if w cannot meet its deadline either.
func (c *Controller) demote(w *Waiter, now time.Time) bool {
	w.class = classOf(w.rank, false)
	if !c.excessMayStart() && now.Add(c.wait(w)+w.kind.shortest()).After(w.deadline) {
		return false
	}
	c.queue.push(w)
	return true
}
