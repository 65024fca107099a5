package selection

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"kingcupwood.example/kingcupwood/pkg/endpoint"
)

// draws is the number of random draws for one candidate before the set is scanned in order. A scan
// favours the successors of unusable endpoints, so it is only the fallback.
const draws = 4

// Selector picks endpoints. Pick, Done and Update may be called concurrently.
type Selector struct {
	cfg     Config
	now     func() time.Time
	rng     func() uint64
	current atomic.Pointer[table]

	mu    sync.Mutex // serialises Update and ejections; not taken by Pick
	known known
}

// New returns a Selector without endpoints. rng returns uniform random numbers and must be safe for
// concurrent use.
func New(cfg Config, now func() time.Time, rng func() uint64) *Selector {
	s := &Selector{cfg: cfg.withDefaults(), now: now, rng: rng}
	s.current.Store(&table{})
	return s
}

// Update replaces the endpoints. The new table is complete before it replaces the old one; the
// statistics of endpoints that stay are kept. Records other than ready ones get no new requests. A
// nil view has no endpoints.
func (s *Selector) Update(v *endpoint.View) {
	if v == nil {
		v = &endpoint.View{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	next, kept := buildTable(s.cfg, v, s.known, s.now().UnixNano())
	s.known = kept
	s.current.Store(next)
}

// Pick is an endpoint that was chosen for one attempt.
type Pick struct {
	selector *Selector
	member   *member
	kind     string
	// margin is by how much the next endpoint costs more, as a share of the target.
	margin float64
	done   atomic.Bool
}

// Record returns the record of the endpoint.
func (p *Pick) Record() endpoint.Record { return p.member.record }

// Done takes over the outcome of the attempt. Only the first call has an effect.
func (p *Pick) Done(r Result) {
	if p.done.Swap(true) {
		return
	}
	st := p.member.stats
	st.inflight.Add(-1)
	now := p.selector.now().UnixNano()
	p.member.learn(r, p.kind, now)
	if st.record(r, p.member.level, now) {
		p.selector.eject(p.member, now)
	}
}

// eject ejects m unless more than half of its set would then be ejected.
func (s *Selector) eject(m *member, now int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	set := s.current.Load().sets[m.record.Service]
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

// Pick chooses an endpoint of service that is not in tried. The caller calls Done on the result once
// the attempt is over. The error is a *NoEndpoint.
func (s *Selector) Pick(service string, tried []endpoint.InstanceID) (*Pick, error) {
	set := s.current.Load().sets[service]
	if set == nil {
		return nil, &NoEndpoint{Service: service}
	}
	c := chooser{now: s.now().UnixNano(), rng: s.rng, tried: tried}
	m := c.choose(set, s.cfg.SpillLoad)
	if m == nil {
		return nil, &NoEndpoint{Service: service, Known: len(set.all), Tried: len(tried)}
	}
	m.stats.inflight.Add(1)
	return &Pick{selector: s, member: m}, nil
}

// chooser holds what one decision needs.
type chooser struct {
	now        int64
	rng        func() uint64
	tried      []endpoint.InstanceID
	useEjected bool
}

// choose prefers the local domain, then other domains, then ejected endpoints, then unreachable
// domains. Above the spill load all reachable endpoints take part equally: a saturated local domain
// is no better than any other, and an even spread gives each instance its share of the declared
// rates.
func (c *chooser) choose(s *set, spill float64) *member {
	if m := c.better(s.local, nil); m != nil && m.cost(c.now) <= spill {
		return m
	}
	if m := c.better(s.local, s.remote); m != nil {
		return m
	}
	c.useEjected = true
	if m := c.better(s.local, s.remote); m != nil {
		return m
	}
	return c.better(s.unreachable, nil)
}

// better draws two usable members of a and b together and returns the one with the lower cost.
// Members in slow start stand aside in proportion to the share that they lack, unless there is no
// other.
func (c *chooser) better(a, b []*member) *member {
	first := c.draw(a, b, nil)
	if first == nil {
		return nil
	}
	if !c.warm(first) {
		if other := c.draw(a, b, first); other != nil {
			return other
		}
		return first
	}
	second := c.draw(a, b, first)
	if second == nil || !c.warm(second) || c.prefer(first.cost(c.now), second.cost(c.now)) {
		return first
	}
	return second
}

// prefer reports whether to take cost a over cost b. Costs are estimates, and every daemon has the
// same ones: a strict comparison sends the requests of all daemons to an endpoint that is only a
// little less loaded. A twofold difference decides in 8 of 9 cases.
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

// warm reports whether m takes part in this choice; in slow start it does so with its share as
// probability.
func (c *chooser) warm(m *member) bool {
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
