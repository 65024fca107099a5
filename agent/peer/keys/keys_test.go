package keys

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/rpc"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"kingcupwood.example/kingcupwood/agent/caller"
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

// waitLimit bounds the wait for a transfer on loopback; it is far longer than a transfer takes.
const waitLimit = 20 * time.Second

// cluster is a set of daemons that move keys over net/rpc on loopback. Requests between them do not
// use the network.
type cluster struct {
	daemons map[endpoint.InstanceID]*caller.Handler
	view    atomic.Pointer[endpoint.View]
	all     []endpoint.Record
	runs    atomic.Int32
}

func newCluster(t *testing.T, names ...endpoint.InstanceID) *cluster {
	t.Helper()
	c := &cluster{daemons: map[endpoint.InstanceID]*caller.Handler{}}
	snap, err := (*snapshot.Snapshot)(nil).With(1, &snapshot.Service{
		Name: "pages", Team: "wiki", Slots: 12, Connections: 100, Servers: 3,
		Kinds: []snapshot.Kind{{
			Name: "save", Method: "POST", PathPrefix: "/", Rank: 1, Deadline: waitLimit, ExpectedRate: 40,
			ServiceTime: time.Millisecond, Worth: 10, Objective: 0.999,
		}},
	}, 1)
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range names {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		c.all = append(c.all, endpoint.Record{
			Instance: name, Service: "pages", Domain: "lj-1", State: endpoint.Ready, Slots: 12, ReadySinceMS: 1,
			CallAddr: string(name), RPCAddr: listener.Addr().String(),
		})
		selector := selection.New(selection.Config{Instance: name, Domain: "lj-1"}, time.Now, func() uint64 { return 0 })
		selector.Update(viewOf([]endpoint.Record{{Instance: "server", Service: "pages", Domain: "lj-1", State: endpoint.Ready, CallAddr: "server"}}))
		h := caller.NewHandler(caller.Config{
			Instance: name, Incarnation: 1, QueryKey: QueryFunc(new(net.Dialer).DialContext), Snapshot: func() *snapshot.Snapshot { return snap }, View: c.view.Load,
			Selector: selector, Local: nil, Remote: c, Budgets: retry.NewBudgets(0.1, 3, time.Now), Recorder: discardRecorder{},
			Log: event.Nop(), Now: time.Now,
		})
		c.daemons[name] = h
		serve(t, listener, h)
	}
	c.view.Store(viewOf(c.all))
	return c
}

// serve registers h on a net/rpc server that stops accepting connections when the test ends.
func serve(t testing.TB, listener net.Listener, h Holder) {
	server := rpc.NewServer()
	if err := Register(server, h, event.Nop()); err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go server.ServeConn(conn)
		}
	}()
	t.Cleanup(func() {
		_ = listener.Close()
		<-done
	})
}

func viewOf(records []endpoint.Record) *endpoint.View {
	v := &endpoint.View{Records: map[endpoint.InstanceID]endpoint.Record{}, ByService: map[string][]endpoint.Record{"pages": records}}
	for _, r := range records {
		v.Records[r.Instance] = r
	}
	return v
}

func (c *cluster) Do(ctx context.Context, addr string, r *call.Request) (*call.Response, error) {
	if caller.IsOwned(r) {
		return c.daemons[endpoint.InstanceID(addr)].ServeOwned(ctx, r), nil
	}
	body := fmt.Appendf(nil, "run %d", c.runs.Add(1))
	header := http.Header{"X-Page": {"1", "2"}}
	return &call.Response{Attempt: r.Attempt, Verdict: verdict.Ran, Status: http.StatusCreated, Header: header, Body: body}, nil
}

func (c *cluster) Fence(context.Context, string, string, fence.AttemptID) fence.Answer {
	return fence.Unknown
}

type discardRecorder struct{}

func (discardRecorder) Record(*snapshot.Service, *snapshot.Kind, burn.Outcome) {}

func (c *cluster) save(by endpoint.InstanceID, key string) *httptest.ResponseRecorder {
	r := httptest.NewRequest("POST", "/pages/1", strings.NewReader("text"))
	r.Host = "pages"
	r.Header.Set(dialect.Default.IdempotencyKey, key)
	w := httptest.NewRecorder()
	c.daemons[by].ServeHTTP(w, r)
	return w
}

// without sets a view without the given instance.
func (c *cluster) without(name endpoint.InstanceID) { c.view.Store(without(viewOf(c.all), name)) }

// submit runs n keyed saves and returns the responses by key.
func (c *cluster) submit(by endpoint.InstanceID, n int) map[string]string {
	first := map[string]string{}
	for i := range n {
		key := fmt.Sprint("key-", i)
		first[key] = c.save(by, key).Body.String()
	}
	return first
}

// expectSameResponses resubmits all keys and compares the responses with the first ones.
func (c *cluster) expectSameResponses(is *is.I, by endpoint.InstanceID, first map[string]string) {
	is.Helper()
	for key, body := range first {
		w := c.save(by, key)
		is.Equal(w.Code, http.StatusCreated)
		is.Equal(w.Body.String(), body)
		is.Equal(w.Header()["X-Page"], []string{"1", "2"})
	}
	is.Equal(int(c.runs.Load()), len(first))
}

// Guards against running saves again when they are resubmitted after a graceful stop of the owner
// of their keys, with more keys than fit in one message.
func TestHandOverAtStop(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, "a", "b", "c")
	first := c.submit("a", 3*batchSize)
	records := c.daemons["b"].ExportKeys()
	is.True(len(records) > batchSize/2)
	sent, err := HandOver(t.Context(), new(net.Dialer).DialContext, c.view.Load(), "b", records)
	is.NoErr(err)
	is.Equal(sent, len(records))
	c.without("b")
	c.expectSameResponses(is, "a", first)
	c.expectSameResponses(is, "c", first)
}

// Guards against losing outcomes when their next owner stops at the same time: it has already
// handed over its own outcomes, or it has ended but is still in the view of the other daemons.
func TestHandOverToStoppingOwners(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, "a", "b", "c", "d")
	first := c.submit("a", 80)
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(closed.Close())
	view := viewOf(append([]endpoint.Record{}, c.all...))
	for i, leaving := range []endpoint.InstanceID{"b", "c", "d"} {
		records := c.daemons[leaving].CloseKeys()
		sent, _ := HandOver(t.Context(), new(net.Dialer).DialContext, view, leaving, records)
		is.Equal(sent, len(records))
		if leaving == "c" {
			view.ByService["pages"][i+1].RPCAddr = closed.Addr().String()
		}
	}
	c.view.Store(viewOf(c.all[:1]))
	c.expectSameResponses(is, "a", first)
}

// Guards against running a save again because its key moved to a server that joined, or because a
// run ended after the move.
func TestKeysMoveToJoiningServer(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, "a", "b", "c")
	c.without("c")
	first := c.submit("a", 60)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{}, 2)
	for _, name := range []endpoint.InstanceID{"a", "b"} {
		go func() {
			NewMover(c.daemons[name], c.view.Load, new(net.Dialer).DialContext, event.Nop()).Run(ctx)
			done <- struct{}{}
		}()
	}
	joined := append([]endpoint.Record{}, c.all...)
	joined[2].ReadySinceMS = time.Now().Add(time.Hour).UnixMilli() // within joinGrace until changed below
	c.view.Store(viewOf(joined))
	c.expectSameResponses(is, "b", first) // before anything has moved
	expected := 0
	for key := range first {
		if owner, _ := caller.Owner(viewOf(c.all), "pages", key, time.Now()); owner.Instance == "c" {
			expected++
		}
	}
	is.True(expected > 0)
	c.waitForKeys(t, "c", expected)
	c.view.Store(viewOf(c.all))
	c.expectSameResponses(is, "b", first)

	// A daemon that does not know of c yet sends a keyed save to the previous owner, as ServeOwned.
	late := &call.Request{Service: "pages", Method: "POST", Target: "/pages/1", Timeout: waitLimit, Header: http.Header{}}
	for i := 0; ; i++ {
		key := fmt.Sprint("late-", i)
		if owner, _ := caller.Owner(viewOf(c.all), "pages", key, time.Now()); owner.Instance == "c" {
			late.Header.Set("Kingcupwood-Key-Owner", key)
			break
		}
	}
	is.Equal(c.daemons["a"].ServeOwned(ctx, late).Verdict, verdict.Ran)
	c.waitForKeys(t, "c", expected+1)
	cancel()
	<-done
	<-done
}

func (c *cluster) waitForKeys(t *testing.T, name endpoint.InstanceID, n int) {
	t.Helper()
	deadline := time.Now().Add(waitLimit)
	for len(c.daemons[name].ExportKeys()) < n {
		if time.Now().After(deadline) {
			t.Fatalf("%s has %d of %d keys", name, len(c.daemons[name].ExportKeys()), n)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// Guards against losing outcomes in an answer over net/rpc when the owner of the keys has changed
// and no keys have been moved.
func TestPreviousOwnerAnswersOverNetwork(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, "a", "b", "c")
	first := c.submit("a", 60)
	c.without("b")
	c.expectSameResponses(is, "a", first)
	c.expectSameResponses(is, "c", first)
}

// BenchmarkKeyQuery measures the wait of a keyed save while the owners of keys change: one query to
// one daemon on loopback, over its own connection.
func BenchmarkKeyQuery(b *testing.B) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	serve(b, listener, emptyHolder{})
	query := QueryFunc(new(net.Dialer).DialContext)
	for b.Loop() {
		ctx, cancel := context.WithTimeout(b.Context(), waitLimit)
		if _, err := query(ctx, listener.Addr().String(), caller.KeyQuery{}); err != nil {
			b.Fatal(err)
		}
		cancel()
	}
}

// Guards against a corrupt or hostile message that crashes the receiver of keys.
func FuzzHandOverMessage(f *testing.F) {
	f.Add([]byte("\x00"))
	f.Add([]byte("!\xff\x81\x03\x01\x01\aRequest\x01\xff\x82\x00\x01\x02\x01\rServiceMethod\x01\f\x00\x01\x03Seq\x01\x06\x00\x00\x00"))
	f.Fuzz(func(t *testing.T, data []byte) {
		server := rpc.NewServer()
		if err := Register(server, emptyHolder{}, event.Nop()); err != nil {
			t.Fatal(err)
		}
		ours, theirs := net.Pipe()
		done := make(chan struct{})
		go func() {
			defer close(done)
			server.ServeConn(theirs)
		}()
		go func() {
			buf := make([]byte, 1024)
			for {
				if _, err := ours.Read(buf); err != nil {
					return
				}
			}
		}()
		_, _ = ours.Write(data)
		_ = ours.Close()
		<-done
	})
}

type emptyHolder struct{}

func (emptyHolder) AnswerKey(context.Context, caller.KeyQuery) (caller.KeyAnswer, error) {
	return caller.KeyAnswer{}, nil
}

func (emptyHolder) ImportKeys([]caller.KeyRecord) (int, error) { return 0, nil }
