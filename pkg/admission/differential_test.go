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
	fleetDaemons = 4
	fleetSlots   = 6
	fleetQueue   = 24 // requests that wait at a server without admission control
	fleetTime    = 30 * time.Second
	fleetLooks   = 3
)

// fleetKinds load the servers of fleetSpeeds with 1.2 times their capacity, and more in the burst of the last kind.
var (
	fleetKinds = []learnedKind{
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
	running endings
	counts  map[string]*kept
	// send begins one request of a caller.
	send func(f *fleet, r *fleetRequest)

	controllers []*Controller
	selectors   []*selection.Selector
	queues      [][]func()
	busy        []int
}

type fleetRequest struct {
	learnedKind
	arrived time.Time
	work    time.Duration
	daemon  int
	repeats int
	looks   int
	tried   []endpoint.InstanceID
}

func (f *fleet) clock() time.Time { return f.now }

func (f *fleet) at(after time.Duration, do func()) {
	heap.Push(&f.running, ending{f.now.Add(after), do})
}

// serve returns how long server n takes for r, and whether it fails it. One server is slow for a while, and one
// fails most requests.
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

// end counts a request that has got its answer.
func (f *fleet) end(r *fleetRequest, good bool) {
	took := f.now.Sub(r.arrived)
	if good && took <= r.deadline {
		f.counts[r.name].served++
	}
	if good && took <= r.target {
		f.counts[r.name].inTime++
	}
}

// run plays the load and returns what each kind kept.
func (f *fleet) run() map[string]*kept {
	for i := range fleetKinds {
		k := fleetKinds[i]
		f.counts[k.name] = &kept{}
		var arrive func()
		arrive = func() {
			age := f.now.Sub(f.start)
			if age > fleetTime {
				return
			}
			f.counts[k.name].offered++
			f.send(f, &fleetRequest{
				learnedKind: k, arrived: f.now, work: time.Duration(f.rng.ExpFloat64() * float64(k.work)), daemon: f.rng.IntN(fleetDaemons),
			})
			rate := k.rate
			if k.name == "list" && age > 20*time.Second && age < 25*time.Second {
				rate *= 3
			}
			f.at(time.Duration(f.rng.ExpFloat64()/rate*float64(time.Second)), arrive)
		}
		f.at(0, arrive)
	}
	for len(f.running) > 0 {
		e := heap.Pop(&f.running).(ending)
		f.now = e.at
		e.done()
	}
	return f.counts
}

func newFleet(t *testing.T, send func(*fleet, *fleetRequest)) *fleet {
	f := &fleet{t: t, now: time.Unix(1000, 0), start: time.Unix(1000, 0), rng: rand.New(rand.NewPCG(3, 4)), counts: map[string]*kept{}, send: send}
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

// sendAdmitted sends r as the daemons do: to the endpoint of the least expected time, past admission control.
func sendAdmitted(f *fleet, r *fleetRequest) {
	pick, err := f.selectors[r.daemon].PickFor(selection.Request{Service: "shop", Kind: r.name, Target: r.target, Tried: r.tried})
	if err != nil {
		f.end(r, false)
		return
	}
	n := int(pick.Record().Instance[0] - '0')
	c := f.controllers[n]
	w := &Waiter{ctl: c, deadline: r.arrived.Add(r.deadline), aim: r.arrived.Add(r.target), rank: r.rank, idempotent: r.idempotent}
	if r.looks < fleetLooks {
		w.patience = pick.MaxWait(r.target)
	}
	w.notify = func(ticket *Ticket, refusal *Refusal) {
		if refusal != nil {
			pick.Done(selection.Result{Verdict: verdict.NotRun, Refused: true, Load: c.Load()})
			if r.looks++; refusal.Reason == ReasonBusy && r.looks <= fleetLooks {
				sendAdmitted(f, r)
				return
			}
			f.end(r, false)
			return
		}
		took, failed := f.serve(n, r)
		f.at(took, func() {
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

// sendNaive sends r to a random server, which serves first come first served.
func sendNaive(f *fleet, r *fleetRequest) {
	n := f.rng.IntN(len(fleetSpeeds))
	begin := func() {
		f.busy[n]++
		took, failed := f.serve(n, r)
		f.at(took, func() {
			f.busy[n]--
			if q := f.queues[n]; len(q) > 0 {
				f.queues[n] = q[1:]
				q[0]()
			}
			if failed && r.idempotent && r.repeats == 0 {
				r.repeats++
				sendNaive(f, r)
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

// Guards against admission control and selection that serve callers worse than a random server that works first
// come first served, with an overload, a slow server, a gray failure and a burst of the least urgent kind.
func TestBetterThanFirstComeFirstServed(t *testing.T) {
	is := is.New(t)
	product, naive := newFleet(t, sendAdmitted).run(), newFleet(t, sendNaive).run()
	var worth, naiveWorth float64
	offered, served := 0, 0
	for _, k := range fleetKinds {
		p, n := product[k.name], naive[k.name]
		t.Logf("%s: in time %d of %d, naive %d of %d; served %d, naive %d", k.name, p.inTime, p.offered, n.inTime, n.offered, p.served, n.served)
		worth += fleetWorth[k.name] * float64(p.inTime) / float64(p.offered)
		naiveWorth += fleetWorth[k.name] * float64(n.inTime) / float64(n.offered)
		offered, served = offered+p.offered, served+p.served
	}
	first := fleetKinds[0].name
	is.True(product[first].inTime*naive[first].offered > naive[first].inTime*product[first].offered)
	is.True(worth > naiveWorth)
	for _, k := range fleetKinds { // a kind that is served less than a quarter as often as all requests is starved
		is.True(4*product[k.name].served*offered >= served*product[k.name].offered)
	}
}
