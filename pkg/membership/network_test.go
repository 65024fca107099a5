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
	t     testing.TB
	rng   *rand.Rand
	now   time.Time
	nodes []*node
	byAd  map[netip.AddrPort]*node
	// queue holds the packets on their way in order of arrival.
	queue []transit

	loss, duplicate float64
	maxDelay        time.Duration
	cut             map[string]bool

	// others are members that only answer probes; the benchmarks use them.
	others map[netip.AddrPort]endpoint.Record
	total  traffic
}

// traffic is what the nodes sent and received, with headers, and the CPU time they took.
type traffic struct {
	sent, received, packets int
	cpu                     time.Duration
}

type node struct {
	state  *State
	addr   netip.AddrPort
	domain string
	frozen bool
	down   bool
	// offline nodes run without a network.
	offline bool
	// buffered holds packets that wait in the socket of a frozen node.
	buffered []transit
	// seen holds the newest record of each instance that this node ever showed.
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
	w := &network{
		t: t, rng: rand.New(rand.NewPCG(seed, 7)), now: epoch, byAd: map[netip.AddrPort]*node{},
		cut: map[string]bool{}, maxDelay: 5 * time.Millisecond,
	}
	for i := range n {
		w.start(i, fmt.Sprintf("domain-%d", i%domains), 1000)
		w.join(w.nodes[i], w.nodes[0])
	}
	return w
}

// start starts instance i, replacing an earlier run of it.
func (w *network) start(i int, domain string, incarnation uint64) *node {
	r := testRecord(i, domain, incarnation)
	n := &node{domain: domain, addr: netip.MustParseAddrPort(r.ProbeAddr), seen: map[endpoint.InstanceID]endpoint.Record{}}
	n.state = New(Config{Local: r}, w.now, w.rng.Uint64())
	if i < len(w.nodes) {
		w.nodes[i] = n
	} else {
		w.nodes = append(w.nodes, n)
	}
	w.byAd[n.addr] = n
	return n
}

// join is the full exchange of records.
func (w *network) join(n, seed *node) {
	seed.state.Merge(w.now, []Entry{{Record: n.state.Local()}})
	n.state.Merge(w.now, seed.state.AllEntries())
}

// repair is one anti-entropy exchange between two nodes.
func (w *network) repair(a, b *node) {
	all := make([]int, DigestBuckets)
	for i := range all {
		all[i] = i
	}
	digests, others := a.state.Digests(), b.state.Digests()
	for _, domain := range slices.Sorted(maps.Keys(digests)) { // in the same order in each run
		if digests[domain] != others[domain] {
			ofA, ofB := a.state.Entries(domain, all), b.state.Entries(domain, all)
			a.state.Merge(w.now, ofB)
			b.state.Merge(w.now, ofA)
		}
	}
}

// repairAll is one anti-entropy exchange of each node with a random one.
func (w *network) repairAll() {
	for _, a := range w.nodes {
		b := w.nodes[w.rng.IntN(len(w.nodes))]
		if a != b && !w.cut[a.domain+"|"+b.domain] && !a.frozen && !a.down && !b.frozen && !b.down {
			w.repair(a, b)
		}
	}
}

func (w *network) setCut(a, b string, cut bool) { w.cut[a+"|"+b], w.cut[b+"|"+a] = cut, cut }

// isolate cuts a domain from all others, or connects it again.
func (w *network) isolate(domain string, cut bool) {
	for _, n := range w.nodes {
		if n.domain != domain {
			w.setCut(domain, n.domain, cut)
		}
	}
}

func (w *network) send(from *node, packets []Packet) {
	for _, p := range packets {
		if len(p.Data) > MaxPacketBytes {
			w.t.Fatalf("packet of %d bytes", len(p.Data))
		}
		w.total.sent += len(p.Data) + headerBytes
		w.total.packets++
		if other, ok := w.others[p.To]; ok {
			w.transfer(p.To, from, answer(other, p.Data))
			continue
		}
		to := w.byAd[p.To]
		if to == nil || w.cut[from.domain+"|"+to.domain] || from.offline || to.offline || w.rng.Float64() < w.loss {
			continue
		}
		copies := 1
		if w.rng.Float64() < w.duplicate {
			copies = 2
		}
		for range copies {
			w.transfer(from.addr, to, p.Data)
		}
	}
}

func (w *network) transfer(from netip.AddrPort, to *node, data []byte) {
	at := w.now.Add(time.Duration(w.rng.Int64N(int64(w.maxDelay) + 1)))
	place, _ := slices.BinarySearchFunc(w.queue, at, func(p transit, at time.Time) int { return p.at.Compare(at) })
	w.queue = slices.Insert(w.queue, place, transit{at, from, to, data})
}

// timed adds the time that f takes to the CPU time of the nodes.
func (w *network) timed(f func() []Packet) []Packet {
	begin := time.Now()
	defer func() { w.total.cpu += time.Since(begin) }()
	return f()
}

// run advances virtual time; all nodes tick every TickInterval.
func (w *network) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		next := w.now.Add(TickInterval)
		for len(w.queue) > 0 && !w.queue[0].at.After(next) {
			p := w.queue[0]
			w.queue, w.now = w.queue[1:], p.at
			w.arrive(p)
		}
		w.now = next
		for _, n := range w.nodes {
			if !n.frozen && !n.down {
				w.send(n, w.timed(func() []Packet { return n.state.Tick(w.now) }))
				w.checkMonotonic(n)
			}
		}
		if w.others == nil && w.now.Sub(epoch)%repairInterval < TickInterval {
			w.repairAll()
		}
	}
}

func (w *network) arrive(p transit) {
	switch {
	case p.to.down || w.byAd[p.to.addr] != p.to:
	case p.to.frozen:
		p.to.buffered = append(p.to.buffered, p)
	default:
		w.total.received += len(p.data) + headerBytes
		w.total.packets++
		w.send(p.to, w.timed(func() []Packet { return p.to.state.Receive(w.now, p.from, p.data) }))
	}
}

// resume lets a frozen node continue; it ticks first and then finds the packets in its socket.
func (w *network) resume(n *node) {
	n.frozen = false
	w.send(n, n.state.Tick(w.now))
	for _, p := range n.buffered {
		w.arrive(p)
	}
	n.buffered = nil
}

// checkMonotonic guards against a record that reverts to an older version.
func (w *network) checkMonotonic(n *node) {
	view := n.state.View()
	if view == n.checked || n.seen == nil {
		return
	}
	n.checked = view
	for id, r := range view.Records {
		if n.seen[id].Newer(r) {
			w.t.Fatalf("%s: record of %s went back from %v to %v", n.state.self, id, n.seen[id], r)
		}
		n.seen[id] = r
	}
}

// agree reports whether all running nodes hold exactly the records of all running nodes.
func (w *network) agree() bool {
	for _, n := range w.nodes {
		if n.down {
			continue
		}
		view := n.state.View()
		running := 0
		for _, other := range w.nodes {
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
func (w *network) until(what string, limit time.Duration, done func() bool) time.Duration {
	w.t.Helper()
	begin := w.now
	for !done() {
		if w.now.Sub(begin) > limit {
			w.t.Fatalf("%s: not within %v", what, limit)
		}
		w.run(TickInterval)
	}
	return w.now.Sub(begin)
}
