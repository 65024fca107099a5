package retry

import (
	"sync"
	"sync/atomic"
	"time"
)

// Limiter decides whether requests may be retried.
type Limiter interface {
	// Deposit records a request that is not a retry.
	Deposit()
	// Charge records the given number of retries that were made elsewhere, for example by the repeated
	// run of a request that calls the service.
	Charge(retries float64)
	// Withdraw reports whether a retry is allowed and records it. ran means that the previous attempt
	// has run or may have run.
	Withdraw(ran bool) bool
}

const (
	// sharedMargin is the share of a shared budget that the daemons use. The rest covers the calls
	// made by repeated runs and the differences between the windows of the daemons.
	sharedMargin = 0.7
	// runCost is the cost of repeating a request that has or may have run; a retry of a request that
	// has not run costs 1. A repeated run calls other services again, where these calls count as
	// retries.
	runCost = 2.5
)

const (
	// windowSlots is the number of parts into which the window of a shared budget is divided.
	windowSlots = 10
	// countedSlots is the number of parts that count: those of a whole window, and the current one,
	// which is incomplete. Without it, the retries of almost eleven parts would fall into some windows.
	countedSlots = windowSlots + 1
)

// SharedLimit limits the retries for each service over all daemons, without coordination between
// them: in each window, there are at most Ratio times the requests plus Slack retries.
type SharedLimit struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
	// Members returns the number of daemons among which Slack is divided, at least 1.
	Members func() int
	Now     func() time.Time
}

// Shared holds the share of this daemon in the retry budget of each service.
type Shared struct {
	limit     atomic.Pointer[SharedLimit]
	byService sync.Map // string to *sharedBudget
}

// NewShared returns the share of one daemon in the budgets defined by limit.
func NewShared(limit SharedLimit) *Shared {
	s := &Shared{}
	s.limit.Store(&limit)
	return s
}

// SetLimit changes the limit for subsequent retries.
func (s *Shared) SetLimit(ratio, slack float64, window time.Duration) {
	next := *s.limit.Load()
	next.Ratio, next.Slack, next.Window = ratio, slack, window
	s.limit.Store(&next)
}

// Of returns the budget of service. It may be called concurrently.
func (s *Shared) Of(service, _ string) Limiter {
	if found, ok := s.byService.Load(service); ok {
		return found.(*sharedBudget)
	}
	found, _ := s.byService.LoadOrStore(service, &sharedBudget{shared: s})
	return found.(*sharedBudget)
}

// sharedBudget counts the requests and the retries of one service in a sliding window.
type sharedBudget struct {
	shared *Shared

	mu       sync.Mutex
	window   time.Duration // window length for which the slots were counted
	slot     int64         // number of the latest slot
	requests [countedSlots]int
	retries  [countedSlots]float64 // sums of costs
}

// Deposit implements Limiter.
func (b *sharedBudget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requests[b.advance(b.shared.limit.Load())]++
}

// Charge implements Limiter.
func (b *sharedBudget) Charge(retries float64) {
	if retries <= 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.retries[b.advance(b.shared.limit.Load())] += retries
}

// Withdraw implements Limiter.
func (b *sharedBudget) Withdraw(ran bool) bool {
	cost := 1.0
	if ran {
		cost = runCost
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	limit := b.shared.limit.Load()
	at := b.advance(limit)
	requests, retries := 0, 0.0
	for i := range countedSlots {
		requests += b.requests[i]
		retries += b.retries[i]
	}
	slack := limit.Slack / float64(max(limit.Members(), 1))
	if retries+cost > sharedMargin*(limit.Ratio*float64(requests)+slack) {
		return false
	}
	b.retries[at] += cost
	return true
}

// advance clears the slots that have left the window and returns the index of the current one.
func (b *sharedBudget) advance(limit *SharedLimit) int {
	width := int64(limit.Window) / windowSlots
	now := limit.Now().UnixNano() / max(width, 1)
	if b.window != limit.Window {
		b.window, b.slot = limit.Window, now-1 // slots of another width are not comparable
	}
	for n := max(b.slot+1, now-countedSlots+1); n <= now; n++ {
		b.requests[n%countedSlots], b.retries[n%countedSlots] = 0, 0
	}
	b.slot = max(b.slot, now)
	return int(b.slot % countedSlots)
}
