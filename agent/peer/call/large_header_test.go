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

// Guards against a broken connection, which ends a request with 502, because a header has many fields or
// values that are not UTF-8. HTTP allows both.
func TestUnusualHeaders(t *testing.T) {
	const fields = 16 << 10 / len("f12345: \r\n")
	many := http.Header{}
	for n := range fields {
		many.Set(fmt.Sprintf("F%05d", n), "")
	}
	for name, header := range map[string]http.Header{
		"many fields":    many,
		"many values":    {"Same": make([]string, http.DefaultMaxHeaderBytes/len("Same: \r\n"))},
		"ISO 8859-1":     {"Author": {"Jo\xe3o"}},
		"obsolete bytes": {"Other": {"\xff\x80"}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			resp, err := exchangeHeader(t, header)
			is.NoErr(err)
			is.Equal(resp.Header, header)
		})
	}
}
