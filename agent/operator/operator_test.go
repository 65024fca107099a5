package operator

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"go.uber.org/goleak"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"kingcupwood.example/kingcupwood/agent/store"
	"kingcupwood.example/kingcupwood/lib/event"
	"kingcupwood.example/kingcupwood/pkg/endpoint"
	"kingcupwood.example/kingcupwood/pkg/snapshot"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const secret = "secret-ana"

// fakePlatform has one operator, whose token is secret. authErr is the error of credential lookups,
// err that of all other calls.
type fakePlatform struct {
	authErr, err error
	calls        int
	outcome      store.Outcome
}

func (f *fakePlatform) Operator(_ context.Context, token string) (store.Operator, error) {
	if f.authErr != nil {
		return store.Operator{}, f.authErr
	}
	if token != secret {
		return store.Operator{}, store.ErrUnknownCredential
	}
	return store.Operator{Name: "ana", Services: []string{"pages"}}, nil
}

func (f *fakePlatform) call() error {
	f.calls++
	return f.err
}

func (f *fakePlatform) Submit(_ context.Context, op store.Operator, file string, _ []byte) (store.Draft, error) {
	return store.Draft{Service: "pages", File: file, Operator: op.Name}, f.call()
}

func (f *fakePlatform) Accept(context.Context, store.Operator, string, snapshot.Hash, snapshot.Version, string) (store.Outcome, error) {
	return f.outcome, f.call()
}

func (f *fakePlatform) Withdraw(context.Context, store.Operator, string, uint64, snapshot.Version, string) (store.Outcome, error) {
	return f.outcome, f.call()
}

func (f *fakePlatform) Outcome(context.Context, string, snapshot.Version) (store.Outcome, error) {
	return f.outcome, f.call()
}

func (f *fakePlatform) Service(context.Context, string) (store.Service, error) {
	return store.Service{}, f.call()
}

func (f *fakePlatform) Difference(context.Context, string) (store.Difference, error) {
	return store.Difference{}, f.call()
}

func (f *fakePlatform) Status(context.Context) (store.Status, error) {
	return store.Status{}, f.call()
}

type fakeDaemon struct{ calls int }

func (f *fakeDaemon) Snapshot() *snapshot.Snapshot {
	f.calls++
	return &snapshot.Snapshot{Version: 7}
}

func (f *fakeDaemon) Endpoints() *endpoint.View {
	f.calls++
	return &endpoint.View{Records: map[endpoint.InstanceID]endpoint.Record{"i1": {Instance: "i1", State: endpoint.Ready}}}
}

func (f *fakeDaemon) LastRefused() (Refusal, bool) {
	f.calls++
	return Refusal{Version: 8, Reason: "no such service"}, true
}

type fixture struct {
	platform *fakePlatform
	daemon   *fakeDaemon
	handler  http.Handler
	logs     *observer.ObservedLogs
	now      time.Time
}

func newFixture() *fixture {
	f := &fixture{platform: &fakePlatform{}, daemon: &fakeDaemon{}, now: time.UnixMilli(1_800_000_000_000)}
	core, logs := observer.New(zapcore.DebugLevel)
	f.logs = logs
	burn := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		f.daemon.calls++
		w.WriteHeader(http.StatusOK)
	})
	f.handler = New(Config{
		Platform: f.platform, Daemon: f.daemon, Burn: burn, Now: func() time.Time { return f.now },
	}, event.Wrap(zap.New(core)))
	return f
}

func (f *fixture) request(method, path, authorization, body string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	if authorization != "" {
		r.Header.Set("Authorization", authorization)
	}
	w := httptest.NewRecorder()
	f.handler.ServeHTTP(w, r)
	return w
}

var routes = []struct{ method, path, body string }{
	{http.MethodPost, PathDrafts, "answers"},
	{http.MethodGet, "/v1/services/pages", ""},
	{http.MethodGet, "/v1/services/pages/diff", ""},
	{http.MethodPost, "/v1/services/pages/accept", `{"draft":"` + strings.Repeat("00", 32) + `","seen":1,"token":"t"}`},
	{http.MethodPost, "/v1/services/pages/withdraw", `{"to":1,"seen":1,"token":"t"}`},
	{http.MethodGet, "/v1/changes/t?seen=1", ""},
	{http.MethodGet, PathStatus, ""},
	{http.MethodGet, PathEndpoints, ""},
	{http.MethodGet, PathBurn, ""},
	{http.MethodGet, PathVars, ""},
}

// Guards against null in place of an empty list; clients in other languages may fail to iterate
// over null.
func TestEndpointsWithoutUnreachableDomains(t *testing.T) {
	is := is.New(t)
	w := newFixture().request(http.MethodGet, PathEndpoints, "Bearer "+secret, "")
	is.Equal(w.Code, http.StatusOK)
	is.True(strings.Contains(w.Body.String(), `"unreachable_domains":[]`))
}

// Guards against a route that is served without a valid credential, and against tokens in the log.
func TestCredentialRequired(t *testing.T) {
	is := is.New(t)
	refusal := ""
	for _, route := range append(routes, struct{ method, path, body string }{http.MethodGet, "/no/such/path", ""}) {
		for _, authorization := range []string{"", "Bearer wrong-token", "Basic " + secret, "Bearer"} {
			f := newFixture()
			w := f.request(route.method, route.path, authorization, route.body)
			is.Equal(w.Code, http.StatusUnauthorized)
			if refusal == "" {
				refusal = w.Body.String()
			}
			is.Equal(w.Body.String(), refusal) // the same response for every path, known or not
			is.Equal(f.platform.calls+f.daemon.calls, 0)
			is.True(!logged(f, "wrong-token") && !logged(f, secret))
		}
	}
	f := newFixture()
	for _, route := range routes {
		w := f.request(route.method, route.path, "Bearer "+secret, route.body)
		is.True(w.Code < http.StatusMultipleChoices)
	}
	is.True(f.logs.Len() >= len(routes))
	is.True(!logged(f, secret))
}

func logged(f *fixture, text string) bool {
	for _, entry := range f.logs.All() {
		data, err := json.Marshal(entry.ContextMap())
		if err != nil || strings.Contains(string(data)+entry.Message, text) {
			return true
		}
	}
	return false
}

// Guards against store errors that are mapped to the wrong status or code, and against internal
// details in responses.
func TestErrorMapping(t *testing.T) {
	conflict := &store.ConflictError{Seen: 1, Current: 2, Changes: []store.Change{{Version: 2, Service: "finder", Operator: "bor"}}}
	for _, c := range []struct {
		err    error
		status int
		code   Code
	}{
		{conflict, http.StatusConflict, CodeConflict},
		{&store.ForbiddenError{Operator: "ana", Service: "finder"}, http.StatusForbidden, CodeForbidden},
		{&store.InvalidError{Reasons: []string{"x"}}, http.StatusUnprocessableEntity, CodeInvalid},
		{&store.DraftChangedError{Service: "pages"}, http.StatusConflict, CodeDraftChanged},
		{&store.NotFoundError{What: "x"}, http.StatusNotFound, CodeNotFound},
		{&store.UnavailableError{Err: errors.New("down")}, http.StatusServiceUnavailable, CodePlatformUnavailable},
		{&store.UnavailableError{Err: errors.New("down"), MayHaveTakenEffect: true}, http.StatusServiceUnavailable, CodeOutcomeUnknown},
		{errors.New("internal detail"), http.StatusInternalServerError, CodeInternal},
	} {
		is := is.New(t)
		f := newFixture()
		f.platform.err = errors.Wrap(c.err, "accept")
		w := f.request(http.MethodPost, routes[3].path, "Bearer "+secret, routes[3].body)
		var response ErrorResponse
		is.NoErr(json.Unmarshal(w.Body.Bytes(), &response))
		is.Equal(w.Code, c.status)
		is.Equal(response.Error.Code, c.code)
		is.Equal(len(response.Error.Changes) > 0, c.code == CodeConflict)
		is.True(!strings.Contains(w.Body.String(), "internal detail"))
	}
}

// Guards against an unknown outcome that is reported as a success or a failure.
func TestUnknownOutcome(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.platform.outcome = store.Outcome{State: store.StateUnknown, Token: "t", Seen: 1}
	w := f.request(http.MethodPost, routes[3].path, "Bearer "+secret, routes[3].body)
	is.Equal(w.Code, http.StatusAccepted)
	var response OutcomeMessage
	is.NoErr(json.Unmarshal(w.Body.Bytes(), &response))
	is.Equal(response.State, store.StateUnknown)
	is.Equal(response.Change, nil)
}

// Guards against a daemon status that is unavailable during an outage of the platform, and against
// a cached credential that permits changes or is accepted for too long.
func TestStatusDuringOutage(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	is.Equal(f.request(http.MethodGet, PathStatus, "Bearer "+secret, "").Code, http.StatusOK)
	down := &store.UnavailableError{Operation: "read", Err: errors.New("down")}
	f.platform.authErr, f.platform.err = down, down
	w := f.request(http.MethodGet, PathStatus, "Bearer "+secret, "")
	is.Equal(w.Code, http.StatusOK)
	var response StatusMessage
	is.NoErr(json.Unmarshal(w.Body.Bytes(), &response))
	is.Equal(response.Daemon.Version, snapshot.Version(7))
	is.Equal(response.Daemon.Refused.Reason, "no such service")
	is.True(response.Platform.Error != "")
	f.platform.err = nil
	before := f.platform.calls
	is.Equal(f.request(http.MethodPost, PathDrafts, "Bearer "+secret, "x").Code, http.StatusServiceUnavailable)
	is.Equal(f.platform.calls, before)
	is.Equal(f.request(http.MethodGet, PathStatus, "Bearer other", "").Code, http.StatusServiceUnavailable)
	f.now = f.now.Add(cacheLifetime)
	is.Equal(f.request(http.MethodGet, PathStatus, "Bearer "+secret, "").Code, http.StatusServiceUnavailable)
}

// addressOf returns the address of a test server.
func addressOf(t *testing.T, s *httptest.Server) netip.AddrPort {
	t.Helper()
	return netip.MustParseAddrPort(s.Listener.Addr().String())
}

// Guards against a client that does not try the next address when a daemon is down, and against an
// error of the second daemon that hides a change which the first one may have executed.
func TestClientFailover(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.platform.err = &store.UnavailableError{Err: errors.New("down")}
	working := httptest.NewServer(f.handler)
	defer working.Close()
	aborting := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	defer aborting.Close()
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	closedAddress := netip.MustParseAddrPort(closed.Addr().String())
	is.NoErr(closed.Close())

	transport := &http.Transport{DisableKeepAlives: true}
	accept := func(first netip.AddrPort) error {
		client := NewClient([]netip.AddrPort{first, addressOf(t, working)}, secret, &http.Client{Transport: transport})
		_, err := client.Accept(t.Context(), "pages", AcceptRequest{Draft: strings.Repeat("00", 32), Seen: 1, Token: "t"})
		return err
	}
	var unknownOutcome *UnknownOutcomeError
	var refusal *APIError
	err = accept(closedAddress)
	is.True(errors.As(err, &refusal) && !errors.As(err, &unknownOutcome)) // nothing was sent to the daemon that is down
	is.True(errors.As(accept(addressOf(t, aborting)), &unknownOutcome))
	f.platform.err = nil
	is.NoErr(accept(addressOf(t, aborting)))
}

// Guards against a panic of the API on a malformed request body.
func FuzzAcceptRequest(f *testing.F) {
	f.Add(routes[3].body)
	f.Add(`{"draft":`)
	f.Add(`{"seen":-1}`)
	f.Fuzz(func(t *testing.T, body string) {
		if code := newFixture().request(http.MethodPost, routes[3].path, "Bearer "+secret, body).Code; code >= http.StatusInternalServerError {
			t.Errorf("status %d for a malformed request", code)
		}
	})
}

// Guards against a panic of the client on a malformed response.
func FuzzDecodeResponse(f *testing.F) {
	f.Add(200, `{"state":"accepted"}`)
	f.Add(409, `{"error":{"code":"conflict","changes":[{}]}}`)
	f.Add(500, `{"error":null}`)
	f.Fuzz(func(t *testing.T, status int, body string) {
		var response OutcomeMessage
		if err := decodeResponse(status, []byte(body), &response); err != nil {
			_ = err.Error()
		}
	})
}
