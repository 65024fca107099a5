// Package operator is the administration API of a daemon: operators submit, compare, accept and
// withdraw configurations and ask for the state of the platform and of this daemon.
//
// Every request needs a bearer token whose SHA-256 is in the table. Request headers are never
// logged.
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

// Timeouts of the HTTP server. A response may take as long as the retries of the platform client.
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

// Refusal is a version that a daemon refused as a whole.
type Refusal struct {
	Version snapshot.Version `json:"version"`
	Reason  string           `json:"reason"`
	At      time.Time        `json:"at"`
}

// Daemon gives access to the state of the daemon. Both values may be nil; they are immutable.
type Daemon interface {
	Snapshot() *snapshot.Snapshot
	Endpoints() *endpoint.View
	// LastRefused returns the last version that the daemon refused, and false if there is none.
	LastRefused() (Refusal, bool)
}

// Config of the API.
type Config struct {
	Platform Platform
	Daemon   Daemon
	// Burn serves the service-level report; nil if there is none.
	Burn http.Handler
	// Now is time.Now unless it is set.
	Now func() time.Time
}

type server struct {
	config Config
	auth   *authenticator
	log    *event.Logger
}

// New returns the handler of the API.
func New(config Config, log *event.Logger) http.Handler {
	if config.Now == nil {
		config.Now = time.Now
	}
	s := &server{config: config, auth: newAuthenticator(config.Platform, config.Now), log: log}
	router := chi.NewRouter()
	router.Use(s.record)
	router.Group(s.platformRoutes)
	router.Group(s.daemonRoutes)
	// Unknown paths need a credential as well, so that they do not tell which paths exist.
	router.NotFound(s.authenticated(true, func(w http.ResponseWriter, _ *http.Request) {
		writeError(w, &APIError{Status: http.StatusNotFound, Code: CodeNotFound, Message: "no such path"})
	}))
	router.MethodNotAllowed(s.authenticated(true, func(w http.ResponseWriter, _ *http.Request) {
		writeError(w, &APIError{Status: http.StatusMethodNotAllowed, Code: CodeBadRequest, Message: "the method is not allowed"})
	}))
	return router
}

// NewHTTPServer returns a server with timeouts that suit the API.
func NewHTTPServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: readTimeout, ReadTimeout: readTimeout,
		WriteTimeout: responseTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
}

// platformRoutes need the platform, so their credentials are always looked up there.
func (s *server) platformRoutes(r chi.Router) {
	r.Post(PathDrafts, s.authenticated(false, s.submit))
	r.Get(PathService, s.authenticated(false, s.show))
	r.Get(PathDiff, s.authenticated(false, s.diff))
	r.Post(PathAccept, s.authenticated(false, s.accept))
	r.Post(PathWithdraw, s.authenticated(false, s.withdraw))
	r.Get(PathChange, s.authenticated(false, s.change))
}

// daemonRoutes show the state of this daemon, which operators need most during an outage.
func (s *server) daemonRoutes(r chi.Router) {
	r.Get(PathStatus, s.authenticated(true, s.status))
	r.Get(PathDaemon, s.authenticated(true, s.daemon))
	r.Get(PathEndpoints, s.authenticated(true, s.endpoints))
	r.Get(PathVars, s.authenticated(true, expvar.Handler().ServeHTTP))
	if s.config.Burn != nil {
		r.Get(PathBurn, s.authenticated(true, s.config.Burn.ServeHTTP))
	}
}

// authenticated runs next for a request with a valid credential; others get only an error. The
// credential is removed before next sees the request.
func (s *server) authenticated(offline bool, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		operator, err := s.auth.authenticate(r, offline)
		if err != nil {
			s.fail(w, r, err)
			return
		}
		r = r.WithContext(context.WithValue(r.Context(), operatorKey{}, operator))
		r.Header.Del("Authorization")
		next(w, r)
	}
}

// fail answers with the typed form of err.
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

// record logs each request by its route; the path itself may hold a change token.
func (s *server) record(next http.Handler) http.Handler {
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
