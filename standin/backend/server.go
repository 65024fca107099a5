package backend

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"kingcupwood.example/kingcupwood/lib/event"
	"kingcupwood.example/kingcupwood/pkg/endpoint"
)

// Paths of the control endpoints. Requests for all other paths are simulated work.
const (
	controlPrefix = "/standin"
	HealthPath    = controlPrefix + "/health"
	LoadPath      = controlPrefix + "/load"
	RunsPath      = controlPrefix + "/runs"
	DrainPath     = controlPrefix + "/drain"
)

// Server is a stand-in for a backend server.
type Server struct {
	settings     *Settings
	log          *event.Logger
	serviceTimes []prefixRule[time.Duration]
	calls        []prefixRule[callTarget]
	client       *http.Client
	slots        chan struct{}
	waiting      atomic.Int32
	runs         runs
	readyAt      time.Time
	history      history
	address      string // address in the announcements; set by Run
	unused       unusedConns

	drainOnce sync.Once
	draining  chan struct{}
}

// NewServer returns a server for settings that Load has checked.
func NewServer(s *Settings, log *event.Logger) (*Server, error) {
	times, err := parseRules(s.Work.ServiceTimes, parseServiceTime)
	if err != nil {
		return nil, errors.Wrap(err, "service-times")
	}
	calls, err := parseRules(s.Work.Calls, parseCallTarget)
	if err != nil {
		return nil, errors.Wrap(err, "calls")
	}
	return &Server{
		settings: s, log: log, serviceTimes: times, calls: calls,
		client:   &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: s.Server.Slots}},
		slots:    make(chan struct{}, s.Server.Slots),
		readyAt:  time.Now().Add(s.Server.ColdStart),
		draining: make(chan struct{}),
	}, nil
}

// Handler returns the HTTP handler for the control endpoints and the simulated work.
func (s *Server) Handler() http.Handler {
	router := chi.NewRouter()
	router.Get(HealthPath, s.health)
	router.Get(LoadPath, s.load)
	router.Get(RunsPath, s.reportRuns)
	router.Post(DrainPath, func(w http.ResponseWriter, _ *http.Request) {
		s.Drain()
		w.WriteHeader(http.StatusAccepted)
	})
	router.NotFound(s.handleRequest)
	router.MethodNotAllowed(s.handleRequest)
	return router
}

// Drain starts draining: Run announces it and returns once the requests in flight are done.
func (s *Server) Drain() {
	s.drainOnce.Do(func() {
		s.log.Log(event.StandinBackendDraining, zap.String("service", s.settings.Server.Service))
		close(s.draining)
	})
}

func (s *Server) state() endpoint.State {
	select {
	case <-s.draining:
		return endpoint.Draining
	default:
	}
	if time.Now().Before(s.readyAt) {
		return endpoint.Starting
	}
	return endpoint.Ready
}

// Run serves on l and announces the server until ctx ends or Drain is called. It then announces
// draining, keeps accepting requests for the drain notice, waits for the requests in flight and
// returns nil. It returns an error if serving fails or if the requests in flight take longer than
// the drain timeout.
func (s *Server) Run(ctx context.Context, l net.Listener) error {
	s.address = l.Addr().String()
	server := &http.Server{Handler: s.Handler(), ReadHeaderTimeout: time.Minute, ConnState: s.unused.trackState}
	failed := make(chan error, 1)
	go func() {
		failed <- server.Serve(newLimitListener(l, s.settings.Server.Connections, s.settings.Server.ConnectCost))
	}()
	background, stop := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { s.announceLoop(background) })
	group.Go(func() { s.history.record(background, s.settings.Failures.ReportLag, s.currentSample) })
	defer s.client.CloseIdleConnections()
	defer group.Wait()
	defer stop()
	s.log.Log(event.StandinBackendStarted, zap.String("service", s.settings.Server.Service), zap.Stringer("address", l.Addr()))
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
		s.Drain()
	case <-s.draining:
	}
	return s.shutdown(server)
}

func (s *Server) shutdown(server *http.Server) error {
	s.announceOnce(context.Background())
	time.Sleep(s.settings.Server.DrainNotice)
	ctx, cancel := context.WithTimeout(context.Background(), s.settings.Server.DrainTimeout)
	defer cancel()
	s.unused.close()
	err := server.Shutdown(ctx)
	s.log.Log(event.StandinBackendStopped, zap.String("service", s.settings.Server.Service), zap.Error(err))
	return err
}
