package backend

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"kingcupwood.example/kingcupwood/agent/peer/call"
	"kingcupwood.example/kingcupwood/pkg/verdict"
)

// wholeResponses are complete responses to the request q1 by the way in which their end is stated.
var wholeResponses = map[string]string{
	"length":          responseText("200 OK", "q1", "Stamp: s\r\nX-Long: 0123456789\r\n", "a body of some length"),
	"length first":    "HTTP/1.1 200 OK\r\nContent-Length: 26\r\nId: q1\r\nStamp: s\r\n\r\nabcdefghijklmnopqrstuvwxyz",
	"empty":           responseText("200 OK", "q1", "Stamp: s\r\n", ""),
	"chunked":         "HTTP/1.1 200 OK\r\nId: q1\r\nStamp: s\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n1a\r\nabcdefghijklmnopqrstuvwxyz\r\n0\r\n\r\n",
	"trailer":         "HTTP/1.1 200 OK\r\nId: q1\r\nStamp: s\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n0\r\nA: b\r\n\r\n",
	"informational":   "HTTP/1.1 103 Early\r\nA: b\r\n\r\n" + responseText("200 OK", "q1", "Stamp: s\r\n", "body"),
	"bare newlines":   "HTTP/1.1 200 OK\nId: q1\nStamp: s\nContent-Length: 4\n\nbody",
	"after a foreign": responseText("200 OK", "q0", "Stamp: s\r\n", "other") + responseText("200 OK", "q1", "Stamp: s\r\n", "body"),
}

// cutServer writes the text that it gets from texts as the response to a request and ends the
// connection, by a reset if reset is set.
func cutServer(texts <-chan string, reset bool) func(int32, *http.Request, io.Writer) bool {
	return func(_ int32, _ *http.Request, w io.Writer) bool {
		_, _ = io.WriteString(w, <-texts)
		if reset {
			_ = w.(*net.TCPConn).SetLinger(0)
		}
		return false
	}
}

// Guards against a response that is taken for whole although the server stopped in the middle of it, at
// any byte of the head or the body, and against a verdict not run for it.
func TestCutResponse(t *testing.T) {
	for name, whole := range wholeResponses {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, reset %t", name, reset), func(t *testing.T) {
				is := is.New(t)
				texts := make(chan string, 1)
				b, _ := startWithStamps(t, cutServer(texts, reset))
				for length := range len(whole) {
					texts <- whole[:length]
					_, err := get(b, "q1")
					is.True(err != nil) // cut after length bytes
					is.True(verdict.Of(err) != verdict.NotRun)
				}
				if !reset {
					texts <- whole
					_, err := get(b, "q1")
					is.NoErr(err)
				}
			})
		}
	}
}

// Guards against a body without a length that is taken for whole although its connection was reset, or
// in a dialect that needs a length; and against a head that lost its end and passes for such a body.
func TestCutUnsizedResponse(t *testing.T) {
	const head, body = "HTTP/1.1 200 OK\r\nId: q1\r\nStamp: s\r\n\r\n", "some text"
	for length := range len(head + body) {
		is := is.New(t)
		texts := make(chan string, 2)
		b, _ := startWithStamps(t, cutServer(texts, true))
		texts <- (head + body)[:length]
		_, err := get(b, "q1")
		is.True(err != nil)
		is.True(verdict.Of(err) != verdict.NotRun)

		b, _ = startWithStamps(t, cutServer(texts, false))
		texts <- (head + body)[:length]
		resp, err := get(b, "q1")
		if length < len(head) {
			is.True(err != nil)
			is.True(verdict.Of(err) != verdict.NotRun)
		} else {
			is.NoErr(err) // the connection has ended in order, which is the end of such a body
			is.Equal(string(resp.Body), body[:length-len(head)])
		}
	}
}

// Guards against a cut response in the default dialect, in which a response needs a length.
func TestCutResponseInTheDefaultDialect(t *testing.T) {
	for name, whole := range wholeResponses {
		if strings.HasPrefix(name, "after") {
			continue // the default dialect does not tell these apart
		}
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			texts := make(chan string, 1)
			b := newBackend(t, Config{}, startFake(t, cutServer(texts, false)), 1, 2)
			for length := range len(whole) {
				texts <- whole[:length]
				_, err := b.Do(testCtx(t, testTimeout), request(), startOK)
				is.True(err != nil)
				is.True(verdict.Of(err) != verdict.NotRun)
			}
			texts <- "HTTP/1.1 200 OK\r\n\r\nbody"
			_, err := b.Do(testCtx(t, testTimeout), request(), startOK)
			is.Equal(verdict.Of(err), verdict.Ran)
			is.True(err != nil)
		})
	}
}

// Guards against a cut response to a request that has none, as HEAD.
func TestCutHead(t *testing.T) {
	is := is.New(t)
	texts := make(chan string, 1)
	b, _ := startWithStamps(t, cutServer(texts, false))
	whole := "HTTP/1.1 200 OK\r\nId: q1\r\nStamp: s\r\nContent-Length: 9\r\n\r\n"
	for length := range len(whole) {
		texts <- whole[:length]
		r := &call.Request{Service: "pages", Method: http.MethodHead, Target: "/a", Host: "h", Header: http.Header{"Id": {"q1"}}}
		_, err := b.Do(testCtx(t, testTimeout), r, startOK)
		is.True(err != nil)
	}
}
