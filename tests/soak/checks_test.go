package soak

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// checkRequest records one request, its run and its response, altered by change, and returns the
// violations.
func checkRequest(change func(s *server, sent *request, run *http.Request, response *http.Response, body *[]byte)) []string {
	l := newLedger()
	s := &server{id: "i-1", m: &machine{service: "pages"}}
	sent := &request{id: "q1", method: http.MethodPost, target: savePath, origin: "finder", timeout: time.Second, body: []byte("text")}
	run := httptest.NewRequest(http.MethodPost, savePath, nil)
	run.Header.Set(headerOrigin, "finder")
	run.Header.Set(headerTimeLeft, "990")
	response := &http.Response{StatusCode: http.StatusOK, Header: http.Header{headerStamp: {"stamp-i-1"}}}
	body := responseBody(sent.id, sent.method, sent.target, sent.body)
	l.begin(sent)
	change(s, sent, run, response, &body)
	l.runStarted(s, run, "q1", []byte("text"))
	l.runEnded("q1", "stamp-i-1", http.StatusOK)
	l.responseReceived(sent, response, body)
	return l.finish()
}

// Guards against checks that never report a violation: each case alters one detail of a correct
// request.
func TestChecksFindViolations(t *testing.T) {
	is := is.New(t)
	is.Equal(checkRequest(func(*server, *request, *http.Request, *http.Response, *[]byte) {}), nil)
	for want, change := range map[string]func(s *server, sent *request, run *http.Request, response *http.Response, body *[]byte){
		"runs 2 times": func(_ *server, sent *request, _ *http.Request, _ *http.Response, _ *[]byte) { sent.runs = 1 },
		"was changed": func(_ *server, _ *request, run *http.Request, _ *http.Response, _ *[]byte) {
			run.Method = http.MethodPut
		},
		"arrives with caller service": func(_ *server, _ *request, run *http.Request, _ *http.Response, _ *[]byte) {
			run.Header.Del(headerOrigin)
		},
		"runs on service finder": func(s *server, _ *request, _ *http.Request, _ *http.Response, _ *[]byte) { s.m.service = "finder" },
		`arrives with remaining time "9000"`: func(_ *server, _ *request, run *http.Request, _ *http.Response, _ *[]byte) {
			run.Header.Set(headerTimeLeft, "9000")
		},
		"whose draining was confirmed": func(s *server, sent *request, _ *http.Request, _ *http.Response, _ *[]byte) {
			s.drained.Store(sent.sent.Add(-drainTime - time.Second).UnixNano())
		},
		"without a server stamp": func(_ *server, _ *request, _ *http.Request, response *http.Response, _ *[]byte) {
			response.Header = http.Header{}
		},
		"of a run that gave 200": func(_ *server, _ *request, _ *http.Request, response *http.Response, _ *[]byte) {
			response.StatusCode = http.StatusAccepted
		},
		"to another request": func(_ *server, _ *request, _ *http.Request, _ *http.Response, body *[]byte) { *body = (*body)[1:] },
		"and has run": func(_ *server, _ *request, _ *http.Request, response *http.Response, _ *[]byte) {
			response.StatusCode, response.Header = http.StatusServiceUnavailable, http.Header{}
		},
		"was denied": func(_ *server, _ *request, _ *http.Request, response *http.Response, _ *[]byte) {
			response.StatusCode, response.Header = http.StatusNotFound, http.Header{}
		},
	} {
		got := strings.Join(checkRequest(change), "; ")
		if !strings.Contains(got, want) {
			t.Errorf("expected violation %q, got %q", want, got)
		}
	}
}

// Guards against comparing a response with the status of another run: an idempotent request whose
// connection was reset may still run on the first server while it is retried on a second one.
func TestAnswerIsComparedWithItsOwnRun(t *testing.T) {
	for _, c := range []struct {
		first, second, response int
		want                    string
	}{
		{http.StatusInternalServerError, http.StatusOK, http.StatusOK, ""},
		{http.StatusOK, http.StatusInternalServerError, http.StatusOK, "of a run that gave 500"},
	} {
		l := newLedger()
		r := &request{id: "q1", method: http.MethodGet, target: viewPath, idempotent: true}
		l.begin(r)
		l.runEnded("q1", "stamp-of-second", c.second)
		l.runEnded("q1", "stamp-of-first", c.first)
		response := &http.Response{StatusCode: c.response, Header: http.Header{headerStamp: {"stamp-of-second"}}}
		l.responseReceived(r, response, responseBody(r.id, r.method, r.target, r.body))
		got := strings.Join(l.finish(), "; ")
		if c.want == "" && got != "" || !strings.Contains(got, c.want) {
			t.Errorf("%+v: got %q", c, got)
		}
	}
}

// Guards against excusing a request that was cut off by a daemon as one that arrived while the
// listener closed.
func TestCutRequests(t *testing.T) {
	is := is.New(t)
	l := newLedger()
	is.True(!l.wasCut(&request{}, closeWindow))
	is.True(l.wasCut(&request{}, closeWindow+tolerance+time.Millisecond))
	is.True(l.wasCut(&request{runs: 1}, 0))
}

// Guards against a relay that injects no faults: each fault must make requests fail until it is
// removed.
func TestRelay(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(w, r.Body) }))
	defer server.Close()
	r, err := newRelay("127.0.0.1:0", server.Listener.Addr().String())
	is.NoErr(err)
	defer r.close()
	client := &http.Client{Timeout: 200 * time.Millisecond}
	post := func() error {
		response, err := client.Post("http://"+r.address(), "text/plain", bytes.NewReader([]byte("x")))
		if err == nil {
			_, err = io.ReadAll(response.Body)
			_ = response.Body.Close()
		}
		return err
	}
	is.NoErr(post())
	r.dropData(bothDirections)
	is.True(post() != nil) // the kept-alive connection drops all data
	is.NoErr(post())       // a new connection works
	for _, dirs := range []directions{{true, false}, {false, true}} {
		r.setCut(dirs)
		is.True(post() != nil)
		is.True(post() != nil)
		r.setCut(directions{})
		is.NoErr(post())
	}
	r.setRefuse(true)
	r.resetAll()
	is.True(post() != nil)
	r.setRefuse(false)
	is.NoErr(post())
	r.delay.Store(int64(300 * time.Millisecond))
	is.True(post() != nil)
}
