package agent

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"kingcupwood.example/kingcupwood/lib/event"
)

// Guards against a request that the HTTP parser rejects without a log line and a count, and against
// counting a response of the handler as such a rejection.
func TestUnparsedRequests(t *testing.T) {
	is := is.New(t)
	core, logs := observer.New(zapcore.InfoLevel)
	unparsed := &unparsedRequests{log: event.Wrap(zap.New(core))}
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusNotFound)
	}))
	server.Listener = observedListener{server.Listener, unparsed}
	server.Start()
	defer server.Close()
	for _, text := range []string{"GET /a HTTP/1.1\r\n\r\n", "GET /a HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"} {
		conn, err := net.Dial("tcp", server.Listener.Addr().String())
		is.NoErr(err)
		_, err = conn.Write([]byte(text))
		is.NoErr(err)
		is.NoErr(conn.SetReadDeadline(time.Now().Add(8 * time.Second)))
		_, err = io.ReadAll(conn)
		is.NoErr(err)
		is.NoErr(conn.Close())
	}
	is.Equal(unparsed.statuses.String(), `{"400": 1}`) // the request without a Host, not the 404
	is.Equal(logs.FilterField(zap.Int("event", int(event.RequestUnparsed.ID))).Len(), 1)
	is.Equal(logs.Len(), 1)
}
