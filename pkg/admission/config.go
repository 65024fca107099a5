// Package admission decides which requests a daemon passes to its backend server, in which order,
// and which it refuses. It holds no goroutines; time comes from an injected clock.
package admission

import (
	"math"
	"time"

	"golang.org/x/time/rate"

	"kingcupwood.example/kingcupwood/pkg/snapshot"
)

const (
	// lowestRank is the largest rank number that the queue distinguishes; larger ones are treated
	// as lowestRank.
	lowestRank = 9
	// queuePerSlot is the default length of the queue for each declared slot. Deadlines bound the
	// queue before this limit does, unless the deadlines are long.
	queuePerSlot = 32
	// maxHeadroom and minHeadroom bound the factor for the share of an instance in the declared rate.
	// Requests are not spread evenly: selection is random, and when it avoids one slow server of five,
	// each of the others receives a quarter more. Without headroom, that excess would wait behind all
	// protected work.
	maxHeadroom = 1.5
	minHeadroom = 1.05
	// headroomShare is the share of the slots that the protected work of all kinds may need with
	// headroom. More would let a flood of an urgent kind take the declared share of the others.
	headroomShare = 0.9
	// burstSeconds is the burst headroom of a kind, as seconds of its declared rate.
	burstSeconds = 0.5
	// minBurst is the smallest burst in requests. Random arrivals at the declared rate exceed a bucket
	// of n requests about once in 2n requests, and excess work may wait long behind protected work.
	minBurst = 20
	// burstSlotTime bounds a burst by the time for which it occupies all slots. A burst of long
	// requests would block more urgent work that arrives after it has started.
	burstSlotTime = 500 * time.Millisecond
)

// Kind configures admission control for one kind of request.
type Kind struct {
	Name string
	// Rank is the urgency, 1 is the most urgent.
	Rank int
	// Rate is the share of this instance in the declared rate, in requests per second.
	Rate float64
	// ServiceTime is the declared time in a slot; zero means unknown.
	ServiceTime time.Duration
}

// Config is the configuration of a Controller.
type Config struct {
	// Slots is the number of requests that the backend server declares to run at once, at least 1.
	Slots int
	// QueueLimit is the maximum number of waiting requests; zero means a default that depends on
	// Slots.
	QueueLimit int
	Kinds      []Kind
}

// ForService returns the configuration of one instance of svc. The declared rates are divided by
// ready, the number of ready backend servers of the service. slots is the number that the backend
// server announced; if it is zero, the number in svc is used.
func ForService(svc *snapshot.Service, slots, ready int) Config {
	if slots <= 0 {
		slots = svc.Slots
	}
	cfg := Config{Slots: slots, Kinds: make([]Kind, len(svc.Kinds))}
	for i := range svc.Kinds {
		k := &svc.Kinds[i]
		cfg.Kinds[i] = Kind{
			Name:        k.Name,
			Rank:        k.Rank,
			Rate:        k.ExpectedRate / float64(max(ready, 1)),
			ServiceTime: k.ServiceTime,
		}
	}
	return cfg
}

func (c Config) slots() int { return max(c.Slots, 1) }

func (c Config) queueLimit() int {
	if c.QueueLimit > 0 {
		return c.QueueLimit
	}
	return c.slots() * queuePerSlot
}

// declaredSlots returns the number of slots that the declared rates of all kinds up to rank occupy.
func (c Config) declaredSlots(rank int) float64 {
	slots := 0.0
	for _, k := range c.Kinds {
		if k.Rank <= rank {
			slots += k.Rate * k.ServiceTime.Seconds()
		}
	}
	return slots
}

// headroom returns the factor by which the rate of k may exceed its share. If the declared rates
// exceed the capacity, for example after the loss of a failure domain, only the kinds of the same
// or a more urgent rank count, so that less urgent kinds lose their headroom first.
func (c Config) headroom(k Kind) float64 {
	usable := headroomShare * float64(c.slots())
	declared := c.declaredSlots(math.MaxInt)
	if declared > usable {
		declared = c.declaredSlots(k.Rank)
	}
	if declared <= 0 {
		return maxHeadroom
	}
	return min(max(usable/declared, minHeadroom), maxHeadroom)
}

// tokenRate returns the refill rate of the token bucket of k, per second.
func (c Config) tokenRate(k Kind) rate.Limit { return rate.Limit(k.Rate * c.headroom(k)) }

// burst returns the size of the token bucket in requests.
func (c Config) burst(k Kind) int {
	if k.Rate <= 0 {
		return 0
	}
	burst := max(minBurst, int(math.Ceil(k.Rate*burstSeconds)))
	if k.ServiceTime > 0 {
		burst = min(burst, int(burstSlotTime*time.Duration(c.slots())/k.ServiceTime))
	}
	return max(burst, 1)
}
