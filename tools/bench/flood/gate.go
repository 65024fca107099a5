package main

import (
	"slices"
	"time"

	"kingcupwood.example/kingcupwood/pkg/admission"
)

// Names of the policies that a run compares.
const (
	policyRanked = "kingcupwood" // pkg/admission
	policyFIFO   = "fifo"        // order of arrival
	policyStrict = "strict"      // rank only, without declared rates
)

var policies = []string{policyRanked, policyFIFO, policyStrict}

// gate is the admission control of one server. offer calls start once the request has a slot, or
// refuse once it is certain that it never will.
type gate interface {
	offer(k *kind, deadline time.Time, start func(finish func(admission.Outcome)), refuse func())
	load() float64
	// ready is called when the number of ready servers of the service changes.
	ready(servers int)
}

func newGate(policy string, u *user, s *sim) gate {
	switch policy {
	case policyFIFO:
		return &baseline{slots: u.slots, now: s.now, before: func(a, b *waiting) bool { return false }}
	case policyStrict:
		return &baseline{slots: u.slots, now: s.now, before: func(a, b *waiting) bool { return a.rank < b.rank }}
	}
	return &ranked{user: u, ctl: admission.New(u.admission(u.serverCount()), s.now)}
}

// ranked is the admission control of the daemon.
type ranked struct {
	user *user
	ctl  *admission.Controller
}

func (g *ranked) offer(k *kind, deadline time.Time, start func(func(admission.Outcome)), refuse func()) {
	g.ctl.Offer(k.Name, deadline, func(t *admission.Ticket, r *admission.Refusal) {
		if r != nil {
			refuse()
			return
		}
		start(t.Done)
	})
}

func (g *ranked) load() float64     { return g.ctl.Load() }
func (g *ranked) ready(servers int) { g.ctl.Configure(g.user.admission(servers)) }

// baselineQueuePerSlot is the length of the queue of a baseline for each slot, the same as the
// default of pkg/admission.
const baselineQueuePerSlot = 32

// waiting is a request in the queue of a baseline.
type waiting struct {
	rank     int
	deadline time.Time
	start    func(func(admission.Outcome))
	refuse   func()
}

// baseline is a server with a bounded queue in a fixed order. It drops requests that expire in the
// queue, as a daemon does when the sender fences them.
type baseline struct {
	slots, running int
	now            func() time.Time
	queue          []*waiting
	before         func(a, b *waiting) bool
}

func (g *baseline) offer(k *kind, deadline time.Time, start func(func(admission.Outcome)), refuse func()) {
	w := &waiting{rank: k.Rank, deadline: deadline, start: start, refuse: refuse}
	i := len(g.queue)
	for i > 0 && g.before(w, g.queue[i-1]) {
		i--
	}
	g.queue = slices.Insert(g.queue, i, w)
	if n := len(g.queue); n > g.slots*baselineQueuePerSlot {
		last := g.queue[n-1]
		g.queue = g.queue[:n-1]
		last.refuse()
	}
	g.dispatch()
}

func (g *baseline) dispatch() {
	for g.running < g.slots && len(g.queue) > 0 {
		w := g.queue[0]
		g.queue = g.queue[1:]
		if !w.deadline.After(g.now()) {
			w.refuse()
			continue
		}
		g.running++
		w.start(func(admission.Outcome) {
			g.running--
			g.dispatch()
		})
	}
}

func (g *baseline) load() float64 { return float64(g.running+len(g.queue)) / float64(g.slots) }
func (g *baseline) ready(int)     {}
