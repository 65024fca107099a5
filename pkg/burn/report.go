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

// Report is the service level of one or several daemons at one time. It is plain data for JSON and
// gob; reports with the same windows can be merged.
type Report struct {
	// Daemons is the number of daemons whose reports were merged.
	Daemons int `json:"daemons"`
	// Since is the earliest start of counting, Until the latest time of a report.
	Since  time.Time     `json:"since"`
	Until  time.Time     `json:"until"`
	Bucket time.Duration `json:"bucket_ns"`
	Short  time.Duration `json:"short_ns"`
	Long   time.Duration `json:"long_ns"`
	// Kinds is in order of rank, service and kind; it lists only kinds that had requests.
	Kinds []Kind `json:"kinds"`
	// Series is in order of rank and time. It is kept by rank only, because a series for each of
	// the 7,000 kinds of the target would make a report of tens of MB.
	Series []Point `json:"series"`
}

// Kind is the service level of one kind at one rank.
type Kind struct {
	Service   string  `json:"service"`
	Kind      string  `json:"kind"`
	Rank      int     `json:"rank"`
	Objective float64 `json:"objective"`
	Worth     int     `json:"worth"`
	// Total counts since the start, Short and Long in the windows.
	Total Counts `json:"total"`
	Short Counts `json:"short"`
	Long  Counts `json:"long"`
}

// Point is what all kinds of one rank did in one bucket.
type Point struct {
	Rank int `json:"rank"`
	// Interval is the number of the bucket since the Unix epoch.
	Interval uint32 `json:"interval"`
	Counts   Counts `json:"counts"`
	// AllowedMicro is the number of requests that the objectives allow to be bad, in millionths of
	// a request. Whole numbers make merging independent of the order of reports.
	AllowedMicro uint64 `json:"allowed_micro"`
}

// Report returns the counts up to now.
func (t *Tracker) Report() *Report {
	now := t.now()
	r := &Report{Daemons: 1, Since: wall(t.start), Until: wall(t.start.Add(now.Sub(t.start))),
		Bucket: t.config.Bucket, Short: t.config.Short, Long: t.config.Long}
	last := t.interval(now)
	points := map[pointKey]Point{}
	for service, s := range *t.services.Load() {
		for key, c := range *s.kinds.Load() {
			k := Kind{Service: service, Kind: key.name, Rank: key.rank,
				Objective: math.Float64frombits(c.objective.Load()), Worth: int(c.worth.Load())}
			t.collect(&k, c, last, points)
			// A counter that was just created has no counts and perhaps no objective yet.
			if k.Total.Total() > 0 {
				r.Kinds = append(r.Kinds, k)
			}
		}
	}
	r.Series = slices.Collect(maps.Values(points))
	r.sort()
	return r
}

// wall drops the monotonic clock reading, which means nothing to other processes.
func wall(at time.Time) time.Time { return at.Round(0).UTC() }

type pointKey struct {
	rank     int
	interval uint32
}

// collect fills in the counts of k and adds its buckets to the points of its rank.
func (t *Tracker) collect(k *Kind, c *counter, last uint32, points map[pointKey]Point) {
	shortBuckets := uint32(t.config.Short / t.config.Bucket)
	for age := range uint32(t.config.Long / t.config.Bucket) {
		counts := c.at(last - age)
		if counts.Total() == 0 {
			continue
		}
		k.Long = k.Long.Plus(counts)
		if age < shortBuckets {
			k.Short = k.Short.Plus(counts)
		}
		add(points, Point{Rank: k.Rank, Interval: last - age, Counts: counts,
			AllowedMicro: counts.Total() * allowedMicro(k.Objective)})
	}
	// Read after the buckets: a request is added to the total first, so no window exceeds it.
	k.Total = c.totals()
}

func add(points map[pointKey]Point, p Point) {
	key := pointKey{p.Rank, p.Interval}
	held, ok := points[key]
	if ok {
		p.Counts = p.Counts.Plus(held.Counts)
		p.AllowedMicro += held.AllowedMicro
	}
	points[key] = p
}

const micro = 1e6

// allowedMicro returns the share of requests that may be bad in millionths, at least one.
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

// Limits of a report from a peer. Sums of reports from all daemons of the target stay far below the
// range of the counters.
const (
	MaxReportBytes = 16 << 20

	maxDaemons     = 1 << 20
	maxTotal       = 1 << 44
	maxBucketCount = 1 << 36
)

// Decode reads a report written as JSON and checks it. It fails on anything that a daemon cannot have
// sent, so that a report is safe to merge and to show.
func Decode(data []byte) (*Report, error) {
	if len(data) > MaxReportBytes {
		return nil, errors.Errorf("report has %d bytes, limit is %d", len(data), MaxReportBytes)
	}
	r := new(Report)
	if err := json.Unmarshal(data, r); err != nil {
		return nil, errors.Wrap(err, "decode report")
	}
	if err := r.check(); err != nil {
		return nil, errors.WithMessage(err, "decode report")
	}
	r.sort()
	return r, nil
}

func (r *Report) check() error {
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
