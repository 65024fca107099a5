package membership

import (
	"flag"
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"kingcupwood.example/kingcupwood/pkg/endpoint"
)

// A fixed seed makes runs reproducible; -rapid.seed overrides it.
func init() { _ = flag.Set("rapid.seed", "1") }

// statuses counts the statuses that the running nodes have for a member.
func (nw *network) statuses(of *node) map[Status]int {
	counts := map[Status]int{}
	for _, n := range nw.nodes {
		if status, ok := n.state.StatusOf(of.state.self); ok && n != of && !n.down {
			counts[status]++
		}
	}
	return counts
}

// Guards against records that do not reach all members if the network loses, duplicates and
// reorders packets.
func TestRecordsConverge(t *testing.T) {
	nw := newNetwork(t, 1, 60, 3)
	nw.loss, nw.duplicate, nw.maxDelay = 0.1, 0.1, 80*time.Millisecond
	nw.until("join", 30*time.Second, nw.agree)
	r := nw.nodes[7].state.Local()
	r.State = endpoint.Draining
	nw.nodes[7].state.SetLocal(nw.now, r)
	nw.until("state change", 15*time.Second, nw.agree)
}

// Guards against a dead member that stays in views, one that is removed before the suspicion
// timeout, and one whose record is never deleted.
func TestKilledMemberIsRemoved(t *testing.T) {
	is := is.New(t)
	nw := newNetwork(t, 2, 30, 3)
	nw.until("join", 30*time.Second, nw.agree)
	nw.nodes[4].down = true
	took := nw.until("removal", 25*time.Second, nw.agree)
	is.True(took >= suspicionFactor*ProbeInterval)
	nw.run(DeadRetention + time.Second)
	is.Equal(nw.statuses(nw.nodes[4]), map[Status]int{})
}

// Guards against false suspicions by a daemon that was paused: no other member may be declared dead
// or have to raise its incarnation because of it.
func TestPausedDaemonSuspectsNoOthers(t *testing.T) {
	is := is.New(t)
	nw := newNetwork(t, 3, 24, 3)
	nw.until("join", 30*time.Second, nw.agree)
	paused := nw.nodes[5]
	for range 5 {
		paused.paused = true
		nw.run(2 * time.Second)
		nw.resume(paused)
		nw.run(5 * time.Second)
		for _, n := range nw.nodes {
			if n != paused {
				is.Equal(n.state.Local().Incarnation, uint64(1000)) // had to refute
				is.Equal(nw.statuses(n)[Dead], 0)
			}
		}
	}
	nw.until("agreement", 30*time.Second, nw.agree)
}

// Guards against false suspicions by a daemon whose own network failed: only the first member that
// did not answer it may have to refute one.
func TestIsolatedDaemonSuspectsAtMostOne(t *testing.T) {
	is := is.New(t)
	nw := newNetwork(t, 12, 24, 3)
	nw.until("join", 30*time.Second, nw.agree)
	nw.nodes[5].offline = true
	nw.run(30 * time.Second)
	nw.nodes[5].offline = false
	nw.until("return", 30*time.Second, nw.agree)
	refuted := 0
	for i, n := range nw.nodes {
		if i != 5 && n.state.Local().Incarnation > 1000 {
			refuted++
		}
	}
	is.True(refuted <= 1)
}

// Guards against a daemon that other members keep as dead after a pause longer than the suspicion
// timeout.
func TestPausedDaemonRejoins(t *testing.T) {
	is := is.New(t)
	nw := newNetwork(t, 4, 24, 3)
	nw.until("join", 30*time.Second, nw.agree)
	paused := nw.nodes[5]
	paused.paused = true
	nw.run(30 * time.Second)
	is.Equal(nw.statuses(paused)[Dead], 23)
	nw.resume(paused)
	nw.until("return", 15*time.Second, nw.agree)
	is.True(paused.state.Local().Incarnation > 1000)
}

// Guards against a false suspicion that is not refuted.
func TestSuspicionIsRefuted(t *testing.T) {
	is := is.New(t)
	nw := newNetwork(t, 5, 12, 1)
	nw.until("join", 30*time.Second, nw.agree)
	observer, target := nw.nodes[0].state, nw.nodes[9].state
	observer.markSuspect(nw.now, observer.members[target.self], 1000)
	nw.run(4 * time.Second)
	is.True(target.Local().Incarnation > 1000)
	nw.until("refutation", 10*time.Second, nw.agree)
	is.Equal(nw.statuses(nw.nodes[9])[Alive], 11)
}

// Guards against a partitioned domain that is detected late, whose records are dropped, or that is
// still marked unreachable after the partition has ended.
func TestPartitionedDomain(t *testing.T) {
	is := is.New(t)
	nw := newNetwork(t, 6, 60, 3)
	nw.until("join", 30*time.Second, nw.agree)
	nw.isolate("domain-1", true)
	marked := func(want bool) func() bool {
		return func() bool {
			for _, n := range nw.nodes {
				for _, domain := range []string{"domain-0", "domain-1", "domain-2"} {
					cut := n.domain != domain && (n.domain == "domain-1" || domain == "domain-1")
					if n.state.View().Unreachable[domain] != (cut && want) {
						return false
					}
				}
			}
			return true
		}
	}
	nw.until("marked unreachable", 6*time.Second, marked(true))
	nw.run(2 * time.Minute)
	for _, n := range nw.nodes {
		is.Equal(len(n.state.View().Records), 60)
		is.Equal(nw.statuses(n)[Dead], 0)
	}
	nw.isolate("domain-1", false)
	nw.until("marked reachable", 2*time.Second, marked(false))
	nw.until("agreement", 20*time.Second, nw.agree)
}

// Guards against the record of an earlier run of an instance that survives a restart, also when
// packets of the earlier run arrive late or the clock was set back.
func TestRestartReplacesRecord(t *testing.T) {
	is := is.New(t)
	nw := newNetwork(t, 7, 20, 2)
	nw.until("join", 30*time.Second, nw.agree)
	old := nw.nodes[3].state.Local()
	n := nw.start(3, "domain-1", 2000)
	nw.join(n, nw.nodes[0])
	nw.until("restart", 15*time.Second, nw.agree)
	for _, n := range nw.nodes {
		is.Equal(n.state.Merge(nw.now, []Entry{{Record: old}, {Record: old, Dead: true, DeadIncarnation: 1000}}), 0)
	}
	is.True(nw.agree())
	nw.join(nw.start(3, "domain-1", 500), nw.nodes[0])
	nw.until("restart with an earlier clock", 20*time.Second, nw.agree)
}

// Guards against a mass restart that does not converge: half of all daemons restart at once.
func TestMassRestartConverges(t *testing.T) {
	nw := newNetwork(t, 9, 80, 4)
	nw.until("join", 30*time.Second, nw.agree)
	for i := 1; i < 80; i += 2 {
		nw.nodes[i].down = true
	}
	nw.run(time.Second)
	for i := 1; i < 80; i += 2 {
		nw.join(nw.start(i, nw.nodes[i].domain, 2000), nw.nodes[i-1])
	}
	for range 10 { // one anti-entropy exchange per second, as sync.Follower does after large changes
		nw.run(time.Second)
		nw.repairAll()
	}
	nw.until("mass restart", 10*time.Second, nw.agree)
}

// Guards against a leaving daemon that is kept until the suspicion timeout.
func TestLeaveIsImmediate(t *testing.T) {
	nw := newNetwork(t, 10, 30, 3)
	nw.until("join", 30*time.Second, nw.agree)
	nw.send(nw.nodes[8], nw.nodes[8].state.Leave(nw.now))
	nw.run(20 * time.Millisecond)
	nw.nodes[8].down = true
	nw.until("leave", 5*time.Second, nw.agree)
}

// Guards against sequences of failures after which the members do not converge, or during which a
// record reverts to an older version (checked in run).
func TestConvergenceAfterFailures(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		nw := newNetwork(t, rapid.Uint64().Draw(rt, "seed"), 9, 3)
		nw.loss = rapid.SampledFrom([]float64{0, 0.05, 0.2}).Draw(rt, "loss")
		nw.duplicate = rapid.SampledFrom([]float64{0, 0.2}).Draw(rt, "duplicate")
		nw.maxDelay = rapid.SampledFrom([]time.Duration{time.Millisecond, 150 * time.Millisecond}).Draw(rt, "delay")
		incarnation := uint64(1000)
		for range rapid.IntRange(1, 8).Draw(rt, "steps") {
			i := rapid.IntRange(0, 8).Draw(rt, "instance")
			n := nw.nodes[i]
			switch rapid.IntRange(0, 4).Draw(rt, "action") {
			case 0:
				nw.isolate(n.domain, true)
			case 1:
				n.paused = true
			case 2:
				incarnation += 1000
				nw.join(nw.start(i, n.domain, incarnation), nw.nodes[(i+1)%9])
			case 3:
				r := n.state.Local()
				r.State = rapid.SampledFrom([]endpoint.State{endpoint.Ready, endpoint.Draining, endpoint.Gone}).Draw(rt, "state")
				n.state.SetLocal(nw.now, r)
			case 4:
				nw.cut = map[string]bool{}
			}
			nw.run(time.Duration(rapid.IntRange(1, 20).Draw(rt, "seconds")) * time.Second)
		}
		nw.cut, nw.loss = map[string]bool{}, 0
		for _, n := range nw.nodes {
			if n.paused {
				nw.resume(n)
			}
		}
		nw.until("agreement after the failures", 90*time.Second, nw.agree)
	})
}

// Guards against a packet that crashes the daemon or changes its own record.
func FuzzReceive(f *testing.F) {
	a := New(Config{Local: testRecord(1, "domain-0", 1000)}, epoch, 1)
	b := New(Config{Local: testRecord(2, "domain-1", 1000)}, epoch, 2)
	a.Merge(epoch, b.AllEntries())
	for i := range 30 {
		for _, p := range a.Tick(epoch.Add(time.Duration(i) * TickInterval)) {
			f.Add(p.Data)
		}
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		s := New(Config{Local: testRecord(2, "domain-1", 1000)}, epoch, 2)
		s.Merge(epoch, a.AllEntries())
		for i := range 3 {
			for _, p := range s.Receive(epoch, netip.MustParseAddrPort("10.0.0.1:7002"), data) {
				if len(p.Data) > MaxPacketBytes {
					t.Fatalf("answer of %d bytes", len(p.Data))
				}
			}
			s.Tick(epoch.Add(time.Duration(i) * time.Second))
		}
		if local := s.Local(); local.Service != "service-0002" || local.Incarnation < 1000 {
			t.Fatalf("own record changed to %v", local)
		}
	})
}

// Guards against packets that exceed the limit once the authentication code is added.
func TestReserve(t *testing.T) {
	const reserve = 32
	sizes := map[int]int{}
	for _, left := range []int{0, reserve} {
		s := New(Config{Local: testRecord(1, "domain-0", 1000), Reserve: left}, epoch, 1)
		for i := range 100 {
			s.Merge(epoch, []Entry{{Record: testRecord(i+2, "domain-0", 1000)}})
		}
		for i := range 50 {
			for _, p := range s.Tick(epoch.Add(time.Duration(i) * TickInterval)) {
				sizes[left] = max(sizes[left], len(p.Data))
			}
		}
	}
	if sizes[0] <= MaxPacketBytes-reserve || sizes[reserve] > MaxPacketBytes-reserve {
		t.Fatalf("largest packets by reserve: %v", sizes)
	}
}

// Guards against a daemon that restarts without seeds, as while the platform is unavailable, and
// does not rejoin although the other members know its address.
func TestRestartWithoutSeeds(t *testing.T) {
	nw := newNetwork(t, 12, 9, 3)
	nw.until("join", 30*time.Second, nw.agree)
	nw.send(nw.nodes[4], nw.nodes[4].state.Leave(nw.now))
	nw.run(20 * time.Millisecond)
	nw.nodes[4].down = true
	nw.until("leave", 5*time.Second, nw.agree)
	n := nw.start(4, "domain-1", 2000)
	nw.until("restarted daemon has another member", 2*time.Second, func() bool { return n.state.Size() > 1 })
	nw.until("all members agree", 10*time.Second, func() bool {
		nw.repairAll()
		return nw.agree()
	})
}

// Guards against members that gossip records of other domains across domains: the traffic between
// domains would grow with the number of members, and each domain announces its own members anyway.
func TestRecordsAreSentByOwnDomainOnly(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	record := func(name, domain string) endpoint.Record {
		return endpoint.Record{
			Instance: endpoint.InstanceID(name), Domain: domain, Incarnation: 1, State: endpoint.Ready, Service: "pages",
			CallAddr: "10.0.0.1:1", RPCAddr: "10.0.0.1:2", ProbeAddr: "10.0.0.1:3", AdminAddr: "10.0.0.1:4",
		}
	}
	s := New(Config{Local: record("a1", "a")}, now, 1)
	queued := func(remote bool) (names []endpoint.InstanceID) {
		for _, data := range s.queue.take(MaxPacketBytes, 100, remote) {
			u, err := decodeUpdate(data)
			is.NoErr(err)
			if u.Kind == updateRecord {
				names = append(names, u.Record.Instance)
			} else {
				names = append(names, u.Instance)
			}
		}
		slices.Sort(names)
		return names
	}
	for _, r := range []endpoint.Record{record("a2", "a"), record("b1", "b"), record("c1", "c")} {
		s.apply(now, update{Kind: updateRecord, Record: &r})
	}
	is.Equal(queued(true), []endpoint.InstanceID{"a1", "a2"})
	is.Equal(queued(false), []endpoint.InstanceID{"a1", "a2", "b1", "c1"})
	s.apply(now, update{Kind: updateDead, Instance: "b1", Incarnation: 1})
	is.Equal(queued(true), []endpoint.InstanceID{"a1", "a2"})
}

// Guards against changes that reach other domains only with the next anti-entropy exchange: a
// server that drains or becomes ready must be known there within the drain time.
func TestChangesReachOtherDomainsSoon(t *testing.T) {
	const drainTime = 2 * time.Second // that of the users' deployments
	for seed := range uint64(12) {
		nw := newNetwork(t, seed, 9, 3)
		nw.until("join", 30*time.Second, nw.agree)
		for _, state := range []endpoint.State{endpoint.Draining, endpoint.Ready} {
			n := nw.nodes[int(seed)%len(nw.nodes)]
			r := n.state.Local()
			r.State = state
			n.state.SetLocal(nw.now, r)
			nw.until(fmt.Sprintf("seed %d: change to %v", seed, state), drainTime, nw.agree)
		}
		leaving := nw.nodes[int(seed+1)%len(nw.nodes)]
		nw.send(leaving, leaving.state.Leave(nw.now))
		nw.run(20 * time.Millisecond)
		leaving.down = true
		nw.until(fmt.Sprintf("seed %d: leave", seed), drainTime, nw.agree)
	}
}

// Guards against members of a domain that do not discover each other because each joined through
// another domain, whose members do not gossip records back to the domain they belong to.
func TestMembersOfDomainJoinedThroughOthers(t *testing.T) {
	const limit = 5 * time.Second // half of the interval of anti-entropy
	for seed := range uint64(20) {
		nw := newNetwork(t, seed, 0, 3)
		for i := range 9 { // each joins through a member of another domain
			nw.start(i, fmt.Sprintf("domain-%d", i%3), 1000)
			if i > 0 {
				nw.join(nw.nodes[i], nw.nodes[max(i-1, 0)])
			}
		}
		nw.until(fmt.Sprintf("seed %d: all members agree", seed), limit, nw.agree)
	}
	nw := newNetwork(t, 1, 0, 2)
	for i, domain := range []string{"domain-0", "domain-0", "domain-1"} {
		nw.start(i, domain, 1000)
	}
	nw.join(nw.nodes[0], nw.nodes[2]) // the members of domain-0 know only domain-1
	nw.join(nw.nodes[2], nw.nodes[1])
	nw.until("the members of domain-0 know each other", limit, nw.agree)
}
