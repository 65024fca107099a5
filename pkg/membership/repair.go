package membership

import (
	"slices"
	"strings"
	"time"

	"kingcupwood.example/kingcupwood/pkg/endpoint"
)

// Entry is a record together with what the sender knows of the member, as exchanged at join and
// by anti-entropy.
type Entry struct {
	Record endpoint.Record `cbor:"1,keyasint"`
	// Dead tells that the member is dead in DeadIncarnation and all lower ones.
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

func (s *State) entries(wanted func(*member) bool) []Entry {
	var list []Entry
	for _, m := range s.members {
		if !wanted(m) {
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

// RandomPeer returns the record of a random other member in a reachable failure domain, or only in the
// own one, and whether there is one. random returns a value in [0, n).
func (s *State) RandomPeer(ownOnly bool, random func(n int64) int64) (endpoint.Record, bool) {
	wanted := func(d *domain) bool { return !d.unreachable && (!ownOnly || !s.remote(d.name)) }
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

// Merge takes over the newer ones of entries and returns the number of changes. A few changes are
// passed on with the probes; more are left to anti-entropy, which repairs them in bulk.
func (s *State) Merge(now time.Time, entries []Entry) int {
	var changed []*member
	deaths := 0
	for _, e := range entries {
		if Validate(e.Record) != nil {
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
	if len(changed) <= mergeGossip {
		for _, m := range changed {
			s.queueRecord(m)
		}
	}
	if len(changed) <= introductions {
		for _, m := range changed {
			s.introduce(m)
		}
	}
	s.publish(now)
	return len(changed) + deaths
}

// introduce tells members of the domain of m, which has just become known, about m if that is another domain than the
// own one. Daemons of a domain may join through other domains only, whose members do not pass their records on to
// it. Some members of the own domain do so, enough that one of them knows both.
func (s *State) introduce(m *member) {
	own := len(s.domainOf(s.local.record.Domain).order) + 1
	d := s.domainOf(m.record.Domain)
	if !s.remote(d.name) || d.unreachable || s.rng.IntN(own) >= introducers {
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
	s.heardDead(now, update{Kind: updateDead, Instance: e.Record.Instance, Incarnation: e.DeadIncarnation})
	if m.status != before {
		return 1
	}
	return 0
}
