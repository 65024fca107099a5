package membership

import (
	"fmt"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"kingcupwood.example/kingcupwood/pkg/endpoint"
)

// Sizes of the target (section 3 of the design).
const (
	targetMembers = 16_000
	targetDomains = 19
	// headerBytes is the size of the IPv4 and UDP headers of a packet.
	headerBytes = 28
	// benchSeconds is the protocol time of each measurement.
	benchSeconds = 60
)

// traffic is what the running members sent and received and the CPU time they took.
type traffic struct {
	sent, received, sentPackets, receivedPackets int
	cpu                                          time.Duration
}

// benchCluster runs n members of domain-0. The other members of the target are records in 18 other
// domains; probes to them are answered by a stub whose CPU time is not counted.
type benchCluster struct {
	now    time.Time
	states []*State
	addrs  []netip.AddrPort
	byAddr map[netip.AddrPort]*State
	others map[netip.AddrPort]endpoint.Record
	flying []Packet
	from   []netip.AddrPort
	total  traffic
}

func newBenchCluster(n int) *benchCluster {
	c := &benchCluster{now: epoch, byAddr: map[netip.AddrPort]*State{}, others: map[netip.AddrPort]endpoint.Record{}}
	var entries []Entry
	for i := range targetMembers {
		domain := "domain-0"
		if i >= n {
			domain = fmt.Sprintf("domain-%d", 1+i%(targetDomains-1))
		}
		r := testRecord(i, domain, 1_764_835_200_000)
		entries = append(entries, Entry{Record: r})
		addr := netip.MustParseAddrPort(r.ProbeAddr)
		if i >= n {
			c.others[addr] = r
			continue
		}
		s := New(Config{Local: r}, c.now, uint64(i)+1)
		c.states, c.addrs = append(c.states, s), append(c.addrs, addr)
		c.byAddr[addr] = s
	}
	data := mustEncode(entries)
	for _, s := range c.states {
		// Each member has its own copy of all texts, as after the exchange at join.
		var own []Entry
		if err := cbor.Unmarshal(data, &own); err != nil {
			panic(err)
		}
		s.Merge(c.now, own)
		s.SetVersion(23_000)
	}
	return c
}

func (c *benchCluster) measure(i int, f func(s *State) []Packet) {
	begin := time.Now()
	packets := f(c.states[i])
	c.total.cpu += time.Since(begin)
	for _, p := range packets {
		c.total.sent += len(p.Data) + headerBytes
		c.total.sentPackets++
		c.flying, c.from = append(c.flying, p), append(c.from, c.addrs[i])
	}
}

// run advances protocol time; packets take no time and are not lost.
func (c *benchCluster) run(d time.Duration) {
	index := map[netip.AddrPort]int{}
	for i, addr := range c.addrs {
		index[addr] = i
	}
	for end := c.now.Add(d); c.now.Before(end); {
		c.now = c.now.Add(TickInterval)
		for i := range c.states {
			c.measure(i, func(s *State) []Packet { return s.Tick(c.now) })
		}
		for len(c.flying) > 0 {
			p, from := c.flying[0], c.from[0]
			c.flying, c.from = c.flying[1:], c.from[1:]
			data := p.Data
			if other, ok := c.others[p.To]; ok {
				if data = answer(other, data); data == nil {
					continue
				}
				p.To, from = from, p.To
			}
			i := index[p.To]
			c.total.received += len(data) + headerBytes
			c.total.receivedPackets++
			c.measure(i, func(s *State) []Packet { return s.Receive(c.now, from, data) })
		}
	}
}

// answer is the ack of a member that is only a record.
func answer(r endpoint.Record, data []byte) []byte {
	m, err := decodeMessage(data)
	if err != nil || m.Kind != kindPing {
		return nil
	}
	return mustEncode(message{
		Kind: kindAck, Seq: m.Seq, From: r.Instance, Incarnation: r.Incarnation, Counter: r.Counter,
		Version: m.Version, Highest: m.Highest, Updates: nil,
	})
}

func memory() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkTarget reports, for each member, the traffic and CPU at idle with 16,000 records and
// 1,400 services loaded, the additional traffic of one endpoint change, and the memory. The bounds
// are 3 KB/s, 42 ms of CPU per second and 128 MB for the whole control plane.
func BenchmarkTarget(b *testing.B) {
	for _, n := range []int{25, 50, 100, 200} {
		b.Run(fmt.Sprintf("members-%d", n), func(b *testing.B) {
			for range b.N {
				before := memory()
				c := newBenchCluster(n)
				c.run(30 * time.Second) // the queues of the start run empty
				used := memory() - before
				c.total = traffic{}
				c.run(benchSeconds * time.Second)
				idle := c.total
				c.total = traffic{}
				r := c.states[1].Local()
				r.State = endpoint.Draining
				c.states[1].SetLocal(c.now, r)
				c.run(benchSeconds * time.Second)
				perSecond := func(v int) float64 { return float64(v) / float64(n) / benchSeconds }
				b.ReportMetric(perSecond(idle.sent), "sentB/s")
				b.ReportMetric(perSecond(idle.received), "receivedB/s")
				b.ReportMetric(perSecond(idle.sentPackets+idle.receivedPackets), "packets/s")
				b.ReportMetric(float64(idle.cpu.Microseconds())/1000/float64(n)/benchSeconds, "cpu-ms/s")
				b.ReportMetric(float64(c.total.sent-idle.sent)/float64(n), "sentB/change")
				b.ReportMetric(float64(c.total.received-idle.received)/float64(n), "receivedB/change")
				b.ReportMetric(float64(c.total.cpu-idle.cpu)/1e6/float64(n), "cpu-ms/change")
				b.ReportMetric(float64(used)/float64(n)/1e6, "MB")
				runtime.KeepAlive(c)
			}
		})
	}
}
