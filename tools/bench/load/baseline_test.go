package main

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"kingcupwood.example/kingcupwood/pkg/verdict"
)

// Guards against a baseline that reports a failure of the instance behind it as a request that ran,
// which would move requests from unknown to failed in the comparison.
func TestBaselinePassesUnknownOn(t *testing.T) {
	is := is.New(t)
	gone := httptest.NewServer(http.NotFoundHandler())
	gone.Close()
	inner := &baseline{peers: map[string][]string{"pages": {gone.Listener.Addr().String()}}, client: &http.Client{}}
	server := httptest.NewServer(inner)
	defer server.Close()
	outer := &baseline{peers: map[string][]string{"pages": {server.Listener.Addr().String()}}, client: &http.Client{}}
	r := httptest.NewRequest(http.MethodGet, "/pages/view", strings.NewReader(""))
	r.Host = "pages"
	w := httptest.NewRecorder()
	outer.ServeHTTP(w, r)
	is.Equal(w.Code, http.StatusBadGateway)
	is.Equal(w.Header().Get(verdict.Header), verdict.MayHaveRun.String())
}
