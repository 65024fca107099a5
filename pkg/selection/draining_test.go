package selection

import (
	"slices"
	"testing"
	"time"

	"kingcupwood.example/kingcupwood/pkg/endpoint"
	"kingcupwood.example/kingcupwood/pkg/verdict"
)

const (
	// drainingLimit is the time after which a draining backend server must get no new work (section 2
	// of the design).
	drainingLimit = 3 * time.Second
	// recordDelay is the time until the sender has received the record; a daemon probes once a second.
	recordDelay = time.Second
	// serving is the time for which the draining server continues to serve new requests.
	serving = 10 * time.Second
)

// roundRobin is the usual simple sender: it uses its servers in turn and removes a server when it
// fails.
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

// lastRequestToDraining sends a request every 10 ms. After 2 s the server a0 announces that it is
// draining; onRecord is called when the sender receives that record. The result is the time from
// the announcement to the last request sent to a0.
func lastRequestToDraining(f *fleet, pick func() endpoint.InstanceID, done func(id endpoint.InstanceID, failed bool), onRecord func()) time.Duration {
	announced := f.t.Add(2 * time.Second)
	last := time.Duration(0)
	recordSeen := false
	for ; f.t.Before(announced.Add(2 * serving)); f.t = f.t.Add(10 * time.Millisecond) {
		if since := f.t.Sub(announced); since >= recordDelay && !recordSeen {
			recordSeen = true
			onRecord()
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

// Guards against new requests to a draining server. The round-robin sender, which ignores records,
// must fail the same check, which shows that the check is effective.
func TestDrainingServerGetsNoNewRequests(t *testing.T) {
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
	onRecord := func() {
		records := slices.Clone(f.view.ByService[service])
		records[0].State = endpoint.Draining
		f.set(records)
	}
	if last := lastRequestToDraining(f, pick, done, onRecord); last > drainingLimit || last == 0 {
		t.Errorf("the draining server got requests until %v after its announcement", last)
	}
	baseline := &roundRobin{servers: []endpoint.InstanceID{"a0", "a1", "a2"}}
	if last := lastRequestToDraining(newFleet("a"), baseline.pick, baseline.done, func() {}); last <= drainingLimit {
		t.Errorf("the round-robin sender used the draining server for only %v", last)
	}
}
