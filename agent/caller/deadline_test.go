package caller

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"kingcupwood.example/kingcupwood/agent/peer/call"
	"kingcupwood.example/kingcupwood/pkg/fence"
	"kingcupwood.example/kingcupwood/pkg/verdict"
)

// Guards against a retry that starts after the deadline, and against a request that continues past
// it.
func TestDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newBench("a", "b")
		start := time.Now()
		b.remote.do = func(ctx context.Context, _ string, _ *call.Request) (*call.Response, error) {
			<-ctx.Done()
			return nil, verdict.Wrap(verdict.MayHaveRun, ctx.Err())
		}
		w := b.serveHTTP(request("GET", "/pages/1", "", call.TimeoutHeader, "300"))
		is.Equal(w.Code, http.StatusGatewayTimeout)
		is.Equal(verdictOf(w), "may-have-run")
		is.Equal(b.remote.sent[0].Timeout, 294*time.Millisecond)
		is.True(time.Since(start) < 300*time.Millisecond)

		// A save that timed out and was fenced in time is known not to have run.
		b.remote.fenceDo = func(context.Context, string, fence.AttemptID) fence.Answer { return fence.NeverWillRun }
		w = b.serveHTTP(request("POST", "/pages/1", "", call.TimeoutHeader, "100"))
		is.Equal(verdictOf(w), "not-run")
		is.Equal(w.Code, http.StatusGatewayTimeout)
	})
}

// Guards against a stopping daemon that passes on a request with more time than it has left itself: the
// backend server would still be at work on it when the daemon breaks it off.
func TestDeadlineEndsBeforeTheDaemon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newBench("a", "b")
		stopBy := time.Now().Add(200 * time.Millisecond)
		b.config.StopBy = func() time.Time { return stopBy }
		is.Equal(b.serveHTTP(request("GET", "/pages/1", "", call.TimeoutHeader, "300")).Code, http.StatusOK)
		is.Equal(b.remote.sent[0].Timeout, 196*time.Millisecond)
		is.Equal(b.serveHTTP(request("GET", "/pages/1", "", call.TimeoutHeader, "100")).Code, http.StatusOK)
		is.Equal(b.remote.sent[1].Timeout, 98*time.Millisecond)

		// The stop begins between two attempts.
		stopBy = time.Time{}
		b.remote.do = func(ctx context.Context, to string, r *call.Request) (*call.Response, error) {
			if stopBy.IsZero() {
				stopBy = time.Now().Add(200 * time.Millisecond)
				return refused(r, true), nil
			}
			return answer(ctx, to, r)
		}
		is.Equal(b.serveHTTP(request("GET", "/pages/1", "", call.TimeoutHeader, "300")).Code, http.StatusOK)
		is.Equal(b.remote.sent[3].Timeout, 196*time.Millisecond)
	})
}

// Guards against a fence that delays the response to the caller, and against treating a late answer
// as proof.
func TestLateFenceAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newBench("a", "b")
		b.remote.do = script{breaks}.do()
		b.remote.fenceDo = func(ctx context.Context, _ string, _ fence.AttemptID) fence.Answer {
			<-ctx.Done()
			return fence.Unknown // as call.Client answers when its context ends
		}
		start := time.Now()
		w := b.serveHTTP(request("POST", "/pages/1", ""))
		is.Equal(w.Code, http.StatusBadGateway)
		is.Equal(verdictOf(w), "may-have-run")
		is.Equal(len(b.remote.sent), 1)
		is.Equal(time.Since(start), maxFenceTimeout)
	})
}

// Guards against a request that continues after its caller has disconnected, against a retry for
// such a request, and against ejecting healthy servers because of it.
func TestCancellation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newBench("a", "b")
		for range 10 {
			b.remote.do = func(ctx context.Context, _ string, _ *call.Request) (*call.Response, error) {
				<-ctx.Done()
				return nil, verdict.Wrap(verdict.MayHaveRun, ctx.Err())
			}
			ctx, cancel := context.WithCancel(t.Context())
			time.AfterFunc(10*time.Millisecond, cancel)
			start := time.Now()
			w := httptest.NewRecorder()
			b.ServeHTTP(w, request("GET", "/pages/1", "").WithContext(ctx))
			is.Equal(verdictOf(w), "may-have-run")
			is.Equal(time.Since(start), 10*time.Millisecond)
		}
		is.Equal(len(b.remote.sent), 10)
		b.remote.do, b.remote.addrs = answer, nil
		for range 40 {
			b.serveHTTP(request("GET", "/pages/1", ""))
		}
		used := map[string]int{}
		for _, addr := range b.remote.addrs {
			used[addr]++
		}
		is.True(used["a"] > 0 && used["b"] > 0) // neither is ejected
	})
}

// Guards against a chain of calls in which a hop has no time left to report its own failure: the
// caller would get a broken connection or a plain timeout instead of a verdict.
func TestChainOfCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var hops []*bench
		start := time.Now()
		for hop := range MaxDepth {
			b := newBench("a")
			b.remote.do = func(ctx context.Context, _ string, r *call.Request) (*call.Response, error) {
				is.Equal(r.Depth, hop+1)
				time.Sleep(time.Millisecond)
				// The backend server calls the next service with the timeout and depth that it got.
				if hop+1 < MaxDepth {
					next := request("GET", "/pages/1", "", call.DepthHeader, strconv.Itoa(r.Depth),
						call.TimeoutHeader, strconv.FormatInt((r.Timeout-time.Millisecond).Milliseconds(), 10))
					w := httptest.NewRecorder()
					hops[hop+1].ServeHTTP(w, next.WithContext(ctx))
					is.Equal(w.Code, http.StatusGatewayTimeout) // the failure of the next hop arrived in time
					is.NoErr(ctx.Err())
					resp := ran(r)
					resp.Status, resp.Body = http.StatusGatewayTimeout, fmt.Appendf(nil, "hop %d failed", hop+1)
					return resp, nil
				}
				<-ctx.Done()
				return nil, verdict.Wrap(verdict.MayHaveRun, ctx.Err())
			}
			hops = append(hops, b)
		}
		w := hops[0].serveHTTP(request("GET", "/pages/1", ""))
		is.Equal(w.Code, http.StatusGatewayTimeout)
		is.Equal(w.Body.String(), "hop 1 failed")
		is.True(time.Since(start) < viewDeadline)
		is.True(time.Since(start) > viewDeadline/2) // the reserves leave most of the deadline
	})
}

// Guards against rejecting as wrong a valid request whose caller has no time left, such as a nested call
// that a server makes when it resumes, or a caller that allows more time than fits a number of 32 bits.
func TestExtremeTimeouts(t *testing.T) {
	is := is.New(t)
	b := newRoutedBench(t, "i1")
	for _, left := range []string{"0", "-1", "-3600000", "-99999999999999999999"} {
		w := b.serveHTTP(routedRequest("GET", "/view/a", "Left", left))
		is.Equal(w.Code, http.StatusServiceUnavailable) // has not run, and may be sent again
		is.Equal(len(b.remote.sent), 0)
	}
	for _, left := range []string{"2147483648", "99999999999999999999"} {
		is.Equal(b.serveHTTP(routedRequest("GET", "/view/a", "Left", left)).Code, http.StatusOK)
	}
	for _, sent := range b.remote.sent {
		is.True(sent.Timeout > 0 && sent.Timeout <= time.Second) // the deadline of the route
	}
	is.Equal(b.serveHTTP(routedRequest("GET", "/view/a", "Left", "1s")).Code, http.StatusBadRequest)
}
