package soak

import (
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"kingcupwood.example/kingcupwood/platform/standin"
)

// fault is something that happens to a machine for a while. Planned ones may cut no request.
type fault struct {
	name    string
	planned bool
	run     func(w *world, m *machine, d time.Duration, choice uint64)
}

var faults = []fault{
	{"daemon killed", false, func(w *world, m *machine, d time.Duration, _ uint64) {
		w.restart(m, d, func() { m.daemon().Kill() })
	}},
	{"daemon stopped", true, func(w *world, m *machine, d time.Duration, _ uint64) {
		w.restart(m, d/4, func() { w.stopDaemon(m) })
	}},
	{"daemon frozen", false, func(_ *world, m *machine, d time.Duration, _ uint64) {
		p := m.daemon()
		_ = p.Signal(syscall.SIGSTOP) // it may have ended
		time.Sleep(d)
		_ = p.Signal(syscall.SIGCONT)
	}},
	{"settings changed", true, func(w *world, m *machine, _ time.Duration, choice uint64) {
		if !m.lifecycle.TryLock() {
			return // a daemon does not start with settings that it cannot read
		}
		defer m.lifecycle.Unlock()
		if err := w.writeSettings(m, []string{"58", "40", "none"}[choice%3]); err != nil {
			w.ledger.violate("%v", err)
		}
		_ = m.daemon().Signal(syscall.SIGHUP) // it may have ended
		time.Sleep(time.Second)
		if err := w.writeSettings(m, "58"); err != nil {
			w.ledger.violate("%v", err)
		}
	}},
	{"configuration changed", true, func(w *world, _ *machine, _ time.Duration, _ uint64) { w.publish() }},
	{"configurations in quick succession", true, func(w *world, _ *machine, d time.Duration, _ uint64) {
		for range 5 {
			w.publish()
			time.Sleep(d / 20)
		}
	}},
	{"link delayed", false, func(_ *world, m *machine, d time.Duration, choice uint64) {
		r := m.link(choice)
		r.delay.Store(int64(time.Duration(5+choice%100) * time.Millisecond))
		time.Sleep(d)
		r.delay.Store(0)
	}},
	{"link reset", false, func(_ *world, m *machine, d time.Duration, choice uint64) {
		r := m.link(choice)
		r.setRefuse(choice%2 == 0)
		r.resetAll()
		time.Sleep(d)
		r.setRefuse(false)
	}},
	{"link cut one way", false, func(_ *world, m *machine, d time.Duration, choice uint64) {
		r := m.link(choice)
		r.setCut(directions{choice%2 == 0, choice%2 == 1})
		time.Sleep(d)
		r.setCut(directions{})
	}},
	{"machine cut off", false, func(_ *world, m *machine, d time.Duration, _ uint64) {
		for _, r := range []*relay{m.calls, m.peer, m.store} {
			r.setCut(bothDirections)
			defer r.setCut(directions{})
		}
		time.Sleep(d)
	}},
	{"open connections silenced", false, func(_ *world, m *machine, _ time.Duration, choice uint64) {
		m.link(choice).silence(bothDirections)
	}},
	{"store fails", false, func(w *world, _ *machine, d time.Duration, choice uint64) {
		kind := []standin.Fault{standin.Busy, standin.Throttled, standin.LostResponse, standin.Silent}[choice%4]
		share := 1 + choice%3
		var mu sync.Mutex
		calls := uint64(0)
		w.store.SetFault(func(string) standin.Fault {
			mu.Lock()
			defer mu.Unlock()
			if calls++; calls%share != 0 {
				return standin.None
			}
			return kind
		})
		time.Sleep(d)
		w.store.SetFault(nil)
	}},
	{"store forgets its history", false, func(w *world, _ *machine, _ time.Duration, _ uint64) { w.store.DiscardHistory() }},
	{"server crashed", false, func(w *world, m *machine, d time.Duration, choice uint64) {
		w.replace(m, func(s *server) { s.crash(); time.Sleep(d / 2) }, choice%2 == 0)
	}},
	{"server drained", true, func(w *world, m *machine, _ time.Duration, choice uint64) {
		w.replace(m, func(s *server) { s.leave(choice%3 == 0) }, false)
	}},
	{"server loses answers", false, func(_ *world, m *machine, d time.Duration, choice uint64) {
		s := m.currentServer()
		s.loseAnswers.Store(int64(10 + choice%60))
		time.Sleep(d)
		s.loseAnswers.Store(0)
	}},
	{"server fails", false, func(_ *world, m *machine, d time.Duration, choice uint64) {
		s := m.currentServer()
		s.fail.Store(int64(20 + choice%80))
		time.Sleep(d)
		s.fail.Store(0)
	}},
}

// link returns one of the links of m.
func (m *machine) link(choice uint64) *relay {
	return []*relay{m.calls, m.peer, m.store, m.currentServer().relay}[choice/7%4]
}

// stopDaemon stops the daemon of m as the platform does.
func (w *world) stopDaemon(m *machine) {
	p, early := m.daemon(), m.justStarted()
	if err := p.Stop(graceTime); err != nil && w.planned && !early {
		w.ledger.violate("daemon %s: %v", m.name, err)
	}
}

// restart ends the daemon of m and starts it again after d, unless another fault is doing so.
func (w *world) restart(m *machine, d time.Duration, end func()) {
	if !m.lifecycle.TryLock() {
		return
	}
	defer m.lifecycle.Unlock()
	if !m.daemon().Running() {
		w.ledger.violate("daemon %s has ended by itself", m.name)
	}
	end()
	time.Sleep(d)
	if err := w.startDaemon(m); err != nil {
		w.ledger.violate("daemon %s: %v", m.name, err)
	}
}

// replace ends the server of m and starts the next one, under the same ID if again is set.
func (w *world) replace(m *machine, end func(*server), again bool) {
	if !m.replacing.TryLock() {
		return
	}
	defer m.replacing.Unlock()
	s, id := m.currentServer(), ""
	if again {
		id = s.id
	}
	end(s)
	if err := w.startServer(m, id); err != nil {
		w.ledger.violate("server of %s: %v", m.name, err)
	}
}

// step is one fault at a time of a run.
type step struct {
	fault    fault
	machine  int
	at, last time.Duration
	choice   uint64
}

// plan draws the faults of a run. One run in three has planned work only.
func plan(seed uint64, machines int, length time.Duration) (steps []step, planned bool) {
	rng := rand.New(rand.NewPCG(seed, 1))
	planned = seed%3 == 0
	var usable []fault
	for _, f := range faults {
		if f.planned || !planned {
			usable = append(usable, f)
		}
	}
	const perSecond = 1.5
	for range int(perSecond * length.Seconds()) {
		steps = append(steps, step{
			fault: usable[rng.IntN(len(usable))], machine: rng.IntN(machines), choice: rng.Uint64(),
			at:   time.Duration(rng.Int64N(int64(length))),
			last: 300*time.Millisecond + time.Duration(rng.Int64N(int64(4*time.Second))),
		})
	}
	return steps, planned
}
