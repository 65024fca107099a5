package agent

import (
	"sync"

	"kingcupwood.example/kingcupwood/pkg/fence"
)

// runningAttempts is the set of attempts that the backend server of this daemon is processing. The
// zero value is empty.
type runningAttempts struct {
	mu sync.Mutex
	// ids holds for each attempt whether it is a repeat.
	ids     map[fence.AttemptID]bool
	repeats int
}

// add adds an attempt. repeat means that its request has reached a backend server before.
func (a *runningAttempts) add(id fence.AttemptID, repeat bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ids == nil {
		a.ids = map[fence.AttemptID]bool{}
	}
	a.ids[id] = repeat
	if repeat {
		a.repeats++
	}
}

func (a *runningAttempts) remove(id fence.AttemptID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ids[id] {
		a.repeats--
	}
	delete(a.ids, id)
}

// repeatShare returns the share of repeats among the running attempts. It is the probability that a
// call made by the backend server, which does not say on behalf of which attempt, is made by a
// repeat.
func (a *runningAttempts) repeatShare() float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.ids) == 0 {
		return 0
	}
	return float64(a.repeats) / float64(len(a.ids))
}

// contains reports whether the backend server is processing id.
func (a *runningAttempts) contains(id fence.AttemptID) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	_, found := a.ids[id]
	return found
}
