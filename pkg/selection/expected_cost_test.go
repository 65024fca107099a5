package selection

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"kingcupwood.example/kingcupwood/pkg/endpoint"
	"kingcupwood.example/kingcupwood/pkg/verdict"
)

// newRequestSelector returns a selector in domain a with ready endpoints, named by domain and
// number, and its clock.
func newRequestSelector(names ...string) (*Selector, *time.Time) {
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

var viewRequest = Request{Service: "pages", Kind: "view", Target: 500 * time.Millisecond}

// finish ends an attempt with a successful response, a service time and a load.
func finish(p *Pick, work time.Duration, load float64) {
	p.Done(Result{Verdict: verdict.Ran, Load: load, Work: work})
}

// Guards against sending a large body over a narrow link while one with a higher rate is as near,
// and against a preference between links for small requests.
func TestLargeBodyPrefersFasterLink(t *testing.T) {
	is := is.New(t)
	s, _ := newRequestSelector("a1", "a2")
	v := &endpoint.View{ByService: map[string][]endpoint.Record{}}
	for name, link := range map[string]int64{"a1": 1_000_000, "a2": 20_000_000} {
		v.ByService["pages"] = append(v.ByService["pages"], endpoint.Record{
			Instance: endpoint.InstanceID(name), Domain: "a", Service: "pages", State: endpoint.Ready, Slots: 4, ReadySinceMS: 1, LinkBytesPerSecond: link,
		})
	}
	s.Update(v)
	large := viewRequest
	large.Bytes = 300_000
	is.Equal(counts(t, s, large, 200)["a2"], 200)
	small := counts(t, s, viewRequest, 200)
	is.True(small["a1"] > 50 && small["a2"] > 50)
}

// counts picks n times, without responses in between that would change the loads.
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

// train records 60 responses of each endpoint.
func train(t *testing.T, s *Selector, serviceTimes map[string]time.Duration, loads map[string]float64) {
	t.Helper()
	for range 60 {
		var open []*Pick
		var tried []endpoint.InstanceID
		for range serviceTimes {
			d := viewRequest
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
			finish(p, serviceTimes[name], loads[name])
		}
	}
}

// Guards against unnecessary traffic between failure domains, and against waiting for a busy local
// endpoint while a remote one is free.
func TestLocalDomainFirst(t *testing.T) {
	is := is.New(t)
	s, _ := newRequestSelector("a1", "b1")
	work := map[string]time.Duration{"a1": 100 * time.Millisecond, "b1": 100 * time.Millisecond}
	train(t, s, work, map[string]float64{})
	is.Equal(counts(t, s, viewRequest, 50), map[string]int{"a1": 50})
	train(t, s, work, map[string]float64{"a1": 6})
	is.Equal(counts(t, s, viewRequest, 50), map[string]int{"b1": 50})
}

// Guards against large requests being sent to another failure domain at a load at which only small
// ones should be.
func TestLargeRequestsStayLocal(t *testing.T) {
	is := is.New(t)
	s, _ := newRequestSelector("a1", "b1")
	work := map[string]time.Duration{"a1": 100 * time.Millisecond, "b1": 100 * time.Millisecond}
	train(t, s, work, map[string]float64{"a1": 2.5})
	is.Equal(counts(t, s, viewRequest, 50)["b1"], 50)
	large := viewRequest
	large.Bytes = 20_000
	is.Equal(counts(t, s, large, 50)["a1"], 50)
}

// Guards against requests to a server that is slow, or that fails requests while it reports itself
// healthy, and against a server that is avoided permanently.
func TestSlowAndFailing(t *testing.T) {
	is := is.New(t)
	s, now := newRequestSelector("a1", "a2", "a3")
	train(t, s, map[string]time.Duration{"a1": 40 * time.Millisecond, "a2": 40 * time.Millisecond, "a3": 400 * time.Millisecond}, nil)
	is.True(counts(t, s, viewRequest, 100)["a3"] < 5)
	for range 8 {
		p, err := s.PickFor(Request{Service: "pages", Kind: "view", Target: viewRequest.Target, Tried: []endpoint.InstanceID{"a2", "a3"}})
		is.NoErr(err)
		p.Done(Result{Verdict: verdict.Ran, Failed: true, Load: -1})
	}
	is.True(counts(t, s, viewRequest, 100)["a1"] < 5)
	*now = now.Add(time.Minute)
	is.True(counts(t, s, viewRequest, 300)["a1"] > 30)
}

// Guards against a maximum wait that sends a request to another endpoint although none is better.
func TestPickMaxWait(t *testing.T) {
	is := is.New(t)
	s, _ := newRequestSelector("a1")
	p, err := s.PickFor(viewRequest)
	is.NoErr(err)
	is.Equal(p.MaxWait(viewRequest.Target), time.Duration(0))
	s, _ = newRequestSelector("a1", "a2")
	work := map[string]time.Duration{"a1": 100 * time.Millisecond, "a2": 100 * time.Millisecond}
	train(t, s, work, nil)
	p, err = s.PickFor(viewRequest)
	is.NoErr(err)
	idle := p.MaxWait(viewRequest.Target)
	train(t, s, work, map[string]float64{"a1": 4, "a2": 4})
	p, err = s.PickFor(viewRequest)
	is.NoErr(err)
	is.True(idle > 0 && p.MaxWait(viewRequest.Target) > idle)
}

// Guards against sending all requests to one server after a restart of all daemons, when every
// server has just become ready.
func TestRestartOfAllDaemons(t *testing.T) {
	is := is.New(t)
	s, now := newRequestSelector("a1", "a2", "a3", "a4")
	v := &endpoint.View{ByService: map[string][]endpoint.Record{}}
	for _, name := range []string{"a1", "a2", "a3", "a4"} {
		v.ByService["pages"] = append(v.ByService["pages"], endpoint.Record{
			Instance: endpoint.InstanceID(name), Domain: "a", Service: "pages", State: endpoint.Ready, Slots: 4, ReadySinceMS: now.UnixMilli(),
		})
	}
	s.Update(v)
	got := map[string]int{}
	for range 16 {
		p, err := s.PickFor(viewRequest)
		is.NoErr(err)
		got[string(p.Record().Instance)]++ // none of them ends
	}
	for _, name := range []string{"a1", "a2", "a3", "a4"} {
		is.True(got[name] >= 3 && got[name] <= 5)
	}
}

// Guards against treating a permanently loaded endpoint as idle once its last report is old. With
// many daemons, each one gets a report from an endpoint only every few seconds.
func TestAverageLoad(t *testing.T) {
	is := is.New(t)
	s, now := newRequestSelector("a1", "a2")
	work := map[string]time.Duration{"a1": 50 * time.Millisecond, "a2": 100 * time.Millisecond}
	train(t, s, work, map[string]float64{"a1": 4, "a2": 0.5})
	*now = now.Add(2 * time.Second)
	is.True(counts(t, s, viewRequest, 50)["a2"] > 45)
	*now = now.Add(time.Minute) // it is tried again eventually
	is.True(counts(t, s, viewRequest, 50)["a1"] > 10)
}

// Guards against traffic between failure domains when all endpoints of a service fail equally, but
// those of other domains have no recent results.
func TestCommonFailuresStayLocal(t *testing.T) {
	is := is.New(t)
	s, _ := newRequestSelector("a1", "a2", "b1", "b2")
	train(t, s, map[string]time.Duration{"a1": time.Millisecond, "a2": time.Millisecond, "b1": time.Millisecond, "b2": time.Millisecond}, nil)
	for n := range 60 {
		p, err := s.PickFor(viewRequest)
		is.NoErr(err)
		is.Equal(p.Record().Domain, "a")
		p.Done(Result{Verdict: verdict.Ran, Failed: n%3 != 0, Load: -1})
	}
}
