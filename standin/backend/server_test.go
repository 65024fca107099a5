package backend

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"kingcupwood.example/kingcupwood/agent/backend"
	"kingcupwood.example/kingcupwood/agent/peer/call"
	"kingcupwood.example/kingcupwood/lib/event"
	"kingcupwood.example/kingcupwood/pkg/endpoint"
	"kingcupwood.example/kingcupwood/pkg/verdict"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// daemon is a fake daemon that receives the announcements and the calls to other services.
type daemon struct {
	*backend.Backend
	addr   netip.AddrPort
	states chan endpoint.State
	calls  chan *http.Request
}

func startDaemon(t *testing.T) *daemon {
	d := &daemon{states: make(chan endpoint.State, 10), calls: make(chan *http.Request, 10)}
	d.Backend = backend.New(backend.Config{
		Changed: func(s backend.Status) { d.states <- s.State },
		Now:     func() time.Time { return time.Unix(0, 0) }, // announcements do not expire
	}, event.Nop())
	mux := http.NewServeMux()
	mux.Handle(backend.AnnouncePath, d.Announcements())
	mux.HandleFunc("/", func(_ http.ResponseWriter, r *http.Request) { d.calls <- r })
	server := httptest.NewServer(mux)
	d.addr = netip.MustParseAddrPort(server.Listener.Addr().String())
	t.Cleanup(func() { server.Close(); d.Close() })
	return d
}

func newSettings(d *daemon) *Settings {
	return &Settings{
		Server: ServerSettings{Service: "pages", Slots: 1, Connections: 4, DrainTimeout: time.Minute},
		Daemon: DaemonSettings{Announce: d.addr, Call: d.addr},
	}
}

// start runs a server; stop cancels its context and returns the error of Run.
func start(t *testing.T, s *Settings) (server *Server, url string, stop func() error) {
	t.Helper()
	server, err := NewServer(s, event.Nop())
	if err != nil {
		t.Fatal(err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- server.Run(ctx, l) }()
	t.Cleanup(cancel)
	return server, "http://" + l.Addr().String(), func() error {
		cancel()
		return <-done
	}
}

func send(t *testing.T, ctx context.Context, url, id string, header http.Header) (*http.Response, string, error) {
	t.Helper()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader("body"))
	if err != nil {
		t.Fatal(err)
	}
	if header != nil {
		r.Header = header
	}
	r.Header.Set(RequestIDHeader, id)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(r)
	if err != nil {
		return nil, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return resp, string(body), err
}

// Guards against repeated runs that are missing from the report, and against calls to other
// services that lack the timeout, depth, attempt or request ID.
func TestRunsAndCalls(t *testing.T) {
	is := is.New(t)
	d := startDaemon(t)
	s := newSettings(d)
	s.Work.Calls = []string{"/pages=finder/search"}
	_, url, stop := start(t, s)
	header := http.Header{call.TimeoutHeader: {"20000"}, call.DepthHeader: {"4"}, call.AttemptHeader: {"9-3"}}
	for range 2 {
		resp, body, err := send(t, t.Context(), url+"/pages/a", "r1", header)
		is.NoErr(err)
		is.Equal(resp.StatusCode, 200)
		is.True(strings.HasPrefix(body, "r1 /pages/a "))
		called := <-d.calls
		is.Equal(called.Host, "finder")
		is.Equal(called.Header.Get(call.DepthHeader), "4")
		is.Equal(called.Header.Get(call.AttemptHeader), "9-3")
		is.Equal(called.Header.Get(RequestIDHeader), "r1")
		is.True(called.Header.Get(call.TimeoutHeader) != "")
	}
	resp, err := http.Get(url + RunsPath)
	is.NoErr(err)
	var report RunReport
	is.NoErr(json.NewDecoder(resp.Body).Decode(&report))
	is.NoErr(resp.Body.Close())
	http.DefaultClient.CloseIdleConnections()
	is.Equal(report, RunReport{Total: 2, Distinct: 1, Repeated: map[string]int{"r1": 2}, Runs: map[string]int{"r1": 2}})
	is.NoErr(stop())
}

// Guards against an unbounded queue, and against a shed request that is counted as a run or lacks
// the verdict that it has not run.
func TestShedding(t *testing.T) {
	is := is.New(t)
	s := newSettings(startDaemon(t))
	server, url, stop := start(t, s)
	server.slots <- struct{}{} // occupies the only slot
	resp, _, err := send(t, t.Context(), url+"/", "r1", nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, 503)
	is.Equal(resp.Header.Get(verdict.Header), verdict.NotRun.String())
	is.Equal(server.runs.report().Total, 0)
	<-server.slots
	is.NoErr(stop())
}

// Guards against a slot that stays occupied after the sender has closed the connection or the
// timeout of the request has expired.
func TestCancellationFreesSlot(t *testing.T) {
	is := is.New(t)
	s := newSettings(startDaemon(t))
	s.Work.ServiceTime = time.Hour
	server, url, stop := start(t, s)
	resp, _, err := send(t, t.Context(), url+"/", "r1", http.Header{call.TimeoutHeader: {"10"}})
	is.NoErr(err)
	is.Equal(resp.StatusCode, 504)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	_, _, err = send(t, ctx, url+"/", "r2", nil)
	is.True(err != nil)
	server.slots <- struct{}{} // blocks until the slot is free
	<-server.slots
	is.NoErr(stop())
}

// Guards against a planned stop that is not announced or that aborts a request in flight.
func TestDrainFinishesRequests(t *testing.T) {
	is := is.New(t)
	d := startDaemon(t)
	s := newSettings(d)
	s.Work.ServiceTime = 300 * time.Millisecond
	server, url, stop := start(t, s)
	is.Equal(<-d.states, endpoint.Ready)
	result := make(chan error, 1)
	go func() {
		_, _, err := send(t, context.Background(), url+"/", "r1", nil)
		result <- err
	}()
	for server.runs.report().Total == 0 {
		time.Sleep(time.Millisecond)
	}
	is.NoErr(stop())
	is.NoErr(<-result)
	is.Equal(<-d.states, endpoint.Draining)
}

// Guards against a health endpoint that reports the actual state although it is set to mislead, or a
// wrong state although it is not, and against a history with a lag other than the report lag.
func TestReports(t *testing.T) {
	is := is.New(t)
	s := newSettings(startDaemon(t))
	s.Server.ColdStart = time.Hour
	for _, mislead := range []bool{false, true} {
		s.Failures.Mislead = mislead
		server, err := NewServer(s, event.Nop())
		is.NoErr(err)
		w := httptest.NewRecorder()
		server.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, HealthPath, nil))
		is.Equal(w.Code == http.StatusOK, mislead)
	}
	var h history
	at := time.Now()
	for i := range 5 {
		h.add(sample{at: at.Add(time.Duration(i) * time.Second)}, 2*time.Second)
	}
	old, ok := h.oldest()
	is.True(ok)
	is.Equal(old.at, at.Add(2*time.Second))
}

// Guards against connections above the limit, and against a closed connection that still counts
// towards it or is released twice.
func TestConnectionLimit(t *testing.T) {
	is := is.New(t)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = inner.Close() }()
	l := newLimitListener(inner, 1, 0)
	for range 2 {
		conn, err := net.Dial("tcp", inner.Addr().String())
		is.NoErr(err)
		accepted, err := l.Accept()
		is.NoErr(err)
		is.True(!l.acquire())
		is.NoErr(accepted.Close())
		_ = accepted.Close() // must not release the place twice
		is.NoErr(conn.Close())
	}
}

// Guards against invalid settings that are accepted, and against a service time other than that of
// the longest matching prefix.
func TestLoad(t *testing.T) {
	is := is.New(t)
	const base = "[backend]\nservice = pages\nlisten = 127.0.0.1:0\n[daemon]\nannounce = 127.0.0.1:1\ncall = 127.0.0.1:2\n[work]\n"
	for line, reason := range map[string]string{
		"service-times = /a=5ms, /a/b=7ms": "",
		"service-times = a:5ms":            "is not /prefix=value",
		"calls = /a=finder":                "is not service/path",
		"queue = -1":                       "must not be negative",
	} {
		path := filepath.Join(t.TempDir(), "backend.ini")
		is.NoErr(os.WriteFile(path, []byte(base+line+"\n"), 0o600))
		s, err := Load(path)
		if reason != "" {
			is.True(err != nil && strings.Contains(err.Error(), reason))
			continue
		}
		is.NoErr(err)
		times, err := parseRules(s.Work.ServiceTimes, time.ParseDuration)
		is.NoErr(err)
		got, _ := matchLongestPrefix(times, "/a/b/c")
		is.Equal(got, 7*time.Millisecond)
	}
}
