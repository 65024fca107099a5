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

// checked lets one request run and be answered as told, and returns the violations.
func checked(change func(s *server, sent *request, run *http.Request, answer *http.Response, body *[]byte)) []string {
	l := newLedger()
	s := &server{id: "i-1", m: &machine{service: "pages"}}
	sent := &request{id: "q1", method: http.MethodPost, target: savePath, origin: "finder", allowed: time.Second, body: []byte("text")}
	run := httptest.NewRequest(http.MethodPost, savePath, nil)
	run.Header.Set(headerOrigin, "finder")
	run.Header.Set(headerTimeLeft, "990")
	answer := &http.Response{StatusCode: http.StatusOK, Header: http.Header{headerStamp: {"stamp-i-1"}}}
	body := answerTo(sent.id, sent.method, sent.target, sent.body)
	l.begin(sent)
	change(s, sent, run, answer, &body)
	l.ran(s, run, "q1", []byte("text"))
	l.ended("q1", "stamp-i-1", http.StatusOK)
	l.answered(sent, answer, body)
	return l.settle()
}

// Guards against checks that find nothing.
func TestChecksFindViolations(t *testing.T) {
	is := is.New(t)
	is.Equal(checked(func(*server, *request, *http.Request, *http.Response, *[]byte) {}), nil)
	for want, change := range map[string]func(s *server, sent *request, run *http.Request, answer *http.Response, body *[]byte){
		"runs 2 times": func(_ *server, sent *request, _ *http.Request, _ *http.Response, _ *[]byte) { sent.runs = 1 },
		"was changed": func(_ *server, _ *request, run *http.Request, _ *http.Response, _ *[]byte) {
			run.Method = http.MethodPut
		},
		"arrives as one of": func(_ *server, _ *request, run *http.Request, _ *http.Response, _ *[]byte) {
			run.Header.Del(headerOrigin)
		},
		"runs on service finder": func(s *server, _ *request, _ *http.Request, _ *http.Response, _ *[]byte) { s.m.service = "finder" },
		`arrives with "9000"`: func(_ *server, _ *request, run *http.Request, _ *http.Response, _ *[]byte) {
			run.Header.Set(headerTimeLeft, "9000")
		},
		"whose leave was confirmed": func(s *server, sent *request, _ *http.Request, _ *http.Response, _ *[]byte) {
			s.drained.Store(sent.sent.Add(-drainTime - time.Second).UnixNano())
		},
		"without a server": func(_ *server, _ *request, _ *http.Request, answer *http.Response, _ *[]byte) {
			answer.Header = http.Header{}
		},
		"of a run that gave 200": func(_ *server, _ *request, _ *http.Request, answer *http.Response, _ *[]byte) {
			answer.StatusCode = http.StatusAccepted
		},
		"to another request": func(_ *server, _ *request, _ *http.Request, _ *http.Response, body *[]byte) { *body = (*body)[1:] },
		"and has run": func(_ *server, _ *request, _ *http.Request, answer *http.Response, _ *[]byte) {
			answer.StatusCode, answer.Header = http.StatusServiceUnavailable, http.Header{}
		},
		"was denied": func(_ *server, _ *request, _ *http.Request, answer *http.Response, _ *[]byte) {
			answer.StatusCode, answer.Header = http.StatusNotFound, http.Header{}
		},
	} {
		got := strings.Join(checked(change), "; ")
		if !strings.Contains(got, want) {
			t.Errorf("violation %q is not found, but %q", want, got)
		}
	}
}

// Guards against holding the end of another run against an answer: an idempotent request whose connection was reset
// still runs at the first server while it is retried on a second.
func TestAnswerIsComparedWithItsOwnRun(t *testing.T) {
	for _, c := range []struct {
		first, second, answer int
		want                  string
	}{
		{http.StatusInternalServerError, http.StatusOK, http.StatusOK, ""},
		{http.StatusOK, http.StatusInternalServerError, http.StatusOK, "of a run that gave 500"},
	} {
		l := newLedger()
		r := &request{id: "q1", method: http.MethodGet, target: viewPath, idempotent: true}
		l.begin(r)
		l.ended("q1", "stamp-of-second", c.second)
		l.ended("q1", "stamp-of-first", c.first)
		answer := &http.Response{StatusCode: c.answer, Header: http.Header{headerStamp: {"stamp-of-second"}}}
		l.answered(r, answer, answerTo(r.id, r.method, r.target, r.body))
		got := strings.Join(l.settle(), "; ")
		if c.want == "" && got != "" || !strings.Contains(got, c.want) {
			t.Errorf("%+v: got %q", c, got)
		}
	}
}

// Guards against a cut request that counts as one that crossed the end of a listener.
func TestCutRequests(t *testing.T) {
	is := is.New(t)
	l := newLedger()
	is.True(!l.wasCut(&request{}, lossSlack))
	is.True(l.wasCut(&request{}, lossSlack+tolerance+time.Millisecond))
	is.True(l.wasCut(&request{runs: 1}, 0))
}

// Guards against a relay that harms nothing.
func TestRelay(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(w, r.Body) }))
	defer server.Close()
	r, err := newRelay("127.0.0.1:0", server.Listener.Addr().String())
	is.NoErr(err)
	defer r.close()
	client := &http.Client{Timeout: 200 * time.Millisecond}
	ask := func() error {
		response, err := client.Post("http://"+r.address(), "text/plain", bytes.NewReader([]byte("x")))
		if err == nil {
			_, err = io.ReadAll(response.Body)
			_ = response.Body.Close()
		}
		return err
	}
	is.NoErr(ask())
	r.silence(bothDirections)
	is.True(ask() != nil) // the kept connection is silent
	is.NoErr(ask())       // a new one works
	for _, dirs := range []directions{{true, false}, {false, true}} {
		r.setCut(dirs)
		is.True(ask() != nil)
		is.True(ask() != nil)
		r.setCut(directions{})
		is.NoErr(ask())
	}
	r.setRefuse(true)
	r.resetAll()
	is.True(ask() != nil)
	r.setRefuse(false)
	is.NoErr(ask())
	r.delay.Store(int64(300 * time.Millisecond))
	is.True(ask() != nil)
}
