package caller

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"kingcupwood.example/kingcupwood/pkg/endpoint"
)

const (
	// ownerChangeWindow is the time after an ownership change in which previous owners of a key are
	// queried. It exceeds the time that daemons need to agree on a change and callers need to
	// resubmit after a failure.
	ownerChangeWindow = 10 * time.Second
	// maxPreviousOwners bounds the daemons queried for one key, most recent owners first.
	maxPreviousOwners = 3
	// maxOwnerSets bounds the owner sets kept. In a mass restart the oldest ones are dropped.
	maxOwnerSets = 16
	// maxRecordGap is the longest gap between calls of RecordOwners before the daemon is considered
	// to have been frozen. Its view is then out of date, and the next owners may have run its keys.
	maxRecordGap = 2 * time.Second
)

// ownerSet is the set of instances that were eligible to own keys of a service until a given time.
type ownerSet struct {
	list  []endpoint.Record // in the order of ownerCandidates
	until time.Time
}

// ownerHistory keeps the owner sets of one service within ownerChangeWindow. Readers load an
// immutable value.
type ownerHistory struct {
	mu    sync.Mutex
	state atomic.Pointer[ownerSets]
	// lastRecord is the time of the last call of RecordOwners, resumedAt the end of the last pause;
	// both are nil before the first one.
	lastRecord, resumedAt atomic.Pointer[time.Time]
}

// recordTick records a call of RecordOwners.
func (h *ownerHistory) recordTick(now time.Time) {
	if last := h.lastRecord.Load(); last != nil && now.Sub(*last) > maxRecordGap {
		h.resumedAt.Store(&now)
	}
	h.lastRecord.Store(&now)
}

// wasPaused reports whether the daemon was frozen within the ownerChangeWindow before now.
func (h *ownerHistory) wasPaused(now time.Time) bool {
	lastRecord, resumedAt := h.lastRecord.Load(), h.resumedAt.Load()
	return lastRecord != nil && now.Sub(*lastRecord) > maxRecordGap || resumedAt != nil && now.Sub(*resumedAt) < ownerChangeWindow
}

type ownerSets struct {
	view    *endpoint.View
	service string
	current []endpoint.Record
	past    []ownerSet // the latest last
}

// update applies view at the time now and returns the owner sets of service.
func (h *ownerHistory) update(view *endpoint.View, service string, now time.Time) *ownerSets {
	if s := h.state.Load(); s != nil && s.view == view && s.service == service {
		return s
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	next := &ownerSets{view: view, service: service, current: ownerCandidates(view, service)}
	if last := h.state.Load(); last != nil && last.service == service {
		next.past = last.past
		if !slices.EqualFunc(last.current, next.current, sameOwner) {
			next.past = last.pastWith(ownerSet{last.current, now}, now)
		}
	}
	h.state.Store(next)
	return next
}

// pastWith returns the past sets that are still within ownerChangeWindow, followed by set.
func (s *ownerSets) pastWith(set ownerSet, now time.Time) []ownerSet {
	past := make([]ownerSet, 0, len(s.past)+1)
	for _, p := range s.past {
		if now.Sub(p.until) < ownerChangeWindow {
			past = append(past, p)
		}
	}
	past = append(past, set)
	return past[max(len(past)-maxOwnerSets, 0):]
}

func sameOwner(a, b endpoint.Record) bool {
	return a.Instance == b.Instance && a.ReadySinceMS == b.ReadySinceMS
}

// previousOwners returns at most maxPreviousOwners daemons other than self that owned key within
// ownerChangeWindow or own it in the latest view. For a daemon that was paused it includes the next
// owner.
func (s *ownerSets) previousOwners(self endpoint.InstanceID, key string, now time.Time, paused bool) []endpoint.Record {
	from := now.Add(-ownerChangeWindow)
	var previous []endpoint.Record
	add := func(list []endpoint.Record) {
		for _, r := range slices.Backward(ownersAmong(list, key, from)) {
			known := func(other endpoint.Record) bool { return other.Instance == r.Instance }
			if r.Instance != self && len(previous) < maxPreviousOwners && !slices.ContainsFunc(previous, known) {
				previous = append(previous, r)
			}
		}
	}
	add(s.current)
	if paused {
		isSelf := func(r endpoint.Record) bool { return r.Instance == self }
		add(slices.DeleteFunc(slices.Clone(s.current), isSelf))
	}
	for _, p := range slices.Backward(s.past) {
		if now.Sub(p.until) < ownerChangeWindow {
			add(p.list)
		}
	}
	return previous
}

// handedOver reports whether the daemon of r stopped gracefully and therefore handed over its keys:
// it was draining when last seen. A daemon that is killed while draining is also counted as having
// handed over.
func (s *ownerSets) handedOver(r endpoint.Record) bool {
	if r.State != endpoint.Draining {
		return false
	}
	last, present := s.view.Records[r.Instance]
	return !present || last.Incarnation > r.Incarnation
}
