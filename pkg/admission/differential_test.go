package admission

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"kingcupwood.example/kingcupwood/pkg/endpoint"
	"kingcupwood.example/kingcupwood/pkg/selection"
	"kingcupwood.example/kingcupwood/pkg/verdict"
)

const (
	fleetDaemons        = 4
	fleetSlots          = 6
	fleetQueue          = 24 // requests that wait at a server without admission control
	fleetTime           = 30 * time.Second
	fleetMaxBusyRetries = 3
)

// fleetKinds load the servers of fleetSpeeds with 1.2 times their capacity, and with more during
// the burst of the last kind.
var (
	fleetKinds = []simulatedKind{
		{"look", 1, true, 120, 90 * time.Millisecond, 250 * time.Millisecond, time.Second},
		{"order", 2, false, 60, 150 * time.Millisecond, 500 * time.Millisecond, 1200 * time.Millisecond},
		{"list", 3, true, 40, 350 * time.Millisecond, 1500 * time.Millisecond, 2500 * time.Millisecond},
	}
	fleetSpeeds = []float64{0.5, 1, 1, 1, 1.5}
	fleetWorth  = map[string]float64{"look": 1.4, "order": 1.5, "list": 0.4}
)

// fleet is a service with several servers in virtual time.
type fleet struct {
	t       *testing.T
	now     time.Time
	start   time.Time
	rng     *rand.Rand
	running completions
	counts  map[string]*outcomeCounts
	// send begins one request of a caller.
	send func(f *fleet, r *fleetRequest)

	controllers []*Controller
	selectors   []*selection.Selector
	queues      [][]func()
	busy        []int
}

type fleetRequest struct {
	simulatedKind
	arrived     time.Time
	work        time.Duration
	daemon      int
	repeats     int
	busyRetries int
	tried       []endpoint.InstanceID
}

func (f *fleet) clock() time.Time { return f.now }

func (f *fleet) schedule(after time.Duration, do func()) {
	heap.Push(&f.running, completion{f.now.Add(after), do})
}

// serve returns the service time of r on server n, and whether r fails. For a while, one server is
// slow and another one fails most requests.
func (f *fleet) serve(n int, r *fleetRequest) (time.Duration, bool) {
	took, age := time.Duration(float64(r.work)/fleetSpeeds[n]), f.now.Sub(f.start)
	if n == 1 && age > 5*time.Second && age < 15*time.Second {
		took *= 5
	}
	if n == 2 && age > 10*time.Second && age < 20*time.Second && f.rng.IntN(10) < 6 {
		return took / 3, true
	}
	return took, false
}

// end counts the outcome of a finished request.
func (f *fleet) end(r *fleetRequest, good bool) {
	took := f.now.Sub(r.arrived)
	if good && took <= r.deadline {
		f.counts[r.name].served++
	}
	if good && took <= r.target {
		f.counts[r.name].inTime++
	}
}

// run simulates the load and returns the outcomes of each kind.
func (f *fleet) run() map[string]*outcomeCounts {
	for i := range fleetKinds {
		k := fleetKinds[i]
		f.counts[k.name] = &outcomeCounts{}
		var arrive func()
		arrive = func() {
			age := f.now.Sub(f.start)
			if age > fleetTime {
				return
			}
			f.counts[k.name].offered++
			f.send(f, &fleetRequest{
				simulatedKind: k, arrived: f.now, work: time.Duration(f.rng.ExpFloat64() * float64(k.work)), daemon: f.rng.IntN(fleetDaemons),
			})
			rate := k.rate
			if k.name == "list" && age > 20*time.Second && age < 25*time.Second {
				rate *= 3
			}
			f.schedule(time.Duration(f.rng.ExpFloat64()/rate*float64(time.Second)), arrive)
		}
		f.schedule(0, arrive)
	}
	for len(f.running) > 0 {
		e := heap.Pop(&f.running).(completion)
		f.now = e.at
		e.done()
	}
	return f.counts
}

func newFleet(t *testing.T, send func(*fleet, *fleetRequest)) *fleet {
	f := &fleet{t: t, now: time.Unix(1000, 0), start: time.Unix(1000, 0), rng: rand.New(rand.NewPCG(3, 4)), counts: map[string]*outcomeCounts{}, send: send}
	view := &endpoint.View{ByService: map[string][]endpoint.Record{}}
	for n := range fleetSpeeds {
		f.controllers = append(f.controllers, New(Config{Slots: fleetSlots}, f.clock))
		view.ByService["shop"] = append(view.ByService["shop"], endpoint.Record{
			Instance: endpoint.InstanceID(fmt.Sprint(n)), Domain: "a", Service: "shop", State: endpoint.Ready, Slots: fleetSlots, ReadySinceMS: 1,
		})
	}
	f.queues, f.busy = make([][]func(), len(fleetSpeeds)), make([]int, len(fleetSpeeds))
	for range fleetDaemons {
		s := selection.New(selection.Config{Instance: "self", Domain: "a"}, f.clock, f.rng.Uint64)
		s.Update(view)
		f.selectors = append(f.selectors, s)
	}
	return f
}

// sendAdmitted sends r as the daemons do: to the endpoint with the lowest expected latency, subject
// to admission control.
func sendAdmitted(f *fleet, r *fleetRequest) {
	pick, err := f.selectors[r.daemon].PickFor(selection.Request{Service: "shop", Kind: r.name, Target: r.target, Tried: r.tried})
	if err != nil {
		f.end(r, false)
		return
	}
	n := int(pick.Record().Instance[0] - '0')
	c := f.controllers[n]
	w := &Waiter{ctl: c, deadline: r.arrived.Add(r.deadline), targetTime: r.arrived.Add(r.target), rank: r.rank, idempotent: r.idempotent}
	if r.busyRetries < fleetMaxBusyRetries {
		w.maxWait = pick.MaxWait(r.target)
	}
	w.notify = func(ticket *Ticket, refusal *Refusal) {
		if refusal != nil {
			pick.Done(selection.Result{Verdict: verdict.NotRun, Refused: true, Load: c.Load()})
			if r.busyRetries++; refusal.Reason == ReasonBusy && r.busyRetries <= fleetMaxBusyRetries {
				sendAdmitted(f, r)
				return
			}
			f.end(r, false)
			return
		}
		took, failed := f.serve(n, r)
		f.schedule(took, func() {
			outcome := Outcome{ServiceTime: took}
			if failed {
				outcome = Outcome{}
			}
			ticket.Done(outcome)
			pick.Done(selection.Result{Verdict: verdict.Ran, Failed: failed, Load: c.Load(), Work: outcome.ServiceTime})
			if failed && r.idempotent && r.repeats == 0 {
				r.repeats++
				r.tried = append(r.tried, pick.Record().Instance)
				sendAdmitted(f, r)
				return
			}
			f.end(r, !failed)
		})
	}
	ticket, refusal, out := c.offer(w, r.name)
	out.deliver()
	if ticket != nil || refusal != nil {
		w.notify(ticket, refusal)
	}
}

// sendFIFO sends r to a random server, which serves requests in order of arrival.
func sendFIFO(f *fleet, r *fleetRequest) {
	n := f.rng.IntN(len(fleetSpeeds))
	begin := func() {
		f.busy[n]++
		took, failed := f.serve(n, r)
		f.schedule(took, func() {
			f.busy[n]--
			if q := f.queues[n]; len(q) > 0 {
				f.queues[n] = q[1:]
				q[0]()
			}
			if failed && r.idempotent && r.repeats == 0 {
				r.repeats++
				sendFIFO(f, r)
				return
			}
			f.end(r, !failed)
		})
	}
	switch {
	case f.busy[n] < fleetSlots:
		begin()
	case len(f.queues[n]) < fleetQueue:
		f.queues[n] = append(f.queues[n], begin)
	default:
		f.end(r, false)
	}
}

// Guards against admission control and selection that serve callers worse than random selection
// with FIFO queues, under an overload, a slow server, a gray failure and a burst of the least
// urgent kind.
func TestBetterThanFirstComeFirstServed(t *testing.T) {
	is := is.New(t)
	controlled, baseline := newFleet(t, sendAdmitted).run(), newFleet(t, sendFIFO).run()
	var worth, baselineWorth float64
	offered, served := 0, 0
	for _, k := range fleetKinds {
		p, n := controlled[k.name], baseline[k.name]
		t.Logf("%s: in time %d of %d, baseline %d of %d; served %d, baseline %d", k.name, p.inTime, p.offered, n.inTime, n.offered, p.served, n.served)
		worth += fleetWorth[k.name] * float64(p.inTime) / float64(p.offered)
		baselineWorth += fleetWorth[k.name] * float64(n.inTime) / float64(n.offered)
		offered, served = offered+p.offered, served+p.served
	}
	first := fleetKinds[0].name
	is.True(controlled[first].inTime*baseline[first].offered > baseline[first].inTime*controlled[first].offered)
	is.True(worth > baselineWorth)
	for _, k := range fleetKinds { // a kind that is served less than a quarter as often as all requests is starved
		is.True(4*controlled[k.name].served*offered >= served*controlled[k.name].offered)
	}
}
