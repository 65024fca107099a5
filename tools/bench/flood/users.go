package main

import (
	"slices"
	"time"

	"kingcupwood.example/kingcupwood/pkg/admission"
)

// kind is a kind of request. Rate is the declared rate of the whole service per second.
type kind struct {
	Name        string
	Rank        int
	Rate        float64
	Idempotent  bool
	ServiceTime time.Duration
	// Deadline is the time from the caller's request until the caller must have the response.
	Deadline time.Duration
	// Caller is the one-way latency between the callers and the daemons.
	Caller time.Duration
}

// user is a fleet of section 3 of the design: one service with its servers.
type user struct {
	name    string
	domains []string // of the daemons that requests enter through
	servers []string // failure domain of each server
	slots   int
	kinds   []kind // most urgent first
}

func users() []*user { return []*user{pages(), finder(), catalogue()} }

const (
	domainLatency = time.Millisecond       // one way, between failure domains
	localLatency  = 100 * time.Microsecond // one way, inside a failure domain
)

// pages is the service pages of Association: 61% of the slots are declared.
func pages() *user {
	const caller = time.Millisecond
	return &user{
		name:    "pages",
		domains: []string{"a", "a", "a", "b", "b", "b", "c", "c", "c"},
		servers: []string{"a", "a", "b", "c"},
		slots:   12,
		kinds: []kind{
			{"save", 1, 40, false, 30 * time.Millisecond, 800 * time.Millisecond, caller},
			{"view", 2, 1200, true, 20 * time.Millisecond, 500 * time.Millisecond, caller},
			{"preview", 4, 100, true, 40 * time.Millisecond, time.Second, caller},
		},
	}
}

// finder is the service finder of Association: 75% of the slots are declared, most of them by the
// most urgent kind, so that a flood of it has the largest protected part.
func finder() *user {
	const caller = time.Millisecond
	return &user{
		name:    "finder",
		domains: []string{"a", "a", "a", "b", "b", "b", "c", "c", "c"},
		servers: []string{"a", "a", "b", "b", "c"},
		slots:   12,
		kinds: []kind{
			{"search", 2, 1400, true, 25 * time.Millisecond, 600 * time.Millisecond, caller},
			{"listing", 5, 200, true, 50 * time.Millisecond, 2 * time.Second, caller},
		},
	}
}

// catalogue is the service catalogue of Nilufer Su Bahcesi: 60% of the slots are declared. The
// packing line is an internal caller with a short deadline; planting lists hold a slot for long.
func catalogue() *user {
	const caller = 8 * time.Millisecond
	return &user{
		name:    "catalogue",
		domains: []string{"a", "a", "a", "a", "b", "b", "b", "c", "c", "c"},
		servers: []string{"a", "a", "b", "b", "c"},
		slots:   6,
		kinds: []kind{
			{"potsize", 1, 60, true, 8 * time.Millisecond, 100 * time.Millisecond, localLatency},
			{"stock", 2, 300, true, 10 * time.Millisecond, 300 * time.Millisecond, caller},
			{"browse", 3, 350, true, 30 * time.Millisecond, 800 * time.Millisecond, caller},
			{"planting", 6, 10, true, 400 * time.Millisecond, 20 * time.Second, caller},
		},
	}
}

// declaredShare returns the share of the capacity that the declared rates need.
func (u *user) declaredShare() float64 {
	slots := 0.0
	for _, k := range u.kinds {
		slots += k.Rate * k.ServiceTime.Seconds()
	}
	return slots / float64(u.slots*len(u.servers))
}

// scaled returns the user with other declared rates.
func (u *user) scaled(factor float64) *user {
	scaled := *u
	scaled.kinds = slices.Clone(u.kinds)
	for i := range scaled.kinds {
		scaled.kinds[i].Rate *= factor
	}
	return &scaled
}

func (u *user) serverCount() int { return len(u.servers) }

// admission returns the configuration of one server.
func (u *user) admission(ready int) admission.Config {
	cfg := admission.Config{Slots: u.slots}
	for _, k := range u.kinds {
		cfg.Kinds = append(cfg.Kinds, admission.Kind{
			Name: k.Name, Rank: k.Rank, Rate: k.Rate / float64(ready), ServiceTime: k.ServiceTime,
		})
	}
	return cfg
}

// floodRate returns the rate at which requests of k alone ask for times the capacity of the fleet.
func (u *user) floodRate(k *kind, times float64) float64 {
	return times * float64(u.slots*len(u.servers)) / k.ServiceTime.Seconds()
}

func (u *user) longestDeadline() time.Duration {
	longest := time.Duration(0)
	for _, k := range u.kinds {
		longest = max(longest, k.Deadline)
	}
	return longest
}
