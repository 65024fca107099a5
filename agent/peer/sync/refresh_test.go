package sync

import (
	"slices"
	"testing"
	"time"
)

// Guards against a daemon that still waits between its failed questions of an outage after its
// readers have confirmed again, and so does not ask when they are cut off next.
func TestChangeSoonAfterOutage(t *testing.T) {
	const calm = 4 * time.Second
	for outage := 30 * time.Second; outage < 40*time.Second; outage += time.Second {
		t.Run(outage.String(), func(t *testing.T) { testChangeAfterOutage(t, outage, calm) })
	}
}

// testChangeAfterOutage plays an outage of the source for all daemons, a calm time, and a change
// beside which only the daemons at the lowest level reach the source.
func testChangeAfterOutage(t *testing.T, outage, calm time.Duration) {
	t.Helper()
	runSourceDomain(t, func(c *cluster) {
		c.source.setSilent(true, c.daemons...)
		time.Sleep(outage)
		c.source.setSilent(false, c.daemons...)
		time.Sleep(calm)
		var near, far []*daemon
		for _, d := range c.daemons {
			if age, known := d.confirmationAge(); !known || age > applyLimit {
				c.t.Fatalf("%s is not confirmed: %v", d.record.Instance, age)
			}
			if d.position().Ancestors > 1 {
				far = append(far, d)
			} else {
				near = append(near, d)
			}
		}
		if len(far) == 0 {
			c.t.Fatal("the tree has one level below the readers")
		}
		c.source.setSilent(true, near...)
		c.source.publish(4)
		c.waitUntil("change", applyLimit, far, inForce(4))
	})
}

// Guards against readers that are replaced in turn, and daemons marked as unable to reach the source,
// because it answers their own questions more slowly than a first question waits.
func TestSlowSource(t *testing.T) {
	for _, latency := range []time.Duration{600 * time.Millisecond, 900 * time.Millisecond} {
		t.Run(latency.String(), func(t *testing.T) {
			runSourceDomain(t, func(c *cluster) {
				readers := c.readers()
				c.source.setLatency(latency)
				for range 300 {
					time.Sleep(100 * time.Millisecond)
					if now := c.readers(); !slices.Equal(now, readers) {
						c.t.Fatalf("%d readers, other ones than before; marked: %v", len(now), c.daemons[0].markedAway())
					}
				}
				c.source.publish(4)
				c.waitUntil("change", applyLimit, c.daemons, inForce(4))
			})
		})
	}
}
