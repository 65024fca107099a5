package selection

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"kingcupwood.example/kingcupwood/pkg/endpoint"
	"kingcupwood.example/kingcupwood/pkg/rollout"
)

// draws is the number of random draws for a candidate before the set is scanned in order. A scan
// favours the successors of unusable endpoints, so it is only the fallback.
const draws = 4

// Selector picks endpoints. Pick, Done and Update may be called concurrently.
type Selector struct {
	cfg     Config
	now     func() time.Time
	rng     func() uint64
	current atomic.Pointer[table]

	mu       sync.Mutex // serialises Update and ejections; not taken by Pick
	retained retained
	// traffic holds the services whose servers are distinguished by version.
	traffic map[string]rollout.Traffic
}

// New returns a Selector without endpoints. rng returns uniform random numbers and must be safe for
// concurrent use.
func New(cfg Config, now func() time.Time, rng func() uint64) *Selector {
	s := &Selector{cfg: cfg.withDefaults(), now: now, rng: rng}
	s.current.Store(&table{})
	return s
}

// Update replaces the endpoints. The new table is published only when it is complete; the
// statistics of remaining endpoints are kept. Only ready records get new requests. A nil view has
// no endpoints.
func (s *Selector) Update(v *endpoint.View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rebuild(v, s.traffic)
}

// UpdateTraffic replaces the endpoints and the versions that get the requests of each service. Servers of
// a service that traffic does not contain are not distinguished by version.
func (s *Selector) UpdateTraffic(v *endpoint.View, traffic map[string]rollout.Traffic) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rebuild(v, traffic)
}

// rebuild builds and publishes a table; the caller holds s.mu.
func (s *Selector) rebuild(v *endpoint.View, traffic map[string]rollout.Traffic) {
	if v == nil {
		v = &endpoint.View{}
	}
	next, kept := buildTable(s.cfg, v, traffic, s.retained, s.now().UnixNano(), s.rng)
	for service, t := range traffic {
		if old := s.traffic[service]; old.OnlyTarget && !t.OnlyTarget {
			kept.acceptAgain(service)
		}
	}
	s.retained, s.traffic = kept, traffic
	s.current.Store(next)
}

// Pick is the endpoint chosen for one attempt.
type Pick struct {
	selector *Selector
	member   *member
	kind     string
	// margin is the additional cost of the next best endpoint, as a share of the latency target.
	margin float64
	done   atomic.Bool
}

// Record returns the record of the endpoint.
func (p *Pick) Record() endpoint.Record { return p.member.record }

// Done records the outcome of the attempt. Only the first call has an effect.
func (p *Pick) Done(r Result) {
	if p.done.Swap(true) {
		return
	}
	st := p.member.stats
	st.inflight.Add(-1)
	now := p.selector.now().UnixNano()
	p.member.observe(r, p.kind, now)
	if st.record(r, p.member.service, now) {
		p.selector.eject(p.member, now)
	}
}

// eject ejects m unless more than half of its set would then be ejected.
func (s *Selector) eject(m *member, now int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	set := s.current.Load().sets[m.record.Service].groupOf(m)
	if set == nil || m.ejected(now) {
		return
	}
	ejected := 0
	for _, other := range set.all {
		if other.ejected(now) {
			ejected++
		}
	}
	if (ejected+1)*2 <= len(set.all) {
		m.stats.eject(now)
	}
}

// Pick chooses an endpoint of service that is not in tried. The caller must call Done on the result
// when the attempt is over. The error is a *NoEndpoint.
func (s *Selector) Pick(service string, tried []endpoint.InstanceID) (*Pick, error) {
	set := s.current.Load().sets[service]
	if set == nil {
		return nil, &NoEndpoint{Service: service}
	}
	c := chooser{now: s.now().UnixNano(), rng: s.rng, tried: tried}
	for _, group := range set.groups(attempts{any: len(tried) > 0}) {
		if m := c.choose(group, s.cfg.SpillLoad); m != nil {
			m.stats.inflight.Add(1)
			return &Pick{selector: s, member: m}, nil
		}
		c.useEjected = false
	}
	return nil, set.none(service, tried)
}

// chooser holds the inputs of one decision.
type chooser struct {
	now        int64
	rng        func() uint64
	tried      []endpoint.InstanceID
	useEjected bool
}

// choose prefers the local domain, then other domains, then ejected endpoints, then unreachable
// domains. Above the spill load all reachable endpoints are candidates on equal terms: a saturated
// local domain is no better than any other, and an even spread gives each instance its share of the
// declared rates.
func (c *chooser) choose(s *set, spill float64) *member {
	if m := c.pickOfTwo(s.local, nil); m != nil && m.cost(c.now) <= spill {
		return m
	}
	if m := c.pickOfTwo(s.local, s.remote); m != nil {
		return m
	}
	c.useEjected = true
	if m := c.pickOfTwo(s.local, s.remote); m != nil {
		return m
	}
	return c.pickOfTwo(s.unreachable, nil)
}

// pickOfTwo draws two random usable members of a and b and chooses between them by cost, with
// preference for the lower one (power of two choices). Members in slow start are skipped with a
// probability of 1 minus their share, unless there is no other.
func (c *chooser) pickOfTwo(a, b []*member) *member {
	first := c.draw(a, b, nil)
	if first == nil {
		return nil
	}
	if !c.passesSlowStart(first) {
		if other := c.draw(a, b, first); other != nil {
			return other
		}
		return first
	}
	second := c.draw(a, b, first)
	if second == nil || !c.passesSlowStart(second) || c.prefer(first.cost(c.now), second.cost(c.now)) {
		return first
	}
	return second
}

// prefer decides at random whether to prefer cost a over cost b, weighted by the cubes of the
// costs. Costs are estimates that are similar on every daemon: a strict comparison would send the
// requests of all daemons to an endpoint that is only slightly less loaded. With a twofold
// difference the cheaper one is chosen in 8 of 9 cases.
func (c *chooser) prefer(a, b float64) bool {
	a, b = a*a*a, b*b*b
	return float64(c.rng()>>11)*(a+b) < b*(1<<53)
}

// draw returns a random usable member other than not, or nil.
func (c *chooser) draw(a, b []*member, not *member) *member {
	n := len(a) + len(b)
	if n == 0 {
		return nil
	}
	for range draws {
		if m := atIndex(a, b, int(c.rng()%uint64(n))); m != not && c.usable(m) {
			return m
		}
	}
	start := int(c.rng() % uint64(n))
	for i := range n {
		if m := atIndex(a, b, (start+i)%n); m != not && c.usable(m) {
			return m
		}
	}
	return nil
}

// passesSlowStart reports whether m is a candidate for this choice; in slow start its share is the
// probability.
func (c *chooser) passesSlowStart(m *member) bool {
	share := m.share(c.now)
	return share >= 1 || float64(c.rng()>>11) < share*(1<<53)
}

func atIndex(a, b []*member, i int) *member {
	if i < len(a) {
		return a[i]
	}
	return b[i-len(a)]
}

func (c *chooser) usable(m *member) bool {
	if m.draining(c.now) || (!c.useEjected && m.ejected(c.now)) {
		return false
	}
	return !slices.Contains(c.tried, m.record.Instance)
}
