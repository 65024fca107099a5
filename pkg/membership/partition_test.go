package membership

import (
	"fmt"
	"testing"
	"time"
)

// domainSize is the number of members of each failure domain in the tests of partitions.
const domainSize = 20

// newDomains starts a network of domains with domainSize members each and whose updates of the start are sent.
func newDomains(t testing.TB, seed uint64, domains int) *network {
	w := newNetwork(t, seed, domainSize*domains, domains)
	for _, n := range w.nodes {
		n.seen = nil // the comparison of all records would dominate the time
	}
	w.run(40*time.Second + time.Duration(w.rng.Int64N(int64(3*time.Second))))
	return w
}

// marked reports whether all members of domain a and those of b see each other's domain as wanted. An
// empty b stands for all other domains.
func (w *network) marked(a, b string, unreachable bool) bool {
	for _, n := range w.nodes {
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

// Guards against a partition that the members of domains of 20 notice late: callers wait for the timeouts of
// servers behind it until then. One ack must heal it at once.
func TestPartitionIsMarkedInTime(t *testing.T) {
	for seed := range uint64(2) {
		w := newDomains(t, seed+1, 10)
		w.setCut("domain-1", "domain-2", true)
		w.until("partition", partitionLimit, func() bool { return w.marked("domain-1", "domain-2", true) })
		w.setCut("domain-1", "domain-2", false)
		w.until("end of the partition", partitionLimit, func() bool { return w.marked("domain-1", "domain-2", false) })
	}
}

// Guards against gaps in the turns: without packet loss each member probes another domain once in
// remoteInterval, and together they probe every other domain in each round.
func TestRemoteProbesGoRound(t *testing.T) {
	const others = domainSize - 2
	w := newDomains(t, 1, others+1)
	begin := map[string]time.Time{}
	probed := func(n *node, d string) bool { return n.state.domains[d].checking > 0 }
	for end := w.now.Add(25 * time.Second); w.now.Before(end); { // the shift after 60 s falls into it
		w.maxDelay = 2 * TickInterval // a probe is still waiting for its ack at the next tick
		w.run(TickInterval)
		for _, n := range w.nodes {
			for _, d := range n.state.sorted {
				if n.domain != "domain-0" || d.name == n.domain {
					continue
				}
				if last, ok := begin[d.name]; !ok || probed(n, d.name) {
					begin[d.name] = w.now
				} else if w.now.Sub(last) > remoteInterval+2*TickInterval {
					t.Fatalf("%s was not probed for %v", d.name, w.now.Sub(last))
				}
			}
		}
	}
}

// BenchmarkPartition reports the time until a partition is marked by all members on both sides, and the
// traffic and the false alarms of each member without and with 5% packet loss.
func BenchmarkPartition(b *testing.B) {
	for _, domains := range []int{3, 19} {
		for name, other := range map[string]string{"isolated": "", "pair": "domain-2"} {
			b.Run(fmt.Sprintf("%s/domains-%d", name, domains), func(b *testing.B) {
				worst, sum := time.Duration(0), time.Duration(0)
				for i := range b.N {
					w := newDomains(b, uint64(i)+1, domains)
					if other == "" {
						w.isolate("domain-1", true)
					} else {
						w.setCut("domain-1", other, true)
					}
					took := w.until("marked", time.Minute, func() bool { return w.marked("domain-1", other, true) })
					worst, sum = max(worst, took), sum+took
				}
				b.ReportMetric(worst.Seconds(), "worst-s")
				b.ReportMetric(sum.Seconds()/float64(b.N), "mean-s")
			})
		}
		for _, loss := range []float64{0, 0.05} {
			b.Run(fmt.Sprintf("loss-%v/domains-%d", loss, domains), func(b *testing.B) {
				alarms, minutes := 0, 0.0
				w := newDomains(b, 1, domains)
				w.loss, w.total = loss, traffic{}
				down := make([]int, len(w.nodes))
				for range b.N {
					for range 600 {
						w.run(TickInterval)
						for i, n := range w.nodes {
							now := len(n.state.View().Unreachable)
							alarms += max(0, now-down[i])
							down[i] = now
						}
					}
					minutes++
				}
				each := minutes * 60 * float64(len(w.nodes))
				b.ReportMetric(float64(w.total.sent)/each, "sentB/s")
				b.ReportMetric(float64(alarms)/each*3600, "alarms/h")
			})
		}
	}
}

// Guards against a hint, or the announcement of a stop, that waits behind the records of a mass restart.
func TestHintsGoFirst(t *testing.T) {
	now := time.UnixMilli(1_800_000_000_000)
	s := New(Config{Local: testRecord(0, "domain-0", 1)}, now, 1)
	for i := 1; i < 400; i++ {
		s.apply(now, update{Kind: updateRecord, Record: new(testRecord(i, fmt.Sprint("domain-", i%2), 1))})
	}
	s.take() // the introductions of these members
	s.setReachable(s.domains["domain-1"], false)
	for what, packets := range map[updateKind][]Packet{updateCut: s.take(), updateDead: s.Leave(now)} {
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
