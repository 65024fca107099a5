package sync

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"kingcupwood.example/kingcupwood/lib/event"
	"kingcupwood.example/kingcupwood/pkg/distribution"
	"kingcupwood.example/kingcupwood/pkg/endpoint"
	"kingcupwood.example/kingcupwood/pkg/membership"
	"kingcupwood.example/kingcupwood/pkg/snapshot"
)

// uncachedPosition derives the parents and the candidacy from all records, without
// a cache.
func uncachedPosition(f *Follower) (parents []endpoint.InstanceID, candidate bool) {
	var live, holders, others []endpoint.InstanceID
	for id, r := range f.cfg.Members.View().Records {
		if r.Domain == f.cfg.Self.Domain {
			live = append(live, id)
		}
	}
	f.cfg.Members.Do(func(_ time.Time, s *membership.State) {
		for _, h := range s.Holders() {
			holders = append(holders, h.Instance)
		}
	})
	for _, id := range live {
		if !slices.Contains(holders, id) {
			others = append(others, id)
		}
	}
	self, domain := f.cfg.Self.Instance, f.cfg.Self.Domain
	rank := slices.Index(distribution.Order(domain, nil, others), self)
	candidate = slices.Contains(holders, self) || (rank >= 0 && rank < leaseCandidates)
	if !slices.Contains(holders, self) {
		return distribution.Parents(self, domain, holders, live), candidate
	}
	return slices.DeleteFunc(holders, func(id endpoint.InstanceID) bool {
		return id == self || !slices.Contains(live, id)
	}), candidate
}

// Guards against a cached position that is not updated after a join, a death, a change of the
// domain or a new lease holder: daemons would then disagree on the tree and could form a cycle.
func TestCachedPositionMatchesUncached(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		entries, now := benchEntries(80), time.Unix(1_800_000_000, 0)
		for i := range entries {
			entries[i].Record.Domain = fmt.Sprintf("domain-%d", i%2)
		}
		self := entries[0].Record
		state := membership.New(membership.Config{Local: self}, now, 1)
		f := NewFollower(Config{Self: self, Members: &benchMembers{state}, Store: NewStore(&fakeCodec{}), Log: event.Nop()})
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			e := &entries[rapid.IntRange(1, len(entries)-1).Draw(rt, "member")]
			switch rapid.SampledFrom([]string{"join", "change", "die", "move", "hold", "hold self"}).Draw(rt, "action") {
			case "join":
				e.Record.Incarnation++
				e.Dead = false
			case "change":
				e.Record.Counter++
			case "die":
				e.Dead, e.DeadIncarnation = true, e.Record.Incarnation
			case "move":
				e.Record.Incarnation++
				e.Record.Domain = fmt.Sprintf("domain-%d", rapid.IntRange(0, 1).Draw(rt, "domain"))
			case "hold":
				state.SetHolder(membership.Holder{Slot: rapid.IntRange(0, 1).Draw(rt, "slot"), Instance: e.Record.Instance, Token: uint64(now.Unix())})
			case "hold self":
				state.SetHolder(membership.Holder{Slot: 1, Instance: self.Instance, Token: uint64(now.Unix())})
			}
			state.Merge(now, []membership.Entry{*e})
			if rapid.Bool().Draw(rt, "tick") { // without a tick the view lags behind the state
				now = now.Add(time.Second)
				state.Tick(now)
			}
			parents, candidate := uncachedPosition(f)
			if !slices.Equal(f.parents(), parents) || f.isCandidate() != candidate {
				rt.Fatalf("cached %v, candidate %v; plain %v, candidate %v", f.parents(), f.isCandidate(), parents, candidate)
			}
		}
	})
}

// Guards against work per poll, attempt to acquire a lease or choice of a peer that grows with the
// number of members. The bound is far below one allocation for each of the 842 members of a domain.
func TestMembershipAllocations(t *testing.T) {
	const limit = 8
	f := newFullSizeFollower()
	for name, call := range map[string]func(){
		"parents": func() { f.parents() }, "candidate": func() { f.isCandidate() }, "repair": func() { f.antiEntropyPeer(2) },
	} {
		if n := testing.AllocsPerRun(100, call); n > limit {
			t.Errorf("%s: %v allocations, at most %d", name, n, limit)
		}
	}
}

// newFullSizeFollower returns a daemon with all records of the design size and two known lease
// holders.
func newFullSizeFollower() *Follower {
	entries := benchEntries(16_000)
	state := membership.New(membership.Config{Local: entries[0].Record}, time.Now(), 1)
	state.Merge(time.Now(), entries)
	state.Tick(time.Now().Add(membership.PublishInterval))
	for slot := range membership.MaxHolders {
		state.SetHolder(membership.Holder{Slot: slot, Instance: entries[19*(slot+5)].Record.Instance, Token: 1})
	}
	store := NewStore(&fakeCodec{})
	if _, err := store.Apply(mustComplete(&fakeCodec{}, snapshot.Version(1))); err != nil {
		panic(err)
	}
	return NewFollower(Config{Self: entries[0].Record, Members: &benchMembers{state}, Store: store, Log: event.Nop()})
}
