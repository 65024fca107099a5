package membership

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"

	"kingcupwood.example/kingcupwood/pkg/endpoint"
	"kingcupwood.example/kingcupwood/pkg/snapshot"
)

// State is the membership of one daemon.
type State struct {
	self  endpoint.InstanceID
	local *member
	// maxPacket is the largest size of a packet in bytes.
	maxPacket int
	members   map[endpoint.InstanceID]*member
	domains   map[string]*domain
	// sorted lists the domains by name, for deterministic iteration.
	sorted []*domain
	// dead lists dead members in order of diedAt.
	dead     []*member
	suspects []*member
	strings  map[string]string
	// malformed counts what Malformed returns.
	malformed     uint64
	lastMalformed error

	rng       *rand.Rand
	queue     *queue
	out       []Packet
	seq       uint64
	probes    []*probe
	relays    []*relay
	nextProbe time.Time
	// remoteTurn is the last interval of remoteEvery in which another domain was probed.
	remoteTurn  int64
	remoteEvery time.Duration
	lastTick    time.Time

	// health counts missed acks and late ticks; timeouts are multiplied by 1+health.
	health int
	// locallyHealthy is false from a missed ack or a late tick until the next successful probe.
	// Only a daemon for which it is true marks others as suspect, so that a paused or isolated
	// daemon does not.
	locallyHealthy bool
	leaving        bool

	version snapshot.Version
	// announcePending reports that version is new and must be pushed to a few members with the next
	// Tick.
	announcePending bool
	// announceTo lists further members that receive version announceAt in the same Tick.
	announceTo []endpoint.InstanceID
	announceAt snapshot.Version
	highest    snapshot.Version
	ahead      []Ahead
	holders    map[int]Holder

	view                atomic.Pointer[endpoint.View]
	changed             map[endpoint.InstanceID]struct{}
	reachabilityChanged bool
	lastPublish         time.Time
}

// New returns a State that contains only the local instance. The same seed and the same events
// produce the same packets.
func New(cfg Config, now time.Time, seed uint64) *State {
	s := &State{
		self:           cfg.Local.Instance,
		maxPacket:      MaxPacketBytes - cfg.Reserve,
		members:        map[endpoint.InstanceID]*member{},
		domains:        map[string]*domain{},
		strings:        map[string]string{},
		rng:            rand.New(rand.NewPCG(seed, seed>>1)),
		queue:          newQueue(),
		locallyHealthy: true,
		holders:        map[int]Holder{},
		changed:        map[endpoint.InstanceID]struct{}{},
	}
	record := cfg.Local
	if record.State == 0 {
		record.State = endpoint.Starting
	}
	s.local = &member{record: record, index: -1}
	s.members[s.self] = s.local
	s.lastTick = now
	s.nextProbe = now.Add(time.Duration(s.rng.Int64N(int64(ProbeInterval))))
	s.remoteTurn, s.remoteEvery = now.UnixMilli()/remoteInterval.Milliseconds(), remoteInterval
	s.localChanged()
	s.publish(now)
	return s
}

// SetLocal updates the record of the local instance and announces it. Instance, domain, incarnation
// and counter of r are ignored; so is a record without any change.
func (s *State) SetLocal(now time.Time, r endpoint.Record) {
	old := s.local.record
	r.Instance, r.Domain = old.Instance, old.Domain
	r.Incarnation, r.Counter = old.Incarnation, old.Counter
	if r == old || s.leaving {
		return
	}
	r.Counter++
	s.local.record = r
	s.localChanged()
	s.publish(now)
}

// PushLocal returns packets with the local record for a few members of each domain, in advance of the next Tick.
func (s *State) PushLocal() []Packet {
	local := s.local.record
	s.fanOut(update{Kind: updateRecord, Record: &local})
	s.announceRecord()
	return s.take()
}

// Local returns the record of the local instance.
func (s *State) Local() endpoint.Record { return s.local.record }

func (s *State) localChanged() {
	s.domainOf(s.local.record.Domain).refresh(s.local)
	s.changed[s.self] = struct{}{}
	s.queueRecord(s.local)
}

// Leave marks the local instance as gone and returns packets that announce this to a few members
// immediately.
func (s *State) Leave(now time.Time) []Packet {
	s.leaving = true
	s.local.record.State = endpoint.Gone
	s.local.record.Counter++
	s.localChanged()
	gone := update{Kind: updateDead, Instance: s.self, Incarnation: s.local.record.Incarnation}
	s.queueUpdate("status:"+string(s.self), gone, false)
	local := s.local.record
	last := update{Kind: updateRecord, Record: &local}
	s.fanOut(gone, last)
	for _, d := range s.remoteDomains(func(d *domain) bool { return !d.unreachable }) {
		for _, m := range s.sample(d, recordFanout, nil) {
			s.sendTo(m, message{Kind: kindPush}, gone, last)
		}
	}
	s.publish(now)
	return s.take()
}

// View returns the current view of all endpoints. It may be called concurrently with all other
// methods.
func (s *State) View() *endpoint.View { return s.view.Load() }

// Size returns the number of known members that are not dead, including this one.
func (s *State) Size() int { return len(s.members) - len(s.dead) }

// Pending returns the number of queued updates.
func (s *State) Pending() int { return len(s.queue.byKey) }

// Health returns the local health score: 0 is healthy, and timeouts are multiplied by 1 plus the
// score.
func (s *State) Health() int { return s.health }

// StatusOf returns the status of a member and whether it is known.
func (s *State) StatusOf(id endpoint.InstanceID) (Status, bool) {
	m, ok := s.members[id]
	if !ok {
		return Dead, false
	}
	return m.status, true
}

// RecordOf returns the record of a member and whether it is known.
func (s *State) RecordOf(id endpoint.InstanceID) (endpoint.Record, bool) {
	m, ok := s.members[id]
	if !ok {
		return endpoint.Record{}, false
	}
	return m.record, true
}

// Departures returns the last departures of backend servers on an instance that its records stated, also those of
// earlier runs of its daemon.
func (s *State) Departures(id endpoint.InstanceID) []endpoint.DepartureMark {
	if m, ok := s.members[id]; ok {
		return slices.Clone(m.left)
	}
	return nil
}

// intern returns a shared copy of a text that many records have in common.
func (s *State) intern(text string) string {
	if shared, ok := s.strings[text]; ok {
		return shared
	}
	s.strings[text] = text
	return text
}

func (s *State) scaled(d time.Duration) time.Duration { return d * time.Duration(1+s.health) }

func (s *State) raiseHealth() { s.health = min(s.health+1, maxHealth) }

// logSize is the decimal logarithm of n+1, at least 1.
func logSize(n int) float64 { return math.Max(1, math.Log10(float64(n+1))) }

func (s *State) transmitLimit() int {
	return int(math.Ceil(transmitBase + transmitFactor*logSize(s.Size())))
}

func (s *State) suspicionTimeout(d *domain) time.Duration {
	base := time.Duration(suspicionFactor * logSize(len(d.order)+1) * float64(ProbeInterval))
	return s.scaled(base)
}

func (s *State) queueUpdate(key string, u update, localOnly bool) {
	s.queue.put(key, mustEncode(u), localOnly)
}

// queueRecord queues the record of m. A record of another domain is gossiped in the local domain
// only: its own domain sends it to all others, so that an update enters a domain a few times and
// not once from each member of all domains.
func (s *State) queueRecord(m *member) {
	record := m.record
	s.queueUpdate("record:"+string(record.Instance), update{Kind: updateRecord, Record: &record}, s.isRemote(record.Domain))
}

// send queues a packet to addr with the updates first, and fills the rest of it from the update
// queue.
func (s *State) send(addr netip.AddrPort, remote bool, m message, first ...update) {
	if !addr.IsValid() {
		return
	}
	m.From = s.self
	m.Incarnation, m.Counter = s.local.record.Incarnation, s.local.record.Counter
	m.Version, m.Highest = s.version, s.highest
	m.Updates = []cbor.RawMessage{}
	for _, u := range first {
		m.Updates = append(m.Updates, mustEncode(u))
	}
	// The header of the update array grows by up to 2 bytes.
	budget := s.maxPacket - len(mustEncode(m)) - 2
	m.Updates = append(m.Updates, s.queue.take(budget, s.transmitLimit(), remote)...)
	s.out = append(s.out, Packet{To: addr, Data: mustEncode(m)})
}

func (s *State) isRemote(d string) bool { return d != s.local.record.Domain }

// sendTo sends m to a member. If the member is suspect or dead, the packet contains that status so
// that the member can refute it. The updates first precede the queued ones.
func (s *State) sendTo(to *member, m message, first ...update) {
	if u, ok := statusUpdate(to); ok {
		first = append(slices.Clone(first), u)
	}
	s.send(to.addr, s.isRemote(to.record.Domain), m, first...)
}

func statusUpdate(m *member) (update, bool) {
	switch m.status {
	case Suspect:
		return update{Kind: updateSuspect, Instance: m.record.Instance, Incarnation: m.statusInc}, true
	case Dead:
		return update{Kind: updateDead, Instance: m.record.Instance, Incarnation: m.statusInc}, true
	}
	return update{}, false
}

// fanOut immediately sends updates to a few members of the local domain, bypassing the queue.
// Queued behind the unsent records of a mass restart they would be late: a hint behind 380 records
// reached a member only with that member's next probe, up to 25 s later.
func (s *State) fanOut(updates ...update) {
	own := s.domainOf(s.local.record.Domain)
	for _, m := range s.sample(own, hintFanout, nil) {
		s.sendTo(m, message{Kind: kindPush}, updates...)
	}
}

// sample returns up to n distinct random members of d other than except.
func (s *State) sample(d *domain, n int, except *member) []*member {
	var chosen []*member
	if len(d.order) == 0 {
		return nil
	}
	start := s.rng.IntN(len(d.order))
	stride := len(d.order)/(n+1) + 1
	for i := 0; i < len(d.order) && len(chosen) < n; i++ {
		m := d.order[(start+i*stride)%len(d.order)]
		if m != except && !contains(chosen, m) {
			chosen = append(chosen, m)
		}
	}
	return chosen
}

func contains(list []*member, m *member) bool {
	for _, other := range list {
		if other == m {
			return true
		}
	}
	return false
}

func (s *State) take() []Packet {
	out := s.out
	s.out = nil
	return out
}
