package call

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"kingcupwood.example/kingcupwood/pkg/verdict"
)

// exchangeHeader sends a request with header to a daemon that returns the same header.
func exchangeHeader(t *testing.T, header http.Header) (*Response, error) {
	t.Helper()
	d := startDaemon(t, func(_ context.Context, r *Request) *Response {
		return &Response{Verdict: verdict.Ran, Status: http.StatusOK, Header: r.Header}
	})
	r := request(1)
	r.Header = maps.Clone(header)
	return newTestClient(t).Do(testCtx(t, testTimeout), d.addr, r)
}

// Guards against rejecting as too large a request that the HTTP server has accepted: the limit of the
// configuration is the only one that callers know.
func TestHeadersUpToTheLimitOfTheServer(t *testing.T) {
	is := is.New(t)
	const pairs = 64
	header := http.Header{}
	for n := range pairs {
		header.Set(fmt.Sprintf("Field-%d", n), strings.Repeat("x", http.DefaultMaxHeaderBytes/pairs-32))
	}
	resp, err := exchangeHeader(t, header)
	is.NoErr(err)
	is.Equal(resp.Header, header)
}
