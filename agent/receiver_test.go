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
	b := backend.New(backend.Config{}, event.Nop())
	t.Cleanup(b.Close)
	body := fmt.Sprintf(`{"service":"pages","address":%q,"state":"ready","slots":4,"connections":8}`, server.Listener.Addr())
	w := httptest.NewRecorder()
	b.Announcements().ServeHTTP(w, httptest.NewRequest("PUT", backend.AnnouncePath, bytes.NewBufferString(body)))
	if w.Code != http.StatusNoContent {
		t.Fatalf("announcement: %d %s", w.Code, w.Body)
	}
	return &receiver{log: event.Nop(), admission: admission.New(admission.Config{Slots: 4}, time.Now), backend: b}
}

func testRequest() *call.Request {
	return &call.Request{
		Attempt: fence.AttemptID{Sender: 1, Seq: 1}, Service: "pages", Kind: "view", Timeout: 100 * time.Millisecond,
		Depth: 1, Method: "GET", Target: "/pages/1", Host: "pages",
	}
}

// Guards against a receiving daemon that lets the backend server use all the time of its sender, so
// that the sender sees a lost response in place of the failure.
func TestReceiverKeepsTimeForItsFailure(t *testing.T) {
	is := is.New(t)
	told := make(chan string, 1)
	r := newTestReceiver(t, func(_ http.ResponseWriter, r *http.Request) {
		told <- r.Header.Get(call.TimeoutHeader)
		<-r.Context().Done()
	})
	resp := r.ServeCall(context.Background(), testRequest())
	is.Equal(resp.Status, http.StatusGatewayTimeout)
	is.Equal(resp.Verdict, verdict.MayHaveRun)
	left, err := strconv.Atoi(<-told)
	is.NoErr(err)
	is.True(left > 0 && left <= 98)
}

// Guards against a request that reaches the backend server of another service or of a stopping
// instance, and against a refusal that does not say that it is due to draining.
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

// Guards against calls of backend servers that admission control counts as requests of callers, so
// that a flood of the called kind fails the requests that make these calls.
func TestCalledRequestsHaveAShareOfTheirOwn(t *testing.T) {
	is := is.New(t)
	req := testRequest()
	is.Equal(admissionKind(req), "view")
	req.Depth = 2
	is.Equal(admissionKind(req), "view") // a claim of the caller
	req.Nested = true
	is.Equal(admissionKind(req), admission.ServiceCallKind("view"))
	snap := &snapshot.Snapshot{Services: map[string]*snapshot.Service{
		"pages":    {Kinds: []snapshot.Kind{{ExpectedRate: 40, Calls: []string{"finder/search"}}, {ExpectedRate: 9}}},
		"ordering": {Kinds: []snapshot.Kind{{ExpectedRate: 20, Calls: []string{"finder/search", "find/search"}}}},
	}}
	is.Equal(calledRates(snap, "finder", 5), map[string]float64{"search": 12})
}

// Guards against admission control that starts a request with enough time for its own service, but
// not for the calls it makes, so that it runs and fails instead of being refused.
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
	is.Equal(cfg.Kinds[1].ServiceTime, 60*time.Millisecond)           // declared with its calls
	is.Equal(slotTime(snap, &pages.Kinds[0], 2), 25*time.Millisecond) // a longer chain is cut off
}

// Guards against a backend server whose calls count as those of outside callers while it works on a request, and
// against an attempt that it can use after its end.
func TestAttemptIsRunningWhileTheBackendServerWorks(t *testing.T) {
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
