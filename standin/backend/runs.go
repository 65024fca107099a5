package backend

import (
	"maps"
	"sync"
)

// RequestIDHeader carries the ID that a test or load generator gives a request; all attempts of the
// request share it.
const RequestIDHeader = "X-Request-Id"

// maxRunIDs limits the number of request IDs that are counted separately. Runs of further IDs count
// only towards the total and the overflow.
const maxRunIDs = 1 << 20

// RunReport is the response of the runs endpoint: how often requests have run on this server.
type RunReport struct {
	// Total is the number of runs, Distinct the number of recorded request IDs.
	Total    int `json:"total"`
	Distinct int `json:"distinct"`
	// Repeated maps each request ID that has run more than once to its number of runs. Runs does so
	// for every recorded request ID, so that the runs on several servers can be added up.
	Repeated map[string]int `json:"repeated"`
	Runs     map[string]int `json:"runs"`
	// Overflow is the number of runs whose request ID was not recorded because of maxRunIDs.
	Overflow int `json:"overflow"`
}

// runs counts the runs by request ID.
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
