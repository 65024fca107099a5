package backend

import (
	"maps"
	"sync"
)

// RequestIDHeader identifies a request of the test or load generator across its attempts.
const RequestIDHeader = "X-Request-Id"

// maxRunIDs bounds the request IDs that are remembered; later ones are counted in total only.
const maxRunIDs = 1 << 20

// RunReport tells how often requests have run.
type RunReport struct {
	// Total is the number of runs, Distinct that of the request IDs seen.
	Total    int `json:"total"`
	Distinct int `json:"distinct"`
	// Repeated holds the number of runs of each request ID that has run more than once, Runs that of
	// every request ID, so that runs on several servers can be added up.
	Repeated map[string]int `json:"repeated"`
	Runs     map[string]int `json:"runs"`
	// Overflow is the number of runs that were not recorded by ID.
	Overflow int `json:"overflow"`
}

// runs counts the runs of each request.
type runs struct {
	mu       sync.Mutex
	byID     map[string]int
	total    int
	overflow int
}

func (r *runs) add(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.total++
	_, known := r.byID[id]
	switch {
	case id == "":
	case known || len(r.byID) < maxRunIDs:
		if r.byID == nil {
			r.byID = map[string]int{}
		}
		r.byID[id]++
	default:
		r.overflow++
	}
}

func (r *runs) count(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.byID[id]
}

func (r *runs) report() RunReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	report := RunReport{Total: r.total, Distinct: len(r.byID), Repeated: map[string]int{}, Runs: maps.Clone(r.byID), Overflow: r.overflow}
	for id, n := range r.byID {
		if n > 1 {
			report.Repeated[id] = n
		}
	}
	return report
}
