package selection

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"kingcupwood.example/kingcupwood/pkg/endpoint"
	"kingcupwood.example/kingcupwood/pkg/verdict"
)

// demandSelector returns a selector in domain a with ready endpoints, named by domain and number, and its clock.
func demandSelector(names ...string) (*Selector, *time.Time) {
	now := time.Unix(1000, 0)
	rng := rand.New(rand.NewPCG(1, 2))
	s := New(Config{Instance: "self", Domain: "a"}, func() time.Time { return now }, rng.Uint64)
	v := &endpoint.View{Records: map[endpoint.InstanceID]endpoint.Record{}, ByService: map[string][]endpoint.Record{}}
	for _, name := range names {
		v.ByService["pages"] = append(v.ByService["pages"], endpoint.Record{
			Instance: endpoint.InstanceID(name), Domain: name[:1], Service: "pages", State: endpoint.Ready, Slots: 4, ReadySinceMS: 1,
		})
	}
	s.Update(v)
	now = now.Add(time.Minute) // past slow start
	return s, &now
}

var demand = Request{Service: "pages", Kind: "view", Target: 500 * time.Millisecond}

// finish gives an answer of an endpoint with a work time and a load.
func finish(p *Pick, work time.Duration, load float64) {
	p.Done(Result{Verdict: verdict.Ran, Load: load, Work: work})
}

// counts picks n times without answers in between that would change the loads.
func counts(t *testing.T, s *Selector, d Request, n int) map[string]int {
	t.Helper()
	got := map[string]int{}
	for range n {
		p, err := s.PickFor(d)
		if err != nil {
			t.Fatal(err)
		}
		got[string(p.Record().Instance)]++
		p.Done(Result{Verdict: verdict.MayHaveRun, Load: -1, Refused: true})
	}
	return got
}

// teach lets each endpoint answer a few times.
func teach(t *testing.T, s *Selector, works map[string]time.Duration, loads map[string]float64) {
	t.Helper()
	for range 60 {
		var open []*Pick
		var tried []endpoint.InstanceID
		for range works {
			d := demand
			d.Tried = tried
			p, err := s.PickFor(d)
			if err != nil {
				t.Fatal(err)
			}
			tried = append(tried, p.Record().Instance)
			open = append(open, p)
		}
		for _, p := range open {
			name := string(p.Record().Instance)
			finish(p, works[name], loads[name])
		}
	}
}

// Guards against bytes between failure domains without need, and against waiting near while far is free.
func TestNearFirst(t *testing.T) {
	is := is.New(t)
	s, _ := demandSelector("a1", "b1")
	work := map[string]time.Duration{"a1": 100 * time.Millisecond, "b1": 100 * time.Millisecond}
	teach(t, s, work, map[string]float64{})
	is.Equal(counts(t, s, demand, 50), map[string]int{"a1": 50})
	teach(t, s, work, map[string]float64{"a1": 6})
	is.Equal(counts(t, s, demand, 50), map[string]int{"b1": 50})
}

// Guards against large requests that go far where small ones do not have to stay.
func TestBytesStayNear(t *testing.T) {
	is := is.New(t)
	s, _ := demandSelector("a1", "b1")
	work := map[string]time.Duration{"a1": 100 * time.Millisecond, "b1": 100 * time.Millisecond}
	teach(t, s, work, map[string]float64{"a1": 2.5})
	is.Equal(counts(t, s, demand, 50)["b1"], 50)
	large := demand
	large.Bytes = 20_000
	is.Equal(counts(t, s, large, 50)["a1"], 50)
}

// Guards against work for a server that is slow or that fails although its health is good, and against one
// that is avoided for good.
func TestSlowAndFailing(t *testing.T) {
	is := is.New(t)
	s, now := demandSelector("a1", "a2", "a3")
	teach(t, s, map[string]time.Duration{"a1": 40 * time.Millisecond, "a2": 40 * time.Millisecond, "a3": 400 * time.Millisecond}, nil)
	is.True(counts(t, s, demand, 100)["a3"] < 5)
	for range 8 {
		p, err := s.PickFor(Request{Service: "pages", Kind: "view", Target: demand.Target, Tried: []endpoint.InstanceID{"a2", "a3"}})
		is.NoErr(err)
		p.Done(Result{Verdict: verdict.Ran, Failed: true, Load: -1})
	}
	is.True(counts(t, s, demand, 100)["a1"] < 5)
	*now = now.Add(time.Minute)
	is.True(counts(t, s, demand, 300)["a1"] > 30)
}

// Guards against a patience that sends a request elsewhere although no other endpoint is better.
func TestPickPatience(t *testing.T) {
	is := is.New(t)
	s, _ := demandSelector("a1")
	p, err := s.PickFor(demand)
	is.NoErr(err)
	is.Equal(p.MaxWait(demand.Target), time.Duration(0))
	s, _ = demandSelector("a1", "a2")
	work := map[string]time.Duration{"a1": 100 * time.Millisecond, "a2": 100 * time.Millisecond}
	teach(t, s, work, nil)
	p, err = s.PickFor(demand)
	is.NoErr(err)
	idle := p.MaxWait(demand.Target)
	teach(t, s, work, map[string]float64{"a1": 4, "a2": 4})
	p, err = s.PickFor(demand)
	is.NoErr(err)
	is.True(idle > 0 && p.MaxWait(demand.Target) > idle)
}

// Guards against all requests on one server after a restart of the daemons, when every server has just become
// ready.
func TestRestartOfAllDaemons(t *testing.T) {
	is := is.New(t)
	s, now := demandSelector("a1", "a2", "a3", "a4")
	v := &endpoint.View{ByService: map[string][]endpoint.Record{}}
	for _, name := range []string{"a1", "a2", "a3", "a4"} {
		v.ByService["pages"] = append(v.ByService["pages"], endpoint.Record{
			Instance: endpoint.InstanceID(name), Domain: "a", Service: "pages", State: endpoint.Ready, Slots: 4, ReadySinceMS: now.UnixMilli(),
		})
	}
	s.Update(v)
	got := map[string]int{}
	for range 16 {
		p, err := s.PickFor(demand)
		is.NoErr(err)
		got[string(p.Record().Instance)]++ // none of them ends
	}
	for _, name := range []string{"a1", "a2", "a3", "a4"} {
		is.True(got[name] >= 3 && got[name] <= 5)
	}
}

// Guards against an endpoint that seems idle as soon as its last report is old, although it is loaded all the
// time. With many daemons, each one hears of an endpoint every few seconds only.
func TestUsualLoad(t *testing.T) {
	is := is.New(t)
	s, now := demandSelector("a1", "a2")
	work := map[string]time.Duration{"a1": 50 * time.Millisecond, "a2": 100 * time.Millisecond}
	teach(t, s, work, map[string]float64{"a1": 4, "a2": 0.5})
	*now = now.Add(2 * time.Second)
	is.True(counts(t, s, demand, 50)["a2"] > 45)
	*now = now.Add(time.Minute) // it is tried again some time
	is.True(counts(t, s, demand, 50)["a1"] > 10)
}

// Guards against bytes between failure domains for a failure that all endpoints of a service have, where those
// of other domains have just not been tried lately.
func TestAllFailAlike(t *testing.T) {
	is := is.New(t)
	s, _ := demandSelector("a1", "a2", "b1", "b2")
	teach(t, s, map[string]time.Duration{"a1": time.Millisecond, "a2": time.Millisecond, "b1": time.Millisecond, "b2": time.Millisecond}, nil)
	for n := range 60 {
		p, err := s.PickFor(demand)
		is.NoErr(err)
		is.Equal(p.Record().Domain, "a")
		p.Done(Result{Verdict: verdict.Ran, Failed: n%3 != 0, Load: -1})
	}
}
