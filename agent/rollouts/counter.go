package rollouts

import (
	"maps"
	"sync"
	"time"

	"kingcupwood.example/kingcupwood/pkg/rollout"
)

const (
	// notifyAfter is the number of failed responses of one target server after which its daemon notifies
	// the coordinator without being asked.
	notifyAfter = 40
	// maxKinds bounds the kinds that are counted separately.
	maxKinds = 128
)

// counter counts the responses of the server of this instance by kind during one roll-out. The zero value
// counts nothing until reset.
type counter struct {
	mu     sync.Mutex
	order  uint64
	kinds  rollout.Totals
	failed uint64
}

// reset begins to count for an order, 0 for none.
func (c *counter) reset(order uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.order, c.kinds, c.failed = order, nil, 0
}

func (c *counter) add(order uint64, kind string, failed bool, work time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if order != c.order {
		return
	}
	if c.kinds == nil {
		c.kinds = rollout.Totals{}
	}
	if _, known := c.kinds[kind]; !known && len(c.kinds) >= maxKinds {
		kind = ""
	}
	s := c.kinds[kind]
	s.Add(failed, work)
	c.kinds[kind] = s
	if failed {
		c.failed++
	}
}

// failures returns the number of failed responses of an order.
func (c *counter) failures(order uint64) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if order != c.order {
		return 0
	}
	return c.failed
}

func (c *counter) snapshot(order uint64) map[string]rollout.Sample {
	c.mu.Lock()
	defer c.mu.Unlock()
	if order != c.order {
		return nil
	}
	return maps.Clone(c.kinds)
}
