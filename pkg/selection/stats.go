package selection

import (
	"math"
	"sync/atomic"
	"time"

	"kingcupwood.example/kingcupwood/pkg/endpoint"
	"kingcupwood.example/kingcupwood/pkg/verdict"
)

const (
	// refusedLoad is the lowest load assumed after a refusal, whatever the endpoint reports.
	refusedLoad = 1.5
	// overrideFor is how long the loads reported by an endpoint are overridden by the
	// average load of its service, after a refusal that contradicts its report.
	overrideFor = 10 * time.Second
	// overrideFactor makes such an endpoint count as somewhat more loaded than the average, because it
	// has refused a request.
	overrideFactor = 1.1
	// serviceLoadSmoothing is the weight of a new report in the average load of the service.
	serviceLoadSmoothing = 0.05
	// averageLoadSmoothing is the weight of a new report in the average load of an endpoint.
	// averageLoadHalfLife is its half-life without reports, so that a formerly loaded endpoint is
	// tried again.
	averageLoadSmoothing = 0.2
	averageLoadHalfLife  = 4 * time.Second
)

// stats holds the observations of this daemon about an endpoint. It is kept across updates of the
// table. Times are Unix nanoseconds.
type stats struct {
	inflight atomic.Int64
	load     atomic.Uint64 // bits of the float64 reported last
	loadAt   atomic.Int64

	failures      atomic.Int32 // consecutive
	ejections     atomic.Int32 // consecutive; exponent of the ejection time
	ejectedUntil  atomic.Int64
	drainingUntil atomic.Int64
	firstSeen     atomic.Int64
	// overrideUntil is the time until which reported loads are overridden.
	overrideUntil atomic.Int64
	// slowness is the logarithm of the ratio of the service time to the one expected for its kind,
	// failureRate the share of failed results.
	slowness, failureRate smoothed
	// averageLoad is the smoothed load that the endpoint reports.
	averageLoad smoothed
}

// serviceStats holds the statistics of a service: its smoothed load, from reports that are not
// overridden, and its failure rate.
type serviceStats struct {
	bits atomic.Uint64
	// failureRate is the share of failed results.
	failureRate smoothed
}

func (s *serviceStats) get() float64 { return math.Float64frombits(s.bits.Load()) }

// add adds a load report. A report may be lost in a race between calls, which is acceptable for a
// smoothed value.
func (s *serviceStats) add(load float64) {
	old := s.get()
	s.bits.Store(math.Float64bits(old + serviceLoadSmoothing*(load-old)))
}

// member is an endpoint of a set. It is immutable except for its stats.
type member struct {
	record  endpoint.Record
	slots   float64
	readyN  int64 // Unix nanoseconds
	stats   *stats
	service *serviceStats
	kinds   *kindTable // of the service
	// linkBytesPerSecond is the rate at which a body reaches the instance, zero if unknown or if no
	// link is involved.
	linkBytesPerSecond float64
}

func newMember(r endpoint.Record, s *stats, service *serviceStats, kinds *kindTable) *member {
	return &member{
		service: service,
		kinds:   kinds,
		record:  r,
		slots:   float64(max(r.Slots, 1)),
		// The clock of another instance may be ahead, which must not prolong slow start.
		readyN: min(r.ReadySinceMS*int64(time.Millisecond), s.firstSeen.Load()),
		stats:  s,
	}
}

func (m *member) draining(now int64) bool { return now < m.stats.drainingUntil.Load() }
func (m *member) ejected(now int64) bool  { return now < m.stats.ejectedUntil.Load() }

// cost estimates the load of the endpoint after one more request: the requests in flight from this
// daemon plus the reported load.
func (m *member) cost(now int64) float64 {
	own := float64(m.stats.inflight.Load()+1) / m.slots
	return own + m.reported(now)
}

func (m *member) reported(now int64) float64 {
	load := math.Float64frombits(m.stats.load.Load())
	age := float64(max(now-m.stats.loadAt.Load(), 0)) / float64(loadHalfLife)
	weight := math.Exp2(-age)
	return load*weight + m.stats.averageLoad.get(now, averageLoadHalfLife)*(1-weight)
}

// share returns the fraction of its normal share that the endpoint receives; it is below 1 during
// slow start.
func (m *member) share(now int64) float64 {
	age := float64(now-m.readyN) / float64(slowStart)
	return min(max(age, minShare), 1)
}

// report records a reported load. If an endpoint refuses work while it reports free slots, its
// reports are overridden by the average of the service for overrideFor, so that a wrong report
// neither attracts nor repels requests.
func (s *stats) report(r Result, service *serviceStats, now int64) {
	refused := r.Verdict == verdict.NotRun
	if refused && r.Load >= 0 && r.Load < 1 {
		s.overrideUntil.Store(now + int64(overrideFor))
	}
	load := r.Load
	if refused {
		load = max(load, refusedLoad)
	}
	if now < s.overrideUntil.Load() {
		load = max(load, overrideFactor*service.get())
	} else if load >= 0 {
		service.add(min(load, maxReportedLoad))
	}
	if load >= 0 {
		s.setLoad(load, now)
	}
}

func (s *stats) setLoad(load float64, now int64) {
	load = min(load, maxReportedLoad)
	s.averageLoad.add(load, averageLoadSmoothing, now)
	s.load.Store(math.Float64bits(load))
	s.loadAt.Store(now)
}

// record records the outcome of an attempt and reports whether the endpoint has failed often enough
// to be ejected.
func (s *stats) record(r Result, service *serviceStats, now int64) bool {
	if r.Draining {
		s.drainingUntil.Store(now + int64(drainingFor))
		return false
	}
	if r.Failed {
		return s.failures.Add(1) >= ejectAfter && now >= s.ejectedUntil.Load()
	}
	s.report(r, service, now)
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

// eject ejects the endpoint for a time that doubles with each consecutive ejection. A single
// failure afterwards is enough for the next ejection.
func (s *stats) eject(now int64) {
	n := s.ejections.Add(1)
	s.ejectedUntil.Store(now + int64(ejectionTime(n)))
	s.failures.Store(ejectAfter - 1)
}

func ejectionTime(n int32) time.Duration {
	return min(ejectBase<<min(max(n-1, 0), 16), ejectMax)
}
