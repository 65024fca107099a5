package selection

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"kingcupwood.example/kingcupwood/pkg/endpoint"
	"kingcupwood.example/kingcupwood/pkg/verdict"
)

const service = "pages"

// fleet is a selector with a clock that moves only when a test advances it.
type fleet struct {
	*Selector
	t    time.Time
	view *endpoint.View
}

func newFleet(domains ...string) *fleet {
	f := &fleet{t: time.Unix(1_000_000, 0), view: &endpoint.View{}}
	rng := rand.New(rand.NewPCG(1, 2))
	f.Selector = New(Config{Instance: "self", Domain: "a"}, func() time.Time { return f.t }, rng.Uint64)
	var records []endpoint.Record
	for i, d := range domains {
		records = append(records, endpoint.Record{
			Instance: endpoint.InstanceID(fmt.Sprintf("%s%d", d, i)), Domain: d, Service: service,
			State: endpoint.Ready, Slots: 10, ReadySinceMS: 1000,
		})
	}
	f.set(records)
	return f
}

func (f *fleet) set(records []endpoint.Record) {
	f.view = &endpoint.View{ByService: map[string][]endpoint.Record{service: records}}
	f.Update(f.view)
}

// counts picks n times, finishes each attempt with r and returns the picks by instance.
func (f *fleet) counts(n int, r Result) map[endpoint.InstanceID]int {
	got := map[endpoint.InstanceID]int{}
	for range n {
		p, err := f.Pick(service, nil)
		if err != nil {
			continue
		}
		got[p.Record().Instance]++
		p.Done(r)
	}
	return got
}

var good = Result{Verdict: verdict.Ran}

// Guards against requests that leave the local domain unnecessarily, or stay when it is saturated.
func TestLocalFirstThenSpill(t *testing.T) {
	is := is.New(t)
	f := newFleet("a", "b", "c")
	is.Equal(f.counts(100, good)["a0"], 100)
	got := f.counts(300, Result{Verdict: verdict.Ran, Load: 2})
	is.True(got["b1"] > 50)
	is.True(got["c2"] > 50)
}

// Guards against requests to an endpoint that is draining by its record or by the flag on a
// response.
func TestDrainingGetsNoWork(t *testing.T) {
	is := is.New(t)
	f := newFleet("a", "a")
	p, err := f.Pick(service, []endpoint.InstanceID{"a0"})
	is.NoErr(err)
	p.Done(Result{Verdict: verdict.NotRun, Draining: true})
	is.Equal(f.counts(50, good)["a1"], 0)
	records := f.view.ByService[service]
	drained := append([]endpoint.Record{}, records...)
	drained[0].State = endpoint.Draining
	f.set(drained[:1])
	_, err = f.Pick(service, nil)
	var none *NoEndpoint
	is.True(errors.As(err, &none))
	is.Equal(verdict.Of(err), verdict.NotRun)
}

// Guards against a failing endpoint that keeps its share, and against ejecting more than half of a
// set.
func TestEjection(t *testing.T) {
	is := is.New(t)
	f := newFleet("a", "a", "a", "a")
	failing := map[endpoint.InstanceID]bool{"a0": true, "a1": true, "a2": true}
	round := func(n int) map[endpoint.InstanceID]int {
		got := map[endpoint.InstanceID]int{}
		for range n {
			p, err := f.Pick(service, nil)
			is.NoErr(err)
			got[p.Record().Instance]++
			p.Done(Result{Verdict: verdict.Ran, Failed: failing[p.Record().Instance]})
		}
		return got
	}
	round(200)
	is.Equal(len(round(200)), 2) // half of the set stays although another one fails
	f.t = f.t.Add(ejectBase)
	once := 0
	for instance, n := range round(200) {
		if failing[instance] && n == 1 {
			once++
		}
	}
	is.Equal(once, 2) // one failure is enough to be ejected again
	is.Equal(ejectionTime(1), time.Second)
	is.Equal(ejectionTime(3), 4*time.Second)
	is.Equal(ejectionTime(40), time.Minute)
}

// Guards against a cold server that receives its full share at once, and against one that gets
// none.
func TestSlowStart(t *testing.T) {
	is := is.New(t)
	f := newFleet("a", "a", "a", "a")
	records := f.view.ByService[service]
	records[0].ReadySinceMS = f.t.UnixMilli()
	f.set(records)
	cold := f.counts(4000, good)["a0"]
	is.True(cold > 20 && cold < 250) // about a tenth of 1000
	f.t = f.t.Add(slowStart)
	is.True(f.counts(4000, good)["a0"] > 800)
}

// Guards against a server that stays in slow start because the clock of its instance is ahead.
func TestSlowStartWithClockAhead(t *testing.T) {
	is := is.New(t)
	f := newFleet("a", "a", "a", "a")
	records := f.view.ByService[service]
	records[0].ReadySinceMS = f.t.Add(time.Hour).UnixMilli()
	f.set(records)
	f.t = f.t.Add(slowStart)
	is.True(f.counts(4000, good)["a0"] > 800)
}

// Guards against requests to an unreachable domain while others are available, and against none
// when it is the last resort.
func TestUnreachableIsLastResort(t *testing.T) {
	is := is.New(t)
	f := newFleet("b", "c")
	view := &endpoint.View{ByService: f.view.ByService, Unreachable: map[string]bool{"b": true}}
	f.Update(view)
	is.Equal(f.counts(50, good)["c1"], 50)
	p, err := f.Pick(service, []endpoint.InstanceID{"c1"})
	is.NoErr(err)
	is.Equal(p.Record().Instance, endpoint.InstanceID("b0"))
}

// Guards against an update that loses the count of requests in flight, and against a restarted
// server that inherits its former statistics.
func TestUpdateKeepsStats(t *testing.T) {
	is := is.New(t)
	f := newFleet("a", "a")
	for range 9 {
		p, err := f.Pick(service, []endpoint.InstanceID{"a1"})
		is.NoErr(err)
		is.Equal(p.Record().Instance, endpoint.InstanceID("a0"))
	}
	f.Update(f.view)
	is.Equal(f.counts(50, good)["a0"], 0) // still busy with 9 requests
	records := f.view.ByService[service]
	records[0].ReadySinceMS = 2000
	f.set(records)
	is.True(f.counts(50, good)["a0"] > 0)
}

// Guards against a number of connections that grows with the fleet, and against subsets that change
// with every record.
func TestSubsetIsBoundedAndStable(t *testing.T) {
	is := is.New(t)
	domains := make([]string, 500)
	for i := range domains {
		domains[i] = "a"
	}
	f := newFleet(domains...)
	before := f.counts(5000, good)
	is.Equal(len(before), defaultSubset)
	f.set(f.view.ByService[service][1:])
	changed := 0
	for instance := range f.counts(5000, good) {
		if before[instance] == 0 {
			changed++
		}
	}
	is.True(changed <= 1)
}

// Guards against an endpoint that attracts all requests by reporting no load while it refuses them.
func TestContradictedLoadReportIsOverridden(t *testing.T) {
	is := is.New(t)
	f := newFleet("a", "a", "a", "a")
	picked := 0
	for range 2000 {
		p, err := f.Pick(service, nil)
		is.NoErr(err)
		r := Result{Verdict: verdict.Ran, Load: 2}
		if p.Record().Instance == "a0" {
			picked++
			r = Result{Verdict: verdict.NotRun, Load: 0}
		}
		p.Done(r)
	}
	is.True(picked < 1000) // an even share is 500
}
