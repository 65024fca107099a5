package retry

import (
	"sync"
	"time"
)

// Allowance decides about the retries of requests.
type Allowance interface {
	// Deposit records a request that is not a retry.
	Deposit()
	// Withdraw reports whether a retry is allowed and records it.
	Withdraw() bool
}

// sharedMargin is the part of a shared budget that the daemons use. The rest covers the calls that repeated
// requests make and the differences between the windows of the daemons.
const sharedMargin = 0.6

// windowSlots is the number of parts into which the window of a shared budget is divided.
const windowSlots = 10

// SharedLimit is a budget for the retries of each service that all daemons share without talking to each
// other: in each window, retries are at most Ratio of the requests plus Slack.
type SharedLimit struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
	// Members returns the number of daemons among which Slack is divided, at least 1.
	Members func() int
	Now     func() time.Time
}

// Shared holds the part of this daemon in the shared budget of each service.
type Shared struct {
	limit     SharedLimit
	byService sync.Map // string to *sharedBudget
}

// NewShared returns the part of one daemon in a shared budget.
func NewShared(limit SharedLimit) *Shared { return &Shared{limit: limit} }

// Of returns the budget of service. It may be called concurrently.
func (s *Shared) Of(service, _ string) Allowance {
	if found, ok := s.byService.Load(service); ok {
		return found.(*sharedBudget)
	}
	found, _ := s.byService.LoadOrStore(service, &sharedBudget{limit: &s.limit})
	return found.(*sharedBudget)
}

// sharedBudget counts the requests and the retries of one service in a sliding window.
type sharedBudget struct {
	limit *SharedLimit

	mu       sync.Mutex
	slot     int64 // number of the latest slot
	requests [windowSlots]int
	retries  [windowSlots]int
}

// Deposit implements Allowance.
func (b *sharedBudget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requests[b.advance()]++
}

// Withdraw implements Allowance.
func (b *sharedBudget) Withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	at := b.advance()
	requests, retries := 0, 0
	for i := range windowSlots {
		requests += b.requests[i]
		retries += b.retries[i]
	}
	slack := b.limit.Slack / float64(max(b.limit.Members(), 1))
	if float64(retries+1) > sharedMargin*(b.limit.Ratio*float64(requests)+slack) {
		return false
	}
	b.retries[at]++
	return true
}

// advance empties the slots that have left the window and returns the index of the present one.
func (b *sharedBudget) advance() int {
	width := int64(b.limit.Window) / windowSlots
	now := b.limit.Now().UnixNano() / max(width, 1)
	for n := max(b.slot+1, now-windowSlots+1); n <= now; n++ {
		b.requests[n%windowSlots], b.retries[n%windowSlots] = 0, 0
	}
	b.slot = max(b.slot, now)
	return int(b.slot % windowSlots)
}
