package membership

import (
	"net/netip"
	"slices"
	"time"
)

// probe is a ping whose ack is outstanding.
type probe struct {
	seq    uint64
	target *member
	// remote is the failure domain of a target in another domain, nil for the local one. A failed
	// remote probe counts against the domain and not the target.
	remote   *domain
	indirect bool
	// locallyHealthy is the value of State.locallyHealthy when the ping was sent. After a failure
	// of the local network timeouts are long, so a ping sent during the failure may time out after
	// it.
	locallyHealthy bool
	deadline       time.Time
	// failAt is the time at which the probe fails even if indirect probes are outstanding.
	failAt time.Time
}

// relay is a ping sent on behalf of another member.
type relay struct {
	seq       uint64
	origin    netip.AddrPort
	originSeq uint64
	remote    bool
	deadline  time.Time
}

// Tick advances the protocol to now and returns the packets to send. It must be called every
// TickInterval; a late call indicates that this daemon was paused.
func (s *State) Tick(now time.Time) []Packet {
	s.detectPause(now)
	s.expireRelays(now)
	s.expireProbes(now)
	s.expireSuspects(now)
	s.removeExpiredDead(now)
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

// detectPause discards outstanding probes and failure counts after a pause of this daemon: acks may
// have been lost or may still be in the socket buffer, and refutations were not received.
func (s *State) detectPause(now time.Time) {
	gap := now.Sub(s.lastTick)
	s.lastTick = now
	if gap <= maxTickGap {
		return
	}
	s.locallyHealthy = false
	s.raiseHealth()
	s.probes, s.relays = nil, nil
	for _, d := range s.sorted {
		d.failed, d.pendingProbes = nil, 0
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
	s.pingDead()
}

// pingDead occasionally pings a random dead member. A daemon that restarts at its address while its
// seeds and the platform are unavailable has no other way to discover members; the ping contains
// the record of this member and requests the new record of the receiver. All members together send
// each dead member about deadPingRate pings per second.
func (s *State) pingDead() {
	if len(s.dead) == 0 || s.rng.Float64()*float64(s.Size()) > deadPingRate*float64(len(s.dead)) {
		return
	}
	m := s.dead[s.rng.IntN(len(s.dead))]
	s.seq++
	local := s.local.record
	s.send(m.addr, true, message{Kind: kindPing, Seq: s.seq, Target: m.record.Instance}, update{Kind: updateRecord, Record: &local})
}

// probeRemote probes a member of another domain once per remoteEvery. The members of a domain
// divide the other domains among themselves: their turns are spread over the interval by rank and
// iterate over the domains, so that n members probe each of d domains every remoteEvery*d/n.
// With random choices the gaps between probes would be unbounded; clock differences only make them
// uneven.
func (s *State) probeRemote(now time.Time) {
	rank, members := s.rank()
	list := s.remoteDomains(func(*domain) bool { return true })
	every := min(remoteInterval, max(TickInterval, domainInterval*time.Duration(members)/time.Duration(max(1, len(list)))))
	phase := every * time.Duration(rank) / time.Duration(members)
	turn := now.Add(-phase).UnixMilli() / every.Milliseconds()
	if every != s.remoteEvery { // turns of another length have other numbers
		s.remoteEvery, s.remoteTurn = every, turn
		return
	}
	if turn <= s.remoteTurn {
		return
	}
	s.remoteTurn = turn
	if len(list) == 0 {
		return
	}
	// The slow shift makes each member iterate over all domains even if the number of domains
	// divides the number of members. It is subtracted, so that a domain is probed once too often
	// rather than skipped.
	at := turn*int64(members) + int64(rank) - turn/remoteShift
	if d := list[at%int64(len(list))]; !d.unreachable { // unreachable domains are probed by probeRound
		s.startProbe(now, d.nextTarget(s.rng.IntN))
	}
}

// rank returns the position of this daemon among the members of its domain sorted by instance, and
// the number of members.
func (s *State) rank() (position, members int) {
	own := s.view.Load().Own.Instances
	position, _ = slices.BinarySearch(own, s.self)
	return position, len(own)
}

// remoteDomains returns the other domains that have members and for which match returns true.
func (s *State) remoteDomains(match func(*domain) bool) []*domain {
	var list []*domain
	for _, d := range s.sorted {
		if s.isRemote(d.name) && len(d.order) > 0 && match(d) {
			list = append(list, d)
		}
	}
	return list
}

func (s *State) startProbe(now time.Time, m *member) {
	s.seq++
	p := &probe{seq: s.seq, target: m, locallyHealthy: s.locallyHealthy}
	p.deadline = now.Add(s.scaled(ProbeTimeout))
	p.failAt = now.Add(s.scaled(ProbeInterval))
	if s.isRemote(m.record.Domain) {
		p.remote = s.domainOf(m.record.Domain)
		p.remote.pendingProbes++
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
		case !p.indirect && now.Before(p.failAt):
			s.probeIndirectly(p)
			s.probes = append(s.probes, p)
		default:
			s.probeFailed(now, p)
		}
	}
}

func (s *State) probeIndirectly(p *probe) {
	p.indirect = true
	p.deadline = p.failAt
	for _, helper := range s.sample(s.domainOf(p.target.record.Domain), indirectProbes, p.target) {
		s.sendTo(helper, message{Kind: kindIndirect, Seq: p.seq, Target: p.target.record.Instance})
	}
}

// probeFailed marks the target of a failed probe as suspect, unless the failure may be local.
func (s *State) probeFailed(now time.Time, p *probe) {
	reliable := s.locallyHealthy && p.locallyHealthy
	s.locallyHealthy = false
	s.raiseHealth()
	if reliable && s.members[p.target.record.Instance] == p.target && p.target.status == Alive {
		s.markSuspect(now, p.target, p.target.record.Incarnation)
	}
}

// handleAck completes the probe with the given sequence number and reports whether there was one.
func (s *State) handleAck(now time.Time, seq uint64) bool {
	at := slices.IndexFunc(s.probes, func(p *probe) bool { return p.seq == seq })
	if at < 0 {
		return false
	}
	p := s.probes[at]
	s.probes = slices.Delete(s.probes, at, at+1)
	s.locallyHealthy = true
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

func (s *State) relayAck(seq uint64) {
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
