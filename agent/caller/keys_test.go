package caller

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"kingcupwood.example/kingcupwood/agent/peer/call"
	"kingcupwood.example/kingcupwood/lib/event"
	"kingcupwood.example/kingcupwood/pkg/endpoint"
	"kingcupwood.example/kingcupwood/pkg/fence"
	"kingcupwood.example/kingcupwood/pkg/verdict"
)

// trio is three daemons, each with a server of pages, connected without a network.
type trio struct {
	daemons map[string]*bench
	runs    atomic.Int32
	// server is the backend server of every instance.
	server func(r *call.Request) *call.Response
	// toOwner replaces the transmission to the owner of a key if it is set.
	toOwner func(r *call.Request) (*call.Response, error)
}

func newTrio() *trio {
	c := &trio{daemons: map[string]*bench{}, server: ran}
	for _, name := range []string{"a", "b", "c"} {
		b := newBench("a", "b", "c")
		b.config.Instance = endpoint.InstanceID(name)
		b.remote.do = c.do
		c.daemons[name] = b
	}
	return c
}

func (c *trio) do(ctx context.Context, addr string, r *call.Request) (*call.Response, error) {
	if IsOwned(r) {
		if c.toOwner != nil {
			return c.toOwner(r)
		}
		return c.daemons[addr].ServeOwned(ctx, r), nil
	}
	c.runs.Add(1)
	return c.server(r), nil
}

// save submits a save through the daemon by.
func (c *trio) save(by, key, body string) *httptest.ResponseRecorder {
	return c.daemons[by].serveHTTP(request("POST", "/pages/1", body, headerIdempotencyKey, key))
}

// notOwner returns a daemon that does not own key.
func (c *trio) notOwner(key string) string {
	owner, _ := Owner(testView("a", "b", "c"), "pages", key, time.Now())
	if owner.Instance == "a" {
		return "b"
	}
	return "a"
}

// Guards against daemons that disagree on the owner of a key, and against answering a resubmission
// with a second run or anything but the first response.
func TestSameOwnerEverywhere(t *testing.T) {
	is := is.New(t)
	c := newTrio()
	c.server = func(r *call.Request) *call.Response {
		resp := ran(r)
		resp.Body = fmt.Appendf(resp.Body, " run %d", c.runs.Load())
		return resp
	}
	for n := range 30 {
		key, want := fmt.Sprint("key-", n), fmt.Sprint("POST /pages/1 text run ", n+1)
		for _, by := range []string{"a", "b", "c", "a"} {
			w := c.save(by, key, "text")
			is.Equal(w.Code, http.StatusOK)
			is.Equal(verdictOf(w), "ran")
			is.Equal(w.Body.String(), want)
		}
	}
	is.Equal(c.runs.Load(), int32(30))
	total := 0
	for _, b := range c.daemons {
		is.True(len(b.ExportKeys()) > 0) // the keys are spread over the daemons
		total += len(b.ExportKeys())
	}
	is.Equal(total, 30)
}

// Guards against a second run while the first submission is in progress, and against a waiting
// submission that gets no answer before its deadline.
func TestSecondSubmissionWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newTrio()
		c.server = func(r *call.Request) *call.Response {
			time.Sleep(300 * time.Millisecond)
			return ran(r)
		}
		began := time.Now()
		var group sync.WaitGroup
		for _, by := range []string{"a", "b", "c"} {
			group.Go(func() {
				w := c.save(by, "key", "text")
				is.Equal(w.Code, http.StatusOK)
				is.Equal(w.Body.String(), "POST /pages/1 text")
			})
		}
		// A submission with a shorter timeout ends before the run does, and must not get not-run.
		time.Sleep(10 * time.Millisecond)
		for _, by := range []string{"a", "b", "c"} {
			w := c.daemons[by].serveHTTP(request("POST", "/pages/1", "text", headerIdempotencyKey, "key", call.TimeoutHeader, "50"))
			is.Equal(w.Code, http.StatusGatewayTimeout)
			is.Equal(verdictOf(w), "may-have-run")
		}
		is.True(time.Since(began) < 300*time.Millisecond)
		group.Wait()
		is.Equal(c.runs.Load(), int32(1))
	})
}

// Guards against treating a different request with the same key as a resubmission.
func TestKeyWithAnotherRequest(t *testing.T) {
	is := is.New(t)
	c := newTrio()
	c.save("a", "key", "text")
	for _, by := range []string{"a", "b", "c"} {
		w := c.save(by, "key", "other text")
		is.Equal(w.Code, http.StatusUnprocessableEntity)
		is.Equal(verdictOf(w), "not-run")
	}
	w := c.daemons["b"].serveHTTP(request("POST", "/pages/2", "text", headerIdempotencyKey, "key"))
	is.Equal(w.Code, http.StatusUnprocessableEntity)
	is.Equal(c.runs.Load(), int32(1))
}

// Guards against a refusal that loses its status, verdict or Retry-After on the way through the
// owner, or that blocks the key.
func TestOwnerRefuses(t *testing.T) {
	is := is.New(t)
	c := newTrio()
	by := c.notOwner("key")
	c.server = func(r *call.Request) *call.Response { return refused(r, false) }
	w := c.save(by, "key", "text")
	is.Equal(w.Code, http.StatusServiceUnavailable)
	is.Equal(verdictOf(w), "not-run")
	is.Equal(w.Header().Get("Retry-After"), "2")

	owner, _ := Owner(c.daemons["a"].view, "pages", "key", time.Now())
	c.daemons[string(owner.Instance)].accept(nil) // the owner has just started
	w = c.save(by, "key", "text")
	is.Equal(w.Code, http.StatusServiceUnavailable)
	is.Equal(verdictOf(w), "not-run")

	c.daemons[string(owner.Instance)].accept(testSnapshot(1))
	c.server = ran
	is.Equal(c.save(by, "key", "text").Code, http.StatusOK)
}

// Guards against a run on another daemon when the owner is lost, and against an incorrect not-run
// verdict.
func TestOwnerLost(t *testing.T) {
	for answer, want := range map[fence.Answer]string{
		fence.NeverWillRun: "not-run", fence.HasStarted: "may-have-run", fence.Unknown: "may-have-run",
	} {
		is := is.New(t)
		c := newTrio()
		by := c.notOwner("key")
		b := c.daemons[by]
		b.remote.fenceDo = func(context.Context, string, fence.AttemptID) fence.Answer { return answer }
		c.toOwner = func(*call.Request) (*call.Response, error) { return nil, verdict.Wrap(verdict.MayHaveRun, io.EOF) }
		w := c.save(by, "key", "text")
		is.Equal(verdictOf(w), want)
		is.Equal(w.Code == http.StatusServiceUnavailable, want == "not-run")
		is.Equal(w.Header().Get("Retry-After"), "1")
		is.Equal(len(b.remote.sent), 1)
		is.Equal(c.runs.Load(), int32(0))
	}
}

// Guards against moving keys while their owner is draining: it still holds their outcomes.
func TestDrainingOwnerKeepsItsKeys(t *testing.T) {
	is := is.New(t)
	view := testView("a", "b", "c")
	owner, _ := Owner(view, "pages", "key", time.Now())
	set := func(state endpoint.State) {
		for i, r := range view.ByService["pages"] {
			if r.Instance == owner.Instance {
				view.ByService["pages"][i].State = state
			}
		}
	}
	set(endpoint.Draining)
	kept, _ := Owner(view, "pages", "key", time.Now())
	is.Equal(kept.Instance, owner.Instance)
	set(endpoint.Gone)
	next, ok := Owner(view, "pages", "key", time.Now())
	is.True(ok)
	is.True(next.Instance != owner.Instance)
}

// Guards against using a server as owner before it can have the outcome, against passing a key to
// an owner without its outcome, and against a server that never becomes an owner.
func TestOwnersWhileServersJoin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.Unix(1_800_000_000, 0)
		view := testView("a", "b", "c", "d", "e")
		for i := range view.ByService["pages"] {
			ready := start.Add(time.Duration(rapid.IntRange(-3000, 3000).Draw(t, "ready")) * time.Millisecond)
			view.ByService["pages"][i].ReadySinceMS = ready.UnixMilli()
		}
		key := rapid.String().Draw(t, "key")
		have := map[endpoint.InstanceID]bool{} // the outcome is stored at the start
		for _, r := range Owners(view, "pages", key, start) {
			have[r.Instance] = true
		}
		for after := time.Duration(0); after <= 6*time.Second; after += 10 * time.Millisecond {
			owner, ok := Owner(view, "pages", key, start.Add(after))
			if !ok || !have[owner.Instance] {
				t.Fatalf("after %v the owner %q lacks the outcome of %v", after, owner.Instance, have)
			}
		}
		last, _ := Owner(view, "pages", key, start.Add(6*time.Second))
		if all := Owners(view, "pages", key, start.Add(6*time.Second)); len(all) != 1 || all[0] != last {
			t.Fatalf("owners %v after all have settled", all)
		}
	})
}

// Guards against a panic of the run that leaves a key with an outcome that cannot be sent.
func TestUnknownOutcomeOfAKey(t *testing.T) {
	is := is.New(t)
	c := newTrio()
	func() {
		defer func() { _ = recover() }()
		c.server = func(*call.Request) *call.Response { panic("fault in the handler") }
		c.save("a", "key", "text")
	}()
	c.server = ran
	for _, by := range []string{"a", "b", "c"} { // the owner is among them
		w := c.save(by, "key", "text")
		is.Equal(w.Code, http.StatusBadGateway)
		is.Equal(verdictOf(w), "may-have-run")
	}
	is.Equal(c.runs.Load(), int32(1))
}

// BenchmarkMisplacedKeys measures the scan of a full table after a change of the view: 24,000 keys,
// which is ten minutes at 40 keyed requests/s, and 11 servers of the service.
func BenchmarkMisplacedKeys(b *testing.B) {
	h := newBench("a")
	h.config.Instance = "a" // the owner of all keys
	for n := range 24_000 {
		h.serveHTTP(request("POST", "/pages/1", "text", headerIdempotencyKey, fmt.Sprint("key-", n)))
	}
	if got := len(h.ExportKeys()); got != 24_000 {
		b.Fatalf("%d keys", got)
	}
	h.config.Instance = "elsewhere"
	view := testView("a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "elsewhere")
	for to, records := range h.MisplacedKeys(view) {
		h.KeysHandedOver(records, to)
	}
	for b.Loop() {
		if moved := h.MisplacedKeys(view); len(moved) != 0 {
			b.Fatalf("%d owners lack outcomes", len(moved))
		}
	}
}

// Guards against an owner that refuses a keyed request which another daemon sent to it, because its
// own attempt is unknown to the fence table of the connection on which the request arrived.
func TestOwnerRunsForwardedRequestOnItsOwnInstance(t *testing.T) {
	is := is.New(t)
	owner := newBench("a")
	owner.config.Instance = "a"
	owner.config.Local = handlerFunc(func(_ context.Context, r *call.Request) *call.Response {
		if !r.Start() {
			return call.ErrorResponse(r.Attempt, verdict.Wrap(verdict.NotRun, errors.New("attempt is fenced")))
		}
		return ran(r)
	})
	server := call.NewServer(handlerFunc(func(ctx context.Context, r *call.Request) *call.Response {
		is.True(IsOwned(r) && r.Start())
		return owner.ServeOwned(ctx, r)
	}), 1, event.Nop())
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	served := make(chan error, 1)
	go func() { served <- server.Serve(l) }()
	client := call.NewClient(event.Nop())
	resp, err := client.Do(context.Background(), l.Addr().String(), &call.Request{
		Attempt: fence.AttemptID{Sender: 1, Seq: 1}, Service: "pages", Kind: "save", Timeout: time.Second, Depth: 1,
		Method: "POST", Target: "/pages/1", Host: "pages", Header: http.Header{headerOwner: {"key"}}, Body: []byte("text"),
	})
	is.NoErr(err)
	is.Equal(resp.Reason, "")
	is.Equal(resp.Verdict, verdict.Ran)
	client.Close()
	is.NoErr(server.Shutdown(context.Background()))
	is.Equal(<-served, call.ErrClosed)
}
