package backend

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"kingcupwood.example/kingcupwood/agent/peer/call"
	"kingcupwood.example/kingcupwood/lib/event"
	"kingcupwood.example/kingcupwood/pkg/dialect"
	"kingcupwood.example/kingcupwood/pkg/endpoint"
	"kingcupwood.example/kingcupwood/pkg/fence"
	"kingcupwood.example/kingcupwood/pkg/verdict"
)

// stampDialect is a dialect in which responses carry a stamp.
var stampDialect = dialect.Dialect{
	RequestID: "Id", TimeLeft: "Left", Expect: "Expected", Stamp: "Stamp", NotRun: "Not-Run", UnsizedAnswers: true,
}

// startWithStamps returns a Backend for a fake server that has the ID i-1 and uses
// stampDialect.
func startWithStamps(t *testing.T, serve func(n int32, r *http.Request, w io.Writer) bool) (*Backend, *fakeServer) {
	t.Helper()
	s := startFake(t, serve)
	b := New(Config{Dialect: &stampDialect, Lifetime: testLifetime}, event.Nop())
	t.Cleanup(b.Close)
	err := b.Announce(Announcement{
		Service: "pages", Address: s.listener.Addr().String(), State: "ready", Slots: 1, Connections: 2, ID: "i-1", StartedMS: 100, Sequence: 1,
	})
	if err != nil {
		t.Fatal(err)
	}
	return b, s
}

func get(b *Backend, id string) (*call.Response, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	return b.Do(ctx, &call.Request{
		Service: "pages",
		Attempt: fence.AttemptID{Sender: 1, Seq: 1}, Timeout: time.Second, Method: "GET", Target: "/a", Host: "h",
		Header: http.Header{"Id": {id}},
	}, func() bool { return true })
}

func responseText(status, id, extra, body string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\nId: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, id, extra, len(body), body)
}

// Guards against returning a response to another request, or one without stamp or request ID, and
// against failing on bytes that follow the response.
func TestForeignResponses(t *testing.T) {
	is := is.New(t)
	own := responseText("200 OK", "q1", "Stamp: s\r\n", "own")
	foreign := responseText("200 OK", "q0", "Stamp: s\r\n", "foreign")
	for _, c := range []struct {
		text, body string
		v          verdict.Verdict
	}{
		{own, "own", verdict.Ran},
		{foreign + own, "own", verdict.Ran},
		{foreign + foreign + own, "own", verdict.Ran},
		{foreign, "", verdict.MayHaveRun},
		{responseText("200 OK", "q1", "", "no stamp"), "", verdict.MayHaveRun},
		{responseText("200 OK", "", "Stamp: s\r\n", "no id"), "", verdict.MayHaveRun},
		{"some bytes\r\n\r\n", "", verdict.MayHaveRun},
		{own[:len(own)-1], "", verdict.Ran}, // truncated, but the head shows that the request ran
		{own + "more", "own", verdict.Ran},
		{"HTTP/1.1 200 OK\r\nId: q1\r\nStamp: s\r\n\r\nunsized", "unsized", verdict.Ran},
	} {
		b, _ := startWithStamps(t, func(_ int32, _ *http.Request, w io.Writer) bool {
			_, _ = io.WriteString(w, c.text)
			return false
		})
		resp, err := get(b, "q1")
		is.Equal(verdict.Of(err), c.v)
		if c.body != "" {
			is.NoErr(err)
			is.Equal(string(resp.Body), c.body)
		} else {
			is.True(err != nil)
		}
	}
}

// Guards against counting a rejection by the server as run, and against sending further requests to
// a server that has replaced another one at its address.
func TestServerRefusals(t *testing.T) {
	is := is.New(t)
	b, _ := startWithStamps(t, func(_ int32, r *http.Request, w io.Writer) bool {
		_, _ = io.WriteString(w, responseText("503 Busy", r.Header.Get("Id"), "Not-Run: 1\r\n", ""))
		return true
	})
	resp, err := get(b, "q1")
	is.NoErr(err)
	is.Equal(resp.Verdict, verdict.NotRun)
	is.Equal(b.State(), endpoint.Ready)

	b, _ = startWithStamps(t, func(_ int32, r *http.Request, w io.Writer) bool {
		if r.Header.Get("Expected") == "i-1" {
			_, _ = io.WriteString(w, responseText("421 Misdirected", r.Header.Get("Id"), "", ""))
		}
		return true
	})
	resp, err = get(b, "q1")
	is.NoErr(err)
	is.Equal(resp.Verdict, verdict.NotRun)
	is.Equal(b.State(), endpoint.Gone)
	_, err = get(b, "q2")
	is.Equal(verdict.Of(err), verdict.NotRun)
	is.True(errors.Is(err, ErrGone))
}

// Guards against a rejection by the server that a daemon passes on as if the request were wrong: a
// request with an ID has not run, and may be sent again, whatever the status. Only 421 and 429 say the
// same themselves, and only a request without an ID is wrong.
func TestStatusOfServerRefusals(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct {
		sent, id string
		want     int
	}{
		{"400 Bad Request", "q1", http.StatusServiceUnavailable},
		{"413 Too Large", "q1", http.StatusServiceUnavailable},
		{"302 Found", "q1", http.StatusServiceUnavailable},
		{"503 Busy", "q1", http.StatusServiceUnavailable},
		{"429 Slow Down", "q1", http.StatusTooManyRequests},
		{"421 Misdirected", "q1", http.StatusMisdirectedRequest},
		{"400 Bad Request", "", http.StatusBadRequest},
	} {
		b, _ := startWithStamps(t, func(_ int32, r *http.Request, w io.Writer) bool {
			_, _ = io.WriteString(w, responseText(c.sent, r.Header.Get("Id"), "Not-Run: 1\r\n", ""))
			return true
		})
		resp, err := get(b, c.id)
		is.NoErr(err)
		is.Equal(resp.Verdict, verdict.NotRun)
		is.Equal(resp.Status, c.want)
	}
}

// Guards against applying announcements that arrive out of order: of an earlier lifetime, of an
// earlier state, or after Leave.
func TestLateAnnouncements(t *testing.T) {
	is := is.New(t)
	s := startFake(t, reply(okResponse)) // an address that refuses connections would end the state Ready
	b := New(Config{}, event.Nop())
	defer b.Close()
	announce := func(id string, started int64, sequence uint64, state string) {
		is.NoErr(b.Announce(Announcement{
			Service: "pages", Address: s.listener.Addr().String(), State: state, Slots: 1, Connections: 1, ID: id, StartedMS: started, Sequence: sequence,
		}))
	}
	announce("i-1", 100, 5, "ready")
	announce("i-1", 100, 6, "draining")
	announce("i-1", 100, 4, "ready")
	is.Equal(b.State(), endpoint.Draining)
	announce("i-1", 200, 1, "ready") // restarted under the same ID; its sequence restarts
	is.Equal(b.State(), endpoint.Ready)
	announce("i-1", 100, 9, "draining")
	is.Equal(b.State(), endpoint.Ready)
	is.NoErr(b.Leave("i-0")) // an earlier one
	is.Equal(b.State(), endpoint.Ready)
	is.NoErr(b.Leave("i-1"))
	is.Equal(b.State(), endpoint.Draining)
	announce("i-1", 200, 7, "ready")
	is.Equal(b.State(), endpoint.Draining)
	announce("i-2", 300, 1, "ready")
	is.Equal(b.State(), endpoint.Ready)
	is.True(b.Announce(Announcement{ID: "i-3", StartedMS: 400, State: "odd"}) != nil)
	is.Equal(b.Status().ID, "i-2")
}

// Guards against sending a request on a connection to an earlier lifetime of the server.
func TestNoConnectionReuseAfterServerRestart(t *testing.T) {
	is := is.New(t)
	expected := make(chan string, 4)
	b, s := startWithStamps(t, func(_ int32, r *http.Request, w io.Writer) bool {
		expected <- r.Header.Get("Expected")
		_, _ = io.WriteString(w, responseText("200 OK", r.Header.Get("Id"), "Stamp: s\r\n", "x"))
		return true
	})
	_, err := get(b, "q1")
	is.NoErr(err)
	before := s.opened.Load()
	is.NoErr(b.Announce(Announcement{
		Service: "pages", Address: s.listener.Addr().String(), State: "ready", Slots: 1, Connections: 2, ID: "i-2", StartedMS: 200, Sequence: 1,
	}))
	_, err = get(b, "q2")
	is.NoErr(err)
	is.Equal([]string{<-expected, <-expected}, []string{"i-1", "i-2"})
	is.True(s.opened.Load() > before)
	is.True(strings.HasPrefix(b.Status().ID, "i-2"))
}
