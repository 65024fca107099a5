package selection

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"kingcupwood.example/kingcupwood/pkg/endpoint"
)

const (
	// remoteCost is the additional cost of an endpoint in another failure domain, as a share of the
	// latency target of the request; remoteCostPerKB is added for each kilobyte of request and
	// response. They keep requests in the local domain while it can meet the target, and large
	// requests for longer, because traffic between failure domains is charged by volume.
	remoteCost      = 0.15
	remoteCostPerKB = 0.12
	// smoothingWeight is the weight of a new sample in the service time and response size of a kind
	// and in the slowness of an endpoint.
	smoothingWeight = 0.1
	// minSlowness and maxSlowness bound a slowness sample of an endpoint, as a few may be outliers.
	minSlowness, maxSlowness = 0.2, 12.0
	// slownessHalfLife is the half-life of the slowness of an endpoint without new samples. Decay
	// makes sure that a formerly slow endpoint is tried again.
	slownessHalfLife = 4 * time.Second
	// costNoise is the relative width of the random part of a cost. Without it, all daemons would send
	// to the same endpoint until its next load report.
	costNoise = 0.15
	// maxCompared bounds the endpoints that one choice compares.
	maxCompared = 32
	// defaultServiceTime is the service time of a kind without samples, as a share of the latency
	// target.
	defaultServiceTime = 0.3
	// maxKinds bounds the kinds with separate statistics for each service.
	maxKinds = 256
	// maxWaitMargin is the time by which a request may exceed its expected wait before it is sent to
	// another endpoint, as a share of the latency target.
	maxWaitMargin = 0.15
	// failureCost is the cost of a failure rate of 1, as a share of the latency target.
	failureCost = 0.5
	// failureSmoothing is the weight of a new result in the failure rate of an endpoint.
	failureSmoothing = 0.15
	// serviceFailureSmoothing is the weight of a new result in the failure rate of a service.
	serviceFailureSmoothing = 0.05
	// failureHalfLife is the half-life of a failure rate without new results.
	failureHalfLife = 2 * time.Second
)

// Request is a request for which an endpoint is chosen.
type Request struct {
	Service string
	// Kind is the name under which service times are observed.
	Kind string
	// Target is the latency target, at least 1 ms.
	Target time.Duration
	// Bytes is the size of the request body.
	Bytes int
	// Tried lists the instances to which the request has already been sent.
	Tried []endpoint.InstanceID
	// Again means that the request has already been sent. During a roll-out it then goes to the old
	// version, so that the target version gets no more than its share.
	Again bool
	// Refused means that the last server refused the request as draining.
	Refused bool
}

// kindTable holds the statistics of the kinds of a service.
type kindTable struct {
	byKind sync.Map // string to *kindStats
	size   atomic.Int64
}

// kindStats holds the smoothed service time of a kind in nanoseconds and the smoothed size of its
// response bodies in bytes.
type kindStats struct{ serviceTime, bytes atomic.Int64 }

func (t *kindTable) of(kind string) *kindStats {
	if found, ok := t.byKind.Load(kind); ok {
		return found.(*kindStats)
	}
	if t.size.Load() >= maxKinds {
		kind = ""
	}
	found, loaded := t.byKind.LoadOrStore(kind, new(kindStats))
	if !loaded {
		t.size.Add(1)
	}
	return found.(*kindStats)
}

// smooth adds a sample to value and returns the previous value, or the sample if there was none. A
// sample may be lost in a race between calls, which is acceptable for a smoothed value.
func smooth(value *atomic.Int64, sample int64) int64 {
	old := value.Load()
	if old == 0 {
		value.Store(sample)
		return sample
	}
	value.Store(old + int64(smoothingWeight*float64(sample-old)))
	return old
}

// observe adds a service time and a response size, and returns the ratio of the service time to the
// one expected before.
func (t *kindTable) observe(kind string, serviceTime time.Duration, bytes int) float64 {
	stats := t.of(kind)
	smooth(&stats.bytes, int64(bytes))
	return float64(serviceTime) / float64(max(smooth(&stats.serviceTime, int64(serviceTime)), 1))
}

// remote returns the additional cost of sending r to another failure domain.
func (t *kindTable) remote(r *Request) float64 {
	const kilobyte = 1000
	return remoteCost + remoteCostPerKB*float64(int64(r.Bytes)+t.of(r.Kind).bytes.Load())/kilobyte
}

// smoothed is an exponentially smoothed value that decays to zero without new samples.
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

// get returns the value, halved for every halfLife since the last sample.
func (s *smoothed) get(now int64, halfLife time.Duration) float64 {
	value := math.Float64frombits(s.bits.Load())
	if value == 0 {
		return 0
	}
	age := float64(max(now-s.at.Load(), 0)) / float64(halfLife)
	return value * math.Exp2(-age)
}

// observe updates the failure rate and the slowness of the endpoint from a result.
func (m *member) observe(r Result, kind string, now int64) {
	failed := 0.0
	if r.Failed {
		failed = 1
	}
	if !r.Refused {
		m.stats.failureRate.add(failed, failureSmoothing, now)
		m.service.failureRate.add(failed, serviceFailureSmoothing, now)
	}
	if r.Work > 0 {
		ratio := m.kinds.observe(kind, r.Work, r.Bytes)
		m.stats.slowness.add(math.Log(min(max(ratio, minSlowness), maxSlowness)), smoothingWeight, now)
	}
}

// expected returns the cost of sending r to m: the expected response time as a share of the latency
// target, including the transfer of the body, plus the cost of recent failures.
func (m *member) expected(r *Request, now int64) float64 {
	target := float64(max(r.Target, time.Millisecond))
	serviceTime := float64(m.kinds.of(r.Kind).serviceTime.Load())
	if serviceTime == 0 {
		serviceTime = defaultServiceTime * target
	}
	slowness := math.Exp(m.stats.slowness.get(now, slownessHalfLife))
	occupied := m.cost(now)
	cost := serviceTime * slowness * (max(1, occupied) + 0.1*min(occupied, 1)) / target
	if m.linkBytesPerSecond > 0 {
		cost += float64(r.Bytes) / m.linkBytesPerSecond * float64(time.Second) / target
	}
	return cost + failureCost*m.excessFailureRate(now)
}

// excessFailureRate returns the failure rate of the endpoint in excess of that of its service. If
// all endpoints fail equally, those without recent requests are no better.
func (m *member) excessFailureRate(now int64) float64 {
	return max(m.stats.failureRate.get(now, failureHalfLife)-m.service.failureRate.get(now, failureHalfLife), 0)
}

// PickFor chooses the endpoint with the lowest expected cost for r, which includes remoteCost for
// other failure domains. The caller must call Done on the result when the attempt is over. The
// error is a *NoEndpoint.
func (s *Selector) PickFor(r Request) (*Pick, error) {
	set := s.current.Load().sets[r.Service]
	if set == nil {
		return nil, &NoEndpoint{Service: r.Service}
	}
	c := chooser{now: s.now().UnixNano(), rng: s.rng, tried: r.Tried}
	for _, group := range set.groups(attempts{any: r.Again || len(r.Tried) > 0, refused: r.Refused}) {
		if m, margin := c.cheapest(group, &r); m != nil {
			m.stats.inflight.Add(1)
			return &Pick{selector: s, member: m, kind: r.Kind, margin: margin}, nil
		}
	}
	return nil, set.none(r.Service, r.Tried)
}

// MaxWait returns the longest wait for a slot at the chosen endpoint above which the next best
// endpoint would be the better choice, 0 if there is no other. target is that of the Request.
func (p *Pick) MaxWait(target time.Duration) time.Duration {
	if math.IsInf(p.margin, 1) {
		return 0
	}
	wait := max(p.member.cost(p.selector.now().UnixNano())-1, 0) * float64(p.member.kinds.of(p.kind).serviceTime.Load())
	return time.Duration(wait + (p.margin+maxWaitMargin)*float64(target))
}

// cheapest prefers reachable endpoints, then ejected ones, then unreachable domains.
func (c *chooser) cheapest(s *set, r *Request) (*member, float64) {
	for _, c.useEjected = range []bool{false, true} {
		if m, margin := c.leastCost(s, r); m != nil {
			return m, margin
		}
	}
	return c.pickOfTwo(s.unreachable, nil), math.Inf(1)
}

// leastCost returns the member with the lowest cost and the margin to the next one. Slow start does
// not apply: a server that is slow at first is recognised by its slowness, and after a restart of
// all daemons all servers would be in slow start at once.
func (c *chooser) leastCost(s *set, r *Request) (*member, float64) {
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
		cost := m.expected(r, c.now) * (1 + costNoise*c.fraction())
		if at >= len(s.local) {
			cost += m.kinds.remote(r)
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
