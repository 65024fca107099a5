package membership

import (
	"fmt"
	"testing"
	"time"
)

// domainSize is the number of members of each failure domain in the tests of partitions.
const domainSize = 20

// newDomains starts a network of domains with domainSize members each and runs it until the updates
// of the joins are sent.
func newDomains(t testing.TB, seed uint64, domains int) *network {
	nw := newNetwork(t, seed, domainSize*domains, domains)
	for _, n := range nw.nodes {
		n.seen = nil // the comparison of all records would dominate the run time
	}
	nw.run(40*time.Second + time.Duration(nw.rng.Int64N(int64(3*time.Second))))
	return nw
}

// marked reports whether all members of domains a and b have marked each other's domain as
// unreachable or reachable, as given. An empty b stands for all other domains.
func (nw *network) marked(a, b string, unreachable bool) bool {
	for _, n := range nw.nodes {
		for _, d := range n.state.sorted {
			cut := n.domain == a && (d.name == b || b == "" && d.name != a) || d.name == a && (n.domain == b || b == "" && n.domain != a)
			if cut && d.unreachable != unreachable {
				return false
			}
		}
	}
	return true
}

// partitionLimit is the time within which all members of both sides mark a partition.
const partitionLimit = 5 * time.Second

// Guards against late detection of a partition in domains of 20 members: until then callers wait
// for the timeouts of servers behind it. After the partition a single ack must mark the domain
// reachable.
func TestPartitionIsDetectedInTime(t *testing.T) {
	for seed := range uint64(2) {
		nw := newDomains(t, seed+1, 10)
		nw.setCut("domain-1", "domain-2", true)
		nw.until("partition", partitionLimit, func() bool { return nw.marked("domain-1", "domain-2", true) })
		nw.setCut("domain-1", "domain-2", false)
		nw.until("end of the partition", partitionLimit, func() bool { return nw.marked("domain-1", "domain-2", false) })
	}
}

// Guards against gaps between remote probes: without packet loss each member probes another domain
// once in remoteInterval, and together they probe every other domain in each round.
func TestRemoteProbesCoverDomains(t *testing.T) {
	const others = domainSize - 2
	nw := newDomains(t, 1, others+1)
	begin := map[string]time.Time{}
	probed := func(n *node, d string) bool { return n.state.domains[d].pendingProbes > 0 }
	for end := nw.now.Add(25 * time.Second); nw.now.Before(end); { // includes the shift after 60 s
		nw.maxDelay = 2 * TickInterval // a probe is still waiting for its ack at the next tick
		nw.run(TickInterval)
		for _, n := range nw.nodes {
			for _, d := range n.state.sorted {
				if n.domain != "domain-0" || d.name == n.domain {
					continue
				}
				if last, ok := begin[d.name]; !ok || probed(n, d.name) {
					begin[d.name] = nw.now
				} else if nw.now.Sub(last) > remoteInterval+2*TickInterval {
					t.Fatalf("%s was not probed for %v", d.name, nw.now.Sub(last))
				}
			}
		}
	}
}

// BenchmarkPartition reports the time until all members on both sides have marked a partition, and
// the traffic and the rate of false detections per member without and with 5% packet loss.
func BenchmarkPartition(b *testing.B) {
	for _, domains := range []int{3, 19} {
		for name, other := range map[string]string{"isolated": "", "pair": "domain-2"} {
			b.Run(fmt.Sprintf("%s/domains-%d", name, domains), func(b *testing.B) {
				worst, sum := time.Duration(0), time.Duration(0)
				for i := range b.N {
					nw := newDomains(b, uint64(i)+1, domains)
					if other == "" {
						nw.isolate("domain-1", true)
					} else {
						nw.setCut("domain-1", other, true)
					}
					took := nw.until("marked", time.Minute, func() bool { return nw.marked("domain-1", other, true) })
					worst, sum = max(worst, took), sum+took
				}
				b.ReportMetric(worst.Seconds(), "worst-s")
				b.ReportMetric(sum.Seconds()/float64(b.N), "mean-s")
			})
		}
		for _, loss := range []float64{0, 0.05} {
			b.Run(fmt.Sprintf("loss-%v/domains-%d", loss, domains), func(b *testing.B) {
				alarms, minutes := 0, 0.0
				nw := newDomains(b, 1, domains)
				nw.loss, nw.total = loss, traffic{}
				down := make([]int, len(nw.nodes))
				for range b.N {
					for range 600 {
						nw.run(TickInterval)
						for i, n := range nw.nodes {
							now := len(n.state.View().Unreachable)
							alarms += max(0, now-down[i])
							down[i] = now
						}
					}
					minutes++
				}
				each := minutes * 60 * float64(len(nw.nodes))
				b.ReportMetric(float64(nw.total.sent)/each, "sentB/s")
				b.ReportMetric(float64(alarms)/each*3600, "alarms/h")
			})
		}
	}
}

// Guards against a reachability hint or the announcement of a stop that is queued behind the
// records of a mass restart.
func TestHintsBypassQueue(t *testing.T) {
	now := time.UnixMilli(1_800_000_000_000)
	s := New(Config{Local: testRecord(0, "domain-0", 1)}, now, 1)
	for i := 1; i < 400; i++ {
		s.apply(now, update{Kind: updateRecord, Record: new(testRecord(i, fmt.Sprint("domain-", i%2), 1))})
	}
	s.take() // discard the forwarded joins of these members
	s.setReachable(s.domains["domain-1"], false)
	for what, packets := range map[updateKind][]Packet{updateUnreachable: s.take(), updateDead: s.Leave(now)} {
		if len(packets) != hintFanout {
			t.Errorf("%d packets, want %d", len(packets), hintFanout)
		}
		for _, p := range packets {
			m, err := decodeMessage(p.Data)
			if err != nil {
				t.Fatal(err)
			}
			if first, err := decodeUpdate(m.Updates[0]); err != nil || first.Kind != what {
				t.Errorf("the first update has kind %v, want %v: %v", first.Kind, what, err)
			}
		}
	}
}
