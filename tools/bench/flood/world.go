package main

import (
	"fmt"
	"time"

	"kingcupwood.example/kingcupwood/pkg/admission"
	"kingcupwood.example/kingcupwood/pkg/endpoint"
	"kingcupwood.example/kingcupwood/pkg/retry"
	"kingcupwood.example/kingcupwood/pkg/selection"
	"kingcupwood.example/kingcupwood/pkg/verdict"
)

const (
	serviceName = "fleet"
	// retryRatio and retryMinimum are the retry budget of section 7 of the design.
	retryRatio   = 0.1
	retryMinimum = 3.0
	// failFastTime is the time in which a broken server fails a request.
	failFastTime = 200 * time.Microsecond
	// longReady is the time for which the servers have been ready at the start of a run.
	longReady = time.Hour
)

// server is a backend server with the daemon beside it.
type server struct {
	record endpoint.Record
	gate   gate
	// slowdown multiplies the service time; nil means 1.
	slowdown  func(at time.Duration) float64
	reports0  bool // always reports no load
	failsFast bool
}

// sender is the daemon through which a request enters.
type sender struct {
	domain   string
	selector *selection.Selector
	// budgets holds the retry budget of each kind.
	budgets map[string]*retry.Budget
}

// request is a request of a caller.
type request struct {
	kind     *kind
	sender   *sender
	at       time.Duration // sent by the caller
	deadline time.Duration // at which the response must leave the sender
	tried    []endpoint.InstanceID
}

// world is one run: a fleet, its senders and the open-loop callers.
type world struct {
	*sim
	user    *user
	servers []*server
	senders []*sender
	lost    string // failure domain cut off from all others
	tally   *tally
}

func newWorld(u *user, policy string, seed uint64) *world {
	w := &world{sim: newSim(seed), user: u, tally: newTally()}
	for i, domain := range u.servers {
		id := endpoint.InstanceID(fmt.Sprintf("server-%s%d", domain, i))
		w.servers = append(w.servers, &server{gate: newGate(policy, u, w.sim), record: endpoint.Record{
			Instance: id, Domain: domain, Service: serviceName, State: endpoint.Ready, Slots: u.slots,
			ReadySinceMS: epoch.Add(-longReady).UnixMilli(),
		}})
	}
	for i, domain := range u.domains {
		cfg := selection.Config{Instance: endpoint.InstanceID(fmt.Sprintf("sender-%d", i)), Domain: domain}
		s := &sender{
			domain:   domain,
			selector: selection.New(cfg, w.now, w.rng.Uint64),
			budgets:  map[string]*retry.Budget{},
		}
		for _, k := range u.kinds {
			s.budgets[k.Name] = retry.NewBudget(retryRatio, retryMinimum, w.now)
		}
		w.senders = append(w.senders, s)
	}
	w.publish(nil)
	return w
}

// publish gives all daemons the present records.
func (w *world) publish(unreachable map[string]bool) {
	view := &endpoint.View{ByService: map[string][]endpoint.Record{}, Unreachable: unreachable}
	for _, s := range w.servers {
		view.ByService[serviceName] = append(view.ByService[serviceName], s.record)
	}
	for _, s := range w.senders {
		s.selector.Update(view)
	}
	for _, s := range w.servers {
		s.gate.ready(view.ReadyCount(serviceName))
	}
}

// call sends requests of k at random times with the given mean rate per second.
func (w *world) call(k *kind, rate float64) {
	mean := time.Duration(float64(time.Second) / rate)
	var next func()
	next = func() {
		w.send(k)
		w.after(w.exponential(mean), next)
	}
	w.after(w.exponential(mean), next)
}

// send sends one request through a random daemon that callers can reach.
func (w *world) send(k *kind) {
	s := w.senders[w.rng.IntN(len(w.senders))]
	for s.domain == w.lost {
		s = w.senders[w.rng.IntN(len(w.senders))]
	}
	r := &request{kind: k, sender: s, at: w.at, deadline: w.at + k.Deadline - k.Caller}
	w.after(k.Caller, func() {
		s.budgets[k.Name].Deposit()
		w.attempt(r)
	})
}

// attempt sends r to a server, or fails it if there is none or no time left.
func (w *world) attempt(r *request) {
	hop := retry.HopTimeout(r.deadline - w.at)
	pick, err := r.sender.selector.Pick(serviceName, r.tried)
	if err != nil || hop <= 0 {
		if err == nil {
			pick.Done(selection.Result{Verdict: verdict.NotRun, Load: -1})
		}
		w.tally.add(r, outcomeRefused)
		return
	}
	s := w.server(pick.Record().Instance)
	r.tried = append(r.tried, s.record.Instance)
	reply := func(res selection.Result) { w.reply(r, pick, res) }
	if (s.record.Domain == w.lost) != (r.sender.domain == w.lost) {
		w.after(hop, func() { reply(selection.Result{Failed: true, Load: -1}) })
		return
	}
	latency := w.latency(r.sender.domain, s.record.Domain)
	w.after(latency, func() {
		w.serve(s, r.kind, hop, func(res selection.Result) { w.after(latency, func() { reply(res) }) })
	})
}

// serve passes a request through the admission control of s.
func (w *world) serve(s *server, k *kind, hop time.Duration, reply func(selection.Result)) {
	answer := func(res selection.Result) {
		if !s.reports0 {
			res.Load = s.gate.load()
		}
		reply(res)
	}
	deadline := w.now().Add(retry.HopTimeout(hop))
	s.gate.offer(k, deadline, func(finish func(admission.Outcome)) {
		if s.failsFast {
			w.after(failFastTime, func() {
				finish(admission.Outcome{})
				answer(selection.Result{Verdict: verdict.Ran, Failed: true})
			})
			return
		}
		took := w.serviceTime(s, k)
		w.after(took, func() {
			finish(admission.Outcome{ServiceTime: took})
			answer(selection.Result{Verdict: verdict.Ran})
		})
	}, func() { answer(selection.Result{Verdict: verdict.NotRun}) })
}

// serviceTime draws from half the mean plus an exponential tail.
func (w *world) serviceTime(s *server, k *kind) time.Duration {
	d := k.ServiceTime/2 + w.exponential(k.ServiceTime/2)
	if s.slowdown != nil {
		d = time.Duration(float64(d) * s.slowdown(w.at))
	}
	return d
}

// reply handles the outcome of an attempt at the sender.
func (w *world) reply(r *request, pick *selection.Pick, res selection.Result) {
	pick.Done(res)
	switch {
	case res.Verdict == verdict.Ran && !res.Failed && w.at <= r.deadline:
		w.tally.add(r, outcomeServed)
	case res.Verdict == verdict.Ran && !res.Failed:
		w.tally.add(r, outcomeLate)
	case w.mayRetry(r, res) && r.sender.budgets[r.kind.Name].Withdraw(false):
		w.attempt(r)
	case res.Verdict == verdict.NotRun:
		w.tally.add(r, outcomeRefused)
	default:
		w.tally.add(r, outcomeFailed)
	}
}

func (w *world) mayRetry(r *request, res selection.Result) bool {
	return w.at < r.deadline && (r.kind.Idempotent || res.Verdict == verdict.NotRun)
}

func (w *world) server(id endpoint.InstanceID) *server {
	for _, s := range w.servers {
		if s.record.Instance == id {
			return s
		}
	}
	panic("unknown server " + id)
}

func (w *world) latency(a, b string) time.Duration {
	if a == b {
		return localLatency
	}
	return domainLatency
}
