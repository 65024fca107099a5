package membership

import (
	"encoding/binary"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"kingcupwood.example/kingcupwood/pkg/endpoint"
)

// DigestBuckets is the number of digests for each failure domain. At 842 members a bucket holds
// about 13 records, 2 KB.
const DigestBuckets = 64

// member is the state of a member as known to this daemon.
type member struct {
	record endpoint.Record
	addr   netip.AddrPort
	status Status
	// statusInc is the incarnation to which the status applies; a record with a higher one is
	// alive.
	statusInc uint64
	// index is the index in domain.order, or -1 while dead.
	index int
	// sum is the hash of this member that is included in the digest of its bucket.
	sum uint64
	// suspectUntil is the time at which a suspect is declared dead; zero for a member of another
	// domain, which decides itself.
	suspectUntil time.Time
	// left holds the last departures of servers that records of the member stated. They outlive the record,
	// which a new process of the daemon replaces.
	left []endpoint.DepartureMark
	// diedAt is the time at which the member became dead.
	diedAt time.Time
}

// domain holds the members of one failure domain and whether it can be reached.
type domain struct {
	// announced is the version of this daemon's record that was last sent to members of the domain;
	// unused for the local domain.
	announced recordVersion
	name      string
	// order holds the members that are not dead in the order of probing.
	order   []*member
	next    int
	buckets [DigestBuckets]uint64

	unreachable bool
	// unreachableAt is the time at which the domain was marked unreachable, heardAt that of the last packet of
	// one of its members.
	unreachableAt, heardAt time.Time
	// failed lists members whose probes failed since the last ack from this domain.
	failed []endpoint.InstanceID
	// ignoreHintsUntil is the time until which hints about this domain do not start a check.
	ignoreHintsUntil time.Time
	// pendingProbes is the number of probes of this domain whose ack is outstanding.
	pendingProbes int
}

// maxMarks bounds the departures that are remembered of each member.
const maxMarks = 4

// noteDeparture remembers a departure in place of an earlier one under the same ID.
func (m *member) noteDeparture(mark endpoint.DepartureMark) {
	if mark.Server == 0 || slices.Contains(m.left, mark) {
		return
	}
	m.left = slices.DeleteFunc(m.left, func(old endpoint.DepartureMark) bool { return old.Server == mark.Server })
	m.left = append(m.left[max(0, len(m.left)-maxMarks+1):], mark)
}

func bucketOf(id endpoint.InstanceID) int { return int(xxhash.Sum64String(string(id)) % DigestBuckets) }

func digestOf(r endpoint.Record) uint64 {
	buf := make([]byte, 0, maxFieldBytes+2*8)
	buf = append(buf, r.Instance...)
	buf = binary.BigEndian.AppendUint64(buf, r.Incarnation)
	buf = binary.BigEndian.AppendUint64(buf, r.Counter)
	return xxhash.Sum64(buf)
}

// refresh updates the digest after a change of m. Dead members are excluded, so that digests do not
// differ when daemons delete them at different times.
func (d *domain) refresh(m *member) {
	sum := uint64(0)
	if m.status != Dead {
		sum = digestOf(m.record)
	}
	d.buckets[bucketOf(m.record.Instance)] ^= m.sum ^ sum
	m.sum = sum
}

func (d *domain) digest() uint64 {
	buf := make([]byte, 0, DigestBuckets*8)
	for _, sum := range d.buckets {
		buf = binary.BigEndian.AppendUint64(buf, sum)
	}
	return xxhash.Sum64(buf)
}

// insert adds m at a random position, so that members probe a new member at different times.
func (d *domain) insert(m *member, rng func(int) int) {
	d.order = append(d.order, m)
	m.index = len(d.order) - 1
	d.swap(m.index, rng(len(d.order)))
}

func (d *domain) remove(m *member) {
	if m.index < 0 {
		return
	}
	last := len(d.order) - 1
	d.swap(m.index, last)
	d.order[last] = nil
	d.order = d.order[:last]
	m.index = -1
}

func (d *domain) swap(i, j int) {
	d.order[i], d.order[j] = d.order[j], d.order[i]
	d.order[i].index, d.order[j].index = i, j
}

// nextTarget returns the next member to probe. It iterates over all members in random order, so
// that every member is probed within a bounded time.
func (d *domain) nextTarget(rng func(int) int) *member {
	if len(d.order) == 0 {
		return nil
	}
	if d.next >= len(d.order) {
		d.next = 0
		for i := len(d.order) - 1; i > 0; i-- {
			d.swap(i, rng(i+1))
		}
	}
	m := d.order[d.next]
	d.next++
	return m
}

// domainOf returns the domain with the given name and creates it if it does not exist.
func (s *State) domainOf(name string) *domain {
	if d := s.domains[name]; d != nil {
		return d
	}
	d := &domain{name: name}
	s.domains[name] = d
	at, _ := slices.BinarySearchFunc(s.sorted, name, func(d *domain, name string) int {
		return strings.Compare(d.name, name)
	})
	s.sorted = slices.Insert(s.sorted, at, d)
	return d
}
