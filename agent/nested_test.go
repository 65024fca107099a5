package agent

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"kingcupwood.example/kingcupwood/agent/caller"
	"kingcupwood.example/kingcupwood/agent/peer/call"
	"kingcupwood.example/kingcupwood/lib/event"
	"kingcupwood.example/kingcupwood/pkg/admission"
	"kingcupwood.example/kingcupwood/pkg/burn"
	"kingcupwood.example/kingcupwood/pkg/endpoint"
	"kingcupwood.example/kingcupwood/pkg/fence"
	"kingcupwood.example/kingcupwood/pkg/retry"
	"kingcupwood.example/kingcupwood/pkg/selection"
	"kingcupwood.example/kingcupwood/pkg/snapshot"
	"kingcupwood.example/kingcupwood/pkg/verdict"
)

// Parameters of the flood test: one server of finder receives more searches than its slots can
// process.
const (
	searchSlots    = 12
	searchTime     = 25 * time.Millisecond
	searchDeadline = 300 * time.Millisecond
	saveRate       = 40    // saves/s, with one search each
	floodRate      = 1_440 // searches/s, 3 times the capacity of the slots
	floodTime      = 10 * time.Second
)

// simulatedReceiver simulates the receiving daemon of finder with a backend server that takes
// searchTime for each request.
type simulatedReceiver struct{ admission *admission.Controller }

func (s simulatedReceiver) ServeCall(ctx context.Context, r *call.Request) *call.Response {
	deadline := time.Now().Add(r.Timeout)
	ticket, err := s.admission.Acquire(ctx, admissionKind(r), deadline)
	if err != nil {
		return refusalResponse(r, verdict.Wrap(verdict.NotRun, err))
	}
	time.Sleep(searchTime)
	ticket.Done(admission.Outcome{ServiceTime: searchTime})
	return &call.Response{Verdict: verdict.Ran, Status: http.StatusOK, Load: s.admission.Load()}
}

type nopRecorder struct{}

func (nopRecorder) Record(*snapshot.Service, *snapshot.Kind, burn.Outcome) {}

// newSearchDaemon returns the handler of the daemon that receives the searches. running reports
// which attempts are running.
func newSearchDaemon(t *testing.T, running func(fence.AttemptID) bool) http.Handler {
	search := snapshot.Kind{
		Name: "search", Method: "GET", PathPrefix: "/search", Rank: 2, Idempotent: true, Deadline: searchDeadline,
		ExpectedRate: 200, ServiceTime: searchTime, Worth: 3, Objective: 0.99,
	}
	finder := &snapshot.Service{Name: "finder", Team: "wiki", Slots: searchSlots, Connections: 100, Servers: 1, Kinds: []snapshot.Kind{search}}
	snap, err := (*snapshot.Snapshot)(nil).With(1, finder, 1)
	if err != nil {
		t.Fatal(err)
	}
	config := admission.ForService(finder, searchSlots, 1).WithServiceCallRates(map[string]float64{"search": saveRate})
	records := []endpoint.Record{{Instance: "finder-1", Service: "finder", State: endpoint.Ready, Slots: searchSlots}}
	view := &endpoint.View{ByService: map[string][]endpoint.Record{"finder": records}}
	selector := selection.New(selection.Config{Instance: "finder-1"}, time.Now, func() uint64 { return 0 })
	selector.Update(view)
	return caller.NewHandler(caller.Config{
		Instance: "finder-1", Snapshot: func() *snapshot.Snapshot { return snap }, View: func() *endpoint.View { return view },
		Selector: selector, Local: simulatedReceiver{admission.New(config, time.Now)}, Budgets: retry.NewBudgets(0.1, 3, time.Now),
		Recorder: nopRecorder{}, Log: event.Nop(), Now: time.Now, Running: running,
	})
}

// searchesInTime returns the share of the saves whose search meets its deadline during a flood of
// searches from outside callers that pretend to be calls of a backend server.
func searchesInTime(t *testing.T, saving fence.AttemptID, running func(fence.AttemptID) bool) float64 {
	h := newSearchDaemon(t, running)
	var group sync.WaitGroup
	var sent, inTime atomic.Int32
	search := func(id fence.AttemptID, counted bool) {
		r := httptest.NewRequest("GET", "/search", nil)
		r.Host = "finder"
		r.Header.Set(call.DepthHeader, "1")
		r.Header.Set(call.AttemptHeader, id.String())
		w, began := httptest.NewRecorder(), time.Now()
		h.ServeHTTP(w, r)
		if counted && w.Code == http.StatusOK && time.Since(began) <= searchDeadline {
			inTime.Add(1)
		}
	}
	arrive := func(rate float64, id fence.AttemptID, counted bool) {
		rng := rand.New(rand.NewPCG(1, uint64(rate)))
		pause := func() time.Duration { return time.Duration(rng.ExpFloat64() * float64(time.Second) / rate) }
		for end := time.Now().Add(floodTime); time.Now().Before(end); time.Sleep(pause()) {
			group.Go(func() { search(id, counted) })
			if counted {
				sent.Add(1)
			}
		}
	}
	group.Go(func() { arrive(floodRate, fence.AttemptID{Sender: 1, Seq: 1}, false) })
	arrive(saveRate, saving, true)
	group.Wait()
	return float64(inTime.Load()) / float64(sent.Load())
}

// Guards against outside callers that forge the depth header and thereby use up the share of the
// calls between services, on which saves depend. A daemon that accepts any depth must fail the
// check.
func TestFloodWithForgedDepth(t *testing.T) {
	const bound = 0.99 // of the top rank, section 9 of the design
	synctest.Test(t, func(t *testing.T) {
		saving := fence.AttemptID{Sender: 7, Seq: 5}
		var running runningAttempts
		running.add(saving, false)
		if share := searchesInTime(t, saving, running.contains); share < bound {
			t.Errorf("the search met its deadline for a share of only %.3f of the saves", share)
		}
		trustAll := func(fence.AttemptID) bool { return true }
		if share := searchesInTime(t, saving, trustAll); share >= bound {
			t.Errorf("the search met its deadline for %.3f of the saves although any depth is accepted", share)
		}
	})
}
