package membership

import (
	"net/netip"
	"slices"
	"time"

	"kingcupwood.example/kingcupwood/pkg/endpoint"
)

func (s *State) apply(now time.Time, u update) {
	switch u.Kind {
	case updateRecord:
		_, known := s.members[u.Record.Instance]
		if s.mergeRecord(*u.Record) {
			m := s.members[u.Record.Instance]
			s.queueRecord(m)
			if !known {
				s.forwardJoin(m)
			}
		}
	case updateSuspect:
		s.handleSuspect(now, u)
	case updateDead:
		s.handleDead(now, u)
	case updateUnreachable, updateReachable:
		s.handleReachabilityHint(now, u.Domain, u.Kind == updateUnreachable)
	case updateHolder:
		if u.Domain == s.local.record.Domain {
			s.SetHolder(Holder{Slot: u.Slot, Instance: u.Instance, Token: u.Incarnation})
		}
	}
}

// mergeRecord stores r if it is newer than the known record and reports whether it did. Only this
// daemon writes the record of this instance, so a newer one comes from an earlier run whose clock
// was ahead; it is overridden with a higher incarnation.
func (s *State) mergeRecord(r endpoint.Record) bool {
	if r.Instance == s.self {
		if r.Newer(s.local.record) {
			s.refute(r.Incarnation)
		}
		return false
	}
	m := s.members[r.Instance]
	if m != nil && !r.Newer(m.record) {
		return false
	}
	addr, err := netip.ParseAddrPort(r.ProbeAddr)
	if err != nil {
		return false
	}
	if m == nil {
		m = &member{index: -1}
		s.members[r.Instance] = m
	} else if m.record.Domain != r.Domain {
		s.removeFromDomain(m)
	}
	r.Domain, r.Service, r.Version = s.intern(r.Domain), s.intern(r.Service), s.intern(r.Version)
	m.record, m.addr = r, addr
	m.noteDeparture(r.Left())
	if m.status != Alive && r.Incarnation > m.statusInc {
		s.revive(m)
	}
	d := s.domainOf(r.Domain)
	if m.index < 0 && m.status != Dead {
		d.insert(m, s.rng.IntN)
	}
	d.refresh(m)
	s.changed[r.Instance] = struct{}{}
	return true
}

// removeFromDomain removes a member from the domain of its previous record when its instance ID is
// reused in another domain.
func (s *State) removeFromDomain(m *member) {
	d := s.domainOf(m.record.Domain)
	d.remove(m)
	d.buckets[bucketOf(m.record.Instance)] ^= m.sum
	m.sum = 0
}

func (s *State) revive(m *member) {
	same := func(other *member) bool { return other == m }
	if m.status == Dead {
		s.dead = slices.DeleteFunc(s.dead, same)
	} else {
		s.suspects = slices.DeleteFunc(s.suspects, same)
	}
	m.status = Alive
	s.queue.drop("status:" + string(m.record.Instance))
}

func (s *State) refute(incarnation uint64) {
	s.local.record.Incarnation = max(s.local.record.Incarnation, incarnation) + 1
	s.raiseHealth()
	s.localChanged()
}

func (s *State) handleSuspect(now time.Time, u update) {
	if u.Instance == s.self {
		if u.Incarnation >= s.local.record.Incarnation && !s.leaving {
			s.refute(u.Incarnation)
		}
		return
	}
	m := s.members[u.Instance]
	if m != nil && m.status == Alive && u.Incarnation >= m.record.Incarnation {
		s.markSuspect(now, m, u.Incarnation)
	}
}

// markSuspect marks m as suspect and queues the suspicion. Only members of the same domain may
// declare it dead, because others may be partitioned from it before its refutation arrives.
func (s *State) markSuspect(now time.Time, m *member, incarnation uint64) {
	m.status, m.statusInc = Suspect, incarnation
	m.suspectUntil = time.Time{}
	if !s.isRemote(m.record.Domain) {
		m.suspectUntil = now.Add(s.suspicionTimeout(s.domainOf(m.record.Domain)))
	}
	s.suspects = append(s.suspects, m)
	u, _ := statusUpdate(m)
	s.queueUpdate("status:"+string(m.record.Instance), u, s.isRemote(m.record.Domain))
}

func (s *State) expireSuspects(now time.Time) {
	if !s.locallyHealthy {
		return
	}
	for _, m := range slices.Clone(s.suspects) {
		if !m.suspectUntil.IsZero() && !now.Before(m.suspectUntil) {
			s.markDead(now, m, m.statusInc)
			s.announceDeath(m)
		}
	}
}

func (s *State) handleDead(now time.Time, u update) {
	if u.Instance == s.self {
		if u.Incarnation >= s.local.record.Incarnation && !s.leaving {
			s.refute(u.Incarnation)
		}
		return
	}
	m := s.members[u.Instance]
	switch {
	case m == nil || u.Incarnation < m.record.Incarnation:
	case m.status == Dead:
		m.statusInc = max(m.statusInc, u.Incarnation)
	default:
		s.markDead(now, m, u.Incarnation)
	}
}

// markDead marks m as dead and queues the update. The record is kept for DeadRetention but is no
// longer part of views.
func (s *State) markDead(now time.Time, m *member, incarnation uint64) {
	s.suspects = slices.DeleteFunc(s.suspects, func(other *member) bool { return other == m })
	m.status, m.statusInc, m.diedAt = Dead, incarnation, now
	d := s.domainOf(m.record.Domain)
	d.remove(m)
	d.refresh(m)
	s.dead = append(s.dead, m)
	s.changed[m.record.Instance] = struct{}{}
	u, _ := statusUpdate(m)
	s.queueUpdate("status:"+string(m.record.Instance), u, s.isRemote(m.record.Domain))
}

func (s *State) removeExpiredDead(now time.Time) {
	for len(s.dead) > 0 && now.Sub(s.dead[0].diedAt) >= DeadRetention {
		id := s.dead[0].record.Instance
		s.dead[0] = nil
		s.dead = s.dead[1:]
		delete(s.members, id)
	}
}
