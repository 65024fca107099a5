package burn

import (
	"cmp"
	"encoding/json"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/pkg/errors"

	"kingcupwood.example/kingcupwood/pkg/snapshot"
)

// Report is the service level of one or more daemons at a point in time. It can be encoded as JSON
// and gob. Reports with the same windows can be merged.
type Report struct {
	// Daemons is the number of daemons whose reports were merged.
	Daemons int `json:"daemons"`
	// Since is the earliest time at which one of the daemons started counting, Until the latest
	// time at which one of the reports was made.
	Since  time.Time     `json:"since"`
	Until  time.Time     `json:"until"`
	Bucket time.Duration `json:"bucket_ns"`
	Short  time.Duration `json:"short_ns"`
	Long   time.Duration `json:"long_ns"`
	// Kinds lists the kinds that had requests, sorted by rank, service and kind.
	Kinds []Kind `json:"kinds"`
	// Series is sorted by rank and time. It has no series by kind, because at the planned scale of
	// 7,000 kinds a report would have tens of MB.
	Series []Point `json:"series"`
}

// Kind is the service level of one kind at one rank.
type Kind struct {
	Service   string  `json:"service"`
	Kind      string  `json:"kind"`
	Rank      int     `json:"rank"`
	Objective float64 `json:"objective"`
	Worth     int     `json:"worth"`
	// Total covers the time since the start, Short and Long cover the windows.
	Total Counts `json:"total"`
	Short Counts `json:"short"`
	Long  Counts `json:"long"`
}

// Point holds the counts of all kinds of one rank in one bucket.
type Point struct {
	Rank int `json:"rank"`
	// Interval is the number of the bucket since the Unix epoch.
	Interval uint32 `json:"interval"`
	Counts   Counts `json:"counts"`
	// AllowedMicro is the number of bad requests that the objectives allow, in millionths of a
	// request. It is an integer because float sums would depend on the order of merging.
	AllowedMicro uint64 `json:"allowed_micro"`
}

// Report returns a report of the counts up to now.
func (t *Tracker) Report() *Report {
	now := t.now()
	r := &Report{Daemons: 1, Since: stripMonotonic(t.start), Until: stripMonotonic(t.start.Add(now.Sub(t.start))),
		Bucket: t.config.Bucket, Short: t.config.Short, Long: t.config.Long}
	last := t.interval(now)
	points := map[pointKey]Point{}
	for service, s := range *t.services.Load() {
		for key, c := range *s.kinds.Load() {
			k := Kind{Service: service, Kind: key.name, Rank: key.rank,
				Objective: math.Float64frombits(c.objective.Load()), Worth: int(c.worth.Load())}
			t.collectCounts(&k, c, last, points)
			// A counter that was just created has no counts and may have no objective yet.
			if k.Total.Total() > 0 {
				r.Kinds = append(r.Kinds, k)
			}
		}
	}
	r.Series = slices.Collect(maps.Values(points))
	r.sort()
	return r
}

// stripMonotonic removes the monotonic clock reading, which is meaningless in other processes.
func stripMonotonic(at time.Time) time.Time { return at.Round(0).UTC() }

type pointKey struct {
	rank     int
	interval uint32
}

// collectCounts sets the counts of k from c and adds its buckets to the points of its rank.
func (t *Tracker) collectCounts(k *Kind, c *counter, last uint32, points map[pointKey]Point) {
	shortBuckets := uint32(t.config.Short / t.config.Bucket)
	for age := range uint32(t.config.Long / t.config.Bucket) {
		counts := c.countsOf(last - age)
		if counts.Total() == 0 {
			continue
		}
		k.Long = k.Long.Plus(counts)
		if age < shortBuckets {
			k.Short = k.Short.Plus(counts)
		}
		mergePoint(points, Point{Rank: k.Rank, Interval: last - age, Counts: counts,
			AllowedMicro: counts.Total() * allowedMicro(k.Objective)})
	}
	// The total is read after the buckets. Since counter.add increments the total first, no window
	// exceeds it.
	k.Total = c.totals()
}

func mergePoint(points map[pointKey]Point, p Point) {
	key := pointKey{p.Rank, p.Interval}
	existing, ok := points[key]
	if ok {
		p.Counts = p.Counts.Plus(existing.Counts)
		p.AllowedMicro += existing.AllowedMicro
	}
	points[key] = p
}

const micro = 1e6

// allowedMicro returns the share of requests that may be bad in millionths. It is at least one.
func allowedMicro(objective float64) uint64 {
	return uint64(max(math.Round((1-objective)*micro), 1))
}

func compareKinds(a, b Kind) int {
	return cmp.Or(cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.Service, b.Service), cmp.Compare(a.Kind, b.Kind))
}

func (r *Report) sort() {
	slices.SortFunc(r.Kinds, compareKinds)
	slices.SortFunc(r.Series, func(a, b Point) int {
		return cmp.Or(cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.Interval, b.Interval))
	})
}

// Limits of a report from a peer. Within them, the sum of the reports of all daemons at the planned
// scale stays far below the range of the counters.
const (
	MaxReportBytes = 16 << 20

	maxDaemons     = 1 << 20
	maxTotal       = 1 << 44
	maxBucketCount = 1 << 36
)

// Decode parses and validates a report in JSON. It rejects values that a daemon cannot have sent,
// so that the report is safe to merge and render.
func Decode(data []byte) (*Report, error) {
	if len(data) > MaxReportBytes {
		return nil, errors.Errorf("report has %d bytes, limit is %d", len(data), MaxReportBytes)
	}
	r := new(Report)
	if err := json.Unmarshal(data, r); err != nil {
		return nil, errors.Wrap(err, "decode report")
	}
	if err := r.validate(); err != nil {
		return nil, errors.WithMessage(err, "decode report")
	}
	r.sort()
	return r, nil
}

func (r *Report) validate() error {
	if r.Daemons < 1 || r.Daemons > maxDaemons || r.Until.Before(r.Since) {
		return errors.New("number of daemons or time is out of range")
	}
	windows := Config{Bucket: r.Bucket, Short: r.Short, Long: r.Long}
	if r.Bucket <= 0 || r.Bucket > DefaultLong*24 || windows != windows.withDefaults() {
		return errors.New("windows are out of range")
	}
	for _, k := range r.Kinds {
		if !snapshot.ValidName(k.Service) || !snapshot.ValidName(k.Kind) || !validRank(k.Rank) {
			return errors.Errorf("invalid kind %q of service %q", k.Kind, k.Service)
		}
		if !(k.Objective > 0 && k.Objective < 1) || k.Worth < 1 || k.Worth > snapshot.MaxWorth {
			return errors.Errorf("objective or worth of %s/%s is out of range", k.Service, k.Kind)
		}
		if !k.Total.within(maxTotal) || !k.Short.within(maxTotal) || !k.Long.within(maxTotal) {
			return errors.Errorf("counts of %s/%s are out of range", k.Service, k.Kind)
		}
	}
	for _, p := range r.Series {
		if !validRank(p.Rank) || !p.Counts.within(maxBucketCount) || p.AllowedMicro > p.Counts.Total()*micro {
			return errors.Errorf("series of rank %d is out of range", p.Rank)
		}
	}
	return nil
}

func validRank(rank int) bool { return rank >= snapshot.MinRank && rank <= snapshot.MaxRank }

func (c Counts) within(limit uint64) bool {
	return max(c.Good, c.Late, c.Refused, c.Lost) <= limit
}
