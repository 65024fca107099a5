package caller

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"kingcupwood.example/kingcupwood/agent/peer/call"
	"kingcupwood.example/kingcupwood/lib/event"
	"kingcupwood.example/kingcupwood/pkg/verdict"
)

// observe returns the log of b from now on.
func (b *bench) observe() *observer.ObservedLogs {
	core, logs := observer.New(zapcore.InfoLevel)
	b.config.Log = event.Wrap(zap.New(core))
	return logs
}

func routedRequestWithBody(body string) *http.Request {
	r := request("POST", "/save/a", body, "Id", "q7", "Left", "900")
	r.Host = "wiki.example"
	return r
}

// Guards against a rejection that leaves no line with the request ID, the check, its inputs and the
// version, or that is not counted by its status.
func TestRejectionsAreLoggedAndCounted(t *testing.T) {
	for _, c := range []struct {
		name    string
		request *http.Request
		event   event.ID
		status  int
		check   string
	}{
		{"no route", routedRequest("GET", "/other/"), event.RequestUnrouted.ID, http.StatusNotFound, checkRoute},
		{"long body", routedRequestWithBody(strings.Repeat("x", defaultBodyBytes+1)), event.RequestRejected.ID, http.StatusRequestEntityTooLarge, checkBodyBytes},
		{"unreadable timeout", routedRequest("GET", "/view/a", "Left", "soon"), event.RequestRejected.ID, http.StatusBadRequest, checkTimeLeft},
		{"large header", routedRequest("GET", "/view/a", "Other", strings.Repeat("x", http.DefaultMaxHeaderBytes)), event.RequestRejected.ID, http.StatusRequestHeaderFieldsTooLarge, checkHeaderBytes},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			b := newRoutedBench(t, "i1")
			logs := b.observe()
			is.Equal(b.serveHTTP(c.request).Code, c.status)
			entries := logs.FilterField(zap.Int("event", int(c.event))).All()
			is.Equal(len(entries), 1)
			fields := entries[0].ContextMap()
			is.Equal(fields["request"], "q7")
			is.Equal(fields["check"], c.check)
			is.Equal(fields["status"], int64(c.status))
			is.Equal(fields["version"], uint64(5))
			is.Equal(fields["routes"], true)
			is.Equal(fields["host"], "wiki.example")
			is.Equal(fields["body_bytes"], c.request.ContentLength)
			is.Equal(b.metrics.refusalStatuses.String(), fmt.Sprintf(`{"%d": 1}`, c.status))
		})
	}
}

// Guards against a rejection after the request was routed that is sampled like a success.
func TestRejectionAfterAnAttemptIsLogged(t *testing.T) {
	is := is.New(t)
	b := newRoutedBench(t, "i1")
	logs := b.observe()
	b.remote.do = func(_ context.Context, _ string, r *call.Request) (*call.Response, error) {
		return nil, verdict.Wrap(verdict.NotRun, call.ErrRequestTooLarge)
	}
	is.Equal(b.serveHTTP(routedRequest("POST", "/save/a")).Code, http.StatusRequestEntityTooLarge)
	is.Equal(logs.FilterField(zap.Int("event", int(event.RequestEnded.ID))).Len(), 1)
	rejected := logs.FilterField(zap.Int("event", int(event.RequestRejected.ID))).All()
	is.Equal(len(rejected), 1)
	is.Equal(rejected[0].ContextMap()["check"], checkAttempt)
	is.Equal(rejected[0].ContextMap()["request"], "q7")
}
