// Package operator implements the administration API of a daemon, and a client for it. Operators
// use the API to submit, compare, accept and withdraw configurations and to read the state of the
// platform and of the daemon.
//
// Every request needs a bearer token whose SHA-256 is in the table of the platform. Request headers
// are never logged.
package operator

import (
	"context"
	"expvar"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/go-chi/chi/v5/middleware"
	"go.uber.org/zap"

	"kingcupwood.example/kingcupwood/agent/store"
	"kingcupwood.example/kingcupwood/lib/event"
	"kingcupwood.example/kingcupwood/pkg/endpoint"
	"kingcupwood.example/kingcupwood/pkg/snapshot"
)

// Limits of the HTTP server. responseTimeout leaves time for the retries of the platform client.
const (
	readTimeout     = 10 * time.Second
	responseTimeout = 60 * time.Second
	idleTimeout     = time.Minute
	maxHeaderBytes  = 16 << 10
)

// Platform is the part of store.Client that the API uses.
type Platform interface {
	Operator(ctx context.Context, token string) (store.Operator, error)
	Submit(ctx context.Context, op store.Operator, file string, data []byte) (store.Draft, error)
	Accept(ctx context.Context, op store.Operator, service string, draftHash snapshot.Hash, seen snapshot.Version, token string) (store.Outcome, error)
	Withdraw(ctx context.Context, op store.Operator, service string, to uint64, seen snapshot.Version, token string) (store.Outcome, error)
	Outcome(ctx context.Context, token string, seen snapshot.Version) (store.Outcome, error)
	Service(ctx context.Context, name string) (store.Service, error)
	Difference(ctx context.Context, name string) (store.Difference, error)
	Status(ctx context.Context) (store.Status, error)
}

var _ Platform = (*store.Client)(nil)

// Refusal describes a configuration version that the daemon rejected as a whole.
type Refusal struct {
	Version snapshot.Version `json:"version"`
	Reason  string           `json:"reason"`
	At      time.Time        `json:"at"`
}

// Daemon gives access to the state of the daemon. Snapshot and Endpoints may return nil; the values
// that they return are immutable.
type Daemon interface {
	Snapshot() *snapshot.Snapshot
	Endpoints() *endpoint.View
	// LastRefused returns the last version that the daemon rejected, and false if there is none.
	LastRefused() (Refusal, bool)
}

// Config holds the dependencies of the API.
type Config struct {
	Platform Platform
	Daemon   Daemon
	// Burn serves the service-level report; if it is nil, the API has no such route.
	Burn http.Handler
	// Now returns the current time; the default is time.Now.
	Now func() time.Time
}

type server struct {
	config Config
	auth   *authenticator
	log    *event.Logger
}

// New returns the HTTP handler of the API.
func New(config Config, log *event.Logger) http.Handler {
	if config.Now == nil {
		config.Now = time.Now
	}
	s := &server{config: config, auth: newAuthenticator(config.Platform, config.Now), log: log}
	router := chi.NewRouter()
	router.Use(s.logRequests)
	router.Group(s.platformRoutes)
	router.Group(s.daemonRoutes)
	// Unknown paths require a credential as well, so that an unauthenticated client cannot find out
	// which paths exist.
	router.NotFound(s.authenticated(true, func(w http.ResponseWriter, _ *http.Request) {
		writeError(w, &APIError{Status: http.StatusNotFound, Code: CodeNotFound, Message: "no such path"})
	}))
	router.MethodNotAllowed(s.authenticated(true, func(w http.ResponseWriter, _ *http.Request) {
		writeError(w, &APIError{Status: http.StatusMethodNotAllowed, Code: CodeBadRequest, Message: "the method is not allowed"})
	}))
	return router
}

// NewHTTPServer returns an HTTP server with the timeouts and the header limit of the API.
func NewHTTPServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: readTimeout, ReadTimeout: readTimeout,
		WriteTimeout: responseTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
}

// platformRoutes registers the routes that use the platform; their credentials are always looked up
// there.
func (s *server) platformRoutes(r chi.Router) {
	r.Post(PathDrafts, s.authenticated(false, s.submit))
	r.Get(PathService, s.authenticated(false, s.show))
	r.Get(PathDiff, s.authenticated(false, s.diff))
	r.Post(PathAccept, s.authenticated(false, s.accept))
	r.Post(PathWithdraw, s.authenticated(false, s.withdraw))
	r.Get(PathChange, s.authenticated(false, s.change))
}

// daemonRoutes registers the routes that show the state of this daemon. Operators need these most
// during an outage of the platform, so a cached credential is sufficient.
func (s *server) daemonRoutes(r chi.Router) {
	r.Get(PathStatus, s.authenticated(true, s.status))
	r.Get(PathDaemon, s.authenticated(true, s.daemon))
	r.Get(PathEndpoints, s.authenticated(true, s.endpoints))
	r.Get(PathVars, s.authenticated(true, expvar.Handler().ServeHTTP))
	if s.config.Burn != nil {
		r.Get(PathBurn, s.authenticated(true, s.config.Burn.ServeHTTP))
	}
}

// authenticated wraps next so that it runs only for requests with a valid credential; other
// requests get an error response. With allowCached, a cached credential is accepted. The credential
// is removed from the request before next runs.
func (s *server) authenticated(allowCached bool, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		operator, err := s.auth.authenticate(r, allowCached)
		if err != nil {
			s.fail(w, r, err)
			return
		}
		r = r.WithContext(context.WithValue(r.Context(), operatorKey{}, operator))
		r.Header.Del("Authorization")
		next(w, r)
	}
}

// fail logs err and writes it as an error response.
func (s *server) fail(w http.ResponseWriter, r *http.Request, err error) {
	e := apiError(err)
	fields := []zap.Field{
		zap.String("method", r.Method), zap.String("route", routeOf(r)), zap.String("code", string(e.Code)),
		zap.String("operator", operatorOf(r.Context()).Name), zap.String("remote", r.RemoteAddr),
	}
	if e.Code == CodeInternal {
		fields = append(fields, zap.Error(err))
	}
	s.log.Log(event.AdministrationRefused, fields...)
	writeError(w, e)
}

// logRequests logs the route pattern of each request instead of its path, because the path may
// contain a change token.
func (s *server) logRequests(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		wrapped := middleware.NewWrapResponseWriter(w, r.ProtoMajor)
		next.ServeHTTP(wrapped, r)
		s.log.Log(event.AdministrationServed, zap.String("method", r.Method),
			zap.String("route", routeOf(r)), zap.Int("status", wrapped.Status()))
	})
}

func routeOf(r *http.Request) string {
	if route := chi.RouteContext(r.Context()); route != nil {
		return route.RoutePattern()
	}
	return ""
}
