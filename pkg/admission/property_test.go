package admission

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const modelRanks = 3

// modelRequest is a request in the reference model.
type modelRequest struct {
	seq, rank int
	protected bool
	deadline  time.Time
	waiter    *Waiter
	ticket    *Ticket
	outcomes  int
}

// model checks a Controller against a flat list that is sorted for each decision. The kinds are
// chosen so that the class of each request is fixed: p1..p3 are always protected, e1..e3 always
// excess.
type model struct {
	*rapid.T
	clk              *clock
	ctl              *Controller
	slots, limit     int
	waiting, running []*modelRequest
	seq              int
}

func newModel(t *rapid.T) *model {
	m := &model{T: t, clk: newClock()}
	m.slots = rapid.IntRange(1, 6).Draw(t, "slots")
	m.limit = rapid.IntRange(1, 8).Draw(t, "queue limit")
	cfg := Config{Slots: m.slots, QueueLimit: m.limit}
	for rank := 1; rank <= modelRanks; rank++ {
		cfg.Kinds = append(cfg.Kinds, Kind{Name: fmt.Sprintf("p%d", rank), Rank: rank, Rate: 1e6},
			Kind{Name: fmt.Sprintf("e%d", rank), Rank: rank})
	}
	m.ctl = New(cfg, m.clk.now)
	return m
}

func (m *model) sort() {
	slices.SortFunc(m.waiting, func(a, b *modelRequest) int {
		if a.protected != b.protected {
			if a.protected {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(a.rank, b.rank), a.deadline.Compare(b.deadline), cmp.Compare(a.seq, b.seq))
	})
}

// mayStart reports whether r may take a slot while running requests hold slots.
func (m *model) mayStart(r *modelRequest) bool {
	if r.protected || m.slots < reserveFrom {
		return len(m.running) < m.slots
	}
	return len(m.running) < m.slots-1
}

func (m *model) offer() {
	m.seq++
	r := &modelRequest{seq: m.seq, rank: rapid.IntRange(1, modelRanks).Draw(m.T, "rank")}
	r.protected = rapid.Bool().Draw(m.T, "protected")
	wait := time.Duration(rapid.IntRange(0, 2000).Draw(m.T, "deadline")) * time.Millisecond
	r.deadline = m.clk.now().Add(wait)
	kind := "e"
	if r.protected {
		kind = "p"
	}
	offered := false
	m.waiting = append(m.waiting, r)
	r.waiter = m.ctl.Offer(fmt.Sprintf("%s%d", kind, r.rank), r.deadline, func(t *Ticket, f *Refusal) {
		m.outcome(r, t, f, !offered)
	})
	offered = true
}

// outcome checks what the Controller decided for r against the sorted list.
func (m *model) outcome(r *modelRequest, t *Ticket, f *Refusal, immediate bool) {
	if r.outcomes++; r.outcomes > 1 {
		m.Fatalf("request %d has a second outcome", r.seq)
	}
	m.sort()
	if t != nil {
		if !m.mayStart(r) {
			m.Fatalf("request %d started with %d of %d slots taken", r.seq, len(m.running), m.slots)
		}
		if m.waiting[0] != r {
			m.Fatalf("request %d started before request %d", r.seq, m.waiting[0].seq)
		}
		r.ticket = t
		m.running = append(m.running, r)
	}
	if f != nil && f.Reason == ReasonEvicted && m.waiting[len(m.waiting)-1] != r {
		m.Fatalf("request %d was evicted and is not the last", r.seq)
	}
	if f != nil && f.Reason == ReasonDeadline && !immediate && r.deadline.After(m.clk.now()) {
		m.Fatalf("waiting request %d was refused before its deadline", r.seq)
	}
	m.waiting = slices.DeleteFunc(m.waiting, func(o *modelRequest) bool { return o == r })
}

func (m *model) finish() {
	if len(m.running) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.running)-1).Draw(m.T, "finished")
	r := m.running[i]
	m.running = slices.Delete(m.running, i, i+1)
	r.ticket.Done(Outcome{})
}

func (m *model) cancel() {
	if len(m.waiting) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.waiting)-1).Draw(m.T, "cancelled")
	r := m.waiting[i]
	m.waiting = slices.Delete(m.waiting, i, i+1)
	r.outcomes++ // any later outcome is an error
	if !r.waiter.Cancel() {
		m.Fatalf("request %d was not waiting", r.seq)
	}
}

// check verifies that the queue is bounded and that no slot is idle while a request may use it.
func (m *model) check() {
	if len(m.waiting) > m.limit {
		m.Fatalf("%d requests wait, limit %d", len(m.waiting), m.limit)
	}
	for _, r := range m.waiting {
		if m.mayStart(r) && r.deadline.After(m.clk.now()) {
			m.Fatalf("request %d waits while a slot is free", r.seq)
		}
	}
}

// Guards against a wrong order of admission, more running requests than slots, an excess request in
// the reserved slot, idle slots, and a refused, evicted or cancelled request that runs.
func TestAgainstSortedList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"offer":  func(*rapid.T) { m.offer() },
			"finish": func(*rapid.T) { m.finish() },
			"cancel": func(*rapid.T) { m.cancel() },
			"wait": func(t *rapid.T) {
				m.clk.advance(time.Duration(rapid.IntRange(1, 200).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(*rapid.T) { m.check() },
		})
	})
}

// Guards against slots that leak or are granted twice when grants and cancellations race.
func TestConcurrentAcquireAndCancel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const slots, callers = 5, 200
		c := New(Config{Slots: slots, Kinds: []Kind{{Name: "k", Rank: 1, Rate: 1000}}}, time.Now)
		var mu sync.Mutex
		var running, most int
		count := func(n int) {
			mu.Lock()
			defer mu.Unlock()
			running += n
			most = max(most, running)
		}
		var wg sync.WaitGroup
		for i := range callers {
			wg.Go(func() {
				time.Sleep(time.Duration(i%7) * time.Millisecond)
				ctx, cancel := context.WithTimeout(t.Context(), time.Duration(i%11)*5*time.Millisecond)
				defer cancel()
				ticket, err := c.Acquire(ctx, "k", time.Now().Add(time.Second))
				if err != nil {
					return
				}
				count(1)
				time.Sleep(5 * time.Millisecond)
				count(-1)
				ticket.Done(Outcome{ServiceTime: 5 * time.Millisecond})
			})
		}
		wg.Wait()
		is.Equal(most, slots)
		is.Equal(c.Load(), 0.0)
	})
}
