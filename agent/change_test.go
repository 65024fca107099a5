package agent

import (
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"

	"kingcupwood.example/kingcupwood/agent/operator"
	"kingcupwood.example/kingcupwood/pkg/snapshot"
)

// Guards against accepting the changes of two operators on the same version, and against a conflict
// that does not report the change that came first.
func TestConcurrentOperators(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	names := []string{"a1", "c2"}
	services := []string{"pages", "finder"}
	errs := make([]error, len(names))
	var racing sync.WaitGroup
	for i, name := range names {
		racing.Go(func() { _, errs[i] = c.tryAccept(name, services[i], 13, 2) })
	}
	racing.Wait()
	c.recordHead(3)
	loser := slices.IndexFunc(errs, func(err error) bool { return err != nil })
	if loser < 0 || errs[1-loser] != nil {
		t.Fatalf("not exactly one operator succeeded: %v", errs)
	}
	var refusal *operator.APIError
	if !errors.As(errs[loser], &refusal) || refusal.Code != operator.CodeConflict || refusal.Current != 3 ||
		len(refusal.Changes) != 1 || refusal.Changes[0].Service != services[1-loser] {
		t.Fatalf("the other operator received the error %v", errs[loser])
	}
	c.accept(names[loser], services[loser], 13, 3)
	c.inForce(4, c.in(domains...))
}

// Guards against applying a long poll response that arrives after a higher version was received
// from another daemon, and against faults due to lost, duplicated or reordered probe packets.
func TestUpdatesOutOfOrder(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	c.network.setFaults(packetFaults{lost: 0.1, duplicated: 0.5, delay: 150 * time.Millisecond})
	child := c.follower("b")
	parent := child.daemon.follower.Status().Parents[0]
	late := link{string(parent), child.name}
	c.network.cut(late)
	for v := snapshot.Version(2); v < 5; v++ {
		c.accept("a2", "pages", 11+int(v), v)
		c.inForce(v+1, c.in(domains...))
	}
	c.network.heal(late)
	for v := snapshot.Version(5); v < 9; v++ {
		c.accept("c3", "finder", 11+int(v), v)
	}
	c.inForce(9, c.in(domains...))
}

// follower waits until both leases of a domain are held and returns the daemon that holds none.
func (c *cluster) follower(domain string) *node {
	c.t.Helper()
	var found *node
	c.eventually(restartWithin, "domain "+domain+" has two lease holders", func() bool {
		rest := slices.DeleteFunc(c.in(domain), func(n *node) bool { return n.daemon.follower.Leading() })
		if len(rest) != 1 || len(rest[0].daemon.follower.Status().Parents) == 0 {
			return false
		}
		found = rest[0]
		return true
	})
	return found
}
