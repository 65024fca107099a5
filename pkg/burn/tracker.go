package burn

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"kingcupwood.example/kingcupwood/pkg/snapshot"
)

// Default windows. A counter of one kind takes 2 KB, so that the 7,000 kinds of the target take 14 MB
// on a daemon that has seen requests of all of them.
const (
	DefaultBucket = time.Minute
	DefaultShort  = 5 * time.Minute
	DefaultLong   = time.Hour

	// minBucket keeps the number of a bucket since the Unix epoch within 32 bits until 2106.
	minBucket  = time.Second
	maxBuckets = 3600
)

// Config sets the windows. Zero values give the defaults.
type Config struct {
	// Bucket is the resolution. The windows are rounded up to whole buckets; the newest bucket of a
	// window is the one still being filled.
	Bucket time.Duration
	// Short tells whether the objective is being missed now, Long whether it has been for a while.
	Short time.Duration
	Long  time.Duration
}

func (c Config) withDefaults() Config {
	if c.Bucket <= 0 {
		c.Bucket = DefaultBucket
	}
	c.Bucket = max(c.Bucket, minBucket)
	if c.Short <= 0 {
		c.Short = max(DefaultShort, c.Bucket)
	}
	if c.Long <= 0 {
		c.Long = DefaultLong
	}
	c.Short = roundUp(c.Short, c.Bucket)
	c.Long = roundUp(max(c.Long, c.Short), c.Bucket)
	return c
}

func roundUp(window, bucket time.Duration) time.Duration {
	return min((window+bucket-1)/bucket, maxBuckets) * bucket
}

// Tracker counts the outcomes seen by one daemon.
type Tracker struct {
	config Config
	now    func() time.Time
	start  time.Time

	// services is read on the request path and replaced as a whole by writers, which hold mu.
	services atomic.Pointer[map[string]*serviceCounters]
	mu       sync.Mutex
}

// serviceCounters holds the counters of one service. Its map is replaced in the same way.
type serviceCounters struct {
	kinds atomic.Pointer[map[kindKey]*counter]
}

// kindKey contains the rank, so that requests stay counted at the rank which they had.
type kindKey struct {
	name string
	rank int
}

// New returns a Tracker without counts.
func New(config Config, now func() time.Time) *Tracker {
	t := &Tracker{config: config.withDefaults(), now: now, start: now()}
	t.services.Store(&map[string]*serviceCounters{})
	return t
}

// Record counts a request of kind k of service s. It is safe for concurrent use and allocates only
// for the first request of a kind.
func (t *Tracker) Record(s *snapshot.Service, k *snapshot.Kind, o Outcome) {
	if o >= outcomes {
		o = Lost
	}
	c := t.counter(s.Name, kindKey{k.Name, k.Rank})
	c.describe(k)
	c.add(t.interval(t.now()), o)
}

// interval returns the number of the bucket for a time, counted from the Unix epoch so that the
// buckets of different daemons coincide. It follows the monotonic clock from the start on, because a
// wall clock that is set back would reuse buckets in the wrong order.
func (t *Tracker) interval(at time.Time) uint32 {
	return uint32(t.start.Add(at.Sub(t.start)).UnixNano() / int64(t.config.Bucket))
}

func (t *Tracker) counter(service string, key kindKey) *counter {
	if s := (*t.services.Load())[service]; s != nil {
		if c := (*s.kinds.Load())[key]; c != nil {
			return c
		}
	}
	return t.addCounter(service, key)
}

func (t *Tracker) addCounter(service string, key kindKey) *counter {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := (*t.services.Load())[service]
	if s == nil {
		s = &serviceCounters{}
		s.kinds.Store(&map[kindKey]*counter{})
		services := maps.Clone(*t.services.Load())
		services[service] = s
		t.services.Store(&services)
	}
	if c := (*s.kinds.Load())[key]; c != nil {
		return c
	}
	c := newCounter(int(t.config.Long / t.config.Bucket))
	kinds := maps.Clone(*s.kinds.Load())
	kinds[key] = c
	s.kinds.Store(&kinds)
	return c
}

// Retain drops the counters of services for which keep returns false, such as removed ones.
func (t *Tracker) Retain(keep func(service string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	services := maps.Clone(*t.services.Load())
	maps.DeleteFunc(services, func(name string, _ *serviceCounters) bool { return !keep(name) })
	t.services.Store(&services)
}
