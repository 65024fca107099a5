package selection

import (
	"slices"
	"testing"
	"time"

	"kingcupwood.example/kingcupwood/pkg/endpoint"
	"kingcupwood.example/kingcupwood/pkg/verdict"
)

const (
	// leavingLimit is the time after which a leaving backend server gets no new work (section 2 of the design).
	leavingLimit = 3 * time.Second
	// recordDelay is how late the sender hears of the record; a daemon probes once a second.
	recordDelay = time.Second
	// serving is how long the leaving server goes on to serve what it gets before it closes.
	serving = 10 * time.Second
)

// roundRobin is a sender as it is often written: it takes its servers in turn, and drops one that fails.
type roundRobin struct {
	servers []endpoint.InstanceID
	next    int
}

func (r *roundRobin) pick() endpoint.InstanceID {
	r.next++
	return r.servers[r.next%len(r.servers)]
}

func (r *roundRobin) done(id endpoint.InstanceID, failed bool) {
	if failed {
		r.servers = slices.DeleteFunc(r.servers, func(s endpoint.InstanceID) bool { return s == id })
	}
}

// lastWork sends a request every 10 ms. The server a0 announces after 2 s that it is leaving; hear is called when
// the sender has its record. The result is the time from the announcement to the last request that a0 got.
func lastWork(f *fleet, pick func() endpoint.InstanceID, done func(id endpoint.InstanceID, failed bool), hear func()) time.Duration {
	announced := f.t.Add(2 * time.Second)
	last := time.Duration(0)
	heard := false
	for ; f.t.Before(announced.Add(2 * serving)); f.t = f.t.Add(10 * time.Millisecond) {
		if since := f.t.Sub(announced); since >= recordDelay && !heard {
			heard = true
			hear()
		}
		id := pick()
		since := f.t.Sub(announced)
		if id == "a0" && since > 0 {
			last = since
		}
		done(id, id == "a0" && since > serving)
	}
	return last
}

// Guards against a check of leaving servers that a sender passes which ignores their records.
func TestNaiveSenderWorksALeavingServer(t *testing.T) {
	f := newFleet("a", "a", "a")
	var p *Pick
	pick := func() endpoint.InstanceID {
		var err error
		if p, err = f.Pick(service, nil); err != nil {
			t.Fatal(err)
		}
		return p.Record().Instance
	}
	done := func(_ endpoint.InstanceID, failed bool) { p.Done(Result{Verdict: verdict.Ran, Failed: failed}) }
	hear := func() {
		records := slices.Clone(f.view.ByService[service])
		records[0].State = endpoint.Draining
		f.set(records)
	}
	if last := lastWork(f, pick, done, hear); last > leavingLimit || last == 0 {
		t.Errorf("the leaving server got work until %v after its announcement", last)
	}
	naive := &roundRobin{servers: []endpoint.InstanceID{"a0", "a1", "a2"}}
	if last := lastWork(newFleet("a"), naive.pick, naive.done, func() {}); last <= leavingLimit {
		t.Errorf("the naive sender worked the leaving server for %v only", last)
	}
}
