package caller

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"kingcupwood.example/kingcupwood/agent/peer/call"
	"kingcupwood.example/kingcupwood/pkg/fence"
	"kingcupwood.example/kingcupwood/pkg/verdict"
)

// script answers successive attempts; the last entry repeats.
type script []func(r *call.Request) (*call.Response, error)

func (s script) do() func(context.Context, string, *call.Request) (*call.Response, error) {
	n := 0
	return func(_ context.Context, _ string, r *call.Request) (*call.Response, error) {
		step := s[min(n, len(s)-1)]
		n++
		return step(r)
	}
}

func runs(r *call.Request) (*call.Response, error)    { return ran(r), nil }
func refuses(r *call.Request) (*call.Response, error) { return refused(r, false), nil }
func drains(r *call.Request) (*call.Response, error)  { return refused(r, true), nil }
func breaks(*call.Request) (*call.Response, error) {
	return nil, verdict.Wrap(verdict.MayHaveRun, io.EOF)
}
func cannotConnect(*call.Request) (*call.Response, error) {
	return nil, verdict.Wrap(verdict.NotRun, io.EOF)
}
func failsAtBackend(r *call.Request) (*call.Response, error) {
	return call.ErrorResponse(r.Attempt, verdict.Wrap(verdict.MayHaveRun, io.EOF)), nil
}
func truncates(r *call.Request) (*call.Response, error) {
	return call.ErrorResponse(r.Attempt, verdict.Wrap(verdict.Ran, io.ErrUnexpectedEOF)), nil
}
func unavailable(r *call.Request) (*call.Response, error) {
	resp := ran(r)
	resp.Status, resp.Body = http.StatusServiceUnavailable, []byte("overloaded")
	return resp, nil
}

// Guards against a retry that could run a request twice, against giving up when a retry is safe,
// and against an incorrect verdict.
func TestRetries(t *testing.T) {
	const never, started, unknown = fence.NeverWillRun, fence.HasStarted, fence.Unknown
	for name, c := range map[string]struct {
		method   string
		script   script
		fence    fence.Answer
		attempts int
		fences   int
		status   int
		verdict  string
	}{
		"view after a broken connection":          {"GET", script{breaks, runs}, unknown, 2, 0, 200, "ran"},
		"view after a failure at the backend":     {"GET", script{failsAtBackend, runs}, unknown, 2, 0, 200, "ran"},
		"view after a truncated response":         {"GET", script{truncates, runs}, unknown, 2, 0, 200, "ran"},
		"view refused, then broken":               {"GET", script{refuses, breaks}, unknown, 4, 0, 502, "may-have-run"},
		"view broken, then refused":               {"GET", script{breaks, refuses}, unknown, 4, 0, 502, "may-have-run"},
		"view truncated, then refused":            {"GET", script{truncates, refuses}, unknown, 4, 0, 502, "ran"},
		"view of an overloaded service":           {"GET", script{unavailable}, unknown, 4, 0, 503, "ran"},
		"view of an overloaded server":            {"GET", script{unavailable, runs}, unknown, 2, 0, 200, "ran"},
		"save after a refusal":                    {"POST", script{refuses, runs}, unknown, 2, 0, 200, "ran"},
		"save without a connection":               {"POST", script{cannotConnect, runs}, unknown, 2, 0, 200, "ran"},
		"save refused by all":                     {"POST", script{refuses}, unknown, 4, 0, 503, "not-run"},
		"save after a failure at the backend":     {"POST", script{failsAtBackend, runs}, unknown, 1, 0, 502, "may-have-run"},
		"save after a truncated response":         {"POST", script{truncates, runs}, unknown, 1, 0, 502, "ran"},
		"save answered with 503":                  {"POST", script{unavailable, runs}, unknown, 1, 0, 503, "ran"},
		"save lost, never will run":               {"POST", script{breaks, runs}, never, 2, 1, 200, "ran"},
		"save lost, has started":                  {"POST", script{breaks, runs}, started, 1, 1, 502, "may-have-run"},
		"save lost, no answer":                    {"POST", script{breaks, runs}, unknown, 1, 1, 502, "may-have-run"},
		"save lost, never will run, then refused": {"POST", script{breaks, refuses}, never, 4, 1, 503, "not-run"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newBench("a", "b", "c", "d", "e", "f")
			b.remote.do = c.script.do()
			b.remote.fenceDo = func(context.Context, string, fence.AttemptID) fence.Answer { return c.fence }
			w := b.serveHTTP(request(c.method, "/pages/1", "text"))
			is.Equal(w.Code, c.status)
			is.Equal(verdictOf(w), c.verdict)
			is.Equal(w.Header().Get(HeaderAttempts), strconv.Itoa(c.attempts))
			is.Equal(len(b.remote.fenced), c.fences)
			is.Equal(b.remote.sent[c.attempts-1].Attempt.Seq, uint64(c.attempts)) // each has its own ID
			seen := map[string]bool{}
			for _, addr := range b.remote.addrs {
				is.True(!seen[addr]) // no server is tried twice
				seen[addr] = true
			}
		})
	}
}

// Guards against losing a response or a cause because no other server is left for a retry.
func TestOutcomeWithoutAnotherServer(t *testing.T) {
	for name, c := range map[string]struct {
		script  script
		status  int
		verdict string
		body    string
	}{
		"unavailable": {script{unavailable}, 503, "ran", "overloaded"},
		"refused":     {script{refuses}, 503, "not-run", "queue full\n"},
		"broken":      {script{breaks}, 502, "may-have-run", "EOF (may-have-run)\n"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newBench("a")
			b.remote.do = c.script.do()
			w := b.serveHTTP(request("GET", "/pages/1", ""))
			is.Equal(w.Code, c.status)
			is.Equal(verdictOf(w), c.verdict)
			is.Equal(w.Body.String(), c.body)
		})
	}
}

// Guards against retries beyond the budget, which multiply the load of an outage, and against
// charging refusals by draining instances to it.
func TestRetryBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newBench("a", "b", "c", "d", "e", "f")
		total := func(s script) int {
			b.remote.sent = nil
			b.remote.do = s.do()
			for range 10 {
				b.serveHTTP(request("POST", "/pages/1", ""))
			}
			return len(b.remote.sent)
		}
		is.Equal(total(script{cannotConnect}), 10+3) // 3 retries within the minimum
		is.Equal(total(script{cannotConnect}), 10+1) // deposits of 20 requests, less what the minimum covered
		is.Equal(total(script{drains, runs}), 10+1)
		is.Equal(total(script{runs}), 10)
		for range 2 {
			w := b.serveHTTP(request("POST", "/pages/1", ""))
			is.Equal(w.Code, http.StatusOK)
		}
	})
}

// Guards against ejecting healthy servers because callers set short timeouts or send requests too
// large for a frame, and against not ejecting a server that times out with enough time.
func TestCallerFaultsDoNotEject(t *testing.T) {
	timesOut := func(r *call.Request) (*call.Response, error) {
		return nil, verdict.Wrap(verdict.MayHaveRun, context.DeadlineExceeded)
	}
	reportsTimeout := func(r *call.Request) (*call.Response, error) {
		return call.ErrorResponse(r.Attempt, verdict.Wrap(verdict.MayHaveRun, context.DeadlineExceeded)), nil
	}
	tooLarge := func(r *call.Request) (*call.Response, error) {
		return nil, verdict.Wrap(verdict.NotRun, call.ErrRequestTooLarge)
	}
	for name, c := range map[string]struct {
		step    func(r *call.Request) (*call.Response, error)
		timeout string
		ejects  bool
	}{
		"short timeout of the caller":             {timesOut, "20", false},
		"short timeout, reported by the receiver": {reportsTimeout, "20", false},
		"header too large":                        {tooLarge, "800", false},
		"server without an answer":                {timesOut, "800", true},
		"backend without an answer":               {reportsTimeout, "800", true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newBench("a", "b")
			b.remote.do = script{c.step}.do()
			for range 20 {
				b.serveHTTP(request("POST", "/pages/1", "", call.TimeoutHeader, c.timeout))
			}
			b.remote.do, b.remote.addrs = answer, nil
			for range 40 {
				b.serveHTTP(request("GET", "/pages/1", ""))
			}
			used := map[string]int{}
			for _, addr := range b.remote.addrs {
				used[addr]++
			}
			is.Equal(len(used) == 1, c.ejects)
		})
	}
}

// Guards against sending a request for this daemon's own instance over the network, against fencing
// an attempt of known outcome, and against not retrying elsewhere after a refusal by the own
// instance.
func TestOwnInstance(t *testing.T) {
	is := is.New(t)
	b := newBench("self")
	w := b.serveHTTP(request("POST", "/pages/1", "text"))
	is.Equal(w.Code, http.StatusOK)
	is.Equal(w.Body.String(), "POST /pages/1 text")
	is.Equal(len(b.remote.sent), 0)

	b.remote.do = script{breaks}.do()
	w = b.serveHTTP(request("POST", "/pages/1", "text"))
	is.Equal(w.Code, http.StatusBadGateway)
	is.Equal(verdictOf(w), "may-have-run")
	is.Equal(len(b.remote.fenced), 0)

	b = newBench("self", "a")
	b.remote.do = func(_ context.Context, addr string, r *call.Request) (*call.Response, error) {
		if addr == "self" {
			return refused(r, true), nil // the daemon is stopping
		}
		return ran(r), nil
	}
	for range 30 {
		w = b.serveHTTP(request("POST", "/pages/1", "text"))
		is.Equal(w.Code, http.StatusOK)
	}
}
