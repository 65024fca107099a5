package distribution

import (
	"sync"

	"kingcupwood.example/kingcupwood/pkg/snapshot"
)

// FloorMembers is the number of members that a restarted daemon queries for the highest known
// version.
const FloorMembers = 8

// Floor collects answers about the highest accepted version and determines the version below which
// a restarted daemon must not serve. It is safe for concurrent use; the zero value is ready to use.
type Floor struct {
	mu    sync.Mutex
	value snapshot.Version
	known bool
	exact bool
}

// AddPlatform adds the answer of the platform, which makes the floor exact.
func (f *Floor) AddPlatform(v snapshot.Version) { f.Add(v, true) }

// AddMember adds the answer of a member. Version 0 is ignored: the member has itself just started.
func (f *Floor) AddMember(v snapshot.Version) {
	if v > 0 {
		f.Add(v, false)
	}
}

// Add adds a floor that was determined elsewhere, and whether the platform was among its answers.
func (f *Floor) Add(v snapshot.Version, exact bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.value = max(f.value, v)
	f.known = true
	f.exact = f.exact || exact
}

// Value returns the floor and whether there was any answer. Without an answer no version may be
// served.
func (f *Floor) Value() (floor snapshot.Version, known bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.value, f.known
}

// Exact reports whether the platform has answered.
func (f *Floor) Exact() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.exact
}

// MayServe reports whether a daemon may serve with version v.
func (f *Floor) MayServe(v snapshot.Version) bool {
	floor, known := f.Value()
	return known && v > 0 && v >= floor
}
