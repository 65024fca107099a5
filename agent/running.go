package agent

import (
	"sync"

	"kingcupwood.example/kingcupwood/pkg/fence"
)

// runningAttempts is the set of attempts that the backend server of this daemon is processing. The
// zero value is empty.
type runningAttempts struct {
	mu  sync.Mutex
	ids map[fence.AttemptID]struct{}
}

func (a *runningAttempts) add(id fence.AttemptID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ids == nil {
		a.ids = map[fence.AttemptID]struct{}{}
	}
	a.ids[id] = struct{}{}
}

func (a *runningAttempts) remove(id fence.AttemptID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.ids, id)
}

// contains reports whether the backend server is processing id.
func (a *runningAttempts) contains(id fence.AttemptID) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	_, found := a.ids[id]
	return found
}
