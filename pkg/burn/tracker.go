package burn

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"kingcupwood.example/kingcupwood/pkg/snapshot"
)

// Default windows. The counter of a kind takes 2 KB, so the 7,000 kinds of the planned scale take
// 14 MB on a daemon that has recorded requests of all of them.
const (
	DefaultBucket = time.Minute
	DefaultShort  = 5 * time.Minute
	DefaultLong   = time.Hour

	// minBucket ensures that bucket numbers, counted from the Unix epoch, fit in 32 bits until
	// 2106.
	minBucket  = time.Second
	maxBuckets = 3600
)

// Config configures the windows. Zero values select the defaults.
type Config struct {
	// Bucket is the time resolution. Windows are rounded up to whole buckets; the newest bucket of
	// a window is the current, incomplete one.
	Bucket time.Duration
	// Short is the window that detects whether the objective is being missed now, Long the one that
	// detects whether it has been missed for a significant time.
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

// Tracker counts the outcomes of the requests that one daemon handles.
type Tracker struct {
	config Config
	now    func() time.Time
	start  time.Time

	// services is copied on write: requests read it without a lock, writers hold mu and replace the
	// whole map.
	services atomic.Pointer[map[string]*serviceCounters]
	mu       sync.Mutex
}

// serviceCounters holds the counters of one service. Its map is copied on write as well.
type serviceCounters struct {
	kinds atomic.Pointer[map[kindKey]*counter]
}

// kindKey includes the rank, so that requests remain counted at their rank at that time when the
// rank of the kind changes.
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

// Record counts a request of kind k of service s. It is safe for concurrent use and allocates
// memory only for the first request of a kind.
func (t *Tracker) Record(s *snapshot.Service, k *snapshot.Kind, o Outcome) {
	if o >= numOutcomes {
		o = Lost
	}
	c := t.counter(s.Name, kindKey{k.Name, k.Rank})
	c.setKind(k)
	c.add(t.interval(t.now()), o)
}

// interval returns the number of the bucket that contains the given time. Buckets are counted from
// the Unix epoch, so that those of different daemons are aligned. Time elapsed since the start is
// taken from the monotonic clock, because a wall clock set back would reuse buckets in the wrong
// order.
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

// Retain deletes the counters of all services, such as removed ones, for which keep returns false.
func (t *Tracker) Retain(keep func(service string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	services := maps.Clone(*t.services.Load())
	maps.DeleteFunc(services, func(name string, _ *serviceCounters) bool { return !keep(name) })
	t.services.Store(&services)
}
