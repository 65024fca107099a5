package membership

import (
	"slices"
	"strings"
	"time"

	"kingcupwood.example/kingcupwood/pkg/endpoint"
)

// Entry is a record together with the status of the member at the sender, as exchanged at join and
// by anti-entropy.
type Entry struct {
	Record endpoint.Record `cbor:"1,keyasint"`
	// Dead reports that the member is dead in DeadIncarnation and all lower ones.
	Dead            bool   `cbor:"2,keyasint,omitempty"`
	DeadIncarnation uint64 `cbor:"3,keyasint,omitempty"`
}

// Digests returns a digest of the live records of each failure domain.
func (s *State) Digests() map[string]uint64 {
	digests := make(map[string]uint64, len(s.sorted))
	for _, d := range s.sorted {
		digests[d.name] = d.digest()
	}
	return digests
}

// BucketDigests returns the DigestBuckets digests of a domain, or nil for an unknown one.
func (s *State) BucketDigests(name string) []uint64 {
	d := s.domains[name]
	if d == nil {
		return nil
	}
	return slices.Clone(d.buckets[:])
}

// Entries returns the entries of a domain in the given buckets in order of instance.
func (s *State) Entries(name string, buckets []int) []Entry {
	wanted := [DigestBuckets]bool{}
	for _, b := range buckets {
		if b >= 0 && b < DigestBuckets {
			wanted[b] = true
		}
	}
	return s.entries(func(m *member) bool {
		return m.record.Domain == name && wanted[bucketOf(m.record.Instance)]
	})
}

// AllEntries returns all entries in order of instance, for the exchange at join.
func (s *State) AllEntries() []Entry { return s.entries(func(*member) bool { return true }) }

func (s *State) entries(match func(*member) bool) []Entry {
	var list []Entry
	for _, m := range s.members {
		if !match(m) {
			continue
		}
		e := Entry{Record: m.record}
		if m.status == Dead {
			e.Dead, e.DeadIncarnation = true, m.statusInc
		}
		list = append(list, e)
	}
	slices.SortFunc(list, func(a, b Entry) int {
		return strings.Compare(string(a.Record.Instance), string(b.Record.Instance))
	})
	return list
}

// RandomPeer returns the record of a random other member in a reachable failure domain, or only in
// the local domain if ownOnly is set, and whether there is one. random returns a value in [0, n).
func (s *State) RandomPeer(ownOnly bool, random func(n int64) int64) (endpoint.Record, bool) {
	wanted := func(d *domain) bool { return !d.unreachable && (!ownOnly || !s.isRemote(d.name)) }
	count := 0
	for _, d := range s.sorted {
		if wanted(d) {
			count += len(d.order)
		}
	}
	if count == 0 {
		return endpoint.Record{}, false
	}
	at := int(random(int64(count)))
	for _, d := range s.sorted {
		switch {
		case !wanted(d):
		case at < len(d.order):
			return d.order[at].record, true
		default:
			at -= len(d.order)
		}
	}
	return endpoint.Record{}, false
}

// Merge stores the entries that are newer than the known ones and returns the number of changes. A
// few changes are gossiped; more are left to anti-entropy, which transfers them in bulk.
func (s *State) Merge(now time.Time, entries []Entry) int {
	var changed []*member
	deaths := 0
	for _, e := range entries {
		if err := ValidateEntry(e); err != nil {
			s.recordMalformed(err)
			continue
		}
		if e.Dead {
			deaths += s.mergeDead(now, e)
			continue
		}
		if s.mergeRecord(e.Record) {
			changed = append(changed, s.members[e.Record.Instance])
		}
	}
	if len(changed) <= maxGossipedMerges {
		for _, m := range changed {
			s.queueRecord(m)
		}
	}
	if len(changed) <= maxForwardedJoins {
		for _, m := range changed {
			s.forwardJoin(m)
		}
	}
	s.publish(now)
	return len(changed) + deaths
}

// forwardJoin sends the record of m, a new member, to members of m's domain if that is not the
// local domain. Daemons of a domain may all join through other domains, whose members do not gossip
// their records back to it. A few members of the local domain forward the record, enough that one
// of them knows another member of m's domain.
func (s *State) forwardJoin(m *member) {
	own := len(s.domainOf(s.local.record.Domain).order) + 1
	d := s.domainOf(m.record.Domain)
	if !s.isRemote(d.name) || d.unreachable || s.rng.IntN(own) >= joinForwarders {
		return
	}
	record := m.record
	for _, to := range s.sample(d, recordFanout, m) {
		s.sendTo(to, message{Kind: kindPush}, update{Kind: updateRecord, Record: &record})
	}
}

// mergeDead handles an entry of a dead member. Unknown dead members are not added.
func (s *State) mergeDead(now time.Time, e Entry) int {
	m := s.members[e.Record.Instance]
	if m == nil {
		return 0
	}
	before := m.status
	s.handleDead(now, update{Kind: updateDead, Instance: e.Record.Instance, Incarnation: e.DeadIncarnation})
	if m.status != before {
		return 1
	}
	return 0
}
