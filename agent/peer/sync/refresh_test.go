package sync

import (
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
				t.Fatalf("%s is not confirmed: %v", d.record.Instance, age)
			}
			if d.position().Ancestors > 1 {
				far = append(far, d)
			} else {
				near = append(near, d)
			}
		}
		if len(far) == 0 {
			t.Fatal("the tree has one level below the readers")
		}
		c.source.setSilent(true, near...)
		c.source.publish(4)
		c.waitUntil("change", applyLimit, far, inForce(4))
	})
}
