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

// marks is a dialect with stamps.
var marks = dialect.Dialect{
	RequestID: "Id", TimeLeft: "Left", Expect: "Expected", Stamp: "Stamp", NotRun: "Not-Run", UnsizedAnswers: true,
}

// startMarked returns a Backend for a scripted server with ID i-1 that speaks marks.
func startMarked(t *testing.T, serve func(n int32, r *http.Request, w io.Writer) bool) (*Backend, *script) {
	t.Helper()
	s := startScript(t, serve)
	b := New(Config{Dialect: &marks}, event.Nop())
	t.Cleanup(b.Close)
	err := b.Announce(Announcement{
		Service: "pages", Address: s.listener.Addr().String(), State: "ready", Slots: 1, Connections: 2, ID: "i-1", StartedMS: 100, Sequence: 1,
	})
	if err != nil {
		t.Fatal(err)
	}
	return b, s
}

func ask(b *Backend, id string) (*call.Response, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	return b.Do(ctx, &call.Request{
		Attempt: fence.AttemptID{Sender: 1, Seq: 1}, Timeout: time.Second, Method: "GET", Target: "/a", Host: "h",
		Header: http.Header{"Id": {id}},
	}, func() bool { return true })
}

func answerText(status, id, extra, body string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\nId: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, id, extra, len(body), body)
}

// Guards against an answer to another request that reaches a caller: one that is sent twice, late or without a
// proof, and against bytes behind an answer.
func TestForeignAnswers(t *testing.T) {
	is := is.New(t)
	own := answerText("200 OK", "q1", "Stamp: s\r\n", "own")
	foreign := answerText("200 OK", "q0", "Stamp: s\r\n", "foreign")
	for _, c := range []struct {
		text, body string
		v          verdict.Verdict
	}{
		{own, "own", verdict.Ran},
		{foreign + own, "own", verdict.Ran},
		{foreign + foreign + own, "own", verdict.Ran},
		{foreign, "", verdict.MayHaveRun},
		{answerText("200 OK", "q1", "", "no stamp"), "", verdict.MayHaveRun},
		{answerText("200 OK", "", "Stamp: s\r\n", "no id"), "", verdict.MayHaveRun},
		{"some bytes\r\n\r\n", "", verdict.MayHaveRun},
		{own[:len(own)-1], "", verdict.Ran}, // truncated, but its head proves that it ran
		{own + "more", "own", verdict.Ran},
		{"HTTP/1.1 200 OK\r\nId: q1\r\nStamp: s\r\n\r\nunsized", "unsized", verdict.Ran},
	} {
		b, _ := startMarked(t, func(_ int32, _ *http.Request, w io.Writer) bool {
			_, _ = io.WriteString(w, c.text)
			return false
		})
		resp, err := ask(b, "q1")
		is.Equal(verdict.Of(err), c.v)
		if c.body != "" {
			is.NoErr(err)
			is.Equal(string(resp.Body), c.body)
		} else {
			is.True(err != nil)
		}
	}
}

// Guards against a refusal of a server that counts as run, and against a server that has taken over the address
// of another one and goes on getting its requests.
func TestServerRefusals(t *testing.T) {
	is := is.New(t)
	b, _ := startMarked(t, func(_ int32, r *http.Request, w io.Writer) bool {
		_, _ = io.WriteString(w, answerText("503 Busy", r.Header.Get("Id"), "Not-Run: 1\r\n", ""))
		return true
	})
	resp, err := ask(b, "q1")
	is.NoErr(err)
	is.Equal(resp.Verdict, verdict.NotRun)
	is.Equal(b.State(), endpoint.Ready)

	b, _ = startMarked(t, func(_ int32, r *http.Request, w io.Writer) bool {
		if r.Header.Get("Expected") == "i-1" {
			_, _ = io.WriteString(w, answerText("421 Misdirected", r.Header.Get("Id"), "", ""))
		}
		return true
	})
	resp, err = ask(b, "q1")
	is.NoErr(err)
	is.Equal(resp.Verdict, verdict.NotRun)
	is.Equal(b.State(), endpoint.Gone)
	_, err = ask(b, "q2")
	is.Equal(verdict.Of(err), verdict.NotRun)
	is.True(errors.Is(err, ErrGone))
}

// Guards against announcements that arrive late: of an earlier lifetime, of an earlier state, or after a leave.
func TestLateAnnouncements(t *testing.T) {
	is := is.New(t)
	b := New(Config{}, event.Nop())
	defer b.Close()
	say := func(id string, started int64, sequence uint64, state string) {
		is.NoErr(b.Announce(Announcement{
			Service: "pages", Address: "127.0.0.1:1", State: state, Slots: 1, Connections: 1, ID: id, StartedMS: started, Sequence: sequence,
		}))
	}
	say("i-1", 100, 5, "ready")
	say("i-1", 100, 6, "draining")
	say("i-1", 100, 4, "ready")
	is.Equal(b.State(), endpoint.Draining)
	say("i-1", 200, 1, "ready") // started again under its ID; its sequence starts anew
	is.Equal(b.State(), endpoint.Ready)
	say("i-1", 100, 9, "draining")
	is.Equal(b.State(), endpoint.Ready)
	b.Leave("i-0") // an earlier one
	is.Equal(b.State(), endpoint.Ready)
	b.Leave("i-1")
	is.Equal(b.State(), endpoint.Draining)
	say("i-1", 200, 7, "ready")
	is.Equal(b.State(), endpoint.Draining)
	say("i-2", 300, 1, "ready")
	is.Equal(b.State(), endpoint.Ready)
	is.True(b.Announce(Announcement{ID: "i-3", StartedMS: 400, State: "odd"}) != nil)
	is.Equal(b.Status().ID, "i-2")
}

// Guards against a request on a connection to an earlier lifetime of the server.
func TestConnectionsOfALifetime(t *testing.T) {
	is := is.New(t)
	expected := make(chan string, 4)
	b, s := startMarked(t, func(_ int32, r *http.Request, w io.Writer) bool {
		expected <- r.Header.Get("Expected")
		_, _ = io.WriteString(w, answerText("200 OK", r.Header.Get("Id"), "Stamp: s\r\n", "x"))
		return true
	})
	_, err := ask(b, "q1")
	is.NoErr(err)
	before := s.opened.Load()
	is.NoErr(b.Announce(Announcement{
		Service: "pages", Address: s.listener.Addr().String(), State: "ready", Slots: 1, Connections: 2, ID: "i-2", StartedMS: 200, Sequence: 1,
	}))
	_, err = ask(b, "q2")
	is.NoErr(err)
	is.Equal([]string{<-expected, <-expected}, []string{"i-1", "i-2"})
	is.True(s.opened.Load() > before)
	is.True(strings.HasPrefix(b.Status().ID, "i-2"))
}
