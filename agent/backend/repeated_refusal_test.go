package backend

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"kingcupwood.example/kingcupwood/agent/peer/call"
	"kingcupwood.example/kingcupwood/pkg/fence"
	"kingcupwood.example/kingcupwood/pkg/verdict"
)

// splitWriteDelay is longer than the kernel takes to deliver the first part of a response by itself.
const splitWriteDelay = 20 * time.Millisecond

// writeSplit writes text in two parts, so that the reader gets them one after the other.
func writeSplit(w io.Writer, text string) {
	_, _ = io.WriteString(w, text[:len(text)/2])
	time.Sleep(splitWriteDelay)
	_, _ = io.WriteString(w, text[len(text)/2:])
}

// allowOneConnection limits the connections to the server that startWithStamps has announced to one.
func allowOneConnection(t *testing.T, b *Backend, s *fakeServer) {
	t.Helper()
	err := b.Announce(Announcement{
		Service: "pages", Address: s.listener.Addr().String(), State: "ready", Slots: 1, Connections: 1, ID: "i-1", StartedMS: 100, Sequence: 2,
	})
	if err != nil {
		t.Fatal(err)
	}
}

// Guards against taking a refusal of an earlier request, which the server writes once more on a kept
// connection, for that of the request now on it: that one runs, and would be reported as not run and
// sent to a second server.
func TestRepeatedRefusal(t *testing.T) {
	const notRun = "Not-Run: 1\r\n"
	for name, repeated := range map[string]string{
		"old ID":                     responseText("503 Busy", "q1", notRun, ""),
		"old ID and a body":          responseText("503 Busy", "q1", notRun, "queue is full"),
		"other refusal":              responseText("429 Busy", "q1", notRun, ""),
		"misdirected":                responseText("421 Misdirected", "q1", "", ""),
		"without an ID":              "HTTP/1.1 503 Busy\r\n" + notRun + "Content-Length: 0\r\n\r\n",
		"misdirected, without ID":    "HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n",
		"bad request, without ID":    "HTTP/1.1 400 Bad\r\n" + notRun + "Content-Length: 2\r\n\r\nid",
		"after 100 Continue":         "HTTP/1.1 100 Continue\r\n\r\n" + responseText("503 Busy", "q1", notRun, ""),
		"many times":                 strings.Repeat(responseText("503 Busy", "q1", notRun, ""), maxForeignResponses),
		"without a length":           "HTTP/1.1 503 Busy\r\nId: q1\r\n" + notRun + "Connection: close\r\n\r\n",
		"verdict of another dialect": "HTTP/1.1 503 Busy\r\nId: q2\r\nStamp: s\r\nKingcupwood-Verdict: not-run\r\nContent-Length: 0\r\n\r\n",
		"stamped, misdirected":       responseText("421 Misdirected", "q2", "Stamp: s\r\n", ""),
	} {
		for _, split := range []bool{false, true} {
			t.Run(name, func(t *testing.T) {
				is := is.New(t)
				conns := make(chan string, 3)
				b, s := startWithStamps(t, func(_ int32, r *http.Request, w io.Writer) bool {
					conns <- w.(net.Conn).RemoteAddr().String()
					switch id := r.Header.Get("Id"); {
					case id == "q1":
						_, _ = io.WriteString(w, responseText("503 Busy", id, notRun, ""))
					case id == "q2" && split:
						writeSplit(w, repeated)
					case id == "q2":
						_, _ = io.WriteString(w, repeated)
					default:
						_, _ = io.WriteString(w, responseText("200 OK", id, "Stamp: s\r\n", "own"))
					}
					return r.Header.Get("Id") != "q2" || strings.Contains(repeated, "Id: q2")
				})
				allowOneConnection(t, b, s)
				resp, err := get(b, "q1")
				is.NoErr(err)
				is.Equal(resp.Verdict, verdict.NotRun)
				resp, err = get(b, "q2")
				if err == nil {
					is.Equal(resp.Verdict, verdict.Ran)
				} else {
					is.Equal(verdict.Of(err), verdict.MayHaveRun)
				}
				is.Equal(<-conns, <-conns) // the test covers a kept connection
				resp, err = get(b, "q3")
				is.NoErr(err)
				is.Equal(string(resp.Body), "own")
			})
		}
	}
}

// Guards against using a connection further on which a response to another request has arrived.
func TestConnectionIsClosedAfterForeignResponse(t *testing.T) {
	is := is.New(t)
	conns := make(chan string, 2)
	b, s := startWithStamps(t, func(n int32, r *http.Request, w io.Writer) bool {
		conns <- w.(net.Conn).RemoteAddr().String()
		text := responseText("200 OK", r.Header.Get("Id"), "Stamp: s\r\n", "own")
		if n == 1 {
			text = responseText("503 Busy", "q0", "Not-Run: 1\r\n", "") + text
		}
		_, _ = io.WriteString(w, text)
		return true
	})
	allowOneConnection(t, b, s)
	for _, id := range []string{"q1", "q2"} {
		resp, err := get(b, id)
		is.NoErr(err)
		is.Equal(string(resp.Body), "own")
	}
	first, second := <-conns, <-conns
	is.True(first != second)
}

// Guards against a repeated refusal that is taken for that of a second transmission of the same
// request, which has the same ID.
func TestRepeatedRefusalOfTheSameRequest(t *testing.T) {
	is := is.New(t)
	conns := make(chan string, 4)
	b, s := startWithStamps(t, func(n int32, r *http.Request, w io.Writer) bool {
		conns <- w.(net.Conn).RemoteAddr().String()
		refusal := responseText("503 Busy", r.Header.Get("Id"), "Not-Run: 1\r\n", "")
		if n == 1 {
			_, _ = io.WriteString(w, refusal)
			return true
		}
		_, _ = io.WriteString(w, responseText("200 OK", r.Header.Get("Id"), "Stamp: s\r\n", "own"))
		return true
	})
	allowOneConnection(t, b, s)
	resp, err := get(b, "q1")
	is.NoErr(err)
	is.Equal(resp.Verdict, verdict.NotRun)
	resp, err = get(b, "q1")
	is.NoErr(err)
	is.Equal(string(resp.Body), "own")
	first, second := <-conns, <-conns
	is.True(first != second) // no byte for the first transmission can arrive on the second connection
}

// Guards against matching a response to a request without an ID on a connection that was in use
// before: nothing distinguishes it from a repeated one.
func TestRequestWithoutIDUsesNewConnection(t *testing.T) {
	is := is.New(t)
	conns := make(chan string, 4)
	b, s := startWithStamps(t, func(_ int32, r *http.Request, w io.Writer) bool {
		conns <- w.(net.Conn).RemoteAddr().String()
		_, _ = io.WriteString(w, responseText("400 Bad", r.Header.Get("Id"), "Not-Run: 1\r\n", ""))
		return true
	})
	allowOneConnection(t, b, s)
	for range 2 {
		resp, err := get(b, "")
		is.NoErr(err)
		is.Equal(resp.Verdict, verdict.NotRun)
	}
	first, second := <-conns, <-conns
	is.True(first != second)
}

// Guards against a request on a connection on which the server has written while it was idle.
func TestRefusalOnIdleConnection(t *testing.T) {
	is := is.New(t)
	written := make(chan struct{})
	b, _ := startWithStamps(t, func(n int32, r *http.Request, w io.Writer) bool {
		_, _ = io.WriteString(w, responseText("200 OK", r.Header.Get("Id"), "Stamp: s\r\n", "own"))
		if n == 1 {
			time.Sleep(splitWriteDelay)
			_, _ = io.WriteString(w, responseText("503 Busy", "q2", "Not-Run: 1\r\n", "")) // even the next ID
			close(written)
		}
		return true
	})
	_, err := get(b, "q1")
	is.NoErr(err)
	<-written
	time.Sleep(splitWriteDelay)
	resp, err := get(b, "q2")
	is.NoErr(err)
	is.Equal(string(resp.Body), "own")
}

// Guards against a repeated refusal in the default dialect, in which a response need not name its
// request: on a connection that was in use before, only one with the ID of the attempt is a proof.
func TestRepeatedRefusalInTheDefaultDialect(t *testing.T) {
	refusal := func(attempt string) string {
		return "HTTP/1.1 503 Busy\r\nKingcupwood-Verdict: not-run\r\n" + attempt + "Content-Length: 0\r\n\r\n"
	}
	for name, c := range map[string]struct {
		second string
		want   verdict.Verdict
	}{
		"no attempt":             {refusal(""), verdict.MayHaveRun},
		"attempt of the first":   {refusal("Kingcupwood-Attempt: " + attemptID(1) + "\r\n"), verdict.MayHaveRun},
		"attempt of the second":  {refusal("Kingcupwood-Attempt: " + attemptID(2) + "\r\n"), verdict.NotRun},
		"first, then the second": {refusal("Kingcupwood-Attempt: "+attemptID(1)+"\r\n") + okResponse, verdict.Ran},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			conns := make(chan string, 2)
			s := startFake(t, func(n int32, _ *http.Request, w io.Writer) bool {
				conns <- w.(net.Conn).RemoteAddr().String()
				if n == 1 {
					_, _ = io.WriteString(w, refusal("")) // the first request of a connection needs no ID
					return true
				}
				_, _ = io.WriteString(w, c.second)
				return false
			})
			b := newBackend(t, Config{}, s, 1, 1)
			for seq, want := range []verdict.Verdict{verdict.NotRun, c.want} {
				r := request()
				r.Attempt.Seq = uint64(seq + 1)
				resp, err := b.Do(testCtx(t, testTimeout), r, startOK)
				if want == verdict.MayHaveRun {
					is.Equal(verdict.Of(err), want)
					continue
				}
				is.NoErr(err)
				is.Equal(resp.Verdict, want)
				is.Equal(resp.Header.Get(call.AttemptHeader), "") // it does not concern the caller
			}
			is.Equal(<-conns, <-conns)
		})
	}
}

func attemptID(seq uint64) string {
	return fence.AttemptID{Sender: request().Attempt.Sender, Seq: seq}.String()
}
