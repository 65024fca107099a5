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

// Size of the system that the design is made for (section 3 of the design).
const (
	scaleMembers = 16_000
	scaleDomains = 19
	// startMS is an incarnation of realistic size, a time in milliseconds.
	startMS = 1_764_835_200_000
	// headerBytes is the size of the IPv4 and UDP headers of a packet.
	headerBytes = 28
	// benchSeconds is the protocol time of each measurement.
	benchSeconds = 60
)

// newScaleNetwork runs n members of domain-0. The other members are only records in 18 other
// domains; probes to them are answered by a stub whose CPU time is not counted.
func newScaleNetwork(b *testing.B, n int) *network {
	nw := newNetwork(b, 1, 0, 1)
	nw.others = map[netip.AddrPort]endpoint.Record{}
	var entries []Entry
	for i := range scaleMembers {
		if i < n {
			entries = append(entries, Entry{Record: nw.start(i, "domain-0", startMS).state.Local()})
			continue
		}
		r := testRecord(i, fmt.Sprintf("domain-%d", 1+i%(scaleDomains-1)), startMS)
		entries = append(entries, Entry{Record: r})
		nw.others[netip.MustParseAddrPort(r.ProbeAddr)] = r
	}
	data := mustEncode(entries)
	for _, node := range nw.nodes {
		// Each member has its own copy of all strings, as after the exchange at join.
		var own []Entry
		if err := cbor.Unmarshal(data, &own); err != nil {
			b.Fatal(err)
		}
		node.state.Merge(nw.now, own)
		node.state.SetVersion(23_000)
		node.seen = nil // the copies of all records would dominate the memory use
	}
	return nw
}

// measure returns the traffic of the next benchSeconds.
func (nw *network) measure() traffic {
	nw.total = traffic{}
	nw.run(benchSeconds * time.Second)
	return nw.total
}

// answer returns the ack of a member that exists only as a record.
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
				nw := newScaleNetwork(b, n)
				nw.run(30 * time.Second) // drain the queues filled by the join
				used := memory() - before
				idle := nw.measure()
				r := nw.nodes[1].state.Local()
				r.State = endpoint.Draining
				nw.nodes[1].state.SetLocal(nw.now, r)
				changed := nw.measure()
				each := func(v int) float64 { return float64(v) / float64(n) }
				b.ReportMetric(each(idle.sent)/benchSeconds, "sentB/s")
				b.ReportMetric(each(idle.received)/benchSeconds, "receivedB/s")
				b.ReportMetric(each(idle.packets)/benchSeconds, "packets/s")
				b.ReportMetric(each(int(idle.cpu))/1e6/benchSeconds, "cpu-ms/s")
				b.ReportMetric(each(changed.sent-idle.sent), "sentB/change")
				b.ReportMetric(each(changed.received-idle.received), "receivedB/change")
				b.ReportMetric(each(int(changed.cpu-idle.cpu))/1e6, "cpu-ms/change")
				b.ReportMetric(float64(used)/float64(n)/1e6, "MB")
				runtime.KeepAlive(nw)
			}
		})
	}
}
