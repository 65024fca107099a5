package admission

import (
	"container/heap"
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
)

// simulatedKind is an undeclared kind of request of a simulated load.
type simulatedKind struct {
	name       string
	rank       int
	idempotent bool
	rate       float64 // per second
	work       time.Duration
	target     time.Duration
	deadline   time.Duration
}

// completion is the scheduled end of a running request of a simulation.
type completion struct {
	at   time.Time
	done func()
}

type completions []completion

func (e completions) Len() int           { return len(e) }
func (e completions) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e completions) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *completions) Push(x any)        { *e = append(*e, x.(completion)) }
func (e *completions) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// outcomeCounts counts the outcomes of the requests of a kind.
type outcomeCounts struct{ offered, inTime, served int }

// simulate runs a load on one controller in virtual time with a fixed seed.
func simulate(slots int, kinds []simulatedKind, length time.Duration) map[string]*outcomeCounts {
	rng := rand.New(rand.NewPCG(1, 2))
	now := time.Unix(1000, 0)
	c := New(Config{Slots: slots}, func() time.Time { return now })
	counts := map[string]*outcomeCounts{}
	var running completions
	next := map[string]time.Time{}
	for _, k := range kinds {
		counts[k.name], next[k.name] = &outcomeCounts{}, now
	}
	end := now.Add(length)
	for now.Before(end) {
		kind := &kinds[0]
		for i := range kinds {
			if next[kinds[i].name].Before(next[kind.name]) {
				kind = &kinds[i]
			}
		}
		if len(running) > 0 && running[0].at.Before(next[kind.name]) {
			e := heap.Pop(&running).(completion)
			now = e.at
			e.done()
			continue
		}
		now = next[kind.name]
		next[kind.name] = now.Add(time.Duration(rng.ExpFloat64() / kind.rate * float64(time.Second)))
		arrive(c, *kind, now, func() time.Time { return now }, rng, &running, counts[kind.name])
	}
	return counts
}

func arrive(c *Controller, k simulatedKind, now time.Time, clock func() time.Time, rng *rand.Rand, running *completions, count *outcomeCounts) {
	count.offered++
	work := time.Duration(rng.ExpFloat64() * float64(k.work))
	w := &Waiter{ctl: c, deadline: now.Add(k.deadline), targetTime: now.Add(k.target), rank: k.rank, idempotent: k.idempotent}
	start := func(t *Ticket) {
		at := clock().Add(work)
		heap.Push(running, completion{at, func() {
			if !at.After(now.Add(k.deadline)) {
				count.served++
			}
			if !at.After(now.Add(k.target)) {
				count.inTime++
			}
			t.Done(Outcome{ServiceTime: work})
		}})
	}
	w.notify = func(t *Ticket, _ *Refusal) {
		if t != nil {
			start(t)
		}
	}
	ticket, _, out := c.offer(w, k.name)
	out.deliver()
	if ticket != nil {
		start(ticket)
	}
}

func share(n int, k *outcomeCounts) float64 { return float64(n) / float64(k.offered) }

// overload needs about 1.4 times the available slots: two kinds of the same worth per slot time,
// and one of a tenth of it.
var overload = []simulatedKind{
	{"view", 1, true, 34, 220 * time.Millisecond, 800 * time.Millisecond, 1500 * time.Millisecond},
	{"save", 2, false, 17, 290 * time.Millisecond, 800 * time.Millisecond, 2 * time.Second},
	{"list", 3, true, 5, 880 * time.Millisecond, 4 * time.Second, 6 * time.Second},
}

// Guards in an overload against starvation of a rank, against a less urgent rank that is served
// more often, and against slots spent on responses that miss their latency target.
func TestSharesInOverload(t *testing.T) {
	is := is.New(t)
	got := simulate(12, overload, 2*time.Minute)
	view, save, list := got["view"], got["save"], got["list"]
	is.True(share(view.served, view) >= share(save.served, save))
	is.True(share(save.served, save) >= share(list.served, list))
	is.True(share(save.inTime, save) > 0.4)
	all := outcomeCounts{offered: view.offered + save.offered + list.offered, served: view.served + save.served + list.served}
	is.True(share(list.served, list) >= share(all.served, &all)/4) // below that, a kind counts as starved
	is.True(float64(view.inTime) > 0.75*float64(view.served))
}

// Guards against refusals although the capacity suffices.
func TestSharesWithoutOverload(t *testing.T) {
	is := is.New(t)
	var calm []simulatedKind
	for _, k := range overload {
		k.rate /= 2
		calm = append(calm, k)
	}
	for _, k := range simulate(12, calm, 2*time.Minute) {
		is.True(share(k.served, k) > 0.97)
	}
}

// Guards against queueing a request for longer than its MaxWait, when its sender could use another
// instance, and against a shed request of an undeclared kind that lowers the limit.
func TestMaxWait(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	c := New(Config{Slots: 1}, func() time.Time { return now })
	r := Request{Kind: "view", Rank: 1, Deadline: now.Add(time.Minute), TargetTime: now.Add(30 * time.Second)}
	first, err := c.AcquireFor(context.Background(), r)
	is.NoErr(err)
	now = now.Add(time.Second)
	r.MaxWait = time.Millisecond
	_, err = c.AcquireFor(context.Background(), r)
	var refusal *Refusal
	is.True(errors.As(err, &refusal) && refusal.Reason == ReasonBusy && refusal.RetryAfter > 0)
	first.Done(Outcome{ServiceTime: time.Second})
	second, err := c.AcquireFor(context.Background(), r)
	is.NoErr(err)
	second.Done(Outcome{Shed: true})
	is.Equal(c.Slots(), 1)
}
