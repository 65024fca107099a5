package selection

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"kingcupwood.example/kingcupwood/pkg/endpoint"
	"kingcupwood.example/kingcupwood/pkg/verdict"
)

// drawView returns a random view of up to 12 endpoints in three domains.
func drawView(t *rapid.T) *endpoint.View {
	v := &endpoint.View{ByService: map[string][]endpoint.Record{}, Unreachable: map[string]bool{}}
	for _, d := range []string{"b", "c"} {
		v.Unreachable[d] = rapid.Bool().Draw(t, "unreachable "+d)
	}
	for i := range rapid.IntRange(0, 12).Draw(t, "endpoints") {
		v.ByService[service] = append(v.ByService[service], endpoint.Record{
			Instance: endpoint.InstanceID(fmt.Sprint(i)), Service: service, Slots: 4, ReadySinceMS: 1000,
			Domain: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "domain"),
			State:  rapid.SampledFrom([]endpoint.State{endpoint.Starting, endpoint.Ready, endpoint.Draining}).Draw(t, "state"),
		})
	}
	return v
}

// candidates is the reference selection: all ready endpoints that are not in tried and have not
// refused a request as draining; only reachable ones if there are any.
func candidates(v *endpoint.View, tried []endpoint.InstanceID, drained map[endpoint.InstanceID]bool) []endpoint.InstanceID {
	var reachable, rest []endpoint.InstanceID
	for _, r := range v.ByService[service] {
		if r.State != endpoint.Ready || slices.Contains(tried, r.Instance) || drained[r.Instance] {
			continue
		}
		if v.Unreachable[r.Domain] {
			rest = append(rest, r.Instance)
		} else {
			reachable = append(reachable, r.Instance)
		}
	}
	if len(reachable) > 0 {
		return reachable
	}
	return rest
}

// Guards against picks that the reference selection does not allow, against a missing pick where it
// has one, and against the ejection of more than half of a set.
func TestAgainstReferenceSelection(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1_000_000, 0)
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		s := New(Config{Instance: "self", Domain: "a"}, func() time.Time { return now }, rng.Uint64)
		v := drawView(t)
		s.Update(v)
		drained := map[endpoint.InstanceID]bool{}
		for range 100 {
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "ms")) * time.Millisecond)
			tried := rapid.SliceOfN(rapid.SampledFrom([]endpoint.InstanceID{"0", "1", "2"}), 0, 3).Draw(t, "tried")
			allowed := candidates(v, tried, drained)
			p, err := s.Pick(service, tried)
			if (err != nil) != (len(allowed) == 0) {
				t.Fatalf("error %v with candidates %v", err, allowed)
			}
			if err != nil {
				continue
			}
			id := p.Record().Instance
			if !slices.Contains(allowed, id) {
				t.Fatalf("picked %s, candidates %v", id, allowed)
			}
			r := Result{Verdict: verdict.Ran, Failed: rapid.Bool().Draw(t, "failed"), Load: -1}
			if rapid.IntRange(0, 20).Draw(t, "drains") == 0 {
				r, drained[id] = Result{Verdict: verdict.NotRun, Draining: true}, true
			}
			p.Done(r)
			checkEjections(t, s, now)
		}
	})
}

func checkEjections(t *rapid.T, s *Selector, now time.Time) {
	set := s.current.Load().sets[service]
	n := 0
	for _, m := range set.all {
		if m.ejected(now.UnixNano()) {
			n++
		}
		if m.stats.inflight.Load() != 0 {
			t.Fatalf("%d requests in flight after Done", m.stats.inflight.Load())
		}
	}
	if 2*n > len(set.all) {
		t.Fatalf("%d of %d ejected", n, len(set.all))
	}
}

// BenchmarkPickDone measures a set of 60 endpoints in three domains; run it with -cpu 1,8.
func BenchmarkPickDone(b *testing.B) {
	v := &endpoint.View{ByService: map[string][]endpoint.Record{}}
	for i := range 60 {
		v.ByService[service] = append(v.ByService[service], endpoint.Record{
			Instance: endpoint.InstanceID(fmt.Sprint(i)), Domain: string(rune('a' + i%3)),
			Service: service, State: endpoint.Ready, Slots: 10, ReadySinceMS: 1000,
		})
	}
	s := New(Config{Instance: "self", Domain: "a"}, time.Now, rand.Uint64)
	s.Update(v)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			p, err := s.Pick(service, nil)
			if err != nil {
				b.Error(err)
				return
			}
			p.Done(Result{Verdict: verdict.Ran, Load: 0.5})
		}
	})
}
