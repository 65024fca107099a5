package agent

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"kingcupwood.example/kingcupwood/agent/backend"
	"kingcupwood.example/kingcupwood/agent/caller"
	"kingcupwood.example/kingcupwood/agent/peer/call"
	"kingcupwood.example/kingcupwood/agent/peer/secure"
	"kingcupwood.example/kingcupwood/lib/credentials"
	"kingcupwood.example/kingcupwood/lib/event"
	"kingcupwood.example/kingcupwood/pkg/admission"
	"kingcupwood.example/kingcupwood/pkg/burn"
	"kingcupwood.example/kingcupwood/pkg/endpoint"
	"kingcupwood.example/kingcupwood/pkg/retry"
	"kingcupwood.example/kingcupwood/pkg/selection"
	"kingcupwood.example/kingcupwood/pkg/snapshot"
)

// benchService is a service whose declared rate admits every request of a benchmark.
func benchService() *snapshot.Service {
	return &snapshot.Service{
		Name: "pages", Team: "wiki", Slots: 64, Connections: 128, Servers: 1,
		Kinds: []snapshot.Kind{{
			Name: "view", PathPrefix: "/pages/", Rank: 1, Idempotent: true, Deadline: time.Second,
			ExpectedRate: 30000, ServiceTime: time.Millisecond, Worth: 1, Objective: 0.99,
		}},
	}
}

// twoHops connects a handler for callers to a receiver over the call transport, which is
// authenticated if keys is not nil.
func twoHops(b *testing.B, keys *credentials.Store) http.Handler {
	b.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = w.Write(make([]byte, 4096))
	}))
	b.Cleanup(server.Close)
	beside := backend.New(backend.Config{}, event.Nop())
	b.Cleanup(beside.Close)
	announce(b, beside, server.Listener.Addr().String())
	ctx, cancel := context.WithCancel(context.Background())
	renewed := make(chan struct{})
	go func() {
		defer close(renewed)
		for ctx.Err() == nil {
			announce(b, beside, server.Listener.Addr().String())
			wait(ctx, time.Second)
		}
	}()
	b.Cleanup(func() { cancel(); <-renewed })

	svc := benchService()
	receive := &receiver{log: event.Nop(), admission: admission.New(admission.ForService(svc, 64, 1), time.Now), backend: beside}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	dial := new(net.Dialer).DialContext
	if keys != nil {
		listener, dial = secure.NewListener(listener, keys, event.Nop()), secure.Dial(dial, keys)
	}
	calls := call.NewServer(receive, 1, event.Nop())
	go func() { _ = calls.Serve(listener) }()
	b.Cleanup(func() { _ = calls.Shutdown(context.Background()) })

	snap, err := (*snapshot.Snapshot)(nil).With(1, svc, 1)
	if err != nil {
		b.Fatal(err)
	}
	record := endpoint.Record{Instance: "receiver", Domain: "d1", Service: "pages", State: endpoint.Ready, CallAddr: listener.Addr().String()}
	view := &endpoint.View{
		Records:   map[endpoint.InstanceID]endpoint.Record{record.Instance: record},
		ByService: map[string][]endpoint.Record{"pages": {record}},
	}
	selector := selection.New(selection.Config{Instance: "sender", Domain: "d1"}, time.Now, rand.Uint64)
	selector.Update(view)
	client := call.NewClientWithDialer(dial, event.Nop())
	b.Cleanup(client.Close)
	return caller.NewHandler(caller.Config{
		Instance: "sender", Incarnation: 2,
		Snapshot: func() *snapshot.Snapshot { return snap }, View: func() *endpoint.View { return view },
		Selector: selector, Local: receive, Remote: client,
		Budgets:  retry.NewBudgets(retryRatio, retryMinPerSecond, time.Now),
		Recorder: burn.New(burn.Config{}, time.Now), Log: event.Nop(), Now: time.Now,
	})
}

func announce(b *testing.B, beside *backend.Backend, addr string) {
	body := fmt.Sprintf(`{"service":"pages","address":%q,"state":"ready","slots":64,"connections":128}`, addr)
	w := httptest.NewRecorder()
	beside.Announcements().ServeHTTP(w, httptest.NewRequest(http.MethodPut, backend.AnnouncePath, strings.NewReader(body)))
	if w.Code != http.StatusNoContent {
		b.Errorf("announcement refused: %s", w.Body)
	}
}

// BenchmarkTwoHops measures a request through both daemons of the request path: routing, selection,
// call transport, admission control and the backend server. Allocations include the backend server
// and the client.
func BenchmarkTwoHops(b *testing.B) {
	b.Run("plain", func(b *testing.B) { benchmarkTwoHops(b, nil) })
	b.Run("tls", func(b *testing.B) {
		files := filesIn(b.TempDir())
		writeFiles(b, files, newKeySet())
		benchmarkTwoHops(b, must(credentials.Open(files, event.Nop())))
	})
}

func benchmarkTwoHops(b *testing.B, keys *credentials.Store) {
	front := httptest.NewServer(twoHops(b, keys))
	defer front.Close()
	body := strings.Repeat("x", 512)
	b.ReportAllocs()
	for b.Loop() {
		req, err := http.NewRequest(http.MethodPost, front.URL+"/pages/a", strings.NewReader(body))
		if err != nil {
			b.Fatal(err)
		}
		req.Host = "pages"
		resp, err := front.Client().Do(req)
		if err != nil {
			b.Fatal(err)
		}
		n, _ := io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusOK || n != 4096 {
			b.Fatalf("status %d with %d bytes", resp.StatusCode, n)
		}
	}
}
