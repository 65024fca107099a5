package agent

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"kingcupwood.example/kingcupwood/pkg/snapshot"
)

// Guards against connections of callers that stay open for longer than the configuration allows,
// idle or with an incomplete header, and against a limit that interrupts a request in progress.
func TestConfiguredConnectionTimeouts(t *testing.T) {
	is := is.New(t)
	limits := &snapshot.Limits{HeaderTimeout: 100 * time.Millisecond, IdleTimeout: 300 * time.Millisecond}
	snap := &snapshot.Snapshot{Manifest: snapshot.Manifest{Limits: limits}}
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(500 * time.Millisecond)
		_, _ = w.Write([]byte("answer"))
	}))
	server.Config.ReadHeaderTimeout, server.Config.IdleTimeout = headerTimeout, keepAliveIdle
	server.Listener = limitedListener{server.Listener, func() *snapshot.Snapshot { return snap }}
	server.Start()
	defer server.Close()
	closedAfter := func(text string) (responded bool, took time.Duration) {
		conn, err := net.Dial("tcp", server.Listener.Addr().String())
		is.NoErr(err)
		defer conn.Close()
		_, err = conn.Write([]byte(text))
		is.NoErr(err)
		began := time.Now()
		is.NoErr(conn.SetReadDeadline(began.Add(8 * time.Second)))
		data, _ := io.ReadAll(conn) // returns when the connection is closed or at the deadline
		return strings.Contains(string(data), "answer"), time.Since(began)
	}
	responded, took := closedAfter("GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	is.True(responded)
	is.True(took >= 800*time.Millisecond && took < 8*time.Second) // keepAliveIdle is two minutes
	responded, took = closedAfter("GET / HTTP/1.1\r\nHo")
	is.True(!responded)
	is.True(took >= 100*time.Millisecond && took < 8*time.Second) // headerTimeout is 10 s
}

// Guards against limits of the configuration that extend a deadline, and against a missing limit
// that closes all connections at once.
func TestLimitDeadline(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	for _, limits := range []*snapshot.Limits{nil, {}, {HeaderTimeout: time.Hour, IdleTimeout: time.Hour}} {
		for _, d := range []time.Duration{time.Second, headerTimeout, keepAliveIdle} {
			is.Equal(limitDeadline(now.Add(d), now, limits), now.Add(d))
		}
	}
	limits := &snapshot.Limits{HeaderTimeout: time.Second, IdleTimeout: 5 * time.Second}
	is.Equal(limitDeadline(now.Add(headerTimeout), now, limits), now.Add(time.Second))
	is.Equal(limitDeadline(now.Add(keepAliveIdle), now, limits), now.Add(5*time.Second))
}
