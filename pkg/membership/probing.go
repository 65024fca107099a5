package membership

import (
	"net/netip"
	"slices"
	"time"
)

// probe is a ping that waits for its ack.
type probe struct {
	seq    uint64
	target *member
	// remote is the failure domain of a target in another one, nil for the own one. A failure
	// concerns the domain and not the target.
	remote   *domain
	indirect bool
	// trusted tells that this daemon trusted its own state when it sent the ping. Timeouts are long
	// after a failure of the own network, so a ping sent during it may fail after it.
	trusted  bool
	deadline time.Time
	// end is the time at which an indirect probe has failed.
	end time.Time
}

// relay is a ping sent for another member.
type relay struct {
	seq       uint64
	origin    netip.AddrPort
	originSeq uint64
	remote    bool
	deadline  time.Time
}

// Tick advances the protocol to now and returns the packets to send. It is expected every
// TickInterval; a late call is taken as a sign that this daemon was paused.
func (s *State) Tick(now time.Time) []Packet {
	s.noticePause(now)
	s.expireRelays(now)
	s.expireProbes(now)
	s.expireSuspects(now)
	s.forgetDead(now)
	if !now.Before(s.nextProbe) && !s.leaving {
		s.nextProbe = s.nextProbe.Add(ProbeInterval)
		if s.nextProbe.Before(now) {
			s.nextProbe = now.Add(ProbeInterval)
		}
		s.probeRound(now)
	}
	if !s.leaving {
		s.probeRemote(now)
	}
	s.announceVersion()
	s.announceRecord()
	s.publish(now)
	return s.take()
}

// noticePause drops the evidence gathered before a pause of this daemon: acks may have been lost or
// may still wait in the socket, and refutations were not received.
func (s *State) noticePause(now time.Time) {
	gap := now.Sub(s.lastTick)
	s.lastTick = now
	if gap <= lateTick {
		return
	}
	s.trusted = false
	s.raiseHealth()
	s.probes, s.relays = nil, nil
	for _, d := range s.sorted {
		d.failed, d.checking = nil, 0
	}
	for _, m := range s.suspects {
		if !m.suspectUntil.IsZero() {
			m.suspectUntil = m.suspectUntil.Add(gap)
		}
	}
}

func (s *State) probeRound(now time.Time) {
	own := s.domainOf(s.local.record.Domain)
	if m := own.nextTarget(s.rng.IntN); m != nil {
		s.startProbe(now, m)
	}
	if list := s.remoteDomains(func(d *domain) bool { return d.unreachable }); len(list) > 0 {
		s.startProbe(now, list[s.rng.IntN(len(list))].nextTarget(s.rng.IntN))
	}
	s.greetDead()
}

// greetDead sends a ping to a dead member now and then. One that has restarted at its address knows nobody if
// its seeds and the platform are away; the ping tells it of this member and asks for its new record. All
// members together send each dead one about greetRate pings per second.
func (s *State) greetDead() {
	if len(s.dead) == 0 || s.rng.Float64()*float64(s.Size()) > greetRate*float64(len(s.dead)) {
		return
	}
	m := s.dead[s.rng.IntN(len(s.dead))]
	s.seq++
	local := s.local.record
	s.send(m.addr, true, message{Kind: kindPing, Seq: s.seq, Target: m.record.Instance}, update{Kind: updateRecord, Record: &local})
}

// probeRemote probes a member of another domain once in remoteInterval. The members of a domain share
// the other domains: their turns are spread over the interval by rank and go round the domains, so that
// n members probe each of d domains every remoteInterval*d/n. With random choices the gaps
// have no bound. Clocks that differ only make them uneven.
func (s *State) probeRemote(now time.Time) {
	rank, members := s.rank()
	phase := remoteInterval * time.Duration(rank) / time.Duration(members)
	turn := now.Add(-phase).UnixMilli() / remoteInterval.Milliseconds()
	if turn <= s.remoteTurn {
		return
	}
	s.remoteTurn = turn
	list := s.remoteDomains(func(*domain) bool { return true })
	if len(list) == 0 {
		return
	}
	// The slow shift lets a member go round all domains if their number divides that of the members. It is
	// subtracted, so that a domain is probed once more and not once less.
	at := turn*int64(members) + int64(rank) - turn/remoteShift
	if d := list[at%int64(len(list))]; !d.unreachable { // unreachable ones are probed each round
		s.startProbe(now, d.nextTarget(s.rng.IntN))
	}
}

// rank returns the place of this daemon among the members of its domain in order of instance, and their
// number.
func (s *State) rank() (place, members int) {
	own := s.view.Load().Own.Instances
	place, _ = slices.BinarySearch(own, s.self)
	return place, len(own)
}

// remoteDomains returns the other domains that have members and are wanted.
func (s *State) remoteDomains(wanted func(*domain) bool) []*domain {
	var list []*domain
	for _, d := range s.sorted {
		if s.remote(d.name) && len(d.order) > 0 && wanted(d) {
			list = append(list, d)
		}
	}
	return list
}

func (s *State) startProbe(now time.Time, m *member) {
	s.seq++
	p := &probe{seq: s.seq, target: m, trusted: s.trusted}
	p.deadline = now.Add(s.scaled(ProbeTimeout))
	p.end = now.Add(s.scaled(ProbeInterval))
	if s.remote(m.record.Domain) {
		p.remote = s.domainOf(m.record.Domain)
		p.remote.checking++
	}
	s.probes = append(s.probes, p)
	s.sendTo(m, message{Kind: kindPing, Seq: p.seq, Target: m.record.Instance})
}

func (s *State) expireProbes(now time.Time) {
	waiting := s.probes
	s.probes = nil
	for _, p := range waiting {
		switch {
		case now.Before(p.deadline):
			s.probes = append(s.probes, p)
		case p.remote != nil:
			s.remoteFailed(now, p)
		case !p.indirect && now.Before(p.end):
			s.probeIndirectly(p)
			s.probes = append(s.probes, p)
		default:
			s.probeFailed(now, p)
		}
	}
}

func (s *State) probeIndirectly(p *probe) {
	p.indirect = true
	p.deadline = p.end
	for _, helper := range s.sample(s.domainOf(p.target.record.Domain), indirectProbes, p.target) {
		s.sendTo(helper, message{Kind: kindIndirect, Seq: p.seq, Target: p.target.record.Instance})
	}
}

// probeFailed accuses the target of a probe if this daemon has reason to trust its own state.
func (s *State) probeFailed(now time.Time, p *probe) {
	accuse := s.trusted && p.trusted
	s.trusted = false
	s.raiseHealth()
	if accuse && s.members[p.target.record.Instance] == p.target && p.target.status == Alive {
		s.suspect(now, p.target, p.target.record.Incarnation)
	}
}

// acked ends the probe with the given sequence number and reports whether there was one.
func (s *State) acked(now time.Time, seq uint64) bool {
	at := slices.IndexFunc(s.probes, func(p *probe) bool { return p.seq == seq })
	if at < 0 {
		return false
	}
	p := s.probes[at]
	s.probes = slices.Delete(s.probes, at, at+1)
	s.trusted = true
	s.health = max(0, s.health-1)
	if p.remote != nil {
		s.domainAnswered(now, p.remote)
	}
	return true
}

func (s *State) addRelay(now time.Time, from netip.AddrPort, m *message) {
	target := s.members[m.Target]
	if target == nil || target == s.local || len(s.relays) >= maxRelays {
		return
	}
	s.seq++
	r := &relay{seq: s.seq, origin: from, originSeq: m.Seq, remote: s.remoteSender(m), deadline: now.Add(ProbeTimeout)}
	s.relays = append(s.relays, r)
	s.sendTo(target, message{Kind: kindPing, Seq: r.seq, Target: m.Target})
}

func (s *State) relayed(seq uint64) {
	at := slices.IndexFunc(s.relays, func(r *relay) bool { return r.seq == seq })
	if at < 0 {
		return
	}
	r := s.relays[at]
	s.relays = slices.Delete(s.relays, at, at+1)
	s.send(r.origin, r.remote, message{Kind: kindAck, Seq: r.originSeq})
}

func (s *State) expireRelays(now time.Time) {
	waiting := s.relays
	s.relays = nil
	for _, r := range waiting {
		if now.Before(r.deadline) {
			s.relays = append(s.relays, r)
			continue
		}
		s.send(r.origin, r.remote, message{Kind: kindNack, Seq: r.originSeq})
	}
}
