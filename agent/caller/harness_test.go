package caller

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"kingcupwood.example/kingcupwood/agent/peer/call"
	"kingcupwood.example/kingcupwood/lib/event"
	"kingcupwood.example/kingcupwood/pkg/burn"
	"kingcupwood.example/kingcupwood/pkg/dialect"
	"kingcupwood.example/kingcupwood/pkg/endpoint"
	"kingcupwood.example/kingcupwood/pkg/fence"
	"kingcupwood.example/kingcupwood/pkg/retry"
	"kingcupwood.example/kingcupwood/pkg/selection"
	"kingcupwood.example/kingcupwood/pkg/snapshot"
	"kingcupwood.example/kingcupwood/pkg/verdict"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	saveDeadline = 800 * time.Millisecond
	viewDeadline = 500 * time.Millisecond
)

// headerIdempotencyKey is the header of idempotency keys in the default dialect.
var headerIdempotencyKey = dialect.Default.IdempotencyKey

func testService() *snapshot.Service {
	return &snapshot.Service{
		Name: "pages", Team: "wiki", Slots: 12, Connections: 100, Servers: 4,
		Kinds: []snapshot.Kind{
			{
				Name: "save", Method: "POST", PathPrefix: "/pages/", Rank: 1, Deadline: saveDeadline,
				ExpectedRate: 40, ServiceTime: 5 * time.Millisecond, Worth: 10, Objective: 0.999,
			},
			{
				Name: "view", Method: "GET", PathPrefix: "/pages/", Rank: 2, Idempotent: true, Deadline: viewDeadline,
				ExpectedRate: 100, ServiceTime: 5 * time.Millisecond, Worth: 3, Objective: 0.99,
			},
		},
	}
}

func testSnapshot(version snapshot.Version) *snapshot.Snapshot {
	s, err := (*snapshot.Snapshot)(nil).With(version, testService(), 1)
	if err != nil {
		panic(err)
	}
	return s
}

// fakeDaemons is a Remote whose behaviour a test sets.
type fakeDaemons struct {
	do      func(ctx context.Context, addr string, r *call.Request) (*call.Response, error)
	fenceDo func(ctx context.Context, addr string, id fence.AttemptID) fence.Answer

	mu     sync.Mutex
	sent   []call.Request
	addrs  []string
	fenced []fence.AttemptID
}

func (f *fakeDaemons) Do(ctx context.Context, addr string, r *call.Request) (*call.Response, error) {
	f.mu.Lock()
	f.sent = append(f.sent, *r)
	f.addrs = append(f.addrs, addr)
	f.mu.Unlock()
	return f.do(ctx, addr, r)
}

func (f *fakeDaemons) Fence(ctx context.Context, addr, _ string, id fence.AttemptID) fence.Answer {
	f.mu.Lock()
	f.fenced = append(f.fenced, id)
	f.mu.Unlock()
	if f.fenceDo == nil {
		return fence.Unknown
	}
	return f.fenceDo(ctx, addr, id)
}

// handlerFunc implements Config.Local with a function.
type handlerFunc func(ctx context.Context, r *call.Request) *call.Response

func (f handlerFunc) ServeCall(ctx context.Context, r *call.Request) *call.Response { return f(ctx, r) }

// recorder counts outcomes.
type recorder struct {
	mu     sync.Mutex
	counts map[burn.Outcome]int
}

func (r *recorder) Record(_ *snapshot.Service, _ *snapshot.Kind, o burn.Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.counts == nil {
		r.counts = map[burn.Outcome]int{}
	}
	r.counts[o]++
}

// testView returns a view with ready servers of pages on the named instances.
func testView(instances ...string) *endpoint.View {
	v := &endpoint.View{Records: map[endpoint.InstanceID]endpoint.Record{}, ByService: map[string][]endpoint.Record{}}
	for _, name := range instances {
		r := endpoint.Record{
			Instance: endpoint.InstanceID(name), Domain: "lj-1", Service: "pages", State: endpoint.Ready, Slots: 12,
			CallAddr: name, RPCAddr: name + "-rpc", ReadySinceMS: 1,
		}
		v.Records[r.Instance] = r
		v.ByService["pages"] = append(v.ByService["pages"], r)
	}
	return v
}

// runningAttempt is the attempt that the backend server of each bench is processing.
var runningAttempt = fence.AttemptID{Sender: 9, Seq: 3}

// bench is a handler with its fakes.
type bench struct {
	*Handler
	remote   *fakeDaemons
	recorder *recorder
	selector *selection.Selector
	mu       sync.Mutex
	snap     *snapshot.Snapshot
	view     *endpoint.View
	now      func() time.Time
	ask      QueryKey
}

// newBench returns a handler of instance "self" in front of pages servers on the named instances.
func newBench(instances ...string) *bench {
	b := &bench{remote: &fakeDaemons{do: answer}, recorder: &recorder{}, snap: testSnapshot(1), view: testView(instances...), now: time.Now}
	var draws uint64
	var mu sync.Mutex
	rng := func() uint64 {
		mu.Lock()
		defer mu.Unlock()
		draws += 0x9e3779b97f4a7c15
		return draws >> 7
	}
	b.selector = selection.New(selection.Config{Instance: "self", Domain: "lj-1"}, time.Now, rng)
	b.selector.Update(b.view)
	b.Handler = NewHandler(Config{
		Instance: "self", Incarnation: 7, Running: func(id fence.AttemptID) bool { return id == runningAttempt }, QueryKey: func(ctx context.Context, addr string, q KeyQuery) (KeyAnswer, error) { return b.ask(ctx, addr, q) }, Snapshot: b.snapshot, View: b.currentView,
		Selector: b.selector, Remote: b.remote, Budgets: retry.NewBudgets(0.1, 3, time.Now), Recorder: b.recorder,
		Local: handlerFunc(func(ctx context.Context, r *call.Request) *call.Response {
			resp, err := b.remote.do(ctx, "self", r)
			if err != nil {
				return call.ErrorResponse(r.Attempt, err)
			}
			return resp
		}),
		Dialect: &dialect.Default, Random: rng,
		Log: event.Nop(), Now: func() time.Time { return b.now() },
	})
	return b
}

func (b *bench) snapshot() *snapshot.Snapshot {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.snap
}

func (b *bench) currentView() *endpoint.View {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.view
}

func (b *bench) setView(v *endpoint.View) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.view = v
}

func (b *bench) accept(s *snapshot.Snapshot) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.snap = s
}

// answer is a backend server that runs every request and echoes it in the response.
func answer(_ context.Context, _ string, r *call.Request) (*call.Response, error) {
	return ran(r), nil
}

func ran(r *call.Request) *call.Response {
	body := fmt.Appendf(nil, "%s %s %s", r.Method, r.Target, r.Body)
	return &call.Response{Attempt: r.Attempt, Verdict: verdict.Ran, Status: http.StatusOK, Header: http.Header{}, Body: body}
}

func refused(r *call.Request, draining bool) *call.Response {
	return &call.Response{
		Attempt: r.Attempt, Verdict: verdict.NotRun, Status: http.StatusServiceUnavailable,
		Reason: "queue full", RetryAfter: 1500 * time.Millisecond, Draining: draining, Load: 1,
	}
}

// request returns a request of a caller for pages; headers are alternating names and values.
func request(method, path, body string, headers ...string) *http.Request {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Host = "pages:80"
	for i := 0; i < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	return r
}

func (b *bench) serveHTTP(r *http.Request) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	b.ServeHTTP(w, r)
	return w
}

func verdictOf(w *httptest.ResponseRecorder) string { return w.Header().Get(verdict.Header) }
