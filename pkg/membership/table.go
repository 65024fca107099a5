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

// member is what this daemon knows of another one.
type member struct {
	record endpoint.Record
	addr   netip.AddrPort
	status Status
	// statusInc is the incarnation for which the status holds; a higher one is alive again.
	statusInc uint64
	// place is the index in domain.order, or -1 while dead.
	place int
	// sum is the share of this member in the digest of its bucket.
	sum uint64
	// suspectUntil is the time at which a suspect becomes dead; zero if another domain decides.
	suspectUntil time.Time
	// diedAt is the time at which the member became dead.
	diedAt time.Time
}

// domain holds the members of one failure domain and whether it can be reached.
type domain struct {
	// told is the record of this daemon that members of the domain were told last; it is used for other
	// domains only.
	told recordVersion
	name string
	// order holds the members that are not dead in the order of probing.
	order   []*member
	next    int
	buckets [DigestBuckets]uint64

	unreachable bool
	// failed lists members whose probes failed since the last ack from this domain.
	failed []endpoint.InstanceID
	// quietUntil is the time until which hints about this domain start no check.
	quietUntil time.Time
	// checking is the number of probes into this domain that wait for their ack.
	checking int
}

func bucketOf(id endpoint.InstanceID) int { return int(xxhash.Sum64String(string(id)) % DigestBuckets) }

func digestOf(r endpoint.Record) uint64 {
	buf := make([]byte, 0, maxFieldBytes+2*8)
	buf = append(buf, r.Instance...)
	buf = binary.BigEndian.AppendUint64(buf, r.Incarnation)
	buf = binary.BigEndian.AppendUint64(buf, r.Counter)
	return xxhash.Sum64(buf)
}

// refresh brings the digest up to date after a change of m. Dead members do not count, so that
// their deletion at different times on different daemons does not make digests differ.
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

// insert adds m at a random place of the order, so that members probe newcomers at different times.
func (d *domain) insert(m *member, rng func(int) int) {
	d.order = append(d.order, m)
	m.place = len(d.order) - 1
	d.swap(m.place, rng(len(d.order)))
}

func (d *domain) remove(m *member) {
	if m.place < 0 {
		return
	}
	last := len(d.order) - 1
	d.swap(m.place, last)
	d.order[last] = nil
	d.order = d.order[:last]
	m.place = -1
}

func (d *domain) swap(i, j int) {
	d.order[i], d.order[j] = d.order[j], d.order[i]
	d.order[i].place, d.order[j].place = i, j
}

// nextTarget returns the next member to probe: a round over all members in random order, so that
// every member is probed within a bounded time.
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

// domainOf returns the domain with the given name and creates it if there is none.
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
