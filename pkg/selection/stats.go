package selection

import (
	"math"
	"sync/atomic"
	"time"

	"kingcupwood.example/kingcupwood/pkg/endpoint"
	"kingcupwood.example/kingcupwood/pkg/verdict"
)

const (
	// refusedLoad is the load that a refusal proves, whatever the endpoint reports.
	refusedLoad = 1.5
	// distrustFor is the time for which the loads of an endpoint are replaced by those of its set.
	distrustFor = 10 * time.Second
	// distrustFactor makes such an endpoint count somewhat more loaded than its set, as it is the one
	// that refused.
	distrustFactor = 1.1
	// levelSmoothing is the weight of a new report in the load of the set.
	levelSmoothing = 0.05
	// usualSmoothing is the weight of a new report in the usual load of an endpoint, usualMemory the time
	// after which that load counts half, so that an endpoint that was loaded is tried again.
	usualSmoothing = 0.2
	usualMemory    = 4 * time.Second
)

// stats holds what this daemon has seen of an endpoint. It survives an Update of the table. Times
// are Unix nanoseconds.
type stats struct {
	inflight atomic.Int64
	load     atomic.Uint64 // bits of the float64 returned last
	loadAt   atomic.Int64

	failures      atomic.Int32 // consecutive
	ejections     atomic.Int32 // consecutive, gives the exponent of the time
	ejectedUntil  atomic.Int64
	drainingUntil atomic.Int64
	firstSeen     atomic.Int64
	// distrustUntil is set by a refusal that contradicts the returned load.
	distrustUntil atomic.Int64
	// pace is the logarithm of the work time in relation to that of the set, failing the share of
	// results that are failures.
	pace, failing smoothed
	// usual is the load that the endpoint returns on average.
	usual smoothed
}

// level is a smoothed load of a service, from the reports that are trusted.
type level struct {
	bits atomic.Uint64
	// failing is the share of the results that are failures.
	failing smoothed
}

func (l *level) get() float64 { return math.Float64frombits(l.bits.Load()) }

// add takes over a report. Concurrent calls may lose one of them, which a smoothed value tolerates.
func (l *level) add(load float64) {
	old := l.get()
	l.bits.Store(math.Float64bits(old + levelSmoothing*(load-old)))
}

// member is an endpoint of a set. It is immutable except for its stats.
type member struct {
	record endpoint.Record
	slots  float64
	readyN int64 // Unix nanoseconds
	stats  *stats
	level  *level // of the service
	works  *works // of the service
}

func newMember(r endpoint.Record, s *stats, l *level, w *works) *member {
	return &member{
		level:  l,
		works:  w,
		record: r,
		slots:  float64(max(r.Slots, 1)),
		// The clock of another instance may be ahead; slow start must not last longer for that.
		readyN: min(r.ReadySinceMS*int64(time.Millisecond), s.firstSeen.Load()),
		stats:  s,
	}
}

func (m *member) draining(now int64) bool { return now < m.stats.drainingUntil.Load() }
func (m *member) ejected(now int64) bool  { return now < m.stats.ejectedUntil.Load() }

// cost estimates the load of the endpoint after one more request: the requests of this daemon, and
// the load returned last, weighted down with its age.
func (m *member) cost(now int64) float64 {
	own := float64(m.stats.inflight.Load()+1) / m.slots
	return own + m.reported(now)
}

func (m *member) reported(now int64) float64 {
	load := math.Float64frombits(m.stats.load.Load())
	age := float64(max(now-m.stats.loadAt.Load(), 0)) / float64(loadHalfLife)
	weight := math.Exp2(-age)
	return load*weight + m.stats.usual.get(now, usualMemory)*(1-weight)
}

// share is the part of its normal share that the endpoint receives during slow start.
func (m *member) share(now int64) float64 {
	age := float64(now-m.readyN) / float64(slowStart)
	return min(max(age, minShare), 1)
}

// report takes over a returned load. An endpoint that refuses work while it reports free slots is
// not believed for a while; it then counts like the others, so that a wrong report neither attracts
// nor repels requests.
func (s *stats) report(r Result, set *level, now int64) {
	refused := r.Verdict == verdict.NotRun
	if refused && r.Load >= 0 && r.Load < 1 {
		s.distrustUntil.Store(now + int64(distrustFor))
	}
	load := r.Load
	if refused {
		load = max(load, refusedLoad)
	}
	if now < s.distrustUntil.Load() {
		load = max(load, distrustFactor*set.get())
	} else if load >= 0 {
		set.add(min(load, maxReportedLoad))
	}
	if load >= 0 {
		s.setLoad(load, now)
	}
}

func (s *stats) setLoad(load float64, now int64) {
	load = min(load, maxReportedLoad)
	s.usual.add(load, usualSmoothing, now)
	s.load.Store(math.Float64bits(load))
	s.loadAt.Store(now)
}

// record takes over the outcome of an attempt and reports whether the endpoint has failed often
// enough to be ejected.
func (s *stats) record(r Result, set *level, now int64) bool {
	if r.Draining {
		s.drainingUntil.Store(now + int64(drainingFor))
		return false
	}
	if r.Failed {
		return s.failures.Add(1) >= ejectAfter && now >= s.ejectedUntil.Load()
	}
	s.report(r, set, now)
	if r.Verdict == verdict.Ran {
		s.succeeded(now)
	}
	return false
}

func (s *stats) succeeded(now int64) {
	if s.failures.Load() != 0 {
		s.failures.Store(0)
	}
	n := s.ejections.Load()
	if n > 0 && now > s.ejectedUntil.Load()+int64(ejectionTime(n)) {
		s.ejections.Store(0)
	}
}

// eject takes the endpoint out for a time that doubles. One further failure after its return is
// enough for the next ejection.
func (s *stats) eject(now int64) {
	n := s.ejections.Add(1)
	s.ejectedUntil.Store(now + int64(ejectionTime(n)))
	s.failures.Store(ejectAfter - 1)
}

func ejectionTime(n int32) time.Duration {
	return min(ejectBase<<min(max(n-1, 0), 16), ejectMax)
}
