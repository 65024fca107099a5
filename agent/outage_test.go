package agent

import (
	"testing"

	"kingcupwood.example/kingcupwood/agent/operator"
	"kingcupwood.example/kingcupwood/agent/store"
)

// cutAllBut cuts all daemons except n off from the platform, so that no lease holder can read the
// head.
func (c *cluster) cutAllBut(n *node) {
	for _, other := range c.in(domains...) {
		if other != n {
			c.network.cut(both(platformNode, other.name)...)
		}
	}
}

// Guards against an accepted version that is not distributed until a platform outage ends, although
// the daemon that accepted it has its content.
func TestAcceptBeforeOutage(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	n := c.follower("a")
	c.cutAllBut(n)
	c.accept(n.name, "pages", 13, 2)
	c.network.cut(both(platformNode, n.name)...)
	c.inForce(3, c.in(domains...))
	c.network.heal()
	c.accept("b1", "finder", 13, 3)
	c.inForce(4, c.in(domains...))
}

// Guards against the same failure for a withdraw, the most urgent change.
func TestWithdrawBeforeOutage(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	c.accept("b1", "pages", 13, 2)
	c.inForce(3, c.in(domains...))
	n := c.follower("c")
	c.cutAllBut(n)
	outcome, err := c.client(n.name).Withdraw(t.Context(), "pages", operator.WithdrawRequest{To: 1, Seen: 3, Token: c.token()})
	if err != nil || outcome.State != store.StateAccepted {
		t.Fatalf("withdraw: %s %v", outcome.State, err)
	}
	c.recordHead(4)
	c.network.cut(both(platformNode, n.name)...)
	c.inForce(4, c.in(domains...))
}

// Guards against failures in a combined outage: a failure domain is cut off from the others, the
// platform fails after a change, a daemon restarts, and the domain reconnects while the platform is
// still unavailable.
func TestOutageInPartition(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	cut := both("c", "a", "b")
	c.network.cut(cut...)
	n := c.follower("a")
	c.cutAllBut(n)
	c.accept(n.name, "pages", 13, 2)
	c.network.cut(both(platformNode, n.name)...)
	c.inForce(3, c.in("a", "b"))
	c.nodes["b2"].stop()
	c.start("b2")
	c.eventually(restartWithin, "the restarted daemon serves", func() bool { return c.nodes["b2"].daemon.snapshot() != nil })
	c.network.heal(cut...)
	c.inForce(3, c.in(domains...))
}
