package rollouts

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"kingcupwood.example/kingcupwood/lib/event"
	"kingcupwood.example/kingcupwood/pkg/endpoint"
	"kingcupwood.example/kingcupwood/pkg/rollout"
)

const (
	// stepInterval is the time between two steps of a coordinator with a roll-out in progress.
	stepInterval = 100 * time.Millisecond
	// pollInterval is the time between two rounds of questions to the daemons of a service.
	pollInterval = 500 * time.Millisecond
	// fastPollInterval is that time in the handover, and when a daemon has notified the coordinator.
	fastPollInterval = 200 * time.Millisecond
	// pollsPerRollback is the number of rounds within the time in which a bad version must get no more
	// requests. Most of this time is needed until every daemon knows of the roll-back.
	pollsPerRollback = 10
	// publishFor is how long the end of a roll-out is published, so that daemons that start meanwhile
	// learn of it. The servers of the other version stop within seconds.
	publishFor = time.Minute
	// storeLogInterval limits the log lines about failed calls to the store.
	storeLogInterval = 5 * time.Second
)

// Config configures a Coordinator.
type Config struct {
	Instance endpoint.InstanceID
	Store    Store
	Tracker  *Tracker
	View     func() *endpoint.View
	// Publish puts the text of rollout.Encode into the endpoint record of this instance.
	Publish func(text string)
	Dial    Dialer
	Log     *event.Logger
	Now     func() time.Time
	// ExposureShare is the largest share of the requests that a bad version may get, beyond ExposureSlack
	// requests.
	ExposureShare float64
	ExposureSlack int
	// RollbackTime is the time within which a bad version must get no more requests.
	RollbackTime time.Duration
}

// Coordinator carries out the orders that this daemon sees while it holds the lease.
type Coordinator struct {
	cfg      Config
	peers    peers
	wake     chan struct{}
	metrics  metrics
	storeLog rate.Sometimes

	mu sync.Mutex
	// runs holds the newest order of each service.
	runs  map[string]*run
	lease leaseState
	// published is the text in the record.
	published string
}

// New returns a Coordinator that does nothing until Run.
func New(cfg Config) *Coordinator {
	c := &Coordinator{
		cfg: cfg, peers: peers{dial: cfg.Dial}, wake: make(chan struct{}, 1), runs: map[string]*run{},
		storeLog: rate.Sometimes{Interval: storeLogInterval},
	}
	cfg.Store.Watch(c.observe)
	return c
}

// observe takes over an order from the store.
func (c *Coordinator) observe(o Order, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	last := c.runs[o.Service]
	if last != nil && last.order.Row >= o.Number {
		return
	}
	switch {
	case errors.Is(err, ErrWithdrawn):
		if last != nil {
			c.replace(last, c.cfg.Now())
		}
		return
	case err != nil:
		c.cfg.Log.Log(event.RolloutOrderUnreadable, zap.String("service", o.Service), zap.Error(err))
		if last != nil {
			last.order.Row = o.Number // the states of the last order are still written
		}
		return
	case last != nil && last.isRepeatedBy(&o):
		last.order.Row, last.settled, last.written = o.Row, false, ""
		c.wakeUp()
		return
	case last != nil:
		c.replace(last, c.cfg.Now())
	}
	c.cfg.Log.Log(event.RolloutOrdered, zap.String("service", o.Service), zap.String("target", o.Target),
		zap.Uint64("order", o.Number), zap.Duration("duration", o.Duration))
	c.runs[o.Service] = &run{order: o, target: endpoint.VersionKey(o.Target), seen: c.cfg.Now()}
	c.wakeUp()
}

func (c *Coordinator) wakeUp() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// Run carries out orders until ctx ends. Without an order in progress, it makes no calls to the store.
func (c *Coordinator) Run(ctx context.Context) {
	defer c.peers.conns.closeAll()
	var keeping sync.WaitGroup
	defer keeping.Wait()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-c.wake:
		}
		working, stop := context.WithCancel(ctx)
		keeping.Go(func() { c.keepStore(working) })
		c.drive(ctx)
		stop()
		keeping.Wait()
		c.peers.conns.closeAll()
	}
}

// drive advances the roll-outs until there is nothing to do or to publish.
func (c *Coordinator) drive(ctx context.Context) {
	ticker := time.NewTicker(stepInterval)
	defer ticker.Stop()
	for c.busy() {
		c.step(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// busy reports whether an order is in progress, the lease is held, or something is published.
func (c *Coordinator) busy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unsettled() || c.lease.held || c.published != ""
}

// unsettled reports whether an order has no final state in the store yet; the caller holds c.mu.
func (c *Coordinator) unsettled() bool {
	for _, r := range c.runs {
		if !r.settled {
			return true
		}
	}
	return false
}

// step advances each roll-out once. It is called by one goroutine.
func (c *Coordinator) step(ctx context.Context) {
	var polling sync.WaitGroup
	for _, r := range c.due() {
		polling.Go(func() { c.poll(ctx, r) })
	}
	polling.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.cfg.Now()
	for _, r := range c.runs {
		if c.lease.held {
			c.advance(r, now)
		}
	}
	c.publish(now)
}

// due returns the roll-outs whose daemons are to be asked now. They are also asked once after the end of a
// roll-out, so that they learn of it at once.
func (c *Coordinator) due() []*run {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []*run
	now := c.cfg.Now()
	view := c.cfg.View()
	for _, r := range c.runs {
		e, ok := r.entry(c.lease.token)
		if !ok || c.lease.token == 0 {
			continue
		}
		interval := min(pollInterval, c.cfg.RollbackTime/pollsPerRollback)
		if r.notified(view) || e.Phase == rollout.Handover {
			interval = fastPollInterval
		}
		last := e.Phase.Final() && !r.pushed
		if last || !e.Phase.Final() && now.Sub(r.polled) >= interval {
			r.polled, r.pushed = now, last
			list = append(list, r)
		}
	}
	return list
}

// publish puts the entries of the roll-outs into the record; the caller holds c.mu.
func (c *Coordinator) publish(now time.Time) {
	var entries []rollout.Entry
	for _, r := range c.runs {
		if e, ok := r.entry(c.lease.token); ok && c.lease.token > 0 && (r.ended.IsZero() || now.Sub(r.ended) < publishFor) {
			entries = append(entries, e)
		}
	}
	text, _ := rollout.Encode(entries)
	if text != c.published {
		c.published = text
		c.cfg.Publish(text)
		c.cfg.Tracker.Learn(entries)
	}
}

// stepDown ends the part of this daemon in all roll-outs because another one is coordinator; the caller
// holds c.mu.
func (c *Coordinator) stepDown(reason string) {
	if c.lease.held {
		c.cfg.Log.Log(event.RolloutLeaseLost, zap.Uint64("token", c.lease.token), zap.String("reason", reason))
	}
	c.lease.held, c.lease.token = false, 0
	for _, r := range c.runs {
		r.stop()
	}
}
