package caller

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"kingcupwood.example/kingcupwood/agent/peer/call"
	"kingcupwood.example/kingcupwood/pkg/burn"
	"kingcupwood.example/kingcupwood/pkg/verdict"
)

// Guards against a refusal with a wrong status or without a verdict, and against forwarding a
// refused request.
func TestRefusalsBeforeRouting(t *testing.T) {
	long := strings.Repeat("x", defaultBodyBytes+1)
	unknownLength := request("POST", "/pages/1", "")
	unknownLength.Body, unknownLength.ContentLength = io.NopCloser(strings.NewReader(long)), -1
	cut := request("POST", "/pages/1", "text")
	cut.ContentLength = 10
	other := request("GET", "/pages/1", "")
	other.Host = "wiki"
	for name, c := range map[string]struct {
		request *http.Request
		status  int
	}{
		"no service":                  {other, http.StatusNotFound},
		"no kind":                     {request("DELETE", "/pages/1", ""), http.StatusNotFound},
		"body too large":              {request("POST", "/pages/1", long), http.StatusRequestEntityTooLarge},
		"body of unknown length":      {unknownLength, http.StatusRequestEntityTooLarge},
		"body ends early":             {cut, http.StatusBadRequest},
		"chain too deep":              {request("GET", "/pages/1", "", call.DepthHeader, "13"), http.StatusLoopDetected},
		"depth is no number":          {request("GET", "/pages/1", "", call.DepthHeader, "many"), http.StatusBadRequest},
		"depth is negative":           {request("GET", "/pages/1", "", call.DepthHeader, "-1"), http.StatusBadRequest},
		"timeout is no number":        {request("GET", "/pages/1", "", call.TimeoutHeader, "1s"), http.StatusBadRequest},
		"timeout has passed":          {request("GET", "/pages/1", "", call.TimeoutHeader, "-5"), http.StatusGatewayTimeout},
		"timeout is over":             {request("GET", "/pages/1", "", call.TimeoutHeader, "0"), http.StatusGatewayTimeout},
		"timeout below the reserve":   {request("GET", "/pages/1", "", call.TimeoutHeader, "2"), http.StatusGatewayTimeout},
		"idempotency key is too long": {request("POST", "/pages/1", "", headerIdempotencyKey, strings.Repeat("k", MaxKeyBytes+1)), http.StatusBadRequest},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newBench("a", "b")
			w := b.serveHTTP(c.request)
			is.Equal(w.Code, c.status)
			is.Equal(verdictOf(w), "not-run")
			is.Equal(w.Header().Get(HeaderVersion), "1")
			is.Equal(w.Header().Get(HeaderAttempts), "0")
			is.True(w.Body.Len() > 1) // the reason
			is.Equal(len(b.remote.sent), 0)
		})
	}
}

// Guards against serving before there is a configuration, and against a missing Retry-After when
// there is no server.
func TestRefusalsWithRetryAfter(t *testing.T) {
	is := is.New(t)
	b := newBench()
	w := b.serveHTTP(request("GET", "/pages/1", ""))
	is.Equal(w.Code, http.StatusServiceUnavailable)
	is.Equal(verdictOf(w), "not-run")
	is.Equal(w.Header().Get("Retry-After"), "1")
	is.Equal(b.recorder.counts[burn.Refused], 1)

	b.accept(nil)
	w = b.serveHTTP(request("GET", "/pages/1", ""))
	is.Equal(w.Code, http.StatusServiceUnavailable)
	is.Equal(verdictOf(w), "not-run")
	is.Equal(w.Header().Get("Retry-After"), "1")

	b = newBench("a")
	b.remote.do = func(_ context.Context, _ string, r *call.Request) (*call.Response, error) {
		return refused(r, false), nil
	}
	w = b.serveHTTP(request("POST", "/pages/1", ""))
	is.Equal(w.Code, http.StatusServiceUnavailable)
	is.Equal(verdictOf(w), "not-run")
	is.Equal(w.Header().Get("Retry-After"), "2") // 1.5 s, rounded up
}

// Guards against a wrong status for a failed attempt. Each case has a single server and a
// non-idempotent request, so that there is no retry.
func TestStatusOfFailedAttempts(t *testing.T) {
	fails := func(err error) func(context.Context, string, *call.Request) (*call.Response, error) {
		return func(context.Context, string, *call.Request) (*call.Response, error) { return nil, err }
	}
	reports := func(err error) func(context.Context, string, *call.Request) (*call.Response, error) {
		return func(_ context.Context, _ string, r *call.Request) (*call.Response, error) {
			return call.ErrorResponse(r.Attempt, err), nil
		}
	}
	wrap := func(v verdict.Verdict, err error) error { return verdict.Wrap(v, errors.Wrap(err, "attempt")) }
	for name, c := range map[string]struct {
		do      func(context.Context, string, *call.Request) (*call.Response, error)
		status  int
		verdict string
	}{
		"connection refused":            {fails(wrap(verdict.NotRun, io.EOF)), http.StatusServiceUnavailable, "not-run"},
		"connection broken":             {fails(wrap(verdict.MayHaveRun, io.EOF)), http.StatusBadGateway, "may-have-run"},
		"response of another attempt":   {fails(wrap(verdict.MayHaveRun, call.ErrMismatch)), http.StatusBadGateway, "may-have-run"},
		"timeout of the sender":         {fails(wrap(verdict.MayHaveRun, context.DeadlineExceeded)), http.StatusGatewayTimeout, "may-have-run"},
		"error without a verdict":       {fails(io.EOF), http.StatusBadGateway, "may-have-run"},
		"header too large for a frame":  {fails(wrap(verdict.NotRun, call.ErrRequestTooLarge)), http.StatusRequestEntityTooLarge, "not-run"},
		"timeout at the backend server": {reports(wrap(verdict.MayHaveRun, context.DeadlineExceeded)), http.StatusGatewayTimeout, "may-have-run"},
		"backend server broken":         {reports(wrap(verdict.MayHaveRun, io.EOF)), http.StatusBadGateway, "may-have-run"},
		"truncated response":            {reports(wrap(verdict.Ran, io.ErrUnexpectedEOF)), http.StatusBadGateway, "ran"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newBench("a")
			b.remote.do = c.do
			w := b.serveHTTP(request("POST", "/pages/1", "text"))
			is.Equal(w.Code, c.status)
			is.Equal(verdictOf(w), c.verdict)
			is.Equal(w.Header().Get(HeaderAttempts), "1")
			is.True(w.Body.Len() > 1) // the reason
		})
	}
}

// Guards against a request that is routed by one version of the configuration and retried or
// labelled by another.
func TestOneSnapshotForARequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newBench("a", "b")
		changed := testService()
		changed.Kinds[1].Idempotent, changed.Kinds[1].Deadline = false, 20*time.Millisecond
		next, err := b.snap.With(2, changed, 2)
		is.NoErr(err)
		b.remote.do = func(_ context.Context, _ string, r *call.Request) (*call.Response, error) {
			if b.snapshot().Version == 1 {
				b.accept(next)
				time.Sleep(30 * time.Millisecond) // longer than the new deadline
				return nil, verdict.Wrap(verdict.MayHaveRun, io.EOF)
			}
			time.Sleep(r.Timeout - time.Millisecond)
			return ran(r), nil
		}
		w := b.serveHTTP(request("GET", "/pages/1", ""))
		is.Equal(w.Code, http.StatusOK) // retried: idempotent and in time by version 1
		is.Equal(w.Header().Get(HeaderVersion), "1")
		is.Equal(w.Header().Get(HeaderAttempts), "2")
		is.Equal(b.remote.sent[1].Version, uint64(1))
		w = b.serveHTTP(request("GET", "/pages/1", ""))
		is.Equal(w.Header().Get(HeaderVersion), "2")
		is.True(b.remote.sent[1].Timeout > 400*time.Millisecond)
		is.Equal(b.remote.sent[2].Timeout, 18*time.Millisecond)
	})
}

// Guards against forwarding headers that belong to one connection, or that only daemons may set, to
// the backend server.
func TestHeadersOfOneConnectionAreNotForwarded(t *testing.T) {
	is := is.New(t)
	b := newBench("a")
	start := time.Now()
	b.now = func() time.Time { return start }
	b.serveHTTP(request("GET", "/pages/1?x=1", "", "Connection", "keep-alive, X-Private", "X-Private", "1",
		"Keep-Alive", "timeout=5", "Te", "trailers", "Upgrade", "h2c", "Proxy-Authorization", "secret",
		headerOwner, "forged", call.DepthHeader, "3", call.TimeoutHeader, "400", "X-Kept", "yes", "Cookie", "c"))
	sent := b.remote.sent[0]
	is.Equal(sent.Header, http.Header{"X-Kept": {"yes"}, "Cookie": {"c"}})
	is.Equal(sent.Depth, 4)
	is.Equal(sent.Target, "/pages/1?x=1")
	is.Equal(sent.Timeout, 392*time.Millisecond)
	is.True(!IsOwned(&sent))
}

// Guards against losing the Content-Length of the resource in a response to HEAD, and against a
// Content-Length on a response that has none.
func TestLengthOfResponsesWithoutBody(t *testing.T) {
	is := is.New(t)
	b := newBench("a")
	service := testService()
	service.Kinds[1].Method = ""
	next, err := b.snap.With(2, service, 2)
	is.NoErr(err)
	b.accept(next)
	b.remote.do = func(_ context.Context, _ string, r *call.Request) (*call.Response, error) {
		resp := ran(r)
		resp.Body, resp.Header = nil, http.Header{"Content-Length": {"4096"}}
		return resp, nil
	}
	w := b.serveHTTP(request("HEAD", "/pages/1", ""))
	is.Equal(w.Header().Get("Content-Length"), "4096")
	b.remote.do = func(_ context.Context, _ string, r *call.Request) (*call.Response, error) {
		resp := ran(r)
		resp.Body, resp.Status = nil, http.StatusNotModified
		return resp, nil
	}
	w = b.serveHTTP(request("GET", "/pages/1", ""))
	is.Equal(w.Header().Get("Content-Length"), "")
}

// Guards against delivering a response to the wrong caller when many requests are answered out of
// order.
func TestEachCallerGetsItsOwnResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench("a", "b", "c")
		b.remote.do = func(_ context.Context, _ string, r *call.Request) (*call.Response, error) {
			time.Sleep(time.Duration(len(r.Body)%17) * time.Millisecond)
			return ran(r), nil
		}
		var group sync.WaitGroup
		for n := range 200 {
			group.Go(func() {
				path, body := fmt.Sprintf("/pages/%d", n), strings.Repeat("x", 200-n)
				w := b.serveHTTP(request("POST", path, body))
				if want := "POST " + path + " " + body; w.Body.String() != want {
					t.Errorf("request %d got %q", n, w.Body.String())
				}
			})
		}
		group.Wait()
	})
}

// Guards against request headers with arbitrary content that crash the daemon, pass a forged key
// owner to the backend server, or exceed the depth limit.
func FuzzRequestHeaders(f *testing.F) {
	f.Add("1", "100", "close, X-A", "key")
	f.Add("13", "2147483648", ",,", "")
	f.Add("-1", " 5", "Kingcupwood-Key-Owner", "\x00")
	f.Fuzz(func(t *testing.T, depth, timeout, connection, key string) {
		b := newBench("a")
		r := request("GET", "/pages/1", "", call.DepthHeader, depth, call.TimeoutHeader, timeout, "Connection", connection,
			headerIdempotencyKey, key, headerOwner, key)
		w := b.serveHTTP(r)
		if w.Code != http.StatusOK && verdictOf(w) != "not-run" {
			t.Fatalf("status %d with verdict %s", w.Code, verdictOf(w))
		}
		for _, sent := range b.remote.sent {
			if IsOwned(&sent) || sent.Depth > MaxDepth || sent.Timeout <= 0 || sent.Timeout > viewDeadline {
				t.Fatalf("sent %+v", sent)
			}
		}
	})
}

// Guards against treating external callers with a forged depth or attempt as backend servers, and
// against not recognizing calls of backend servers.
func TestNestedCalls(t *testing.T) {
	is := is.New(t)
	b := newBench("self")
	for attempt, want := range map[string]bool{
		runningAttempt.String(): true, "": false, "0000000000000009-4": false, "9-": false, "-3": false, "many": false,
	} {
		for depth, nested := range map[string]bool{"0": false, "1": want} {
			b.remote.do = func(_ context.Context, _ string, r *call.Request) (*call.Response, error) {
				is.Equal(r.Nested, nested)
				return ran(r), nil
			}
			w := b.serveHTTP(request("GET", "/pages/1", "", call.DepthHeader, depth, call.AttemptHeader, attempt))
			is.Equal(w.Code, http.StatusOK)
		}
	}
}
