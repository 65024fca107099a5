package caller

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"kingcupwood.example/kingcupwood/agent/peer/call"
	"kingcupwood.example/kingcupwood/pkg/dialect"
	"kingcupwood.example/kingcupwood/pkg/fence"
	"kingcupwood.example/kingcupwood/pkg/retry"
	"kingcupwood.example/kingcupwood/pkg/snapshot"
	"kingcupwood.example/kingcupwood/pkg/verdict"
)

// routedMarks is a dialect for callers that read statuses only.
var routedMarks = dialect.Dialect{
	RequestID: "Id", TimeLeft: "Left", Expect: "Expected", CallerService: "From", Stamp: "Stamp", NotRun: "Not-Run", FractionalSeconds: true,
}

// newRoutedBench returns a handler for a configuration with routes, in front of pages servers.
func newRoutedBench(t *testing.T, instances ...string) *bench {
	t.Helper()
	b := newBench(instances...)
	route := func(name, prefix string, idempotent bool) snapshot.Route {
		return snapshot.Route{
			Kind: snapshot.Kind{Name: name, PathPrefix: prefix, Rank: 1, Idempotent: idempotent, Deadline: time.Second},
			Host: "wiki.example", Target: 500 * time.Millisecond, MaxAttempts: 2,
		}
	}
	s, err := snapshot.Assemble(5, []*snapshot.Service{{
		Name: "pages", Team: "ops", Connections: 10,
		Routes: []snapshot.Route{route("view", "/view/", true), route("save", "/save/", false)},
	}}, nil)
	if err != nil {
		t.Fatal(err)
	}
	b.accept(s)
	b.config.Dialect, b.config.Origin, b.config.Domain = &routedMarks, "shop", "lj-1"
	return b
}

func routedRequest(method, path string, headers ...string) *http.Request {
	r := request(method, path, "body", append([]string{"Id", "q7", "Left", "900"}, headers...)...)
	r.Host = "wiki.example"
	return r
}

// Guards against forwarding a request with the caller's values for headers that the daemon sets, or
// with a changed method, target or body.
func TestRoutedRequest(t *testing.T) {
	is := is.New(t)
	b := newRoutedBench(t, "i1")
	r := routedRequest("GET", "/view/a%2Fb?x=1&y=%20", "From", "forged", "Expected", "i-1", "Other", "kept")
	r.RequestURI = "/view/a%2Fb?x=1&y=%20"
	w := b.serveHTTP(r)
	is.Equal(w.Code, http.StatusOK)
	sent := b.remote.sent[0]
	is.Equal(sent.Target, "/view/a%2Fb?x=1&y=%20")
	is.Equal(string(sent.Body), "body")
	is.Equal(sent.Header.Get("From"), "shop")
	is.Equal(sent.Header.Get("Expected"), "")
	is.Equal(sent.Header.Get("Left"), "")
	is.Equal(sent.Header.Get("Id"), "q7")
	is.Equal(sent.Header.Get("Other"), "kept")
	is.True(sent.Timeout <= 900*time.Millisecond && sent.Rank == 1 && sent.Idempotent)
	is.Equal(w.Header().Get(verdict.Header), "")
}

// Guards against 404 for a valid request, and against any other status for one without a route.
func TestNoRoute(t *testing.T) {
	is := is.New(t)
	b := newRoutedBench(t, "i1")
	is.Equal(b.serveHTTP(routedRequest("GET", "/other/")).Code, http.StatusNotFound)
	r := routedRequest("GET", "/view/a")
	r.Host = "pages" // service names are not hosts here
	is.Equal(b.serveHTTP(r).Code, http.StatusNotFound)
	b.accept(nil)
	is.Equal(b.serveHTTP(routedRequest("GET", "/other/")).Code, http.StatusServiceUnavailable)
}

// Guards against 404 for a host that differs from the one of the route in the case of its letters, has a
// port or ends with the dot of a fully qualified name: all of them name the same host.
func TestSpellingsOfTheHost(t *testing.T) {
	is := is.New(t)
	b := newRoutedBench(t, "i1")
	for _, host := range []string{"wiki.example", "WIKI.example", "Wiki.Example:8147", "wiki.example.", "wiki.example.:80"} {
		r := routedRequest("GET", "/view/a")
		r.Host = host
		is.Equal(b.serveHTTP(r).Code, http.StatusOK)
		is.Equal(b.remote.sent[len(b.remote.sent)-1].Host, host) // forwarded unchanged
	}
	r := routedRequest("GET", "/VIEW/a") // paths are compared exactly
	is.Equal(b.serveHTTP(r).Code, http.StatusNotFound)
}

// Guards against interpreting, for a request of a route, headers that the dialect does not define: to its
// callers they are headers like any other, so that they must neither reject a request nor return the
// response to another one.
func TestHeadersOutsideTheDialect(t *testing.T) {
	is := is.New(t)
	b := newRoutedBench(t, "i1")
	for n, value := range []string{"k", "k", strings.Repeat("k", MaxKeyBytes+1)} {
		r := routedRequest("POST", "/save/"+strconv.Itoa(n), headerIdempotencyKey, value)
		is.Equal(b.serveHTTP(r).Code, http.StatusOK)
		is.Equal(len(b.remote.sent), n+1)
		is.Equal(b.remote.sent[n].Header.Get(headerIdempotencyKey), value)
	}
	for _, depth := range []string{"deep", "-1", strconv.Itoa(MaxDepth)} {
		w := b.serveHTTP(routedRequest("GET", "/view/a", call.DepthHeader, depth))
		is.Equal(w.Code, http.StatusOK)
	}
}

// busyReply is the refusal of a daemon whose backend server has no free slot.
func busyReply(r *call.Request) *call.Response {
	return &call.Response{
		Attempt: r.Attempt, Verdict: verdict.NotRun, Status: http.StatusServiceUnavailable, Reason: "no slot is free soon",
		RetryAfter: 300 * time.Millisecond, Load: 2,
	}
}

func answerBusy(_ context.Context, _ string, r *call.Request) (*call.Response, error) {
	return busyReply(r), nil
}

// Guards against sending each request to all daemons in an overload, and against a long
// Retry-After.
func TestAllServersBusy(t *testing.T) {
	is := is.New(t)
	b := newRoutedBench(t, "i1", "i2", "i3", "i4")
	b.remote.do = answerBusy
	w := b.serveHTTP(routedRequest("POST", "/save/a"))
	is.Equal(w.Code, http.StatusServiceUnavailable)
	is.Equal(len(b.remote.sent), maxBusyRefusals+1)
	is.Equal(w.Header().Get("Retry-After"), "0.040")
	is.True(b.remote.sent[0].MaxQueueTime > 0)
	is.Equal(b.remote.sent[maxBusyRefusals].MaxQueueTime, time.Duration(0))
}

// Guards against asking again a daemon that has just refused the request for lack of a slot while
// another one was not asked yet, and against a refusal without a wait if there is no other.
func TestBusyDaemonIsNotAskedTwice(t *testing.T) {
	is := is.New(t)
	for range 50 {
		b := newRoutedBench(t, "i1", "i2", "i3", "i4")
		b.remote.do = answerBusy
		b.serveHTTP(routedRequest("POST", "/save/a"))
		asked := map[string]bool{}
		for _, addr := range b.remote.addrs {
			asked[addr] = true
		}
		is.Equal(len(asked), 4)
	}
	b := newRoutedBench(t, "i1")
	answer := b.remote.do
	b.remote.do = func(ctx context.Context, addr string, r *call.Request) (*call.Response, error) {
		if len(b.remote.sent) == 1 {
			return busyReply(r), nil
		}
		return answer(ctx, addr, r)
	}
	is.Equal(b.serveHTTP(routedRequest("POST", "/save/a")).Code, http.StatusOK)
	is.Equal(b.remote.sent[1].MaxQueueTime, time.Duration(0))
}

// Guards against calls of the own backend server that are not charged to the retry budget in
// proportion to its repeated runs, and against charging requests of callers.
func TestCallsOfRepeatedRunsAreCharged(t *testing.T) {
	is := is.New(t)
	for from, share := range map[string]float64{"10.0.0.1:4000": 0.25, "10.0.0.2:4000": 0} {
		b := newRoutedBench(t, "i1")
		budget := &chargedBudget{Limiter: b.config.Budgets.Of("pages", "view")}
		b.config.Budgets = budget
		b.config.RepeatShare = func() float64 { return 0.25 }
		r := routedRequest("GET", "/view/a")
		r.RemoteAddr = from
		local := &net.TCPAddr{IP: net.IPv4(10, 0, 0, 1), Port: 80}
		is.Equal(b.serveHTTP(r.WithContext(context.WithValue(r.Context(), http.LocalAddrContextKey, local))).Code, http.StatusOK)
		is.Equal(budget.charged, share)
	}
}

// chargedBudget records what is charged to a budget.
type chargedBudget struct {
	retry.Limiter
	charged float64
}

func (c *chargedBudget) Of(string, string) retry.Limiter { return c }
func (c *chargedBudget) Charge(retries float64)          { c.charged += retries }

// Guards against a large body that is sent without a grant to a daemon that schedules bodies, and
// against a grant for a small body or from a daemon that does not know them.
func TestLargeBodyIsWithheld(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct {
		link, bytes int
		withheld    bool
	}{{1_000_000, call.MinWithheldBytes, true}, {1_000_000, call.MinWithheldBytes - 1, false}, {0, call.MinWithheldBytes, false}} {
		b := newRoutedBench(t, "i1")
		view := testView("i1")
		view.ByService["pages"][0].LinkBytesPerSecond = int64(c.link)
		b.config.Selector.Update(view)
		r := request("POST", "/save/a", strings.Repeat("x", c.bytes), "Id", "q7", "Left", "900")
		r.Host = "wiki.example"
		is.Equal(b.serveHTTP(r).Code, http.StatusOK)
		is.Equal(b.remote.sent[0].WithholdBody, c.withheld)
	}
}

// Guards against a refusal while another server has a free slot that this daemon does not know of.
func TestRetryFindsFreeSlot(t *testing.T) {
	is := is.New(t)
	b := newRoutedBench(t, "i1", "i2", "i3", "i4")
	answer := b.remote.do
	b.remote.do = func(ctx context.Context, addr string, r *call.Request) (*call.Response, error) {
		if r.MaxQueueTime > 0 && len(b.remote.sent) < 4 {
			return busyReply(r), nil
		}
		return answer(ctx, addr, r)
	}
	is.Equal(b.serveHTTP(routedRequest("GET", "/view/a")).Code, http.StatusOK)
	is.Equal(len(b.remote.sent), 4)
}

// Guards against a status that means not run for a request that may have run, and against one that
// prevents a caller from resubmitting a request that has not run.
func TestStatusMatchesVerdict(t *testing.T) {
	is := is.New(t)
	notRun := verdict.Wrap(verdict.NotRun, errors.New("connection refused"))
	lost := verdict.Wrap(verdict.MayHaveRun, errors.New("connection broken"))
	for _, c := range []struct {
		err    error
		fence  fence.Answer
		status int
	}{
		{notRun, fence.Unknown, http.StatusServiceUnavailable},
		{verdict.Wrap(verdict.NotRun, context.DeadlineExceeded), fence.Unknown, http.StatusServiceUnavailable},
		{lost, fence.Unknown, http.StatusBadGateway},
		{lost, fence.HasStarted, http.StatusBadGateway},
		{lost, fence.NeverWillRun, http.StatusServiceUnavailable},
	} {
		b := newRoutedBench(t, "i1")
		b.remote.do = func(context.Context, string, *call.Request) (*call.Response, error) { return nil, c.err }
		b.remote.fenceDo = func(context.Context, string, fence.AttemptID) fence.Answer { return c.fence }
		is.Equal(b.serveHTTP(routedRequest("POST", "/save/a")).Code, c.status)
	}
}

// Guards against a run on more servers than the route allows, and against resending a
// non-idempotent request that may have run.
func TestRoutedAttempts(t *testing.T) {
	is := is.New(t)
	for path, most := range map[string]int{"/view/a": 2, "/save/a": 1} {
		b := newRoutedBench(t, "i1", "i2", "i3")
		b.remote.do = func(_ context.Context, _ string, r *call.Request) (*call.Response, error) {
			resp := ran(r)
			resp.Status, resp.Offered = http.StatusInternalServerError, true
			return resp, nil
		}
		w := b.serveHTTP(routedRequest("POST", path))
		is.Equal(w.Code, http.StatusInternalServerError) // the response of the server, not of this daemon
		is.Equal(len(b.remote.sent), most)
	}
}

// Guards against long slot waits of requests sent by a stopping daemon, since their connections
// close with it.
func TestStoppingDaemonLimitsSlotWait(t *testing.T) {
	is := is.New(t)
	b := newRoutedBench(t, "i1")
	b.config.Stopping = func() bool { return true }
	is.Equal(b.serveHTTP(routedRequest("GET", "/view/a")).Code, http.StatusOK)
	is.Equal(b.remote.sent[0].MaxQueueTime, time.Duration(stoppingWaitShare*float64(500*time.Millisecond)))
}

// Guards against giving a resubmitted request the full latency target.
func TestTargetTimeOfResubmission(t *testing.T) {
	is := is.New(t)
	b := newRoutedBench(t, "i1")
	first := routedRequest("GET", "/view/a")
	is.Equal(b.serveHTTP(first).Code, http.StatusOK)
	second := routedRequest("GET", "/view/a")
	second.Header.Set("Left", "600")
	is.Equal(b.serveHTTP(second).Code, http.StatusOK)
	left := b.remote.sent[1].TimeToTarget
	is.True(left <= 200*time.Millisecond && left > 100*time.Millisecond)
}

// Guards against memory that grows with the number of route names.
func TestTimeoutEstimatesAreBounded(t *testing.T) {
	is := is.New(t)
	var a timeoutEstimates
	now := time.Unix(1000, 0)
	var wg sync.WaitGroup
	for i := range 3 {
		wg.Go(func() {
			for n := range 2 * maxTimeoutEstimates {
				a.waited(string(rune('a'+i))+time.Duration(n).String(), time.Second, now)
			}
		})
	}
	wg.Wait()
	count := 0
	a.byRoute.Range(func(any, any) bool { count++; return true })
	is.True(count <= 2*maxTimeoutEstimates)
	is.Equal(a.waited("view", time.Second, now), time.Duration(0))
	is.Equal(a.waited("view", 400*time.Millisecond, now), 600*time.Millisecond)
	is.Equal(a.waited("view", 400*time.Millisecond, now.Add(timeoutEstimateTTL+time.Second)), time.Duration(0))
}

// Guards against sending a request back and forth between daemons without a free slot after one
// server has failed it, and against charging that to the retry budget.
func TestBusyAfterAFailure(t *testing.T) {
	is := is.New(t)
	b := newRoutedBench(t, "i1", "i2")
	b.remote.do = func(_ context.Context, _ string, r *call.Request) (*call.Response, error) {
		if len(b.remote.sent) == 1 {
			return nil, verdict.Wrap(verdict.MayHaveRun, errors.New("connection broken"))
		}
		return busyReply(r), nil
	}
	is.Equal(b.serveHTTP(routedRequest("GET", "/view/a")).Code, http.StatusBadGateway)
	is.Equal(len(b.remote.sent), 3) // the failure, the refusal, and a last one that may wait
}

// Guards against refusing a valid request for its size, and against buffering one over the limit.
func TestBodyLimitOfTheConfiguration(t *testing.T) {
	is := is.New(t)
	b := newRoutedBench(t, "i1")
	limited, err := snapshot.Assemble(6, []*snapshot.Service{b.snap.Services["pages"]}, &snapshot.Limits{BodyBytes: 3 * defaultBodyBytes})
	is.NoErr(err)
	b.accept(limited)
	for size, want := range map[int]int{3 * defaultBodyBytes: http.StatusOK, 3*defaultBodyBytes + 1: http.StatusRequestEntityTooLarge} {
		for _, chunked := range []bool{false, true} {
			r := httptest.NewRequest("POST", "/save/a", bytes.NewReader(make([]byte, size)))
			r.Host = "wiki.example"
			if chunked {
				r.ContentLength = -1
			}
			is.Equal(b.serveHTTP(r).Code, want)
		}
	}
	is.Equal(len(b.remote.sent[0].Body), 3*defaultBodyBytes)
}

// Guards against accepting a header over the limit of the configuration, and against refusing one
// within it.
func TestHeaderLimitOfTheConfiguration(t *testing.T) {
	is := is.New(t)
	b := newRoutedBench(t, "i1")
	limited, err := snapshot.Assemble(6, []*snapshot.Service{b.snap.Services["pages"]}, &snapshot.Limits{HeaderBytes: 2000})
	is.NoErr(err)
	b.accept(limited)
	is.Equal(b.serveHTTP(routedRequest("GET", "/view/a", "Large", strings.Repeat("x", 1800))).Code, http.StatusOK)
	is.Equal(b.serveHTTP(routedRequest("GET", "/view/a", "Large", strings.Repeat("x", 2000))).Code, http.StatusRequestHeaderFieldsTooLarge)
	is.Equal(len(b.remote.sent), 1)
}
