package sync

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"kingcupwood.example/kingcupwood/pkg/snapshot"
)

// changeLimit is the time within which an accepted version must be in force (section 9).
const changeLimit = 5 * time.Second

// startLimit bounds the start of a cluster: join, leases and the first version.
const startLimit = 30 * time.Second

// requestsPerSecond bounds the requests to the platform in three domains: reads of the head,
// renewals and attempts for leases.
const requestsPerSecond = 3*2*4 + 3*2 + 3*leaseCandidates

// run starts n daemons in three domains at version head and runs f in virtual time.
func run(t *testing.T, n int, head snapshot.Version, f func(is *is.I, c *cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, head)
		defer c.stop()
		for i := range n {
			c.start(i, fmt.Sprintf("domain-%d", i%3))
		}
		c.until("start", startLimit, c.daemons, func(d *daemon) bool {
			return d.store.Version() == head && d.Ready() && len(d.View().Records) == n
		})
		time.Sleep(2 * time.Second) // lease holders become known in their domains
		f(is.New(t), c)
	})
}

func (c *cluster) accept(v snapshot.Version) {
	c.platform.set(func() { c.platform.head = v })
}

func (c *cluster) head() (v snapshot.Version) {
	c.platform.set(func() { v = c.platform.head })
	return v
}

func (c *cluster) setDown(down bool) { c.platform.set(func() { c.platform.down = down }) }

// leaders returns the daemons that hold a lease.
func (c *cluster) leaders() []*daemon {
	var list []*daemon
	for _, d := range c.daemons {
		if !d.isStopped() && d.Leading() {
			list = append(list, d)
		}
	}
	return list
}

// Guards against changes that do not reach every daemon in time, and against more than the two
// allowed readers of the head in a domain or more requests to the platform than planned.
func TestChangeReachesAll(t *testing.T) {
	run(t, 30, 3, func(is *is.I, c *cluster) {
		is.Equal(len(c.leaders()), 6)
		for v := snapshot.Version(4); v < 10; v++ {
			c.accept(v)
			c.until("change", changeLimit, c.daemons, at(v))
		}
		reads := 0
		c.platform.set(func() { c.platform.reads = 0 })
		time.Sleep(10 * time.Second)
		c.platform.set(func() { reads = c.platform.reads })
		is.True(reads < 10*requestsPerSecond)
	})
}

// Guards against daemons that wait for a dead parent or a dead lease holder: both holders of a
// domain and a tenth of the others are killed at the moment of a change.
func TestChangeWithKilledDaemons(t *testing.T) {
	run(t, 30, 3, func(_ *is.I, c *cluster) {
		for _, d := range c.leaders() {
			if d.record.Domain == "domain-1" {
				d.kill()
			}
		}
		for _, d := range c.daemons[12:14] {
			d.kill()
		}
		c.accept(4)
		c.until("change", changeLimit, c.daemons, at(4))
	})
}

// Guards against daemons that stay with a parent which is frozen or behind: half of a domain is
// frozen, with connections left open, and the rest must follow; the frozen half follows afterwards.
func TestChangeWithFrozenDaemons(t *testing.T) {
	run(t, 24, 3, func(_ *is.I, c *cluster) {
		var live, frozen []*daemon
		for i, d := range c.daemons {
			if i%6 == 1 {
				d.frozen.Store(true)
				frozen = append(frozen, d)
			} else {
				live = append(live, d)
			}
		}
		c.accept(4)
		c.until("change", changeLimit, live, at(4))
		time.Sleep(10 * time.Second)
		c.accept(5)
		c.until("next change", changeLimit, live, at(5))
		for _, d := range frozen {
			d.frozen.Store(false)
		}
		c.until("resumed", changeLimit, frozen, at(5))
	})
}

// Guards against a lease holder that was paused past its lease and then acts as one still, and
// against an old head that it read before the pause.
func TestPausedLeaseHolder(t *testing.T) {
	run(t, 9, 3, func(is *is.I, c *cluster) {
		paused := c.leaders()[0]
		paused.frozen.Store(true)
		time.Sleep(6 * time.Second)
		c.accept(4)
		live := slices.DeleteFunc(slices.Clone(c.daemons), func(d *daemon) bool { return d == paused })
		c.until("change", changeLimit, live, at(4))
		paused.frozen.Store(false)
		c.until("resumed", changeLimit, c.daemons, at(4))
		time.Sleep(10 * time.Second)
		perDomain := map[string]int{}
		for _, d := range c.leaders() {
			perDomain[d.record.Domain]++
		}
		is.Equal(perDomain, map[string]int{"domain-0": 2, "domain-1": 2, "domain-2": 2})
	})
}

// Guards against daemons that stop serving during an outage of the platform, or that follow late
// after it.
func TestPlatformOutage(t *testing.T) {
	run(t, 12, 3, func(is *is.I, c *cluster) {
		c.setDown(true)
		time.Sleep(time.Minute)
		for _, d := range c.daemons {
			is.True(d.Ready())
			is.True(!d.Leading())
		}
		c.accept(4)
		c.setDown(false)
		c.until("after the outage", changeLimit, c.daemons, at(4))
	})
}

// Guards against a version that stops spreading when the platform fails right after one domain has
// read it: the others take it from peers.
func TestPlatformOutageWithPeersAhead(t *testing.T) {
	run(t, 12, 3, func(_ *is.I, c *cluster) {
		c.platform.set(func() {
			for _, d := range c.inDomain("domain-2", false) {
				c.platform.cut[d.record.Instance] = true
			}
		})
		c.accept(4)
		c.until("first domain", changeLimit, c.inDomain("domain-2", true), at(4))
		c.setDown(true)
		c.until("other domains", 2*changeLimit, c.daemons, at(4))
	})
}

// Guards against a restarted daemon that serves an older version than it may have served before,
// with the platform available or not, and against one that never serves again.
func TestRestartTakesFloor(t *testing.T) {
	for _, down := range []bool{false, true} {
		run(t, 9, 3, func(is *is.I, c *cluster) {
			c.accept(4)
			c.until("change", changeLimit, c.daemons, at(4))
			c.daemons[4].kill()
			c.setDown(down)
			d := c.start(4, "domain-1")
			c.until("ready", changeLimit, []*daemon{d}, (*daemon).Ready)
			floor, known := d.Floor()
			is.True(known)
			is.Equal(floor, snapshot.Version(4))
			is.Equal(d.store.Version(), snapshot.Version(4))
		})
	}
}

// killWhileCutOff cuts a domain off from the platform and the other domains, accepts version, and kills one
// daemon inside once all outside have it.
func (c *cluster) killWhileCutOff(domain string, version snapshot.Version) *daemon {
	inside := c.inDomain(domain, true)
	c.setCut(domain, true)
	c.platform.set(func() {
		for _, d := range inside {
			c.platform.cut[d.record.Instance] = true
		}
	})
	c.accept(version)
	c.until("other domains", changeLimit, c.inDomain(domain, false), at(version))
	inside[2].kill()
	return inside[2]
}

// Guards against a restart in a domain that is cut off from the platform and the other domains:
// it must serve the highest version known inside, and follow when the partition ends.
func TestRestartInPartitionedDomain(t *testing.T) {
	run(t, 12, 3, func(is *is.I, c *cluster) {
		c.killWhileCutOff("domain-1", 4)
		d := c.start(7, "domain-1")
		c.until("ready inside", 2*changeLimit, []*daemon{d}, (*daemon).Ready)
		is.Equal(d.store.Version(), snapshot.Version(3))
		c.setCut("domain-1", false)
		c.platform.set(func() { clear(c.platform.cut) })
		c.until("after the partition", changeLimit, c.daemons, at(4))
	})
}

// Guards against a restarted daemon that serves on the answers of members that are behind, while the
// platform is still being asked, and stops when it answers.
func TestRestartWaitsForPlatform(t *testing.T) {
	run(t, 12, 3, func(is *is.I, c *cluster) {
		killed := c.killWhileCutOff("domain-1", 4)
		c.platform.set(func() { delete(c.platform.cut, killed.record.Instance) })
		d := c.start(7, "domain-1")
		for deadline := time.Now().Add(changeLimit); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
			is.True(!d.Ready() || d.store.Version() == 4)
		}
		is.True(d.Ready())
		c.setCut("domain-1", false)
	})
}

// Guards against a daemon that serves although nobody could tell it the floor.
func TestNobodyReachable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, 3)
		defer c.stop()
		c.setDown(true)
		d := c.start(0, "domain-0")
		time.Sleep(time.Minute)
		_, known := d.Floor()
		is.True(!known)
		is.True(!d.Ready())
		c.setDown(false)
		c.until("platform back", 2*changeLimit, c.daemons, (*daemon).Ready)
	})
}

// Guards against two failures together: half of the daemons restart while the platform is down.
// They must take the version from the others, and the next one after the outage.
func TestMassRestartDuringOutage(t *testing.T) {
	run(t, 24, 3, func(_ *is.I, c *cluster) {
		c.setDown(true)
		for i := 1; i < 24; i += 2 {
			c.daemons[i].kill()
		}
		for i := 1; i < 24; i += 2 {
			c.start(i, fmt.Sprintf("domain-%d", i%3))
		}
		c.until("ready", 2*changeLimit, c.daemons, (*daemon).Ready)
		c.accept(4)
		c.setDown(false)
		c.until("after the outage", changeLimit, c.daemons, at(4))
	})
}

// Guards against a daemon that cannot join because all seeds of its settings are dead.
func TestJoinThroughLeaseHolders(t *testing.T) {
	run(t, 9, 3, func(_ *is.I, c *cluster) {
		for _, d := range c.daemons[:2] {
			d.kill()
		}
		d := c.start(9, "domain-0")
		c.until("joined", 2*changeLimit, []*daemon{d}, func(d *daemon) bool { return len(d.View().Records) >= 8 && d.Ready() })
	})
}

// Guards against a mass restart that turns to the platform: the restarted daemons must take floor
// and snapshot from lease holders and peers.
func TestMassRestartSparesPlatform(t *testing.T) {
	run(t, 24, 3, func(is *is.I, c *cluster) {
		reads := 0
		c.platform.set(func() { c.platform.reads = 0 })
		for i := range c.daemons {
			if d := c.daemons[i]; !d.Leading() && i%2 == 1 {
				d.kill()
				c.start(i, d.record.Domain)
			}
		}
		c.until("ready", changeLimit, c.daemons, (*daemon).Ready)
		for _, d := range c.daemons {
			is.True(d.floor.Exact())
		}
		time.Sleep(10 * time.Second)
		c.platform.set(func() { reads = c.platform.reads })
		is.True(reads < 15*requestsPerSecond)
	})
}

// step is one event of a generated history, after which the given time passes.
type step struct {
	action, instance int
	wait             time.Duration
}

// do runs a step; incarnations of restarted daemons follow the clock.
func (c *cluster) do(s step) {
	d := c.daemons[s.instance]
	switch s.action {
	case 0:
		c.accept(c.head() + 1)
	case 1:
		d.kill()
		c.start(s.instance, d.record.Domain)
	case 2:
		d.frozen.Store(true)
	case 3:
		c.setCut(d.record.Domain, true)
	case 4:
		c.setDown(true)
	case 5:
		c.heal()
	}
	time.Sleep(s.wait)
}

func (c *cluster) heal() {
	c.setDown(false)
	for _, d := range c.daemons {
		d.frozen.Store(false)
		c.setCut(d.record.Domain, false)
	}
}

// Guards against any history of failures, several at a time, after which a daemon does not reach
// the head or is not ready, or in which a version falls (checked in onApply).
func TestHistories(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var steps []step
		for range rapid.IntRange(1, 8).Draw(rt, "steps") {
			steps = append(steps, step{
				rapid.IntRange(0, 5).Draw(rt, "action"), rapid.IntRange(0, 8).Draw(rt, "instance"),
				time.Duration(rapid.IntRange(1, 8000).Draw(rt, "wait")) * time.Millisecond,
			})
		}
		missing := ""
		run(t, 9, 3, func(_ *is.I, c *cluster) {
			for _, s := range steps {
				c.do(s)
			}
			c.heal()
			missing = c.within(3*changeLimit, c.daemons, func(d *daemon) bool {
				return d.Ready() && d.store.Version() == c.head()
			})
		})
		if missing != "" {
			rt.Fatalf("after %v:%s", steps, missing)
		}
	})
}

// Guards against an invalid version that is put in force, applied in part, or blocks the next one,
// and against a refusal for a damaged object that lasts after the object was repaired.
func TestInvalidVersionIsRefused(t *testing.T) {
	run(t, 9, 3, func(is *is.I, c *cluster) {
		c.codec.refuse[4] = true
		c.accept(4)
		time.Sleep(10 * time.Second)
		refused := 0
		for _, d := range c.daemons {
			is.Equal(d.store.Version(), snapshot.Version(3))
			for _, r := range d.Refusals() {
				is.Equal(r.Version, snapshot.Version(4))
				is.Equal(r.Reason, "fake: version 4 is invalid")
				refused++
			}
		}
		is.Equal(refused, 6) // once at each lease holder
		c.accept(5)
		c.until("next version", changeLimit, c.daemons, at(5))
		c.platform.set(func() { c.platform.broken[hashOf("pages", 6)] = true })
		c.accept(6)
		time.Sleep(5 * time.Second)
		c.until("still the earlier version", 0, c.daemons, at(5))
		c.platform.set(func() { clear(c.platform.broken) })
		c.until("repaired", changeLimit, c.daemons, at(6))
	})
}
