package main

import (
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

const (
	domainLatency = time.Millisecond       // one way, between failure domains
	localLatency  = 100 * time.Microsecond // one way, inside a failure domain
)

// association is the service pages of Association: 61% of the slots are declared.
func association() *user {
	const caller = time.Millisecond
	return &user{
		name:    "association",
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

// nilufer is the service catalogue of Nilufer Su Bahcesi: 60% of the slots are declared. The
// packing line is an internal caller with a short deadline; planting lists hold a slot for long.
func nilufer() *user {
	const caller = 8 * time.Millisecond
	return &user{
		name:    "nilufer",
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

func (u *user) mostUrgent() *kind  { return &u.kinds[0] }
func (u *user) leastUrgent() *kind { return &u.kinds[len(u.kinds)-1] }
