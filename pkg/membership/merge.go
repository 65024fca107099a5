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
				s.introduce(m)
			}
		}
	case updateSuspect:
		s.heardSuspect(now, u)
	case updateDead:
		s.heardDead(now, u)
	case updateCut, updateBack:
		s.hinted(now, u.Domain, u.Kind == updateCut)
	case updateHolder:
		if u.Domain == s.local.record.Domain {
			s.SetHolder(Holder{Slot: u.Slot, Instance: u.Instance, Token: u.Incarnation})
		}
	}
}

// mergeRecord takes over r if it is newer than the known record and reports whether it was. The
// record of this instance is written only here, so a newer one comes from an earlier run with a
// later clock, and is outdone with a higher incarnation.
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
		m = &member{place: -1}
		s.members[r.Instance] = m
	} else if m.record.Domain != r.Domain {
		s.leaveDomain(m)
	}
	r.Domain, r.Service = s.intern(r.Domain), s.intern(r.Service)
	m.record, m.addr = r, addr
	if m.status != Alive && r.Incarnation > m.statusInc {
		s.revive(m)
	}
	d := s.domainOf(r.Domain)
	if m.place < 0 && m.status != Dead {
		d.insert(m, s.rng.IntN)
	}
	d.refresh(m)
	s.changed[r.Instance] = struct{}{}
	return true
}

// leaveDomain takes a member out of the domain of its former record, as an instance ID was reused
// in another domain.
func (s *State) leaveDomain(m *member) {
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

func (s *State) heardSuspect(now time.Time, u update) {
	if u.Instance == s.self {
		if u.Incarnation >= s.local.record.Incarnation && !s.leaving {
			s.refute(u.Incarnation)
		}
		return
	}
	m := s.members[u.Instance]
	if m != nil && m.status == Alive && u.Incarnation >= m.record.Incarnation {
		s.suspect(now, m, u.Incarnation)
	}
}

// suspect marks m and spreads the accusation. Only members of the same domain decide on its death,
// because others may be partitioned from it before its refutation arrives.
func (s *State) suspect(now time.Time, m *member, incarnation uint64) {
	m.status, m.statusInc = Suspect, incarnation
	m.suspectUntil = time.Time{}
	if !s.remote(m.record.Domain) {
		m.suspectUntil = now.Add(s.suspicionTimeout(s.domainOf(m.record.Domain)))
	}
	s.suspects = append(s.suspects, m)
	u, _ := accusation(m)
	s.queueUpdate("status:"+string(m.record.Instance), u, s.remote(m.record.Domain))
}

func (s *State) expireSuspects(now time.Time) {
	if !s.trusted {
		return
	}
	for _, m := range slices.Clone(s.suspects) {
		if !m.suspectUntil.IsZero() && !now.Before(m.suspectUntil) {
			s.kill(now, m, m.statusInc)
			s.announceDeath(m)
		}
	}
}

func (s *State) heardDead(now time.Time, u update) {
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
		s.kill(now, m, u.Incarnation)
	}
}

// kill marks m dead and spreads it. The record is kept for DeadRetention, but not in views.
func (s *State) kill(now time.Time, m *member, incarnation uint64) {
	s.suspects = slices.DeleteFunc(s.suspects, func(other *member) bool { return other == m })
	m.status, m.statusInc, m.diedAt = Dead, incarnation, now
	d := s.domainOf(m.record.Domain)
	d.remove(m)
	d.refresh(m)
	s.dead = append(s.dead, m)
	s.changed[m.record.Instance] = struct{}{}
	u, _ := accusation(m)
	s.queueUpdate("status:"+string(m.record.Instance), u, s.remote(m.record.Domain))
}

func (s *State) forgetDead(now time.Time) {
	for len(s.dead) > 0 && now.Sub(s.dead[0].diedAt) >= DeadRetention {
		id := s.dead[0].record.Instance
		s.dead[0] = nil
		s.dead = s.dead[1:]
		delete(s.members, id)
	}
}
