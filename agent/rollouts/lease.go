package rollouts

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"kingcupwood.example/kingcupwood/lib/event"
	"kingcupwood.example/kingcupwood/pkg/endpoint"
	"kingcupwood.example/kingcupwood/pkg/rollout"
)

const (
	// leaseTime is how long a lease lasts without a renewal. Every daemon measures it by its own clock,
	// since the clocks of instances differ.
	leaseTime = 3 * time.Second
	// renewInterval is the time between two renewals, and between two looks at the lease of another
	// daemon.
	renewInterval = time.Second
	// keepInterval is the time between two checks whether the store is to be called.
	keepInterval = 50 * time.Millisecond
	// storeTimeout bounds one call to the store, storePause is the pause after a failed one.
	storeTimeout = time.Second
	storePause   = 300 * time.Millisecond
	// firstCallSpread is the time over which the daemons that see an order spread their first calls.
	firstCallSpread = 200 * time.Millisecond
)

// leaseState is what this daemon knows of the lease. Coordinator.mu guards it; only keepStore changes
// held to true.
type leaseState struct {
	held bool
	// token is that of this daemon, 0 unless it is or was the last coordinator that it knows of.
	token uint64
	// validUntil is the time until which no other daemon can take the lease.
	validUntil time.Time
	// last is the lease as last read or written, lastAt when the read or the write began at which its
	// version was first known.
	last   Lease
	known  bool
	lastAt time.Time
	// unsure means that the outcome of the last write is unknown.
	unsure bool
	// called is when the lease was last read or written.
	called time.Time
}

// expired reports whether the lease can be taken.
func (l *leaseState) expired(self endpoint.InstanceID, now time.Time) bool {
	return l.last.Holder == "" || l.last.Holder == self || now.Sub(l.lastAt) >= leaseTime
}

// saw records the lease as read at a time.
func (l *leaseState) saw(read Lease, at time.Time) {
	if !l.known || read.Version != l.last.Version {
		l.lastAt = at
	}
	l.last, l.known = read, true
}

// keepStore keeps the lease and writes the states of orders until ctx ends or there is nothing to do.
func (c *Coordinator) keepStore(ctx context.Context) {
	// The daemons that see an order do so at the same time. The first one takes the lease, and the others
	// then make one call instead of three.
	wait(ctx, rand.N(firstCallSpread))
	ticker := time.NewTicker(keepInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		pause := time.Duration(0)
		if err := c.keepOnce(ctx); err != nil && ctx.Err() == nil {
			pause = storePause
			c.metrics.storeFailures.Add(1)
			c.storeLog.Do(func() { c.cfg.Log.Log(event.RolloutStoreFailed, zap.Error(err)) })
		}
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
		if pause > 0 {
			wait(ctx, pause)
		}
	}
	c.releaseAtStop()
}

func wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// keepOnce makes the calls to the store that are due.
func (c *Coordinator) keepOnce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	c.mu.Lock()
	held, unsettled, unsure := c.lease.held, c.unsettled(), c.lease.unsure
	due := c.cfg.Now().Sub(c.lease.called) >= renewInterval
	c.mu.Unlock()
	switch {
	case !held && !unsettled:
		return nil
	case !held && due:
		return c.contend(ctx)
	case !held:
		return nil
	case unsure:
		return c.verifyLease(ctx)
	case !unsettled:
		return c.writeLease(ctx, "")
	case due:
		return c.writeLease(ctx, c.cfg.Instance)
	}
	return c.writeStatuses(ctx)
}

// contend takes the lease if it can be taken and an order is still in progress according to the store.
func (c *Coordinator) contend(ctx context.Context) error {
	if err := c.readLease(ctx); err != nil {
		return err
	}
	c.mu.Lock()
	free := c.lease.expired(c.cfg.Instance, c.cfg.Now())
	c.mu.Unlock()
	if !free {
		return nil
	}
	if err := c.readStatuses(ctx); err != nil {
		return err
	}
	c.mu.Lock()
	unsettled := c.unsettled()
	c.mu.Unlock()
	if !unsettled {
		return nil
	}
	err := c.writeLease(ctx, c.cfg.Instance)
	if errors.Is(err, ErrConflict) {
		return nil // another daemon has taken it
	}
	return err
}

func (c *Coordinator) readLease(ctx context.Context) error {
	began := c.cfg.Now()
	c.metrics.storeCalls.Add(1)
	read, err := c.cfg.Store.Lease(ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lease.called = began
	if err == nil {
		c.lease.saw(read, began)
	}
	return err
}

// verifyLease reads the lease after a write whose outcome is unknown, or whose condition did not hold.
func (c *Coordinator) verifyLease(ctx context.Context) error {
	if err := c.readLease(ctx); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lease.unsure = false
	if c.lease.last.Holder != c.cfg.Instance || c.lease.last.Token != c.lease.token {
		c.stepDown("the store names another holder")
	}
	return nil
}

// writeLease takes or renews the lease for holder, or releases it if holder is empty.
func (c *Coordinator) writeLease(ctx context.Context, holder endpoint.InstanceID) error {
	c.mu.Lock()
	began := c.cfg.Now()
	taking := !c.lease.held
	next := c.lease.last
	next.Holder = holder
	if taking {
		next.Token++
		c.takeAges(began)
	}
	next.Ages = c.ages(began)
	c.mu.Unlock()
	c.metrics.storeCalls.Add(1)
	version, err := c.cfg.Store.WriteLease(ctx, next)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lease.called = began
	if err != nil {
		c.lease.unsure = !taking
		return err
	}
	next.Version = version
	c.lease.saw(next, began)
	c.lease.validUntil = began.Add(leaseTime)
	if holder == "" {
		c.lease.held = false
		return nil
	}
	if taking {
		c.lease.held, c.lease.token, c.lease.unsure = true, next.Token, false
		c.cfg.Log.Log(event.RolloutLeaseAcquired, zap.Uint64("token", next.Token))
	}
	return nil
}

// ages returns the ages of the orders in progress; the caller holds c.mu.
func (c *Coordinator) ages(now time.Time) map[string]Age {
	ages := map[string]Age{}
	for service, r := range c.runs {
		if !r.settled {
			ages[service] = Age{Order: r.order.Number, Age: r.age(now)}
		}
	}
	return ages
}

// takeAges takes over the ages that the former coordinator has stated; the caller holds c.mu.
func (c *Coordinator) takeAges(now time.Time) {
	for service, stated := range c.lease.last.Ages {
		if r := c.runs[service]; r != nil && r.order.Number == stated.Order {
			if age := stated.Age + now.Sub(c.lease.lastAt); age > r.age(now) {
				r.seen = now.Add(-age)
			}
		}
	}
}

// readStatuses reads which orders the store has a final state of.
func (c *Coordinator) readStatuses(ctx context.Context) error {
	c.metrics.storeCalls.Add(1)
	statuses, err := c.cfg.Store.Statuses(ctx)
	if err != nil {
		return err
	}
	var settled []rollout.Entry
	c.mu.Lock()
	for _, s := range statuses {
		r := c.runs[s.Service]
		if r == nil || r.settled || s.Target != r.order.Target || s.Version <= r.order.Row {
			continue
		}
		r.written, r.inForce = s.State, r.inForce || s.State == Completed
		phase := rollout.Completed
		switch s.State {
		case Completed:
		case RolledBack:
			phase = rollout.RolledBack
		default:
			continue
		}
		r.settled = true
		settled = append(settled, rollout.Entry{Service: s.Service, Target: r.target, Order: r.order.Number, Phase: phase})
	}
	c.mu.Unlock()
	for _, e := range settled {
		c.cfg.Tracker.LearnSettled(e)
	}
	return nil
}

// writeStatuses writes the states of the roll-outs of this daemon that have changed.
func (c *Coordinator) writeStatuses(ctx context.Context) error {
	c.mu.Lock()
	var next *run
	for _, r := range c.runs {
		if r.active && !r.settled && r.written != r.wanted() {
			next = r
			break
		}
	}
	if next == nil {
		c.settleWritten()
		c.mu.Unlock()
		return nil
	}
	order, state, held := next.order, next.wanted(), c.lease.last
	c.mu.Unlock()
	c.metrics.storeCalls.Add(1)
	err := c.cfg.Store.WriteStatus(ctx, held, order, state)
	if errors.Is(err, ErrConflict) {
		return c.afterConflict(ctx, next)
	}
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	next.written, next.inForce = state, next.inForce || state == Completed
	c.settleWritten()
	return nil
}

// settleWritten marks the orders whose final state the store has; the caller holds c.mu.
func (c *Coordinator) settleWritten() {
	for _, r := range c.runs {
		if r.active && r.progress.Phase.Final() && r.written == r.wanted() {
			r.settled = true
		}
	}
}

// afterConflict finds out whether the lease or the order has changed.
func (c *Coordinator) afterConflict(ctx context.Context, r *run) error {
	c.mu.Lock()
	before := c.lease.last.Version
	c.mu.Unlock()
	if err := c.verifyLease(ctx); err != nil {
		c.mu.Lock()
		c.lease.unsure = true
		c.mu.Unlock()
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lease.held && c.lease.last.Version == before {
		c.replace(r, c.cfg.Now())
	}
	return nil
}

// releaseAtStop releases the lease when this daemon stops, so that another one continues at once.
func (c *Coordinator) releaseAtStop() {
	c.mu.Lock()
	held := c.lease.held && !c.lease.unsure
	c.mu.Unlock()
	if !held {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout/2)
	defer cancel()
	_ = c.writeLease(ctx, "") // otherwise the lease expires
}
