package probe

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"kingcupwood.example/kingcupwood/pkg/membership"
	"kingcupwood.example/kingcupwood/pkg/packetauth"
)

// BenchmarkSockets reports the CPU time and traffic per daemon of idle probing over the loopback
// interface. One process runs all daemons. The bound is 42 ms of CPU time per second for a whole
// daemon.
func BenchmarkSockets(b *testing.B) {
	for _, n := range []int{25, 50, 100, 200} {
		b.Run(fmt.Sprintf("daemons-%d", n), func(b *testing.B) { benchmarkSockets(b, n, nil) })
	}
	b.Run("daemons-100-authenticated", func(b *testing.B) { benchmarkSockets(b, 100, newTestRing(b, "a")) })
}

func benchmarkSockets(b *testing.B, n int, keys *packetauth.Ring) {
	const period = 5 * time.Second
	var probers []*Prober
	var entries []membership.Entry
	for i := range n {
		p, record, stop := startWithRing(b, i, keys)
		defer stop()
		probers, entries = append(probers, p), append(entries, membership.Entry{Record: record})
	}
	for _, p := range probers {
		p.Do(func(now time.Time, s *membership.State) { s.Merge(now, entries) })
	}
	time.Sleep(2 * period) // until the updates of the joins are sent
	for range b.N {
		cpu, before := cpuTime(), total(probers)
		time.Sleep(period)
		used, after := cpuTime()-cpu, total(probers)
		daemonSeconds := float64(n) * period.Seconds()
		b.ReportMetric(float64(used.Microseconds())/1000/daemonSeconds, "cpu-ms/s")
		b.ReportMetric(float64(after.SentBytes-before.SentBytes)/daemonSeconds, "sentB/s")
		b.ReportMetric(float64(after.ReceivedBytes-before.ReceivedBytes)/daemonSeconds, "receivedB/s")
	}
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func total(probers []*Prober) Stats {
	var sum Stats
	for _, p := range probers {
		s := p.Stats()
		sum.SentBytes += s.SentBytes
		sum.ReceivedBytes += s.ReceivedBytes
	}
	return sum
}
