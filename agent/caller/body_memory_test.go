package caller

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"kingcupwood.example/kingcupwood/agent/peer/call"
	"kingcupwood.example/kingcupwood/pkg/bodymemory"
	"kingcupwood.example/kingcupwood/pkg/snapshot"
)

// Guards against large bodies of callers that together exhaust the memory of the process, with which the
// requests of all other callers end (LOST): what does not fit is refused at once as not run, small bodies
// are not, and the memory is free again after the response.
func TestLargeBodiesTogetherAreBounded(t *testing.T) {
	is := is.New(t)
	const limit, large = 10 << 20, 6 << 20
	b := newBench("a", "b")
	b.config.Memory = bodymemory.NewBudget(limit)
	snap := testSnapshot(2)
	snap.Manifest.Limits = &snapshot.Limits{BodyBytes: large}
	b.accept(snap)
	arrived, release := make(chan struct{}), make(chan struct{})
	b.remote.do = func(ctx context.Context, to string, r *call.Request) (*call.Response, error) {
		if len(r.Body) == large {
			arrived <- struct{}{}
			<-release
		}
		return answer(ctx, to, r)
	}
	post := func(bytes int) *httptest.ResponseRecorder {
		return b.serveHTTP(request("POST", "/pages/1", strings.Repeat("x", bytes), call.TimeoutHeader, "60000"))
	}
	first := make(chan int)
	go func() { first <- post(large).Code }()
	<-arrived
	before := len(b.remote.sent)
	refused := post(large)
	is.Equal(refused.Code, http.StatusServiceUnavailable)
	is.Equal(verdictOf(refused), "not-run")
	is.True(refused.Header().Get("Retry-After") != "")
	is.Equal(len(b.remote.sent), before)
	is.Equal(post(4000).Code, http.StatusOK)
	close(release)
	is.Equal(<-first, http.StatusOK)
	is.Equal(b.config.Memory.Used(), int64(0))
	chunked := request("POST", "/pages/1", "", call.TimeoutHeader, "60000")
	chunked.Body, chunked.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", large))), -1
	b.config.Memory = bodymemory.NewBudget(large / 2)
	is.Equal(b.serveHTTP(chunked).Code, http.StatusServiceUnavailable)
	is.Equal(b.config.Memory.Used(), int64(0))
}

// Guards against a body that keeps its memory for good because its sender stops in the middle, and against
// an answer that calls the request wrong.
func TestBodyThatArrivesLateIsRefused(t *testing.T) {
	is := is.New(t)
	b := newBench("a")
	server := httptest.NewServer(b)
	defer server.Close()
	body, sender := io.Pipe()
	defer sender.Close()
	r, err := http.NewRequest(http.MethodPost, server.URL+"/pages/1", body)
	is.NoErr(err)
	r.Host = "pages"
	r.Header.Set(call.TimeoutHeader, "200")
	go func() { _, _ = sender.Write([]byte("begin")) }()
	start := time.Now()
	resp, err := server.Client().Do(r)
	is.NoErr(err)
	is.NoErr(resp.Body.Close())
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	is.True(time.Since(start) < 5*time.Second)
	is.Equal(len(b.remote.sent), 0)
}
