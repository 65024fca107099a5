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

// A fixed seed gives each run the same histories and the same verdict; -rapid.seed overrides it.
func init() { _ = flag.Set("rapid.seed", "1") }

// statuses counts how the running nodes see a member.
func (w *network) statuses(of *node) map[Status]int {
	counts := map[Status]int{}
	for _, n := range w.nodes {
		if status, ok := n.state.StatusOf(of.state.self); ok && n != of && !n.down {
			counts[status]++
		}
	}
	return counts
}

// Guards against records that do not reach all members over a network that loses, duplicates and
// reorders packets.
func TestRecordsConverge(t *testing.T) {
	w := newNetwork(t, 1, 60, 3)
	w.loss, w.duplicate, w.maxDelay = 0.1, 0.1, 80*time.Millisecond
	w.until("join", 30*time.Second, w.agree)
	r := w.nodes[7].state.Local()
	r.State = endpoint.Draining
	w.nodes[7].state.SetLocal(w.now, r)
	w.until("state change", 15*time.Second, w.agree)
}

// Guards against a dead member that stays in views, one that is dropped before the suspicion
// timeout, and one whose record is kept for ever.
func TestKilledMemberIsRemoved(t *testing.T) {
	is := is.New(t)
	w := newNetwork(t, 2, 30, 3)
	w.until("join", 30*time.Second, w.agree)
	w.nodes[4].down = true
	took := w.until("removal", 25*time.Second, w.agree)
	is.True(took >= suspicionFactor*ProbeInterval)
	w.run(DeadRetention + time.Second)
	is.Equal(w.statuses(w.nodes[4]), map[Status]int{})
}

// Guards against accusations by a daemon that was paused: none of the others may become dead or
// change its incarnation on the word of the paused one.
func TestFrozenDaemonAccusesNobody(t *testing.T) {
	is := is.New(t)
	w := newNetwork(t, 3, 24, 3)
	w.until("join", 30*time.Second, w.agree)
	frozen := w.nodes[5]
	for range 5 {
		frozen.frozen = true
		w.run(2 * time.Second)
		w.resume(frozen)
		w.run(5 * time.Second)
		for _, n := range w.nodes {
			if n != frozen {
				is.Equal(n.state.Local().Incarnation, uint64(1000)) // had to refute
				is.Equal(w.statuses(n)[Dead], 0)
			}
		}
	}
	w.until("agreement", 30*time.Second, w.agree)
}

// Guards against accusations by a daemon whose own network failed: apart from the first member that
// did not answer it, nobody may have to refute.
func TestIsolatedDaemonAccusesOneAtMost(t *testing.T) {
	is := is.New(t)
	w := newNetwork(t, 12, 24, 3)
	w.until("join", 30*time.Second, w.agree)
	w.nodes[5].offline = true
	w.run(30 * time.Second)
	w.nodes[5].offline = false
	w.until("return", 30*time.Second, w.agree)
	refuted := 0
	for i, n := range w.nodes {
		if i != 5 && n.state.Local().Incarnation > 1000 {
			refuted++
		}
	}
	is.True(refuted <= 1)
}

// Guards against a daemon that stays dead for others after a pause longer than the suspicion
// timeout.
func TestFrozenDaemonReturns(t *testing.T) {
	is := is.New(t)
	w := newNetwork(t, 4, 24, 3)
	w.until("join", 30*time.Second, w.agree)
	frozen := w.nodes[5]
	frozen.frozen = true
	w.run(30 * time.Second)
	is.Equal(w.statuses(frozen)[Dead], 23)
	w.resume(frozen)
	w.until("return", 15*time.Second, w.agree)
	is.True(frozen.state.Local().Incarnation > 1000)
}

// Guards against a false suspicion that is not refuted.
func TestSuspicionIsRefuted(t *testing.T) {
	is := is.New(t)
	w := newNetwork(t, 5, 12, 1)
	w.until("join", 30*time.Second, w.agree)
	accuser, target := w.nodes[0].state, w.nodes[9].state
	accuser.suspect(w.now, accuser.members[target.self], 1000)
	w.run(4 * time.Second)
	is.True(target.Local().Incarnation > 1000)
	w.until("refutation", 10*time.Second, w.agree)
	is.Equal(w.statuses(w.nodes[9])[Alive], 11)
}

// Guards against a partitioned domain that is noticed late, whose records are dropped, or that is
// not used at once after the partition.
func TestPartitionedDomain(t *testing.T) {
	is := is.New(t)
	w := newNetwork(t, 6, 60, 3)
	w.until("join", 30*time.Second, w.agree)
	w.isolate("domain-1", true)
	marked := func(want bool) func() bool {
		return func() bool {
			for _, n := range w.nodes {
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
	w.until("marked unreachable", 6*time.Second, marked(true))
	w.run(2 * time.Minute)
	for _, n := range w.nodes {
		is.Equal(len(n.state.View().Records), 60)
		is.Equal(w.statuses(n)[Dead], 0)
	}
	w.isolate("domain-1", false)
	w.until("marked reachable", 2*time.Second, marked(false))
	w.until("agreement", 20*time.Second, w.agree)
}

// Guards against an older run of an instance that outlives a restart, also when packets of the
// older run arrive late or the clock went back.
func TestRestartReplacesRecord(t *testing.T) {
	is := is.New(t)
	w := newNetwork(t, 7, 20, 2)
	w.until("join", 30*time.Second, w.agree)
	old := w.nodes[3].state.Local()
	n := w.start(3, "domain-1", 2000)
	w.join(n, w.nodes[0])
	w.until("restart", 15*time.Second, w.agree)
	for _, n := range w.nodes {
		is.Equal(n.state.Merge(w.now, []Entry{{Record: old}, {Record: old, Dead: true, DeadIncarnation: 1000}}), 0)
	}
	is.True(w.agree())
	w.join(w.start(3, "domain-1", 500), w.nodes[0])
	w.until("restart with an earlier clock", 20*time.Second, w.agree)
}

// Guards against a mass restart that does not converge: half of all daemons restart at once.
func TestMassRestartConverges(t *testing.T) {
	w := newNetwork(t, 9, 80, 4)
	w.until("join", 30*time.Second, w.agree)
	for i := 1; i < 80; i += 2 {
		w.nodes[i].down = true
	}
	w.run(time.Second)
	for i := 1; i < 80; i += 2 {
		w.join(w.start(i, w.nodes[i].domain, 2000), w.nodes[i-1])
	}
	for range 10 { // one round of anti-entropy per second, as the Follower does after large changes
		w.run(time.Second)
		w.repairAll()
	}
	w.until("mass restart", 10*time.Second, w.agree)
}

// Guards against a leaving daemon that is kept until the suspicion timeout.
func TestLeaveIsImmediate(t *testing.T) {
	w := newNetwork(t, 10, 30, 3)
	w.until("join", 30*time.Second, w.agree)
	w.send(w.nodes[8], w.nodes[8].state.Leave(w.now))
	w.run(20 * time.Millisecond)
	w.nodes[8].down = true
	w.until("leave", 5*time.Second, w.agree)
}

// Guards against any history of failures, two at a time, after which the members do not agree
// again, or in which a record reverts (checked in run).
func TestHistories(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newNetwork(t, rapid.Uint64().Draw(rt, "seed"), 9, 3)
		w.loss = rapid.SampledFrom([]float64{0, 0.05, 0.2}).Draw(rt, "loss")
		w.duplicate = rapid.SampledFrom([]float64{0, 0.2}).Draw(rt, "duplicate")
		w.maxDelay = rapid.SampledFrom([]time.Duration{time.Millisecond, 150 * time.Millisecond}).Draw(rt, "delay")
		incarnation := uint64(1000)
		for range rapid.IntRange(1, 8).Draw(rt, "steps") {
			i := rapid.IntRange(0, 8).Draw(rt, "instance")
			n := w.nodes[i]
			switch rapid.IntRange(0, 4).Draw(rt, "action") {
			case 0:
				w.isolate(n.domain, true)
			case 1:
				n.frozen = true
			case 2:
				incarnation += 1000
				w.join(w.start(i, n.domain, incarnation), w.nodes[(i+1)%9])
			case 3:
				r := n.state.Local()
				r.State = rapid.SampledFrom([]endpoint.State{endpoint.Ready, endpoint.Draining, endpoint.Gone}).Draw(rt, "state")
				n.state.SetLocal(w.now, r)
			case 4:
				w.cut = map[string]bool{}
			}
			w.run(time.Duration(rapid.IntRange(1, 20).Draw(rt, "seconds")) * time.Second)
		}
		w.cut, w.loss = map[string]bool{}, 0
		for _, n := range w.nodes {
			if n.frozen {
				w.resume(n)
			}
		}
		w.until("agreement after the failures", 90*time.Second, w.agree)
	})
}

// Guards against a packet from a peer that crashes the daemon or changes its own record.
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

// Guards against packets that exceed the limit once their code is added.
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

// Guards against a daemon that stops, restarts without a seed and stays alone although the others know its
// address, as when the platform is away meanwhile.
func TestRestartWithoutSeeds(t *testing.T) {
	w := newNetwork(t, 12, 9, 3)
	w.until("join", 30*time.Second, w.agree)
	w.send(w.nodes[4], w.nodes[4].state.Leave(w.now))
	w.run(20 * time.Millisecond)
	w.nodes[4].down = true
	w.until("leave", 5*time.Second, w.agree)
	n := w.start(4, "domain-1", 2000)
	w.until("it knows another member", 2*time.Second, func() bool { return n.state.Size() > 1 })
	w.until("all know it", 10*time.Second, func() bool {
		w.repairAll()
		return w.agree()
	})
}

// Guards against records that each member of each domain passes on to all others: bytes between domains grow with
// the number of members then, and a domain tells of its own members anyway.
func TestRecordsCrossFromTheirDomainOnly(t *testing.T) {
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

// Guards against a change that another domain learns of seconds later, with its next anti-entropy: a server that
// drains or has just become ready must be known there within the drain time.
func TestChangesCrossDomainsSoon(t *testing.T) {
	const drainTime = 2 * time.Second // that of the users' deployments
	for seed := range uint64(12) {
		w := newNetwork(t, seed, 9, 3)
		w.until("join", 30*time.Second, w.agree)
		for _, state := range []endpoint.State{endpoint.Draining, endpoint.Ready} {
			n := w.nodes[int(seed)%len(w.nodes)]
			r := n.state.Local()
			r.State = state
			n.state.SetLocal(w.now, r)
			w.until(fmt.Sprintf("seed %d: change to %v", seed, state), drainTime, w.agree)
		}
		leaving := w.nodes[int(seed+1)%len(w.nodes)]
		w.send(leaving, leaving.state.Leave(w.now))
		w.run(20 * time.Millisecond)
		leaving.down = true
		w.until(fmt.Sprintf("seed %d: leave", seed), drainTime, w.agree)
	}
}

// Guards against members of a domain that do not find one another because each has joined through other domains,
// which do not pass records on to the domain that they belong to.
func TestDomainMeetsThroughOthers(t *testing.T) {
	const meet = 5 * time.Second // half of the interval of anti-entropy
	for seed := range uint64(20) {
		w := newNetwork(t, seed, 0, 3)
		for i := range 9 { // each joins through a member of another domain
			w.start(i, fmt.Sprintf("domain-%d", i%3), 1000)
			if i > 0 {
				w.join(w.nodes[i], w.nodes[max(i-1, 0)])
			}
		}
		w.until(fmt.Sprintf("seed %d: all know all", seed), meet, w.agree)
	}
	w := newNetwork(t, 1, 0, 2)
	for i, domain := range []string{"domain-0", "domain-0", "domain-1"} {
		w.start(i, domain, 1000)
	}
	w.join(w.nodes[0], w.nodes[2]) // the two of domain-0 know domain-1 only
	w.join(w.nodes[2], w.nodes[1])
	w.until("the two of domain-0 know each other", meet, w.agree)
}
