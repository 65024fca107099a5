package membership

import (
	"net/netip"
	"slices"
	"time"

	"kingcupwood.example/kingcupwood/pkg/endpoint"
	"kingcupwood.example/kingcupwood/pkg/snapshot"
)

// Receive handles a packet and returns the packets to send. Malformed packets are ignored.
func (s *State) Receive(now time.Time, from netip.AddrPort, data []byte) []Packet {
	m, err := decodeMessage(data)
	if err != nil {
		s.recordMalformed(err)
		return nil
	}
	if m.From == s.self {
		return nil
	}
	s.recordPeerVersion(now, m)
	for _, raw := range m.Updates {
		u, err := decodeUpdate(raw)
		if err != nil {
			s.recordMalformed(err)
			continue
		}
		s.apply(now, u)
	}
	sender := s.members[m.From]
	if sender != nil && sender.status != Dead && sender.addr == from {
		s.domainOf(sender.record.Domain).heardAt = now
		s.probeIfUnreachable(now, sender)
	}
	s.handle(now, from, m, sender)
	s.publish(now)
	return s.take()
}

// Malformed returns the number of packets, updates and entries of other daemons that were ignored
// because they are not usable, and the error of the last one.
func (s *State) Malformed() (count uint64, last error) { return s.malformed, s.lastMalformed }

func (s *State) recordMalformed(err error) { s.malformed, s.lastMalformed = s.malformed+1, err }

func (s *State) handle(now time.Time, from netip.AddrPort, m *message, sender *member) {
	want := s.needsRecord(m, sender)
	switch m.Kind {
	case kindPing:
		if m.Target == s.self {
			s.reply(from, sender, m, message{Kind: kindAck, Seq: m.Seq, Want: want})
		}
	case kindAck:
		if !s.handleAck(now, m.Seq) {
			s.relayAck(m.Seq)
		}
		if want {
			s.reply(from, sender, m, message{Kind: kindPush, Want: true})
		}
	case kindIndirect:
		s.addRelay(now, from, m)
	case kindNack:
		// The relaying member answered, so the network of this daemon works.
		s.locallyHealthy = true
	}
	if m.Want {
		local := s.local.record
		s.send(from, s.remoteSender(m), message{Kind: kindPush}, update{Kind: updateRecord, Record: &local})
	}
}

// needsRecord reports whether the sender's own record is newer than the one known here.
func (s *State) needsRecord(m *message, sender *member) bool {
	return sender == nil || endpoint.Record{Incarnation: m.Incarnation, Counter: m.Counter}.Newer(sender.record)
}

// reply answers a packet. If the sender is suspect or dead in its current incarnation, the answer
// contains that status so that the sender can refute it.
func (s *State) reply(to netip.AddrPort, sender *member, m *message, answer message) {
	var first []update
	if sender != nil && sender.statusInc >= m.Incarnation {
		if u, ok := statusUpdate(sender); ok {
			first = append(first, u)
		}
	}
	s.send(to, s.remoteSender(m), answer, first...)
}

// remoteSender reports whether the sender of m is in another domain or unknown.
func (s *State) remoteSender(m *message) bool {
	sender := s.members[m.From]
	return sender == nil || s.isRemote(sender.record.Domain)
}

// Ahead is a peer that holds a higher configuration version than this daemon.
type Ahead struct {
	Instance endpoint.InstanceID
	Version  snapshot.Version
	// Since is the time at which the peer was first seen with a version above the local one.
	Since time.Time
}

// SetVersion sets the configuration version in force, which is sent with each probe and pushed to a
// few members with the next Tick. A version that is not above the current one is ignored.
func (s *State) SetVersion(v snapshot.Version) {
	if v <= s.version {
		return
	}
	s.version = v
	s.announcePending = true
	s.highest = max(s.highest, v)
	s.ahead = slices.DeleteFunc(s.ahead, func(a Ahead) bool { return a.Version <= s.version })
}

// AnnounceTo sets members that receive version v, in addition to random ones, once it is in force.
func (s *State) AnnounceTo(v snapshot.Version, list []endpoint.InstanceID) {
	s.announceTo, s.announceAt = list, v
}

// announceVersion pushes a new version number in force to a few members, so that those that the
// tree did not reach pull it.
func (s *State) announceVersion() {
	if !s.announcePending {
		return
	}
	s.announcePending = false
	targets := s.sample(s.domainOf(s.local.record.Domain), versionFanout, nil)
	if list := s.remoteDomains(func(d *domain) bool { return !d.unreachable }); len(list) > 0 {
		targets = append(targets, s.sample(list[s.rng.IntN(len(list))], 1, nil)...)
	}
	if s.announceAt == s.version {
		for _, id := range s.announceTo {
			if m := s.members[id]; m != nil && m != s.local && m.status != Dead {
				targets = append(targets, m)
			}
		}
	}
	for _, m := range targets {
		s.sendTo(m, message{Kind: kindPush})
	}
}

// recordVersion identifies the version of a record.
type recordVersion struct{ incarnation, counter uint64 }

// announceRecord sends the record of this daemon to a few members of each other domain that has not
// received its current version, because the record changed or the domain became known or reachable.
func (s *State) announceRecord() {
	local := s.local.record
	version := recordVersion{local.Incarnation, local.Counter}
	for _, d := range s.remoteDomains(func(d *domain) bool { return !d.unreachable && d.announced != version }) {
		d.announced = version
		for _, m := range s.sample(d, recordFanout, nil) {
			s.sendTo(m, message{Kind: kindPush}, update{Kind: updateRecord, Record: &local})
		}
	}
}

// announceDeath sends the death of m, a member of the local domain, to deathFanout members of each
// other domain.
func (s *State) announceDeath(m *member) {
	dead, _ := statusUpdate(m)
	for _, d := range s.remoteDomains(func(d *domain) bool { return !d.unreachable }) {
		for _, to := range s.sample(d, deathFanout, nil) {
			s.sendTo(to, message{Kind: kindPush}, dead)
		}
	}
}

// RaiseHighest raises the highest known configuration version to v; a lower v is ignored.
func (s *State) RaiseHighest(v snapshot.Version) { s.highest = max(s.highest, v) }

// Highest returns the highest configuration version seen in any message.
func (s *State) Highest() snapshot.Version { return s.highest }

// Ahead returns peers that hold a higher configuration version, the first seen first.
func (s *State) Ahead() []Ahead { return slices.Clone(s.ahead) }

func (s *State) recordPeerVersion(now time.Time, m *message) {
	s.highest = max(s.highest, m.Highest, m.Version)
	if m.Version <= s.version {
		return
	}
	for i := range s.ahead {
		if s.ahead[i].Instance == m.From {
			s.ahead[i].Version = max(s.ahead[i].Version, m.Version)
			return
		}
	}
	if len(s.ahead) == maxAhead {
		s.ahead = slices.Delete(s.ahead, 0, 1) // it may be dead by now
	}
	s.ahead = append(s.ahead, Ahead{Instance: m.From, Version: m.Version, Since: now})
}
