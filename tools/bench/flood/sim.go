package main

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// epoch is the wall-clock time at which virtual time starts; any value after the slow start of the
// first servers will do.
var epoch = time.Unix(1_000_000_000, 0)

// sim runs events in virtual time. A run depends only on its seed.
type sim struct {
	at     time.Duration // since epoch
	events eventHeap
	seq    uint64
	rng    *rand.Rand
}

func newSim(seed uint64) *sim { return &sim{rng: rand.New(rand.NewPCG(seed, seed))} }

func (s *sim) now() time.Time { return epoch.Add(s.at) }

// after runs f once d has passed. Events of the same time run in the order of their creation.
func (s *sim) after(d time.Duration, f func()) {
	s.seq++
	heap.Push(&s.events, event{at: s.at + max(d, 0), seq: s.seq, run: f})
}

// run runs events until none is left or until the given time.
func (s *sim) run(until time.Duration) {
	for len(s.events) > 0 && s.events[0].at <= until {
		e := heap.Pop(&s.events).(event)
		s.at = e.at
		e.run()
	}
}

// exponential returns a random duration with the given mean.
func (s *sim) exponential(mean time.Duration) time.Duration {
	return time.Duration(s.rng.ExpFloat64() * float64(mean))
}

type event struct {
	at  time.Duration
	seq uint64
	run func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*h = old[:len(old)-1]
	return last
}
