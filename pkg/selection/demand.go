package selection

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"kingcupwood.example/kingcupwood/pkg/endpoint"
)

const (
	// remoteCost is what an endpoint of another failure domain costs beside one of the own domain, as a
	// share of the target of the request, and remoteCostPerKB what each kilobyte of request and answer
	// adds. They keep requests near while near is in time, the large ones for longer, as bytes between
	// failure domains are paid for.
	remoteCost      = 0.15
	remoteCostPerKB = 0.12
	// workSmoothing is the weight of a new sample in the work time of a kind and in the pace of an
	// endpoint.
	workSmoothing = 0.1
	// minPace and maxPace bound the pace of an endpoint, since a few samples may be outliers.
	minPace, maxPace = 0.2, 12.0
	// paceMemory is the time after which the pace of an endpoint without samples counts half, so that
	// an endpoint that was slow is tried again.
	paceMemory = 4 * time.Second
	// noise is the relative width of the random part of a cost. Without it, all daemons send to the
	// same endpoint until its next report.
	noise = 0.15
	// maxCompared bounds the endpoints that one choice compares.
	maxCompared = 32
	// defaultWork is the work time of a kind without samples, as a share of the target.
	defaultWork = 0.3
	// maxKinds bounds the kinds whose work time is remembered for a service.
	maxKinds = 256
	// patienceMargin is the share of the target that a request may wait longer than expected before it
	// is worth the way to another endpoint.
	patienceMargin = 0.15
	// failureCost is what a recent failure of an endpoint costs, as a share of the target.
	failureCost = 0.5
	// failureSmoothing is the weight of a new result in the failure rate of an endpoint.
	failureSmoothing = 0.15
	// setFailureSmoothing is the weight of a new result in the failure rate of a service.
	setFailureSmoothing = 0.05
	// failureMemory is the time in which the failure rate of an endpoint without results halves.
	failureMemory = 2 * time.Second
)

// Request is a request for which an endpoint is chosen.
type Request struct {
	Service string
	// Kind is the name under which the work time is learned.
	Kind string
	// Target is the time within which the answer has its full worth, at least 1 ms.
	Target time.Duration
	// Bytes is the size of the body of the request.
	Bytes int
	// Tried lists the instances that the request has been sent to.
	Tried []endpoint.InstanceID
}

// works holds what was learned of the kinds of a service.
type works struct {
	byKind sync.Map // string to *kindWork
	size   atomic.Int64
}

// kindWork holds the smoothed work time of a kind in nanoseconds and the size of its answers in bytes.
type kindWork struct{ work, bytes atomic.Int64 }

func (w *works) of(kind string) *kindWork {
	if found, ok := w.byKind.Load(kind); ok {
		return found.(*kindWork)
	}
	if w.size.Load() >= maxKinds {
		kind = ""
	}
	found, loaded := w.byKind.LoadOrStore(kind, new(kindWork))
	if !loaded {
		w.size.Add(1)
	}
	return found.(*kindWork)
}

// smooth adds a sample to value and returns what it was before, the sample if it was empty. Concurrent calls
// may lose one of the samples, which a smoothed value tolerates.
func smooth(value *atomic.Int64, sample int64) int64 {
	old := value.Load()
	if old == 0 {
		value.Store(sample)
		return sample
	}
	value.Store(old + int64(workSmoothing*float64(sample-old)))
	return old
}

// observe adds a work time and the size of an answer, and returns the ratio of the work time to the one
// expected before.
func (w *works) observe(kind string, work time.Duration, bytes int) float64 {
	known := w.of(kind)
	smooth(&known.bytes, int64(bytes))
	return float64(work) / float64(max(smooth(&known.work, int64(work)), 1))
}

// remote returns what an endpoint of another failure domain costs d more.
func (w *works) remote(d *Request) float64 {
	const kilobyte = 1000
	return remoteCost + remoteCostPerKB*float64(int64(d.Bytes)+w.of(d.Kind).bytes.Load())/kilobyte
}

// smoothed is a value that approaches its neutral one while nothing is observed.
type smoothed struct {
	bits atomic.Uint64
	at   atomic.Int64 // Unix nanoseconds of the last sample
}

func (s *smoothed) add(sample, weight float64, now int64) {
	old := math.Float64frombits(s.bits.Load())
	if s.at.Load() == 0 {
		weight = max(weight, 0.5)
	}
	s.bits.Store(math.Float64bits(old + weight*(sample-old)))
	s.at.Store(now)
}

// get returns the value, halved for each halfLife since the last sample.
func (s *smoothed) get(now int64, halfLife time.Duration) float64 {
	value := math.Float64frombits(s.bits.Load())
	if value == 0 {
		return 0
	}
	age := float64(max(now-s.at.Load(), 0)) / float64(halfLife)
	return value * math.Exp2(-age)
}

// learn takes over what a result tells about the speed and the reliability of the endpoint.
func (m *member) learn(r Result, kind string, now int64) {
	failed := 0.0
	if r.Failed {
		failed = 1
	}
	if !r.Refused {
		m.stats.failing.add(failed, failureSmoothing, now)
		m.level.failing.add(failed, setFailureSmoothing, now)
	}
	if r.Work > 0 {
		ratio := m.works.observe(kind, r.Work, r.Bytes)
		m.stats.pace.add(math.Log(min(max(ratio, minPace), maxPace)), workSmoothing, now)
	}
}

// expected returns the cost of sending one more request of d to m: the time until its answer as a share
// of the target.
func (m *member) expected(d *Request, now int64) float64 {
	target := float64(max(d.Target, time.Millisecond))
	work := float64(m.works.of(d.Kind).work.Load())
	if work == 0 {
		work = defaultWork * target
	}
	pace := math.Exp(m.stats.pace.get(now, paceMemory))
	occupied := m.cost(now)
	cost := work * pace * (max(1, occupied) + 0.1*min(occupied, 1)) / target
	return cost + failureCost*m.failingMore(now)
}

// failingMore returns by how much the endpoint fails more often than its service. If all endpoints fail alike,
// those that have not been tried lately are no better.
func (m *member) failingMore(now int64) float64 {
	return max(m.stats.failing.get(now, failureMemory)-m.level.failing.get(now, failureMemory), 0)
}

// PickFor chooses the endpoint that is expected to answer d first, where one in another failure domain
// costs remoteCost more. The caller calls Done on the result once the attempt is over. The error is a
// *NoEndpoint.
func (s *Selector) PickFor(d Request) (*Pick, error) {
	set := s.current.Load().sets[d.Service]
	if set == nil {
		return nil, &NoEndpoint{Service: d.Service}
	}
	c := chooser{now: s.now().UnixNano(), rng: s.rng, tried: d.Tried}
	m, margin := c.cheapest(set, &d)
	if m == nil {
		return nil, &NoEndpoint{Service: d.Service, Known: len(set.all), Tried: len(d.Tried)}
	}
	m.stats.inflight.Add(1)
	return &Pick{selector: s, member: m, kind: d.Kind, margin: margin}, nil
}

// MaxWait returns how much longer than expected the request may wait at the chosen endpoint before the
// next best one would have been better, 0 if there is no other. target is that of the Demand.
func (p *Pick) MaxWait(target time.Duration) time.Duration {
	if math.IsInf(p.margin, 1) {
		return 0
	}
	wait := max(p.member.cost(p.selector.now().UnixNano())-1, 0) * float64(p.member.works.of(p.kind).work.Load())
	return time.Duration(wait + (p.margin+patienceMargin)*float64(target))
}

// cheapest prefers reachable endpoints, then ejected ones, then unreachable domains.
func (c *chooser) cheapest(s *set, d *Request) (*member, float64) {
	for _, c.useEjected = range []bool{false, true} {
		if m, margin := c.leastCost(s, d); m != nil {
			return m, margin
		}
	}
	return c.better(s.unreachable, nil), math.Inf(1)
}

// leastCost returns the member with the lowest cost, and by how much the next one costs more. There is no slow
// start: a server that is slow at first shows it in its pace, and after a restart of all daemons all
// servers would stand aside at once.
func (c *chooser) leastCost(s *set, d *Request) (*member, float64) {
	var best *member
	lowest, second := math.Inf(1), math.Inf(1)
	n := len(s.local) + len(s.remote)
	start := 0
	if n > maxCompared {
		start = int(c.rng() % uint64(n))
	}
	for i := range min(n, maxCompared) {
		at := (start + i) % n
		m := atIndex(s.local, s.remote, at)
		if !c.usable(m) {
			continue
		}
		cost := m.expected(d, c.now) * (1 + noise*c.fraction())
		if at >= len(s.local) {
			cost += m.works.remote(d)
		}
		if cost < lowest {
			best, lowest, second = m, cost, lowest
		} else {
			second = min(second, cost)
		}
	}
	return best, second - lowest
}

// fraction returns a random number in [0, 1).
func (c *chooser) fraction() float64 { return float64(c.rng()>>11) / (1 << 53) }
