package sync

import (
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"kingcupwood.example/kingcupwood/pkg/membership"
	"kingcupwood.example/kingcupwood/pkg/snapshot"
)

// medianLimit is the time within which an accepted version must be in force on half of the daemons.
const medianLimit = time.Second

// runDomain starts n daemons of one failure domain with all records known and runs f in virtual
// time.
func runDomain(t *testing.T, n int, f func(c *cluster, rng *rand.Rand)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		defer c.stop()
		for i := range n {
			c.known = append(c.known, membership.Entry{Record: recordOf(i, "domain-0")})
		}
		for i := range n {
			time.Sleep(time.Millisecond) // the timers of real daemons are not synchronized
			c.start(i, "domain-0")
		}
		time.Sleep(4 * time.Second) // for leases to be acquired and known, and polls to be open
		f(c, rand.New(rand.NewPCG(1, 1)))
	})
}

// acceptThrough accepts version v through d.
func (c *cluster) acceptThrough(d *daemon, v snapshot.Version) {
	c.setHead(v)
	m := manifestOf(v)
	objects := map[snapshot.Hash][]byte{}
	for _, e := range m.Entries {
		objects[e.Hash] = e.Hash[:]
	}
	if err := d.ApplyAccepted(m, hashOf("manifest", uint64(v)), objects); err != nil {
		c.t.Error(err)
	}
}

// applyDelays returns the sorted times from begin until the daemons of list had v in force. A
// daemon without it counts as changeLimit.
func (c *cluster) applyDelays(v snapshot.Version, begin time.Time, list []*daemon) []time.Duration {
	missing := func(d *daemon) bool { return d.store.Version() < v }
	for time.Since(begin) < changeLimit && slices.ContainsFunc(list, missing) {
		time.Sleep(pollInterval)
	}
	var delays []time.Duration
	for _, d := range list {
		d.mu.Lock()
		delay := d.appliedAt.Sub(begin)
		d.mu.Unlock()
		if d.store.Version() < v {
			delay = changeLimit
		}
		delays = append(delays, delay)
	}
	slices.Sort(delays)
	return delays
}

// Guards against an accepted version that misses the time limits on the daemons of the largest
// failure domain while 1 in 10 has just died undetected, or while no lease holder is left.
func TestChangeInLargeDomain(t *testing.T) {
	for name, fails := range map[string]func(i int, d *daemon) bool{
		"one in ten dead":        func(i int, d *daemon) bool { return i%10 == 3 },
		"all lease holders dead": func(_ int, d *daemon) bool { return d.Leading() },
	} {
		t.Run(name, func(t *testing.T) {
			runDomain(t, domainDaemons, func(c *cluster, rng *rand.Rand) {
				var running []*daemon
				for i, d := range c.daemons {
					if fails(i, d) {
						d.frozen.Store(true) // a dead machine closes no connection
					} else {
						running = append(running, d)
					}
				}
				begin := time.Now()
				c.acceptThrough(running[rng.IntN(len(running))], 4)
				list := c.applyDelays(4, begin, running)
				median, worst := list[len(list)/2], list[len(list)-1]
				t.Logf("%d daemons: median %v, worst %v", len(list), median, worst)
				if median > medianLimit || worst >= changeLimit {
					t.Errorf("bounds are %v and %v", medianLimit, changeLimit)
				}
			})
		})
	}
}
