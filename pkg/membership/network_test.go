package membership

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"kingcupwood.example/kingcupwood/pkg/endpoint"
)

// network runs many State machines in virtual time over a lossy datagram network.
type network struct {
	t      testing.TB
	rng    *rand.Rand
	now    time.Time
	nodes  []*node
	byAddr map[netip.AddrPort]*node
	// queue holds the packets in transit in order of arrival.
	queue []transit

	loss, duplicate float64
	maxDelay        time.Duration
	cut             map[string]bool

	// others are members that only answer probes, for benchmarks.
	others map[netip.AddrPort]endpoint.Record
	total  traffic
}

// traffic counts the bytes sent and received by the nodes, including headers, their packets, and
// their CPU time.
type traffic struct {
	sent, received, packets int
	cpu                     time.Duration
}

type node struct {
	state  *State
	addr   netip.AddrPort
	domain string
	paused bool
	down   bool
	// offline nodes run without a network.
	offline bool
	// buffered holds packets in the socket buffer of a paused node.
	buffered []transit
	// seen holds the newest record of each instance in any view of this node.
	seen map[endpoint.InstanceID]endpoint.Record
	// checked is the view last compared with seen.
	checked *endpoint.View
}

type transit struct {
	at   time.Time
	from netip.AddrPort
	to   *node
	data []byte
}

// repairInterval is the interval of anti-entropy in agent/peer/sync.
const repairInterval = 10 * time.Second

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func testRecord(i int, domain string, incarnation uint64) endpoint.Record {
	return endpoint.Record{
		Instance: endpoint.InstanceID(fmt.Sprintf("instance-%05d", i)), Domain: domain, Incarnation: incarnation,
		CallAddr: fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250), RPCAddr: fmt.Sprintf("10.0.%d.%d:7001", i/250, i%250),
		ProbeAddr: fmt.Sprintf("10.0.%d.%d:7002", i/250, i%250), AdminAddr: fmt.Sprintf("10.0.%d.%d:7003", i/250, i%250),
		Service: fmt.Sprintf("service-%04d", i%1400), State: endpoint.Ready, Slots: 12,
	}
}

// newNetwork starts n nodes in the given number of domains; all join through node 0.
func newNetwork(t testing.TB, seed uint64, n, domains int) *network {
	nw := &network{
		t: t, rng: rand.New(rand.NewPCG(seed, 7)), now: epoch, byAddr: map[netip.AddrPort]*node{},
		cut: map[string]bool{}, maxDelay: 5 * time.Millisecond,
	}
	for i := range n {
		nw.start(i, fmt.Sprintf("domain-%d", i%domains), 1000)
		nw.join(nw.nodes[i], nw.nodes[0])
	}
	return nw
}

// start starts instance i, replacing an earlier run of it.
func (nw *network) start(i int, domain string, incarnation uint64) *node {
	r := testRecord(i, domain, incarnation)
	n := &node{domain: domain, addr: netip.MustParseAddrPort(r.ProbeAddr), seen: map[endpoint.InstanceID]endpoint.Record{}}
	n.state = New(Config{Local: r}, nw.now, nw.rng.Uint64())
	if i < len(nw.nodes) {
		nw.nodes[i] = n
	} else {
		nw.nodes = append(nw.nodes, n)
	}
	nw.byAddr[n.addr] = n
	return n
}

// join performs the full exchange of records.
func (nw *network) join(n, seed *node) {
	seed.state.Merge(nw.now, []Entry{{Record: n.state.Local()}})
	n.state.Merge(nw.now, seed.state.AllEntries())
}

// repair performs one anti-entropy exchange between two nodes.
func (nw *network) repair(a, b *node) {
	all := make([]int, DigestBuckets)
	for i := range all {
		all[i] = i
	}
	digests, others := a.state.Digests(), b.state.Digests()
	for _, domain := range slices.Sorted(maps.Keys(digests)) { // in the same order in each run
		if digests[domain] != others[domain] {
			ofA, ofB := a.state.Entries(domain, all), b.state.Entries(domain, all)
			a.state.Merge(nw.now, ofB)
			b.state.Merge(nw.now, ofA)
		}
	}
}

// repairAll performs one anti-entropy exchange of each node with a random one.
func (nw *network) repairAll() {
	for _, a := range nw.nodes {
		b := nw.nodes[nw.rng.IntN(len(nw.nodes))]
		if a != b && !nw.cut[a.domain+"|"+b.domain] && !a.paused && !a.down && !b.paused && !b.down {
			nw.repair(a, b)
		}
	}
}

func (nw *network) setCut(a, b string, cut bool) { nw.cut[a+"|"+b], nw.cut[b+"|"+a] = cut, cut }

// isolate cuts a domain from all others, or connects it again.
func (nw *network) isolate(domain string, cut bool) {
	for _, n := range nw.nodes {
		if n.domain != domain {
			nw.setCut(domain, n.domain, cut)
		}
	}
}

func (nw *network) send(from *node, packets []Packet) {
	for _, p := range packets {
		if len(p.Data) > MaxPacketBytes {
			nw.t.Fatalf("packet of %d bytes", len(p.Data))
		}
		nw.total.sent += len(p.Data) + headerBytes
		nw.total.packets++
		if other, ok := nw.others[p.To]; ok {
			nw.transfer(p.To, from, answer(other, p.Data))
			continue
		}
		to := nw.byAddr[p.To]
		if to == nil || nw.cut[from.domain+"|"+to.domain] || from.offline || to.offline || nw.rng.Float64() < nw.loss {
			continue
		}
		copies := 1
		if nw.rng.Float64() < nw.duplicate {
			copies = 2
		}
		for range copies {
			nw.transfer(from.addr, to, p.Data)
		}
	}
}

func (nw *network) transfer(from netip.AddrPort, to *node, data []byte) {
	at := nw.now.Add(time.Duration(nw.rng.Int64N(int64(nw.maxDelay) + 1)))
	place, _ := slices.BinarySearchFunc(nw.queue, at, func(p transit, at time.Time) int { return p.at.Compare(at) })
	nw.queue = slices.Insert(nw.queue, place, transit{at, from, to, data})
}

// timed adds the time that f takes to the CPU time of the nodes.
func (nw *network) timed(f func() []Packet) []Packet {
	begin := time.Now()
	defer func() { nw.total.cpu += time.Since(begin) }()
	return f()
}

// run advances virtual time; all nodes tick every TickInterval.
func (nw *network) run(d time.Duration) {
	for end := nw.now.Add(d); nw.now.Before(end); {
		next := nw.now.Add(TickInterval)
		for len(nw.queue) > 0 && !nw.queue[0].at.After(next) {
			p := nw.queue[0]
			nw.queue, nw.now = nw.queue[1:], p.at
			nw.arrive(p)
		}
		nw.now = next
		for _, n := range nw.nodes {
			if !n.paused && !n.down {
				nw.send(n, nw.timed(func() []Packet { return n.state.Tick(nw.now) }))
				nw.checkMonotonic(n)
			}
		}
		if nw.others == nil && nw.now.Sub(epoch)%repairInterval < TickInterval {
			nw.repairAll()
		}
	}
}

func (nw *network) arrive(p transit) {
	switch {
	case p.to.down || nw.byAddr[p.to.addr] != p.to:
	case p.to.paused:
		p.to.buffered = append(p.to.buffered, p)
	default:
		nw.total.received += len(p.data) + headerBytes
		nw.total.packets++
		nw.send(p.to, nw.timed(func() []Packet { return p.to.state.Receive(nw.now, p.from, p.data) }))
	}
}

// resume continues a paused node, which ticks first and then receives the buffered packets.
func (nw *network) resume(n *node) {
	n.paused = false
	nw.send(n, n.state.Tick(nw.now))
	for _, p := range n.buffered {
		nw.arrive(p)
	}
	n.buffered = nil
}

// checkMonotonic guards against a record that reverts to an older version.
func (nw *network) checkMonotonic(n *node) {
	view := n.state.View()
	if view == n.checked || n.seen == nil {
		return
	}
	n.checked = view
	for id, r := range view.Records {
		if n.seen[id].Newer(r) {
			nw.t.Fatalf("%s: record of %s went back from %v to %v", n.state.self, id, n.seen[id], r)
		}
		n.seen[id] = r
	}
}

// agree reports whether all running nodes hold exactly the records of all running nodes.
func (nw *network) agree() bool {
	for _, n := range nw.nodes {
		if n.down {
			continue
		}
		view := n.state.View()
		running := 0
		for _, other := range nw.nodes {
			if other.down {
				continue
			}
			running++
			if view.Records[other.state.self] != other.state.Local() {
				return false
			}
		}
		if len(view.Records) != running || len(view.Unreachable) != 0 {
			return false
		}
	}
	return true
}

// until runs until done holds and returns the time taken, or fails after limit.
func (nw *network) until(what string, limit time.Duration, done func() bool) time.Duration {
	nw.t.Helper()
	begin := nw.now
	for !done() {
		if nw.now.Sub(begin) > limit {
			nw.t.Fatalf("%s: not within %v", what, limit)
		}
		nw.run(TickInterval)
	}
	return nw.now.Sub(begin)
}
