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

// requestsPerSecond bounds the requests to the platform in three domains: reads of the head, and
// renewals and acquisitions of leases.
const requestsPerSecond = 3*2*4 + 3*2 + 3*leaseCandidates

// runCluster starts n daemons in three domains at version head and runs f in virtual
// time.
func runCluster(t *testing.T, n int, head snapshot.Version, f func(is *is.I, c *cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, head)
		defer c.stop()
		for i := range n {
			c.start(i, fmt.Sprintf("domain-%d", i%3))
		}
		c.waitUntil("start", startLimit, c.daemons, func(d *daemon) bool {
			return d.store.Version() == head && d.Ready() && len(d.View().Records) == n
		})
		time.Sleep(2 * time.Second) // for the lease holders to become known in their domains
		f(is.New(t), c)
	})
}

func (c *cluster) setHead(v snapshot.Version) {
	c.platform.do(func() { c.platform.head = v })
}

func (c *cluster) head() (v snapshot.Version) {
	c.platform.do(func() { v = c.platform.head })
	return v
}

func (c *cluster) setDown(down bool) { c.platform.do(func() { c.platform.down = down }) }

// leaseHolders returns the running daemons that hold a lease.
func (c *cluster) leaseHolders() []*daemon {
	var list []*daemon
	for _, d := range c.daemons {
		if !d.isStopped() && d.Leading() {
			list = append(list, d)
		}
	}
	return list
}

// Guards against changes that do not reach every daemon in time, against more than two readers of
// the head in a domain, and against more requests to the platform than its budget allows.
func TestChangeReachesAll(t *testing.T) {
	runCluster(t, 30, 3, func(is *is.I, c *cluster) {
		is.Equal(len(c.leaseHolders()), 6)
		for v := snapshot.Version(4); v < 10; v++ {
			c.setHead(v)
			c.waitUntil("change", changeLimit, c.daemons, inForce(v))
		}
		reads := 0
		c.platform.do(func() { c.platform.reads = 0 })
		time.Sleep(10 * time.Second)
		c.platform.do(func() { reads = c.platform.reads })
		is.True(reads < 10*requestsPerSecond)
	})
}

// Guards against daemons that wait for a dead parent or a dead lease holder: both holders of a
// domain and a tenth of the others are killed at the moment of a change.
func TestChangeWithKilledDaemons(t *testing.T) {
	runCluster(t, 30, 3, func(_ *is.I, c *cluster) {
		for _, d := range c.leaseHolders() {
			if d.record.Domain == "domain-1" {
				d.kill()
			}
		}
		for _, d := range c.daemons[12:14] {
			d.kill()
		}
		c.setHead(4)
		c.waitUntil("change", changeLimit, c.daemons, inForce(4))
	})
}

// Guards against daemons that stay with a parent that is frozen or outdated. Half of a domain is
// frozen with its connections open. The rest must apply the changes in time, and the frozen half
// once it resumes.
func TestChangeWithFrozenDaemons(t *testing.T) {
	runCluster(t, 24, 3, func(_ *is.I, c *cluster) {
		var live, frozen []*daemon
		for i, d := range c.daemons {
			if i%6 == 1 {
				d.frozen.Store(true)
				frozen = append(frozen, d)
			} else {
				live = append(live, d)
			}
		}
		c.setHead(4)
		c.waitUntil("change", changeLimit, live, inForce(4))
		time.Sleep(10 * time.Second)
		c.setHead(5)
		c.waitUntil("next change", changeLimit, live, inForce(5))
		for _, d := range frozen {
			d.frozen.Store(false)
		}
		c.waitUntil("resumed", changeLimit, frozen, inForce(5))
	})
}

// Guards against a lease holder that is paused past the lifetime of its lease and then still acts
// as the holder, and against an outdated head that it read before the pause.
func TestPausedLeaseHolder(t *testing.T) {
	runCluster(t, 9, 3, func(is *is.I, c *cluster) {
		paused := c.leaseHolders()[0]
		paused.frozen.Store(true)
		time.Sleep(6 * time.Second)
		c.setHead(4)
		live := slices.DeleteFunc(slices.Clone(c.daemons), func(d *daemon) bool { return d == paused })
		c.waitUntil("change", changeLimit, live, inForce(4))
		paused.frozen.Store(false)
		c.waitUntil("resumed", changeLimit, c.daemons, inForce(4))
		time.Sleep(10 * time.Second)
		perDomain := map[string]int{}
		for _, d := range c.leaseHolders() {
			perDomain[d.record.Domain]++
		}
		is.Equal(perDomain, map[string]int{"domain-0": 2, "domain-1": 2, "domain-2": 2})
	})
}

// Guards against daemons that stop serving during an outage of the platform, or that apply a change
// late after it.
func TestPlatformOutage(t *testing.T) {
	runCluster(t, 12, 3, func(is *is.I, c *cluster) {
		c.setDown(true)
		time.Sleep(time.Minute)
		for _, d := range c.daemons {
			is.True(d.Ready())
			is.True(!d.Leading())
		}
		c.setHead(4)
		c.setDown(false)
		c.waitUntil("after the outage", changeLimit, c.daemons, inForce(4))
	})
}

// Guards against a version that stops spreading when the platform fails just after one domain has
// read it: the other domains must get it from peers.
func TestPlatformOutageWithPeersAhead(t *testing.T) {
	runCluster(t, 12, 3, func(_ *is.I, c *cluster) {
		c.platform.do(func() {
			for _, d := range c.inDomain("domain-2", false) {
				c.platform.cut[d.record.Instance] = true
			}
		})
		c.setHead(4)
		c.waitUntil("first domain", changeLimit, c.inDomain("domain-2", true), inForce(4))
		c.setDown(true)
		c.waitUntil("other domains", 2*changeLimit, c.daemons, inForce(4))
	})
}

// Guards against a restarted daemon that serves an older version than it may have served before the
// restart, and against one that never becomes ready, with and without the platform.
func TestRestartRespectsFloor(t *testing.T) {
	for _, down := range []bool{false, true} {
		runCluster(t, 9, 3, func(is *is.I, c *cluster) {
			c.setHead(4)
			c.waitUntil("change", changeLimit, c.daemons, inForce(4))
			c.daemons[4].kill()
			c.setDown(down)
			d := c.start(4, "domain-1")
			c.waitUntil("ready", changeLimit, []*daemon{d}, (*daemon).Ready)
			floor, known := d.Floor()
			is.True(known)
			is.Equal(floor, snapshot.Version(4))
			is.Equal(d.store.Version(), snapshot.Version(4))
		})
	}
}

// partitionAndKill partitions a domain from the platform and the other domains, accepts version,
// and kills one daemon of the domain once all daemons outside have the version.
func (c *cluster) partitionAndKill(domain string, version snapshot.Version) *daemon {
	inside := c.inDomain(domain, true)
	c.setCut(domain, true)
	c.platform.do(func() {
		for _, d := range inside {
			c.platform.cut[d.record.Instance] = true
		}
	})
	c.setHead(version)
	c.waitUntil("other domains", changeLimit, c.inDomain(domain, false), inForce(version))
	inside[2].kill()
	return inside[2]
}

// Guards against a daemon that fails to restart in a domain that is partitioned from the platform
// and the other domains: it must serve the highest version known inside, and apply the newer one
// when the partition ends.
func TestRestartInPartitionedDomain(t *testing.T) {
	runCluster(t, 12, 3, func(is *is.I, c *cluster) {
		c.partitionAndKill("domain-1", 4)
		d := c.start(7, "domain-1")
		c.waitUntil("ready inside", 2*changeLimit, []*daemon{d}, (*daemon).Ready)
		is.Equal(d.store.Version(), snapshot.Version(3))
		c.setCut("domain-1", false)
		c.platform.do(func() { clear(c.platform.cut) })
		c.waitUntil("after the partition", changeLimit, c.daemons, inForce(4))
	})
}

// Guards against a restarted daemon that serves on the answers of outdated members before the
// platform has answered, and stops serving when it does.
func TestRestartWaitsForPlatform(t *testing.T) {
	runCluster(t, 12, 3, func(is *is.I, c *cluster) {
		killed := c.partitionAndKill("domain-1", 4)
		c.platform.do(func() { delete(c.platform.cut, killed.record.Instance) })
		d := c.start(7, "domain-1")
		for deadline := time.Now().Add(changeLimit); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
			is.True(!d.Ready() || d.store.Version() == 4)
		}
		is.True(d.Ready())
		c.setCut("domain-1", false)
	})
}

// Guards against a daemon that serves although neither the platform nor a member has given it the
// floor.
func TestStartWithoutFloor(t *testing.T) {
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
		c.waitUntil("platform back", 2*changeLimit, c.daemons, (*daemon).Ready)
	})
}

// Guards against a failure of two things at once: half of the daemons restart while the platform is
// down. They must get the version from the others, and the next one after the outage.
func TestMassRestartDuringOutage(t *testing.T) {
	runCluster(t, 24, 3, func(_ *is.I, c *cluster) {
		c.setDown(true)
		for i := 1; i < 24; i += 2 {
			c.daemons[i].kill()
		}
		for i := 1; i < 24; i += 2 {
			c.start(i, fmt.Sprintf("domain-%d", i%3))
		}
		c.waitUntil("ready", 2*changeLimit, c.daemons, (*daemon).Ready)
		c.setHead(4)
		c.setDown(false)
		c.waitUntil("after the outage", changeLimit, c.daemons, inForce(4))
	})
}

// Guards against a daemon that cannot join if all seeds in its settings are dead.
func TestJoinThroughLeaseHolders(t *testing.T) {
	runCluster(t, 9, 3, func(_ *is.I, c *cluster) {
		for _, d := range c.daemons[:2] {
			d.kill()
		}
		d := c.start(9, "domain-0")
		c.waitUntil("joined", 2*changeLimit, []*daemon{d}, func(d *daemon) bool { return len(d.View().Records) >= 8 && d.Ready() })
	})
}

// Guards against a mass restart that overloads the platform: the restarted daemons must get the
// floor and the snapshot from lease holders and peers.
func TestMassRestartPlatformLoad(t *testing.T) {
	runCluster(t, 24, 3, func(is *is.I, c *cluster) {
		reads := 0
		c.platform.do(func() { c.platform.reads = 0 })
		for i := range c.daemons {
			if d := c.daemons[i]; !d.Leading() && i%2 == 1 {
				d.kill()
				c.start(i, d.record.Domain)
			}
		}
		c.waitUntil("ready", changeLimit, c.daemons, (*daemon).Ready)
		for _, d := range c.daemons {
			is.True(d.floor.Exact())
		}
		time.Sleep(10 * time.Second)
		c.platform.do(func() { reads = c.platform.reads })
		is.True(reads < 15*requestsPerSecond)
	})
}

// step is one event of a generated history and the time that passes after it.
type step struct {
	action, instance int
	wait             time.Duration
}

// do runs a step. The incarnation of a restarted daemon is taken from the clock.
func (c *cluster) do(s step) {
	d := c.daemons[s.instance]
	switch s.action {
	case 0:
		c.setHead(c.head() + 1)
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

// Guards against histories of overlapping failures after which a daemon does not reach the head or
// is not ready, or in which a version decreases (checked in onApply).
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
		runCluster(t, 9, 3, func(_ *is.I, c *cluster) {
			for _, s := range steps {
				c.do(s)
			}
			c.heal()
			missing = c.waitWithin(3*changeLimit, c.daemons, func(d *daemon) bool {
				return d.Ready() && d.store.Version() == c.head()
			})
		})
		if missing != "" {
			rt.Fatalf("after %v:%s", steps, missing)
		}
	})
}

// Guards against an invalid version that is put in force, is applied in part or blocks the next
// one, and against a version that stays refused after its damaged object was repaired.
func TestInvalidVersionIsRefused(t *testing.T) {
	runCluster(t, 9, 3, func(is *is.I, c *cluster) {
		c.codec.refuse[4] = true
		c.setHead(4)
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
		c.setHead(5)
		c.waitUntil("next version", changeLimit, c.daemons, inForce(5))
		c.platform.do(func() { c.platform.broken[hashOf("pages", 6)] = true })
		c.setHead(6)
		time.Sleep(5 * time.Second)
		c.waitUntil("still the earlier version", 0, c.daemons, inForce(5))
		c.platform.do(func() { clear(c.platform.broken) })
		c.waitUntil("repaired", changeLimit, c.daemons, inForce(6))
	})
}
