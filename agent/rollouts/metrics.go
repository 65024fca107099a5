package rollouts

import "expvar"

type metrics struct {
	polls, pollFailures, storeCalls, storeFailures, completed, rolledBack expvar.Int
}

// Metrics returns the counters and the state of c for publication.
func (c *Coordinator) Metrics() expvar.Var {
	m := new(expvar.Map).Init()
	m.Set("polls", &c.metrics.polls)
	m.Set("poll_failures", &c.metrics.pollFailures)
	m.Set("store_calls", &c.metrics.storeCalls)
	m.Set("store_failures", &c.metrics.storeFailures)
	m.Set("completed", &c.metrics.completed)
	m.Set("rolled_back", &c.metrics.rolledBack)
	m.Set("coordinator", expvar.Func(func() any { return c.isHolder() }))
	m.Set("in_progress", expvar.Func(func() any { return c.inProgress() }))
	m.Set("refuses", expvar.Func(func() any { return c.cfg.Tracker.Refuses() }))
	m.Set("refused", expvar.Func(func() any { return c.cfg.Tracker.refused.Load() }))
	return m
}

// isHolder reports whether this daemon coordinates the roll-outs.
func (c *Coordinator) isHolder() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lease.held
}

func (c *Coordinator) inProgress() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, r := range c.runs {
		if !r.settled {
			n++
		}
	}
	return n
}
