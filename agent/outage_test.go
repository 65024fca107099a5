package agent

import (
	"testing"

	"kingcupwood.example/kingcupwood/agent/operator"
	"kingcupwood.example/kingcupwood/agent/store"
)

// onlyReaches cuts all daemons but n from the platform, so that no lease holder reads the head.
func (c *cluster) onlyReaches(n *node) {
	for _, other := range c.in(domains...) {
		if other != n {
			c.network.cut(both(platformNode, other.name)...)
		}
	}
}

// Guards against an accepted version that stays out of force until a platform outage ends, although
// the daemon that accepted it knows its content.
func TestAcceptBeforeOutage(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	n := c.follower("a")
	c.onlyReaches(n)
	c.accept(n.name, "pages", 13, 2)
	c.network.cut(both(platformNode, n.name)...)
	c.inForce(3, c.in(domains...))
	c.network.heal()
	c.accept("b1", "finder", 13, 3)
	c.inForce(4, c.in(domains...))
}

// Guards against the same fault with a withdraw, the change that is most urgent.
func TestWithdrawBeforeOutage(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	c.accept("b1", "pages", 13, 2)
	c.inForce(3, c.in(domains...))
	n := c.follower("c")
	c.onlyReaches(n)
	outcome, err := c.client(n.name).Withdraw(t.Context(), "pages", operator.WithdrawRequest{To: 1, Seen: 3, Token: c.token()})
	if err != nil || outcome.State != store.StateAccepted {
		t.Fatalf("withdraw: %s %v", outcome.State, err)
	}
	c.noteHead(4)
	c.network.cut(both(platformNode, n.name)...)
	c.inForce(4, c.in(domains...))
}

// Guards against two failures together: a failure domain is cut off from everything, the platform fails
// after a change, a daemon restarts, and the domain returns while the platform is still out.
func TestOutageInPartition(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	cut := both("c", "a", "b")
	c.network.cut(cut...)
	n := c.follower("a")
	c.onlyReaches(n)
	c.accept(n.name, "pages", 13, 2)
	c.network.cut(both(platformNode, n.name)...)
	c.inForce(3, c.in("a", "b"))
	c.nodes["b2"].stop()
	c.start("b2")
	c.eventually(restartWithin, "the restarted daemon serves", func() bool { return c.nodes["b2"].daemon.snapshot() != nil })
	c.network.heal(cut...)
	c.inForce(3, c.in(domains...))
}
