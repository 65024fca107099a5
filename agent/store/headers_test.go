package store

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"kingcupwood.example/kingcupwood/lib/event"
	"kingcupwood.example/kingcupwood/pkg/snapshot"
)

// Guards against headers that the stores do not need and that made a lease holder exceed its limit
// of 3 kB/s. They can reappear after an update of the SDK, which has moved the steps that add them
// before.
func TestOptionalHeadersAreRemoved(t *testing.T) {
	is := is.New(t)
	requests := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requests++
		for _, name := range []string{"Accept-Encoding", "Amz-Sdk-Request", "Amz-Sdk-Invocation-Id", "X-Amz-User-Agent"} {
			if r.Header.Get(name) != "" {
				t.Errorf("%s %s has %s", r.Method, r.Header.Get("X-Amz-Target"), name)
			}
		}
		_, _ = w.Write([]byte("{}"))
	}))
	defer server.Close()
	c, err := NewClient(Config{TableURL: server.URL, ObjectsURL: server.URL, Table: "t", Bucket: "b", AccessKey: "k", SecretKey: "s", Attempts: 1}, event.Nop())
	is.NoErr(err)
	defer c.Close()
	_, err = c.Head(t.Context())
	is.NoErr(err)
	_, err = c.RenewLease(t.Context(), Lease{Name: "lease/a/0", Holder: "h", Token: 1}, time.Second)
	is.NoErr(err)
	_, _ = c.Object(t.Context(), snapshot.HashOf([]byte("{}")))
	is.True(requests >= 3)
}
