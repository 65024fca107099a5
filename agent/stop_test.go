package agent

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"kingcupwood.example/kingcupwood/lib/event"
)

// Guards against a request without an answer, or with one that says it has not run, because its
// handler panics.
func TestPanicIsAnsweredAsMayHaveRun(t *testing.T) {
	is := is.New(t)
	g := &gate{log: event.Nop(), next: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/bad" {
			panic("unexpected")
		}
	})}
	server := httptest.NewServer(g)
	defer server.Close()
	for path, want := range map[string]int{"/bad": http.StatusBadGateway, "/good": http.StatusOK} {
		resp, err := server.Client().Get(server.URL + path)
		is.NoErr(err)
		is.NoErr(resp.Body.Close())
		is.Equal(resp.StatusCode, want)
	}
}
