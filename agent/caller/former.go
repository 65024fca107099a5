package caller

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"kingcupwood.example/kingcupwood/pkg/endpoint"
)

const (
	// changeWindow is how long after a change the former owners of a key are asked for it. It is longer
	// than daemons take to agree on a change and callers to submit again after a failure.
	changeWindow = 10 * time.Second
	// maxFormer bounds the daemons that are asked for one key, the latest owners first.
	maxFormer = 3
	// maxOwnerSets bounds the sets of owners that are remembered. In a mass restart the oldest are
	// dropped.
	maxOwnerSets = 16
	// pauseLimit is the time without a call of RecordOwners after which the daemon counts as one that was
	// frozen. Its view is old then, and the next owners may have run its keys.
	pauseLimit = 2 * time.Second
)

// ownerSet is the set of instances that could own keys of a service until a time.
type ownerSet struct {
	list  []endpoint.Record // in the order of mayOwn
	until time.Time
}

// ownerHistory remembers the sets of owners of one service from the last changeWindow. Readers load an
// immutable value.
type ownerHistory struct {
	mu    sync.Mutex
	state atomic.Pointer[ownerSets]
	// noted is the time of the last call of RecordOwners, resumed that of the last end of a pause; nil
	// before the first one.
	noted, resumed atomic.Pointer[time.Time]
}

// tick notes a call of RecordOwners.
func (h *ownerHistory) tick(now time.Time) {
	if last := h.noted.Load(); last != nil && now.Sub(*last) > pauseLimit {
		h.resumed.Store(&now)
	}
	h.noted.Store(&now)
}

// wasPaused reports whether the daemon was frozen within the changeWindow before now.
func (h *ownerHistory) wasPaused(now time.Time) bool {
	noted, resumed := h.noted.Load(), h.resumed.Load()
	return noted != nil && now.Sub(*noted) > pauseLimit || resumed != nil && now.Sub(*resumed) < changeWindow
}

type ownerSets struct {
	view    *endpoint.View
	service string
	current []endpoint.Record
	past    []ownerSet // the latest last
}

// note takes over view at the time now and returns the sets of owners of service.
func (h *ownerHistory) note(view *endpoint.View, service string, now time.Time) *ownerSets {
	if s := h.state.Load(); s != nil && s.view == view && s.service == service {
		return s
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	next := &ownerSets{view: view, service: service, current: mayOwn(view, service)}
	if last := h.state.Load(); last != nil && last.service == service {
		next.past = last.past
		if !slices.EqualFunc(last.current, next.current, sameOwner) {
			next.past = last.pastWith(ownerSet{last.current, now}, now)
		}
	}
	h.state.Store(next)
	return next
}

// pastWith returns the past sets that still count at the time now, and set.
func (s *ownerSets) pastWith(set ownerSet, now time.Time) []ownerSet {
	past := make([]ownerSet, 0, len(s.past)+1)
	for _, p := range s.past {
		if now.Sub(p.until) < changeWindow {
			past = append(past, p)
		}
	}
	past = append(past, set)
	return past[max(len(past)-maxOwnerSets, 0):]
}

func sameOwner(a, b endpoint.Record) bool {
	return a.Instance == b.Instance && a.ReadySinceMS == b.ReadySinceMS
}

// formerOwners returns the daemons other than self that owned key within the changeWindow before now or
// own it by the latest view, at most maxFormer. For a daemon that was paused they include the next owner.
func (s *ownerSets) formerOwners(self endpoint.InstanceID, key string, now time.Time, paused bool) []endpoint.Record {
	from := now.Add(-changeWindow)
	var former []endpoint.Record
	add := func(list []endpoint.Record) {
		for _, r := range slices.Backward(ownersAmong(list, key, from)) {
			known := func(other endpoint.Record) bool { return other.Instance == r.Instance }
			if r.Instance != self && len(former) < maxFormer && !slices.ContainsFunc(former, known) {
				former = append(former, r)
			}
		}
	}
	add(s.current)
	if paused {
		isSelf := func(r endpoint.Record) bool { return r.Instance == self }
		add(slices.DeleteFunc(slices.Clone(s.current), isSelf))
	}
	for _, p := range slices.Backward(s.past) {
		if now.Sub(p.until) < changeWindow {
			add(p.list)
		}
	}
	return former
}

// handedOver reports whether the daemon of r has left gracefully and so has handed over its keys: it was
// draining when it was last seen. One that is killed while it drains is taken for such a daemon.
func (s *ownerSets) handedOver(r endpoint.Record) bool {
	if r.State != endpoint.Draining {
		return false
	}
	last, present := s.view.Records[r.Instance]
	return !present || last.Incarnation > r.Incarnation
}
