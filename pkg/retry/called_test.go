package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// called simulates daemons whose servers of one service ("pages") call another one ("finder") that
// sheds most of its requests. A run of pages whose call fails is repeated within the budget of
// pages; it then calls finder again.
type called struct {
	rng    *rand.Rand
	now    time.Time
	charge bool
	// budgets holds the shares of each daemon in the budgets of both services.
	pages, finder []Limiter
	// requests and repeats hold the times of the requests for finder and of the arrivals there beyond
	// the first one of a request, including all arrivals of calls made by repeated runs.
	requests, repeats []time.Time
	// running and repeating count the runs of each daemon's server in the current second.
	running, repeating []float64
}

const (
	calledDaemons = 9
	calledRatio   = 0.2
	calledSlack   = 58.0
	calledWindow  = 10 * time.Second
	// callsPerRun is the largest number of calls that a run of pages makes.
	callsPerRun = 3
	// shedShare is the share of the requests that finder sheds.
	shedShare = 0.55
)

func newCalled(seed uint64, charge bool) *called {
	c := &called{rng: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0), charge: charge}
	for range calledDaemons {
		shared := NewShared(SharedLimit{
			Ratio: calledRatio, Slack: calledSlack, Window: calledWindow,
			Members: func() int { return calledDaemons }, Now: func() time.Time { return c.now },
		})
		c.pages, c.finder = append(c.pages, shared.Of("pages", "")), append(c.finder, shared.Of("finder", ""))
	}
	c.running, c.repeating = make([]float64, calledDaemons), make([]float64, calledDaemons)
	return c
}

// run runs a request for pages on the server of a random daemon and reports whether it succeeded.
func (c *called) run(repeat bool) bool {
	at := c.rng.IntN(calledDaemons)
	c.running[at]++
	if repeat {
		c.repeating[at]++
	}
	ok := true
	for range callsPerRun {
		if c.rng.Float64() < 0.7 {
			ok = c.call(at, repeat) && ok
		}
	}
	return ok
}

// call sends a request to finder through daemon at, and repeats it once within the budget.
func (c *called) call(at int, fromRepeat bool) bool {
	c.requests = append(c.requests, c.now)
	c.finder[at].Deposit()
	if c.charge {
		c.finder[at].Charge(c.repeating[at] / c.running[at])
	}
	if fromRepeat {
		c.repeats = append(c.repeats, c.now)
	}
	if c.rng.Float64() >= shedShare {
		return true
	}
	if !c.finder[at].Withdraw(false) {
		return false
	}
	c.repeats = append(c.repeats, c.now)
	return c.rng.Float64() >= shedShare
}

// excess plays the given number of seconds and returns the largest number of repeats at finder in a
// window beyond the limit.
func (c *called) excess(seconds int) float64 {
	worst := 0.0
	for range seconds {
		for i := range calledDaemons {
			c.running[i], c.repeating[i] = c.running[i]/2, c.repeating[i]/2
		}
		for range 150 {
			entry := c.rng.IntN(calledDaemons)
			c.pages[entry].Deposit()
			if !c.run(false) && c.pages[entry].Withdraw(true) {
				c.run(true)
			}
			c.now = c.now.Add(time.Second / 150)
			from := c.now.Add(-calledWindow)
			c.requests, c.repeats = since(c.requests, from), since(c.repeats, from)
			limit := calledRatio*float64(len(c.requests)) + calledSlack
			worst = max(worst, float64(len(c.repeats))-limit)
		}
	}
	return worst
}

// since drops the times before from, which come first.
func since(times []time.Time, from time.Time) []time.Time {
	for len(times) > 0 && times[0].Before(from) {
		times = times[1:]
	}
	return times
}

// Pattern: a service sheds half of its requests, and the runs of the service that calls it are
// repeated. Guards against calls of repeated runs that are not counted as retries at the called
// service: together with its own retries they exceed its budget.
func TestCallsOfRepeatedRunsKeepTheBudget(t *testing.T) {
	is := is.New(t)
	exceeded := 0
	for seed := range uint64(20) {
		if newCalled(seed, false).excess(30) > 0 {
			exceeded++
		}
		is.Equal(newCalled(seed, true).excess(30), 0.0)
	}
	t.Logf("without the charge, the budget is exceeded with %d of 20 seeds", exceeded)
	is.True(exceeded > 0) // the load is one that exceeds the budget
}
