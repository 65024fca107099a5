package agent

import (
	"slices"
	"testing"

	"github.com/pkg/errors"
)

// Guards against routing requests across a partition, out of the failure domain that is cut off or
// into it, and against a domain that keeps an old version after the partition ends.
func TestDomainCutOff(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	c.network.cut(both("a", "b", "c", platformNode)...)
	c.eventually(restartWithin, "both sides detect the cut", func() bool {
		return c.unreachable("a", "b", "c") && c.unreachable("b", "a") && c.unreachable("c", "a")
	})
	c.accept("b1", "pages", 13, 2)
	c.inForce(3, c.in("b", "c"))
	c.eventually(inForceWithin, "selection follows the reachability", func() bool { return c.checkServedOnSide() == nil })
	for range 5 {
		if err := c.checkServedOnSide(); err != nil {
			t.Error(err)
		}
	}
	c.network.heal()
	c.inForce(3, c.in("a"))
	c.eventually(inForceWithin, "all domains are reachable again", func() bool {
		return c.unreachable("a") && c.unreachable("b") && c.unreachable("c")
	})
}

// unreachable reports whether all daemons of a domain regard exactly the given other domains as
// unreachable.
func (c *cluster) unreachable(domain string, others ...string) bool {
	for _, n := range c.in(domain) {
		if !slices.Equal(n.daemon.follower.Status().Unreachable, others) {
			return false
		}
	}
	return true
}

// checkServedOnSide sends requests to all daemons and returns an error unless each request is
// served on its own side of the partition around domain a.
func (c *cluster) checkServedOnSide() error {
	for _, n := range c.in(domains...) {
		pages, finder := []string{"b", "c"}, []string{"b"}
		if n.domain == "a" {
			pages, finder = []string{"a"}, []string{"a"}
		}
		for service, allowed := range map[string][]string{"pages": pages, "finder": finder} {
			by, err := c.get(n.name, service)
			if err != nil {
				return errors.Wrapf(err, "%s at %s", service, n.name)
			}
			if !slices.Contains(allowed, c.nodes[by].domain) {
				return errors.Errorf("%s at %s was served by %s", service, n.name, by)
			}
		}
	}
	return nil
}

// Guards against a change that does not reach a failure domain that is cut off only from the
// platform.
func TestDomainCutFromPlatform(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	c.network.cut(both("a", platformNode)...)
	c.accept("b1", "pages", 13, 2)
	c.inForce(3, c.in(domains...))
	// Cut one direction only: requests reach the platform, its responses are lost.
	c.network.heal()
	c.network.cut(link{platformNode, "c"})
	c.accept("a3", "finder", 13, 3)
	c.inForce(4, c.in(domains...))
}

// Guards against daemons that cannot serve after a restart while the platform is unreachable, or
// that serve an older version than before.
func TestRestartWithoutPlatform(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	c.accept("b1", "pages", 13, 2)
	c.inForce(3, c.in(domains...))
	c.network.cut(both(platformNode, domains...)...)
	for _, name := range []string{"a1", "b3", "c2"} {
		c.nodes[name].stop()
		c.start(name)
	}
	for _, name := range []string{"a1", "b3", "c2"} {
		c.eventually(restartWithin, name+" serves again", func() bool {
			s := c.nodes[name].daemon.snapshot()
			return s != nil && s.Version == 3
		})
	}
	c.network.heal()
	c.accept("c1", "pages", 14, 3)
	c.inForce(4, c.in(domains...))
}

// Guards against a daemon that acts as lease holder after its lease has expired, and against a
// failure domain that receives no changes after losing a lease holder.
func TestLeaseHolderCutOff(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	holder := c.leader("a")
	c.network.cut(both(holder.name, append(slices.Clone(domains), platformNode)...)...)
	c.eventually(inForceWithin, "the holder gives up its lease", func() bool { return !holder.daemon.follower.Leading() })
	c.eventually(restartWithin, "others hold both leases", func() bool {
		return len(c.leaders("a")) == 2 && !slices.Contains(c.leaders("a"), holder)
	})
	rest := slices.DeleteFunc(c.in(domains...), func(n *node) bool { return n == holder })
	c.accept("b1", "pages", 13, 2)
	c.inForce(3, rest)
	c.network.heal()
	c.inForce(3, c.in(domains...))
	c.accept(holder.name, "finder", 13, 3)
	c.inForce(4, c.in(domains...))
}

func (c *cluster) leaders(domain string) []*node {
	return slices.DeleteFunc(c.in(domain), func(n *node) bool { return !n.daemon.follower.Leading() })
}

// leader waits until a domain has a lease holder and returns one.
func (c *cluster) leader(domain string) *node {
	c.t.Helper()
	c.eventually(restartWithin, "domain "+domain+" has a lease holder", func() bool { return len(c.leaders(domain)) > 0 })
	return c.leaders(domain)[0]
}
