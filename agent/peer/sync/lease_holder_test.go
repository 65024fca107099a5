package sync

import (
	"context"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"kingcupwood.example/kingcupwood/pkg/distribution"
	"kingcupwood.example/kingcupwood/pkg/endpoint"
	"kingcupwood.example/kingcupwood/pkg/snapshot"
)

// Guards against two lease holders of a domain that both fetch a version from the platform, and
// against a half of the domain that gets it late, by pulls or when its own root reads the head.
func TestOneHolderFetches(t *testing.T) {
	runCluster(t, 12, 3, func(is *is.I, c *cluster) {
		const changes = 6
		c.platform.do(func() { c.platform.contents = 0 })
		for v := snapshot.Version(4); v < 4+changes; v++ {
			c.setHead(v)
			inside := c.inDomain("domain-1", true)
			for !slices.ContainsFunc(inside, inForce(v)) {
				time.Sleep(pollInterval)
			}
			c.waitUntil("rest of the domain", distribution.PullAfter/2, inside, inForce(v))
			c.waitUntil("change", changeLimit, c.daemons, inForce(v))
			time.Sleep(time.Second)
		}
		c.platform.do(func() { is.Equal(c.platform.contents, 3*2*changes) })
	})
}

// Guards against a domain that waits for a failed lease holder: one holder of each domain is
// killed, or frozen with its connections open, at the moment of the change.
func TestOneHolderFails(t *testing.T) {
	for name, fail := range map[string]func(*daemon){
		"killed": (*daemon).kill,
		"frozen": func(d *daemon) { d.frozen.Store(true) },
	} {
		t.Run(name, func(t *testing.T) {
			runCluster(t, 24, 3, func(_ *is.I, c *cluster) {
				failed, rest := map[string]bool{}, []*daemon{}
				for _, d := range c.leaseHolders() {
					if domain := d.record.Domain; !failed[domain] {
						failed[domain] = true
						fail(d)
					}
				}
				for _, d := range c.daemons {
					if !d.frozen.Load() {
						rest = append(rest, d)
					}
				}
				c.setHead(4)
				c.waitUntil("change", changeLimit, rest, inForce(4))
				for _, d := range c.daemons {
					d.frozen.Store(false)
				}
			})
		})
	}
}

// Guards against a version that does not spread from the only lease holder that read it before the
// platform failed: the other holder reads the head a second later, and the other domains cannot
// read it at all.
func TestHolderWithoutPlatform(t *testing.T) {
	runCluster(t, 12, 3, func(_ *is.I, c *cluster) {
		reader := c.leaseHolders()[0]
		c.platform.do(func() {
			for _, d := range c.daemons {
				c.platform.cut[d.record.Instance] = true
			}
			delete(c.platform.cut, reader.record.Instance)
		})
		c.setHead(4)
		c.waitUntil("reader", changeLimit, []*daemon{reader}, inForce(4))
		c.setDown(true)
		c.waitUntil("domain of the reader", time.Second, c.inDomain(reader.record.Domain, true), inForce(4))
		c.waitUntil("change", 2*changeLimit, c.daemons, inForce(4))
	})
}

// Guards against a complete delta, a few hundred kilobytes at the design size, for a daemon that
// applied a version from another origin while its long poll was open.
func TestOtherBaseDuringPoll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, 9)
		defer c.stop()
		peer := c.start(0, "domain-0")
		c.waitUntil("start", startLimit, c.daemons, inForce(9))
		c.setDown(true)
		fresh := NewStore(c.codec)
		_, err := fresh.Apply(mustComplete(c.codec, 9))
		is.NoErr(err)
		f := NewFollower(Config{Self: peer.record, Members: peer, Store: fresh, Dial: peer.connect, Log: peer.cfg.Log})
		s, err := openSession(t.Context(), f.dial, peer.record.RPCAddr)
		is.NoErr(err)
		defer s.close()
		polled := make(chan error, 1)
		go func() { polled <- f.poll(context.Background(), s, time.Minute) }()
		synctest.Wait()
		c.codec.complete.Store(0)
		for _, store := range []*Store{fresh, peer.store, peer.store} {
			d, err := c.codec.Delta(store.Load(), snapshotOf(store.Version()+1))
			is.NoErr(err)
			_, err = store.Apply(d)
			is.NoErr(err)
		}
		is.NoErr(<-polled)
		is.Equal(c.codec.complete.Load(), int32(0))
	})
}

// Guards against two lease holders that both read the head every second, which costs each 0.5 kB/s
// more, and against a sole holder that reads it only every other second.
func TestHoldersAlternateHeadReads(t *testing.T) {
	for _, daemons := range []int{9, 3} {
		runCluster(t, daemons, 3, func(is *is.I, c *cluster) {
			const seconds = 20
			c.platform.do(func() { c.platform.heads = 0 })
			time.Sleep(seconds * time.Second)
			c.platform.do(func() {
				is.True(c.platform.heads >= 3*(seconds-1))
				is.True(c.platform.heads <= 3*(seconds+1))
			})
		})
	}
}

// Guards against silence of the lease holders that is taken for "no change": both are silently cut
// off from the platform at the moment of a change, at different times after they renewed their
// leases.
func TestBothHoldersCutOff(t *testing.T) {
	for _, delay := range []time.Duration{0, renewInterval / 3, 2 * renewInterval / 3} {
		t.Run(delay.String(), func(t *testing.T) {
			runDomain(t, 12, func(c *cluster, _ *rand.Rand) {
				time.Sleep(delay)
				var reaching []*daemon
				silent := map[endpoint.InstanceID]bool{}
				for _, d := range c.daemons {
					if d.Leading() {
						silent[d.record.Instance] = true
					} else {
						reaching = append(reaching, d)
					}
				}
				c.platform.do(func() { c.platform.silent = silent })
				c.setHead(4)
				c.waitUntil("change", changeLimit, reaching, inForce(4))
			})
		})
	}
}
