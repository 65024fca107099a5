package agent

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"kingcupwood.example/kingcupwood/agent/backend"
	"kingcupwood.example/kingcupwood/agent/peer/call"
	"kingcupwood.example/kingcupwood/lib/event"
	"kingcupwood.example/kingcupwood/pkg/admission"
	"kingcupwood.example/kingcupwood/pkg/fence"
	"kingcupwood.example/kingcupwood/pkg/snapshot"
	"kingcupwood.example/kingcupwood/pkg/verdict"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// newTestReceiver returns the receiver of an instance whose backend server runs handler.
func newTestReceiver(t *testing.T, handler http.HandlerFunc) *receiver {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	r := &receiver{log: event.Nop(), admission: admission.New(admission.Config{Slots: 4}, time.Now)}
	b := backend.New(backend.Config{Changed: r.backendChanged, Lifetime: time.Hour}, event.Nop())
	t.Cleanup(b.Close)
	r.backend = b
	body := fmt.Sprintf(`{"service":"pages","address":%q,"state":"ready","slots":4,"connections":8}`, server.Listener.Addr())
	w := httptest.NewRecorder()
	b.Announcements().ServeHTTP(w, httptest.NewRequest("PUT", backend.AnnouncePath, bytes.NewBufferString(body)))
	if w.Code != http.StatusNoContent {
		t.Fatalf("announcement: %d %s", w.Code, w.Body)
	}
	return r
}

// Guards against a body that is granted although the request would be refused on arrival: the server
// is draining, its slots are taken for too long, or the link is busy for longer than the sender waits.
func TestBodyIsRefusedBeforeItIsSent(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	r := newTestReceiver(t, func(http.ResponseWriter, *http.Request) { <-release })
	defer close(release)
	r.bodies = newBodySchedule(1_000_000)
	upload := func(timeout, maxWait time.Duration) *call.Request {
		req := testRequest()
		req.Rank, req.Timeout, req.TimeToTarget, req.MaxQueueTime = 2, timeout, timeout, maxWait
		return req
	}
	ctx := context.Background()
	rate, refused := r.AdmitBody(ctx, upload(time.Second, 0), 300_000)
	is.Equal(refused, nil)
	is.Equal(rate, 750_000)
	_, refused = r.AdmitBody(ctx, upload(time.Second, 100*time.Millisecond), 10_000)
	is.Equal(refused.Verdict, verdict.NotRun)
	is.True(refused.RetryAfter > 100*time.Millisecond && !refused.Offered)
	_, refused = r.AdmitBody(ctx, upload(100*time.Millisecond, 0), 10_000)
	is.Equal(refused.Verdict, verdict.NotRun)

	r.bodies = nil
	for range 4 {
		_, err := r.admission.AcquireFor(ctx, admission.Request{Kind: "view", Rank: 2, Deadline: time.Now().Add(time.Hour)})
		is.NoErr(err)
	}
	_, refused = r.AdmitBody(ctx, upload(time.Second, time.Nanosecond), 10_000)
	is.Equal(refused.Verdict, verdict.NotRun)
	r.draining.Store(true)
	_, refused = r.AdmitBody(ctx, upload(time.Second, 0), 10_000)
	is.True(refused.Draining)
}

func testRequest() *call.Request {
	return &call.Request{
		Attempt: fence.AttemptID{Sender: 1, Seq: 1}, Service: "pages", Kind: "view", Timeout: 100 * time.Millisecond,
		Depth: 1, Method: "GET", Target: "/pages/1", Host: "pages",
	}
}

// Guards against a receiver that lets the backend server use the whole timeout of the sender, so
// that the sender times out without receiving the error response.
func TestReceiverReportsBackendTimeout(t *testing.T) {
	is := is.New(t)
	timeouts := make(chan string, 1)
	r := newTestReceiver(t, func(_ http.ResponseWriter, r *http.Request) {
		timeouts <- r.Header.Get(call.TimeoutHeader)
		<-r.Context().Done()
	})
	resp := r.ServeCall(context.Background(), testRequest())
	is.Equal(resp.Status, http.StatusGatewayTimeout)
	is.Equal(resp.Verdict, verdict.MayHaveRun)
	left, err := strconv.Atoi(<-timeouts)
	is.NoErr(err)
	is.True(left > 0 && left <= 98)
}

// Guards against forwarding a request to the backend server of another service or of a stopping
// instance, and against a refusal without the draining flag.
func TestReceiverRefuses(t *testing.T) {
	is := is.New(t)
	r := newTestReceiver(t, func(http.ResponseWriter, *http.Request) { t.Error("the request has run") })
	other := testRequest()
	other.Service = "finder"
	resp := r.ServeCall(t.Context(), other)
	is.Equal(resp.Verdict, verdict.NotRun)
	is.Equal(resp.Status, http.StatusServiceUnavailable)
	is.True(!resp.Draining)
	r.draining.Store(true)
	resp = r.ServeCall(t.Context(), testRequest())
	is.Equal(resp.Verdict, verdict.NotRun)
	is.True(resp.Draining)
}

// Guards against counting calls of backend servers as requests of callers in admission control; a
// flood of the called kind would then fail the requests that make these calls.
func TestNestedRequestsHaveSeparateShare(t *testing.T) {
	is := is.New(t)
	req := testRequest()
	is.Equal(admissionKind(req), "view")
	req.Depth = 2
	is.Equal(admissionKind(req), "view") // an unverified depth
	req.Nested = true
	is.Equal(admissionKind(req), admission.ServiceCallKind("view"))
	snap := &snapshot.Snapshot{Services: map[string]*snapshot.Service{
		"pages":    {Kinds: []snapshot.Kind{{ExpectedRate: 40, Calls: []string{"finder/search"}}, {ExpectedRate: 9}}},
		"ordering": {Kinds: []snapshot.Kind{{ExpectedRate: 20, Calls: []string{"finder/search", "find/search"}}}},
	}}
	is.Equal(calledRates(snap, "finder", 5), map[string]float64{"search": 12})
}

// Guards against admitting a request with enough time left for its own service but not for the
// calls it makes, so that it runs and fails instead of being refused.
func TestSlotTimeIncludesCalls(t *testing.T) {
	is := is.New(t)
	pages := &snapshot.Service{Name: "pages", Slots: 12, Kinds: []snapshot.Kind{
		{Name: "save", ServiceTime: 5 * time.Millisecond, Calls: []string{"finder/search"}},
		{Name: "view", ServiceTime: 60 * time.Millisecond, Calls: []string{"finder/search"}},
	}}
	snap := &snapshot.Snapshot{Services: map[string]*snapshot.Service{
		"pages":  pages,
		"finder": {Kinds: []snapshot.Kind{{Name: "search", ServiceTime: 25 * time.Millisecond, Calls: []string{"index/read", "none/read"}}}},
		"index":  {Kinds: []snapshot.Kind{{Name: "read", ServiceTime: 40 * time.Millisecond}}},
	}}
	cfg := admissionConfig(snap, pages, 0, 1)
	is.Equal(cfg.Kinds[0].ServiceTime, 40*time.Millisecond)
	is.Equal(cfg.Kinds[1].ServiceTime, 60*time.Millisecond)           // the declared time includes the calls
	is.Equal(slotTime(snap, &pages.Kinds[0], 2), 25*time.Millisecond) // a longer chain is truncated
}

// Guards against treating calls of a backend server as those of outside callers while it processes
// a request, and against an attempt that stays valid after its end.
func TestAttemptRunningDuringBackendRequest(t *testing.T) {
	is := is.New(t)
	var r *receiver
	during := make(chan bool, 1)
	r = newTestReceiver(t, func(_ http.ResponseWriter, req *http.Request) {
		id, ok := fence.ParseAttemptID(req.Header.Get(call.AttemptHeader))
		during <- ok && id == testRequest().Attempt && r.running.contains(id)
	})
	is.Equal(r.ServeCall(t.Context(), testRequest()).Status, http.StatusOK)
	is.True(<-during)
	is.True(!r.running.contains(testRequest().Attempt))
}

// Guards against a share of repeats that counts attempts which have ended.
func TestRepeatShare(t *testing.T) {
	is := is.New(t)
	var running runningAttempts
	is.Equal(running.repeatShare(), 0.0)
	for seq, repeat := range []bool{true, false, false, false} {
		running.add(fence.AttemptID{Sender: 1, Seq: uint64(seq)}, repeat)
	}
	is.Equal(running.repeatShare(), 0.25)
	running.remove(fence.AttemptID{Sender: 1, Seq: 1})
	running.remove(fence.AttemptID{Sender: 1, Seq: 1})
	running.remove(fence.AttemptID{Sender: 1, Seq: 2})
	is.Equal(running.repeatShare(), 0.5)
	running.remove(fence.AttemptID{Sender: 1, Seq: 0})
	is.Equal(running.repeatShare(), 0.0)
}
