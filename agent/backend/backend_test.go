package backend

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"go.uber.org/goleak"

	"kingcupwood.example/kingcupwood/agent/peer/call"
	"kingcupwood.example/kingcupwood/lib/event"
	"kingcupwood.example/kingcupwood/pkg/dialect"
	"kingcupwood.example/kingcupwood/pkg/endpoint"
	"kingcupwood.example/kingcupwood/pkg/fence"
	"kingcupwood.example/kingcupwood/pkg/verdict"
)

// testTimeout is long enough that a test exceeds it only if it hangs.
const testTimeout = 20 * time.Second

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeServer is a backend server whose responses are written by the function given to
// startFake, which returns false to close the connection.
type fakeServer struct {
	listener net.Listener
	opened   atomic.Int32
	requests atomic.Int32
}

func startFake(t testing.TB, serve func(n int32, r *http.Request, w io.Writer) bool) *fakeServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	s := &fakeServer{listener: l}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.opened.Add(1)
			go s.serveConn(c, serve)
		}
	}()
	return s
}

func (s *fakeServer) serveConn(c net.Conn, serve func(int32, *http.Request, io.Writer) bool) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(r.Body)
		r.Body = io.NopCloser(strings.NewReader(string(body)))
		if !serve(s.requests.Add(1), r, c) {
			return
		}
	}
}

// reply returns a serve function that writes text and closes the connection unless text contains
// "keep".
func reply(text string) func(int32, *http.Request, io.Writer) bool {
	return func(_ int32, _ *http.Request, w io.Writer) bool {
		_, _ = io.WriteString(w, text)
		return strings.Contains(text, "keep")
	}
}

// okResponse is a complete response; reply keeps the connection open because it contains "keep".
const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nkeep"

// testLifetime stands for a server that renews its announcement.
const testLifetime = time.Hour

// newBackend returns a Backend for s, whose announcement lasts for testLifetime unless cfg says otherwise.
func newBackend(t testing.TB, cfg Config, s *fakeServer, slots, connections int) *Backend {
	t.Helper()
	if cfg.Lifetime == 0 {
		cfg.Lifetime = testLifetime
	}
	b := New(cfg, event.Nop())
	t.Cleanup(b.Close)
	announceTo(t, b, s, "ready", slots, connections)
	return b
}

func announceTo(t testing.TB, b *Backend, s *fakeServer, state string, slots, connections int) {
	t.Helper()
	body := fmt.Sprintf(`{"service":"pages","address":%q,"state":%q,"slots":%d,"connections":%d}`, s.listener.Addr(), state, slots, connections)
	w := httptest.NewRecorder()
	b.Announcements().ServeHTTP(w, httptest.NewRequest(http.MethodPut, AnnouncePath, strings.NewReader(body)))
	if w.Code != http.StatusNoContent {
		t.Fatalf("announcement: %d %s", w.Code, w.Body)
	}
}

func testCtx(t testing.TB, d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	t.Cleanup(cancel)
	return ctx
}

func request() *call.Request {
	return &call.Request{
		Service: "pages",
		Attempt: fence.AttemptID{Sender: 5, Seq: 1}, Depth: 3, Method: "POST", Target: "/pages/a?x=1", Host: "pages",
		Header: http.Header{"Accept": {"a"}, "Connection": {"X-Hop"}, "X-Hop": {"1"}, "Content-Length": {"99"}}, Body: []byte("body"),
	}
}

func startOK() bool { return true }

// Guards against lost headers, headers that break the framing, and a missing timeout, depth or
// attempt header.
func TestRequestOnTheWire(t *testing.T) {
	is := is.New(t)
	seen := make(chan *http.Request, 1)
	s := startFake(t, func(_ int32, r *http.Request, w io.Writer) bool {
		seen <- r
		return reply(okResponse)(0, r, w)
	})
	b := newBackend(t, Config{}, s, 1, 2)
	resp, err := b.Do(testCtx(t, testTimeout), request(), startOK)
	is.NoErr(err)
	is.Equal(resp.Verdict, verdict.Ran)
	is.Equal(string(resp.Body), "keep")
	r := <-seen
	body, _ := io.ReadAll(r.Body)
	is.Equal(string(body), "body")
	is.Equal(r.RequestURI, "/pages/a?x=1")
	is.Equal(r.Host, "pages")
	is.Equal(r.Header.Get("Accept"), "a")
	is.Equal(r.Header.Get("X-Hop"), "")
	is.Equal(r.Header.Get(call.DepthHeader), "3")
	is.Equal(r.Header.Get(call.AttemptHeader), request().Attempt.String())
	is.True(r.Header.Get(call.TimeoutHeader) != "")
}

// Guards against a wrong verdict for incomplete, oversized, ambiguous or rejected responses.
func TestResponses(t *testing.T) {
	huge := fmt.Sprint(call.MaxResponseBodyBytes + 1)
	for name, c := range map[string]struct {
		wire    string
		err     error
		verdict verdict.Verdict
	}{
		"truncated":       {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nbody", ErrTruncated, verdict.Ran},
		"truncated chunk": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n", ErrTruncated, verdict.Ran},
		"no length":       {"HTTP/1.1 200 OK\r\n\r\nbody", ErrTruncated, verdict.Ran},
		"oversized":       {"HTTP/1.1 200 OK\r\nContent-Length: " + huge + "\r\n\r\n", ErrResponseTooLarge, verdict.Ran},
		"no response":     {"", io.ErrUnexpectedEOF, verdict.MayHaveRun},
		"cut header":      {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n", io.ErrUnexpectedEOF, verdict.MayHaveRun},
		"upgrade":         {"HTTP/1.1 101 Switching Protocols\r\n\r\n", ErrBadResponse, verdict.MayHaveRun},
		"shed":            {"HTTP/1.1 503 x\r\nKingcupwood-Verdict: not-run\r\nContent-Length: 0\r\n\r\n", nil, verdict.NotRun},
		"failed":          {"HTTP/1.1 500 x\r\nKingcupwood-Verdict: not-run\r\nContent-Length: 0\r\n\r\n", nil, verdict.Ran},
		"early hints":     {"HTTP/1.1 103 x\r\n\r\n" + okResponse, nil, verdict.Ran},
		"chunked":         {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nkeep\r\n0\r\n\r\n", nil, verdict.Ran},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := startFake(t, reply(c.wire))
			b := newBackend(t, Config{}, s, 1, 2)
			resp, err := b.Do(testCtx(t, testTimeout), request(), startOK)
			if c.err != nil {
				is.True(errors.Is(err, c.err))
				is.Equal(verdict.Of(err), c.verdict)
				return
			}
			is.NoErr(err)
			is.Equal(resp.Verdict, c.verdict)
		})
	}
}

// Guards against sending a request on a connection that the backend server closed while it was
// idle; the request would be reported as may have run.
func TestConnectionClosedWhileIdle(t *testing.T) {
	is := is.New(t)
	closed := make(chan struct{})
	s := startFake(t, func(n int32, r *http.Request, w io.Writer) bool {
		_, _ = io.WriteString(w, okResponse)
		if n == 1 {
			_ = w.(net.Conn).Close()
			close(closed)
		}
		return n != 1
	})
	b := newBackend(t, Config{}, s, 1, 5)
	for range 2 {
		_, err := b.Do(testCtx(t, testTimeout), request(), startOK)
		is.NoErr(err)
		<-closed
	}
}

// Guards against sending a fenced request, and against losing the connection reserved for it.
func TestFencedBeforeFirstByte(t *testing.T) {
	is := is.New(t)
	s := startFake(t, reply(okResponse))
	b := newBackend(t, Config{}, s, 1, 1)
	_, err := b.Do(testCtx(t, testTimeout), request(), func() bool { return false })
	is.Equal(verdict.Of(err), verdict.NotRun)
	_, err = b.Do(testCtx(t, testTimeout), request(), startOK)
	is.NoErr(err)
	is.Equal(s.requests.Load(), int32(1))
}

// Guards against an exchange that continues after its context was cancelled or its deadline passed.
func TestCancellationClosesConnection(t *testing.T) {
	is := is.New(t)
	arrived, gone := make(chan struct{}, 9), make(chan struct{}, 9)
	s := startFake(t, func(_ int32, r *http.Request, w io.Writer) bool {
		arrived <- struct{}{}
		_, _ = w.(net.Conn).Read(make([]byte, 1)) // returns when the daemon closes the connection
		gone <- struct{}{}
		return false
	})
	b := newBackend(t, Config{}, s, 1, 5)
	ctx, cancel := context.WithCancel(context.Background())
	go func() { <-arrived; cancel() }()
	_, err := b.Do(ctx, request(), startOK)
	is.True(errors.Is(err, context.Canceled))
	is.Equal(verdict.Of(err), verdict.MayHaveRun)
	<-gone
	for d := 10 * time.Millisecond; len(arrived) == 0; d *= 2 { // until a request is sent before its deadline
		_, err = b.Do(testCtx(t, d), request(), startOK)
		is.True(errors.Is(err, context.DeadlineExceeded))
	}
	<-gone
}

// waitForConnection returns a backend server with a limit of one connection, on which a request runs until
// release is closed while another one waits for it. Their results follow.
func waitForConnection(t *testing.T) (s *fakeServer, b *Backend, results chan error, release chan struct{}) {
	t.Helper()
	arrived, release := make(chan struct{}, 2), make(chan struct{})
	s = startFake(t, func(_ int32, r *http.Request, w io.Writer) bool {
		arrived <- struct{}{}
		<-release
		return reply(okResponse)(0, r, w)
	})
	b, results = newBackend(t, Config{}, s, 4, 1), make(chan error, 2)
	do := func() {
		_, err := b.Do(testCtx(t, testTimeout), request(), startOK)
		results <- err
	}
	go do()
	<-arrived
	go do()
	for waiting := false; !waiting; {
		b.mu.Lock()
		waiting = b.pool.freed != nil
		b.mu.Unlock()
	}
	return s, b, results, release
}

// Guards against exceeding the connection limit, and against a request that waits at the limit and
// is not woken when a connection becomes free.
func TestConnectionLimit(t *testing.T) {
	is := is.New(t)
	s, b, results, release := waitForConnection(t)
	_, err := b.Do(testCtx(t, 20*time.Millisecond), request(), startOK)
	is.Equal(verdict.Of(err), verdict.NotRun)
	is.True(errors.Is(err, context.DeadlineExceeded))
	close(release)
	is.NoErr(<-results)
	is.NoErr(<-results)
	is.Equal(s.opened.Load(), int32(1))
}

// Guards against a backend server that stays ready after its announcement expired or after it
// refused a connection, and against a change that is not reported.
func TestExpiryAndRefusal(t *testing.T) {
	is := is.New(t)
	var now atomic.Int64
	states := make(chan endpoint.State, 10)
	cfg := Config{
		Now:     func() time.Time { return time.Unix(0, now.Load()) },
		Changed: func(s Status) { states <- s.State },
	}
	s := startFake(t, reply(okResponse))
	b := New(cfg, event.Nop()) // with the default lifetime
	t.Cleanup(b.Close)
	announceTo(t, b, s, "ready", 1, 2)
	is.Equal(<-states, endpoint.Ready)
	for opened := false; !opened; { // until the connection in advance is open; no other follows
		b.mu.Lock()
		opened = len(b.pool.idle) == 1
		b.mu.Unlock()
	}
	now.Add(int64(announcementLifetime) + 1)
	is.Equal(b.State(), endpoint.Gone)
	is.Equal(<-states, endpoint.Gone)
	announceTo(t, b, s, "starting", 1, 2) // no connection is opened in advance in this state
	is.Equal(<-states, endpoint.Starting)
	_ = s.listener.Close()
	b.mu.Lock()
	b.pool.closeIdle()
	b.mu.Unlock()
	_, err := b.Do(testCtx(t, testTimeout), request(), startOK)
	is.True(errors.Is(err, ErrRefused))
	is.Equal(verdict.Of(err), verdict.NotRun)
	is.Equal(<-states, endpoint.Gone)
}

// Guards against a request that is sent to a backend server which has said that it leaves, or to another
// process in its place, while the request waited for a connection, and against holding it until one is free.
func TestWaitForConnectionEndsWhenTheServerLeaves(t *testing.T) {
	is := is.New(t)
	s, b, results, release := waitForConnection(t)
	is.NoErr(b.Leave(""))
	err := <-results
	is.True(errors.Is(err, ErrLeaving))
	is.Equal(verdict.Of(err), verdict.NotRun)
	close(release)
	is.NoErr(<-results)
	is.Equal(s.requests.Load(), int32(1))
}

// Guards against a connection that was opened or taken before the server left, or before another process
// took its address, and that is used afterwards.
func TestStateIsCheckedBeforeSending(t *testing.T) {
	is := is.New(t)
	s := startFake(t, reply(okResponse))
	b := newBackend(t, Config{}, s, 1, 2)
	old, err := b.conn(testCtx(t, testTimeout), request())
	is.NoErr(err)
	is.NoErr(b.checkSend(old, request()))
	other := request()
	other.Service = "finder"
	is.True(errors.Is(b.checkSend(old, other), ErrOtherService))
	restarted := b.Status().Announcement
	restarted.ID = "i-2"
	is.NoErr(b.Announce(restarted))
	is.True(errors.Is(b.checkSend(old, request()), ErrGone))
	b.discard(old)
	is.NoErr(b.Leave("i-2"))
	_, err = b.Do(testCtx(t, testTimeout), request(), startOK)
	is.True(errors.Is(err, ErrLeaving))
	is.Equal(s.requests.Load(), int32(0))
}

// Guards against accepting requests that break the HTTP framing, or invalid announcements.
func TestInvalidInput(t *testing.T) {
	is := is.New(t)
	s := startFake(t, reply(okResponse))
	b := newBackend(t, Config{}, s, 1, 2)
	for _, change := range []func(*call.Request){
		func(r *call.Request) { r.Method = "GET /x" },
		func(r *call.Request) { r.Target = "/a HTTP/1.1\r\nX: y" },
		func(r *call.Request) { r.Header.Set("A", "b\r\nX: y") },
		func(r *call.Request) { r.Body = make([]byte, call.MaxRequestBodyBytes+1) },
	} {
		r := request()
		change(r)
		_, err := b.Do(testCtx(t, testTimeout), r, startOK)
		is.Equal(verdict.Of(err), verdict.NotRun)
	}
	is.Equal(s.requests.Load(), int32(0))
	for _, body := range []string{"", `{"service":"p"}`, `{"service":"p","address":"127.0.0.1:1","state":"gone","slots":1,"connections":1}`} {
		_, err := parseAnnouncement(strings.NewReader(body))
		is.True(err != nil)
	}
}

// Guards against a parser that panics on an announcement or accepts an invalid one.
func FuzzAnnouncement(f *testing.F) {
	f.Add(`{"service":"p","address":"127.0.0.1:1","state":"ready","slots":1,"connections":1}`)
	f.Add(`{"slots":1e99}`)
	f.Fuzz(func(t *testing.T, body string) {
		a, err := parseAnnouncement(strings.NewReader(body))
		if err == nil && (a.Slots < 1 || a.Service == "" || a.state == 0) {
			t.Fatalf("accepted %+v", a)
		}
	})
}

// Guards against accepting an oversized or truncated response of a backend server.
func FuzzResponse(f *testing.F) {
	f.Add([]byte(okResponse))
	f.Add([]byte("HTTP/1.1 103 x\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nkeep\r\n0\r\n\r\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		c := &conn{in: bufio.NewReader(bytes.NewReader(data))}
		head, err := c.readHead(http.MethodGet)
		if err != nil {
			return
		}
		body, err := readBody(head, &dialect.Default, &bodyMemory{shared: new(responseMemory)})
		if err == nil && (len(body) > call.MaxResponseBodyBytes || head.ContentLength > int64(len(body))) {
			t.Fatalf("accepted %d of %d bytes", len(body), head.ContentLength)
		}
		_, _ = newResponse(request(), &dialect.Default, head, body)
	})
}

// BenchmarkExchange measures one exchange over loopback with a body of 512 B and a response of 4
// KiB.
func BenchmarkExchange(b *testing.B) {
	response := "HTTP/1.1 200 OK\r\nContent-Length: 4096\r\n\r\n" + strings.Repeat("keep", 1024)
	backend := newBackend(b, Config{}, startFake(b, reply(response)), 1, 4)
	r := request()
	r.Body = make([]byte, 512)
	ctx := testCtx(b, testTimeout)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := backend.Do(ctx, r, startOK); err != nil {
			b.Fatal(err)
		}
	}
}
