package snapshot

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Limits of the request path that call chains must satisfy.
const (
	// MaxChain is the maximum number of services in a call chain. It is the chain length for which
	// the system is designed.
	MaxChain = 13

	// Each hop reserves 2% of the remaining time, at least 2 ms, to send its own error response.
	hopReservePercent = 2
	hopReserveMin     = 2 * time.Millisecond
	// hopsPerCall is the number of daemons between a caller and a backend server.
	hopsPerCall = 2
)

// backendTime returns the time that remains of a deadline when the request reaches the backend
// server, or zero if the reserves of the hops exceed the deadline.
func backendTime(deadline time.Duration) time.Duration {
	for range hopsPerCall {
		deadline -= max(deadline*hopReservePercent/100, hopReserveMin)
	}
	return max(deadline, 0)
}

func (c *checker) checkReferences() {
	c.kind = nil
	s := c.service
	for i, name := range s.DependsOn {
		switch {
		case i == MaxReferences:
			c.fail(KeyDependsOn, fmt.Sprintf("at most %d services", MaxReferences), "%d services are listed", len(s.DependsOn))
		case i > MaxReferences:
		case name == s.Name:
			c.fail(KeyDependsOn, "other services", "the service depends on itself")
		case slices.Contains(s.DependsOn[:i], name):
			c.fail(KeyDependsOn, "each service once", "%q is listed twice", name)
		case c.services[name] == nil:
			c.add(Problem{Key: KeyDependsOn, Reason: fmt.Sprintf("there is no service %q", name),
				Expected: "names of services", Unknown: name})
		}
	}
	for i := range s.Kinds {
		c.kind = &s.Kinds[i]
		c.checkCalls()
	}
	c.kind = nil
}

func (c *checker) checkCalls() {
	for i, call := range c.kind.Calls {
		if i == MaxReferences {
			c.fail(KeyCalls, fmt.Sprintf("at most %d kinds", MaxReferences), "%d kinds are listed", len(c.kind.Calls))
			break
		}
		if slices.Contains(c.kind.Calls[:i], call) {
			c.fail(KeyCalls, "each kind once", "%q is listed twice", call)
			continue
		}
		c.checkCall(call)
	}
	c.checkServiceTime()
}

func (c *checker) checkCall(call string) {
	service, name, ok := strings.Cut(call, "/")
	if !ok || !ValidName(service) || !ValidName(name) {
		c.fail(KeyCalls, "service/kind, such as finder/search", "%q is not a kind of a service", call)
		return
	}
	if service == c.service.Name {
		c.fail(KeyCalls, "kinds of other services", "%q is a kind of the service itself", call)
		return
	}
	if !slices.Contains(c.service.DependsOn, service) {
		c.fail(KeyCalls, "a service listed in depends-on", "%q calls service %q, which depends-on does not list", call, service)
	}
	callee := c.lookup(call)
	if callee == nil {
		c.add(Problem{Key: KeyCalls, Reason: fmt.Sprintf("there is no kind %q", call),
			Expected: "existing kinds of other services", Unknown: call})
		return
	}
	c.checkDeadlines(call, callee)
}

func (c *checker) lookup(call string) *Kind {
	service, name, _ := strings.Cut(call, "/")
	if s := c.services[service]; s != nil {
		return s.Kind(name)
	}
	return nil
}

// checkDeadlines rejects a callee whose deadline exceeds the time that remains to its caller: its
// response could arrive after the caller has timed out.
func (c *checker) checkDeadlines(call string, callee *Kind) {
	if c.kind.Deadline <= 0 || callee.Deadline <= 0 {
		return
	}
	if remaining := backendTime(c.kind.Deadline); callee.Deadline > remaining {
		c.fail(KeyCalls, fmt.Sprintf("a deadline of %q of at most %s, or a longer deadline here", call, remaining),
			"%q has %s, but a deadline of %s leaves only %s for it", call, callee.Deadline, c.kind.Deadline, remaining)
	}
}

func (c *checker) checkServiceTime() {
	k := c.kind
	if k.Deadline <= 0 || k.ServiceTime <= 0 {
		return
	}
	if remaining := backendTime(k.Deadline); k.ServiceTime > remaining {
		c.fail(KeyDeadline, "a longer deadline or a shorter service-time",
			"a deadline of %s leaves %s for a service-time of %s", k.Deadline, remaining, k.ServiceTime)
	}
}

// States of a service in the depth-first search.
const (
	unvisited = iota
	onPath
	finished
)

// checkCycles reports each dependency cycle that the depth-first search closes, at the service
// whose dependency closes it.
func (c *checker) checkCycles() {
	marks := make(map[string]int, len(c.services))
	var path []string
	var visit func(name string)
	visit = func(name string) {
		marks[name] = onPath
		path = append(path, name)
		for _, next := range c.services[name].DependsOn {
			switch {
			case c.services[next] == nil || next == name:
			case marks[next] == unvisited:
				visit(next)
			case marks[next] == onPath:
				c.service, c.kind = c.services[name], nil
				cycle := append(slices.Clone(path[slices.Index(path, next):]), next)
				c.fail(KeyDependsOn, "dependencies without a cycle", "dependency cycle %s", strings.Join(cycle, " -> "))
			}
		}
		path = path[:len(path)-1]
		marks[name] = finished
	}
	for _, name := range c.names {
		if marks[name] == unvisited {
			visit(name)
		}
	}
}

// checkChains reports the kinds whose call chain exceeds MaxChain. A call cycle ends the search
// here; checkCycles reports it, because calls require the matching dependencies.
func (c *checker) checkChains() {
	lengths := map[*Kind]int{}
	for _, name := range c.names {
		c.service = c.services[name]
		for i := range c.service.Kinds {
			c.kind = &c.service.Kinds[i]
			if n := c.chainLength(c.kind, lengths); n > MaxChain {
				c.fail(KeyCalls, fmt.Sprintf("a chain of at most %d calls", MaxChain), "the chain of calls has a length of %d", n)
			}
		}
	}
	c.kind = nil
}

// chainLength returns the number of kinds in the longest call chain that starts at k. It caches its
// results in lengths.
func (c *checker) chainLength(k *Kind, lengths map[*Kind]int) int {
	if len(k.Calls) == 0 {
		return 1
	}
	if known, ok := lengths[k]; ok {
		return known
	}
	lengths[k] = 1
	longest := 0
	for _, next := range k.Calls {
		if callee := c.lookup(next); callee != nil {
			longest = max(longest, c.chainLength(callee, lengths))
		}
	}
	lengths[k] = longest + 1
	return longest + 1
}
