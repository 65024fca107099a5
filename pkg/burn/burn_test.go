package burn

import (
	"bytes"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"reflect"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"kingcupwood.example/kingcupwood/pkg/snapshot"
	"kingcupwood.example/kingcupwood/pkg/verdict"
)

// clock is a fake clock that tests advance.
type clock struct{ at time.Time }

func (c *clock) now() time.Time { return c.at }

func newClock() *clock {
	return &clock{time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)}
}

var pages = &snapshot.Service{Name: "pages", Kinds: []snapshot.Kind{
	{Name: "save", Rank: 1, Objective: 0.999, Worth: 10},
	{Name: "view", Rank: 2, Objective: 0.99, Worth: 3},
	{Name: "preview", Rank: 5, Objective: 0.9, Worth: 1},
}}

// Guards against reporting a request that a caller may safely retry as lost, and the reverse.
func TestClassify(t *testing.T) {
	is := is.New(t)
	is.Equal(Classify(verdict.NotRun, true, true), Refused)
	is.Equal(Classify(verdict.Ran, true, false), Late)
	is.Equal(Classify(verdict.MayHaveRun, false, false), Lost)
	is.Equal(Classify(verdict.Ran, false, true), Lost)
	is.Equal(Classify(verdict.Ran, false, false), Good)
}

// Guards against windows that count too many or too few requests: counting over a list of all
// requests must give the same sums at any time.
func TestWindowsMatchCountOverAllRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newClock()
		tracker := New(Config{Bucket: time.Second, Short: 3 * time.Second, Long: 8 * time.Second}, c.now)
		type request struct {
			second int64
			kind   int
			o      Outcome
		}
		var all []request
		for range rapid.IntRange(1, 60).Draw(t, "requests") {
			c.at = c.at.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "pause ms")) * time.Millisecond)
			r := request{c.at.Unix(), rapid.IntRange(0, 2).Draw(t, "kind"), Outcome(rapid.IntRange(0, 3).Draw(t, "outcome"))}
			tracker.Record(pages, &pages.Kinds[r.kind], r.o)
			all = append(all, r)
		}
		expected := func(kind int, seconds int64) (counts Counts) {
			for _, r := range all {
				if r.kind == kind && r.second > c.at.Unix()-seconds {
					counts = counts.Plus([]Counts{{Good: 1}, {Late: 1}, {Refused: 1}, {Lost: 1}}[r.o])
				}
			}
			return counts
		}
		got := map[string]Kind{}
		for _, k := range tracker.Report().Kinds {
			got[k.Kind] = k
		}
		for i := range pages.Kinds {
			k := got[pages.Kinds[i].Name]
			if k.Short != expected(i, 3) || k.Long != expected(i, 8) || k.Total != expected(i, 1<<40) {
				t.Fatalf("kind %d: short %v, long %v, total %v", i, k.Short, k.Long, k.Total)
			}
		}
	})
}

// Guards against lost counts when several goroutines reset a bucket or add a kind concurrently.
func TestConcurrentRecordsAreNotLost(t *testing.T) {
	is := is.New(t)
	const goroutines, each = 8, 2000
	c := newClock()
	var mu sync.Mutex
	tracker := New(Config{Bucket: time.Second, Long: time.Hour}, func() time.Time {
		mu.Lock()
		defer mu.Unlock()
		c.at = c.at.Add(5 * time.Millisecond)
		return c.at
	})
	var group sync.WaitGroup
	for range goroutines {
		group.Go(func() {
			for i := range each {
				tracker.Record(pages, &pages.Kinds[i%2], Good)
			}
		})
	}
	group.Wait()
	for _, k := range tracker.Report().Kinds {
		is.Equal(k.Total.Good, uint64(goroutines*each/2))
		is.Equal(k.Long.Good, uint64(goroutines*each/2))
	}
}

// Guards against memory allocations on the request path.
func TestRecordDoesNotAllocate(t *testing.T) {
	is := is.New(t)
	tracker := New(Config{}, newClock().now)
	is.Equal(testing.AllocsPerRun(100, func() { tracker.Record(pages, &pages.Kinds[0], Late) }), 0.0)
}

// Guards against burn rates computed over the wrong window or from the wrong objective.
func TestFigures(t *testing.T) {
	is := is.New(t)
	c := newClock()
	tracker := New(Config{}, c.now)
	record := func(n int, o Outcome) {
		for range n {
			tracker.Record(pages, &pages.Kinds[1], o)
		}
	}
	record(980, Good)
	record(20, Lost)
	almostEqual := func(got, want float64) bool { return math.Abs(got-want) < 1e-9 }
	f := tracker.Report().Kinds[0].Figures()
	is.True(almostEqual(f.BurnShort, 2) && almostEqual(f.BurnLong, 2) && almostEqual(f.BudgetLeft, -1))
	is.Equal(f.Status, StatusSlow)
	c.at = c.at.Add(10 * time.Minute)
	record(1000, Good)
	f = tracker.Report().Kinds[0].Figures()
	is.True(almostEqual(f.BurnShort, 0) && almostEqual(f.BurnLong, 1) && almostEqual(f.BudgetLeft, 0))
	is.Equal(f.Status, StatusOK)
	c.at = c.at.Add(2 * time.Hour)
	is.True(almostEqual(tracker.Report().Kinds[0].Figures().BurnLong, 0))
	tracker.Retain(func(string) bool { return false })
	is.Equal(len(tracker.Report().Kinds), 0)
}

// sampleReport returns the report of a daemon that was overloaded with previews for eight minutes.
func sampleReport(seed int) *Report {
	c := newClock()
	tracker := New(Config{}, c.now)
	for minute := range 58 {
		for i := range 300 {
			k, o := &pages.Kinds[i%3], Good
			n := (i*7919 + minute*104729 + seed*31) % 1000
			overload := minute >= 20 && minute < 28
			switch {
			case k.Rank == 5 && overload && n < 700:
				o = Refused
			case k.Rank == 2 && overload && n < 15:
				o = Late
			case minute > 40 && minute < 44 && n < 30:
				o = Lost
			}
			tracker.Record(pages, k, o)
		}
		c.at = c.at.Add(time.Minute)
	}
	return tracker.Report()
}

// Guards against a merge that depends on the order of the reports or modifies them.
func TestMergeIsIndependentOfOrder(t *testing.T) {
	is := is.New(t)
	a, b, c := sampleReport(1), sampleReport(2), sampleReport(3)
	c.Kinds[0].Objective = 0.9999
	merged, err := Merge(a, b, c)
	is.NoErr(err)
	is.Equal(merged.Daemons, 3)
	is.Equal(merged.Kinds[0].Total.Total(), 3*a.Kinds[0].Total.Total())
	pair, err := Merge(c, b)
	is.NoErr(err)
	reordered, err := Merge(pair, a)
	is.NoErr(err)
	is.True(reflect.DeepEqual(merged, reordered))
	is.True(reflect.DeepEqual(a, sampleReport(1)))
	b.Long *= 2
	_, err = Merge(a, b)
	is.True(err != nil)
	_, err = Merge()
	is.True(err != nil)
}

// Guards against a report that loses counts when it is sent to another daemon or that is rendered
// incompletely. If KINGCUPWOOD_PLOT names a directory, the test writes the rendered files to it.
func TestRenderers(t *testing.T) {
	is := is.New(t)
	r, err := Merge(sampleReport(1), sampleReport(2))
	is.NoErr(err)
	var text, page, data, picture bytes.Buffer
	is.NoErr(r.WriteText(&text))
	is.NoErr(r.WriteHTML(&page))
	is.NoErr(r.WriteJSON(&data))
	is.NoErr(r.WritePNG(&picture))
	is.True(strings.Contains(text.String(), "pages/preview"))
	is.True(strings.Contains(page.String(), "<svg") && !strings.Contains(page.String(), "<?xml"))
	is.True(!strings.Contains(page.String(), "src=") && !strings.Contains(page.String(), "@import"))
	decoded, err := Decode(data.Bytes())
	is.NoErr(err)
	is.True(reflect.DeepEqual(decoded, r))
	// A daemon in its first minute has a single point, which must be drawn as a dot because a line
	// through one point is invisible.
	single := sampleReport(1)
	single.Series = single.Series[:1]
	var point bytes.Buffer
	is.NoErr(single.WriteSVG(&point))
	is.True(strings.Contains(point.String(), "fill:#D55E00"))
	var empty bytes.Buffer
	is.NoErr(New(Config{}, newClock().now).Report().WriteHTML(&empty))
	if dir := os.Getenv("KINGCUPWOOD_PLOT"); dir != "" {
		for name, content := range map[string][]byte{"report.html": page.Bytes(), "report.png": picture.Bytes(), "report.txt": text.Bytes()} {
			is.NoErr(os.WriteFile(filepath.Join(dir, name), content, 0o600))
		}
	}
}

// Guards against a report from a peer that crashes the daemon that merges and renders it.
func FuzzDecode(f *testing.F) {
	var data bytes.Buffer
	if err := sampleReport(1).WriteJSON(&data); err != nil {
		f.Fatal(err)
	}
	f.Add(data.Bytes())
	f.Add([]byte(`{"daemons":1,"bucket_ns":1000000000,"short_ns":1000000000,"long_ns":1000000000,"series":[{"rank":1,"interval":1}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := Decode(data)
		if err != nil {
			return
		}
		sum, err := Merge(r, r)
		if err != nil {
			t.Fatal(err)
		}
		for _, rank := range sum.Ranks() {
			_ = fmt.Sprint(rank)
		}
		if err := sum.WriteText(&bytes.Buffer{}); err != nil {
			t.Fatal(err)
		}
		if err := sum.WriteSVG(&bytes.Buffer{}); err != nil {
			t.Fatal(err)
		}
		// JSON cannot represent infinity, so all figures must be finite.
		if err := sum.WriteJSON(&bytes.Buffer{}); err != nil {
			t.Fatal(err)
		}
	})
}

// BenchmarkRecord measures counting on the request path.
func BenchmarkRecord(b *testing.B) {
	tracker := New(Config{}, time.Now)
	b.ReportAllocs()
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			tracker.Record(pages, &pages.Kinds[0], Good)
		}
	})
}

// BenchmarkSize reports the heap size of the counters of all kinds at the planned scale and the
// size of their JSON report, both in bytes.
func BenchmarkSize(b *testing.B) {
	const services, kinds = 1400, 5
	heap := func() uint64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	for b.Loop() {
		before := heap()
		tracker := New(Config{}, newClock().now)
		for i := range services {
			s := &snapshot.Service{Name: fmt.Sprintf("service-%04d", i)}
			for j := range kinds {
				tracker.Record(s, &snapshot.Kind{Name: fmt.Sprintf("kind-%d", j), Rank: j + 1, Objective: 0.999, Worth: 1}, Good)
			}
		}
		b.ReportMetric(float64(heap()-before), "tracker-bytes")
		var data bytes.Buffer
		if err := tracker.Report().WriteJSON(&data); err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(data.Len()), "report-bytes")
		runtime.KeepAlive(tracker)
	}
}
