package admission

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a flood of direct requests that uses up the share reserved for calls by other
// services, so that the requests of those services fail.
func TestFloodLeavesServiceCallShare(t *testing.T) {
	is := is.New(t)
	clk := newClock()
	cfg := Config{Slots: 4, Kinds: []Kind{{Name: "search", Rank: 2, Rate: 100, ServiceTime: 25 * time.Millisecond}}}
	c := New(cfg.WithServiceCallRates(map[string]float64{"search": 10}), clk.now)
	var flood, called offers
	const serviceTime, deadline, callEvery = 25 * time.Millisecond, 600 * time.Millisecond, 4
	var running []*Ticket
	for n := range 400 {
		for _, t := range running {
			t.Done(Outcome{ServiceTime: serviceTime})
		}
		running = append(flood.tickets, called.tickets...)
		flood.tickets, called.tickets = nil, nil
		for range 12 { // 3 times the capacity
			c.Offer("search", clk.now().Add(deadline), flood.notify)
		}
		if n%callEvery == 0 { // the reserved rate
			c.Offer(ServiceCallKind("search"), clk.now().Add(deadline), called.notify)
		}
		clk.advance(serviceTime)
	}
	is.True(len(flood.refusals) > 0)
	is.Equal(len(called.refusals), 0)
}

// Guards against reserved rates that are added to the total, and against service calls of a kind
// without a reserved rate that are treated as an unknown kind.
func TestWithServiceCallRatesKeepsTotal(t *testing.T) {
	is := is.New(t)
	cfg := twoKinds(4).WithServiceCallRates(map[string]float64{"order": 130})
	is.Equal(len(cfg.Kinds), 3)
	is.Equal(cfg.Kinds[0].Rate, 0.0)
	is.Equal(cfg.Kinds[1].Name, ServiceCallKind("order"))
	is.Equal(cfg.Kinds[1].Rate, 100.0)
	is.Equal(twoKinds(4).Kinds[0].Rate, 100.0)
	c := New(cfg, newClock().now)
	is.Equal(c.kind(ServiceCallKind("list")), c.kinds["list"])
	is.Equal(c.kind("none"), c.unknown)
}
