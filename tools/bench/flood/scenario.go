package main

import "time"

const (
	// warmUp is the time before anything is measured.
	warmUp = 2 * time.Second
	// measured is the length of the measured window.
	measured = 20 * time.Second
	// detection is the time after which membership has marked a lost domain unreachable.
	detection = 3 * time.Second
	// floodTimes is the flood in multiples of the capacity (section 9 of the design).
	floodTimes = 3.0
	// coldFactor is the slowdown of a server that has just started; it falls to 1 over coldTime.
	coldFactor = 8.0
	coldTime   = 8 * time.Second
	// tightShare is a share of the capacity at which the declared rates just about fit.
	tightShare = 0.85
	// slowFactor is the lasting slowdown of a slow server.
	slowFactor = 4.0
)

// scenario is one thing that goes wrong. Failures of a server or a domain come together with a
// flood of the least urgent kind, because section 3 asks for any two at a time.
type scenario struct {
	name      string
	calm      bool // no flood
	floodMost bool // flood of the most urgent kind, otherwise of the least urgent one
	// declared changes the declared rates to this share of the capacity, unless it is zero.
	declared float64
	// unbounded marks a scenario for which section 9 sets no bound; its rows are information.
	unbounded bool
	begin     func(w *world)
}

var scenarios = []scenario{
	{name: "calm", calm: true},
	{name: "flood-least"},
	{name: "flood-most", floodMost: true},
	{name: "flood-most-tight", floodMost: true, declared: tightShare},
	{name: "cold-server", begin: coldServer},
	{name: "cold-server-flood-most", floodMost: true, begin: coldServer},
	{name: "slow-server", begin: slowServer},
	{name: "slow-server-flood-most", floodMost: true, begin: slowServer},
	{name: "lying-server", begin: lyingServer},
	{name: "lying-server-flood-most", floodMost: true, begin: lyingServer},
	{name: "failing-server", begin: failingServer},
	{name: "failing-server-flood-most", floodMost: true, begin: failingServer},
	{name: "domain-lost", begin: func(w *world) { loseDomain(w); w.tally.from += detection }},
	{name: "domain-lost-undetected", unbounded: true, begin: func(w *world) {
		loseDomain(w)
		w.tally.to = w.tally.from + detection
	}},
}

func slowServer(w *world) {
	w.servers[0].slowdown = func(time.Duration) float64 { return slowFactor }
}

func lyingServer(w *world)   { w.servers[0].reports0 = true }
func failingServer(w *world) { w.servers[0].failsFast = true }

// coldServer restarts the first server: it is slow at first and has become ready just now.
func coldServer(w *world) {
	s, start := w.servers[0], w.at
	s.record.ReadySinceMS = w.now().UnixMilli()
	s.slowdown = func(at time.Duration) float64 {
		warm := min(float64(at-start)/float64(coldTime), 1)
		return coldFactor + (1-coldFactor)*warm
	}
	w.publish(nil)
}

// loseDomain cuts off the domain with the most servers. Senders learn of it after the detection
// time; until then their attempts hang.
func loseDomain(w *world) {
	w.lost = w.servers[0].record.Domain
	w.after(detection, func() { w.publish(map[string]bool{w.lost: true}) })
}

// rate returns the rate at which requests of the kind with index i are sent.
func (sc scenario) rate(u *user, i int) float64 {
	k := &u.kinds[i]
	flooding := i == len(u.kinds)-1
	if sc.floodMost {
		flooding = i == 0
	}
	if flooding && !sc.calm {
		return u.floodRate(k, floodTimes)
	}
	return k.Rate
}

// runScenario runs sc for u and returns what was measured.
func runScenario(u *user, sc scenario, policy string, seed uint64) *tally {
	if sc.declared > 0 {
		u = u.scaled(sc.declared / u.declaredShare())
	}
	w := newWorld(u, policy, seed)
	w.tally.from, w.tally.to = warmUp, warmUp+measured
	for i := range u.kinds {
		w.call(&u.kinds[i], sc.rate(u, i))
	}
	w.after(warmUp, func() {
		if sc.begin != nil {
			sc.begin(w)
		}
	})
	w.run(warmUp + measured + u.longestDeadline())
	return w.tally
}
