package soak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Headers of the platform.
const (
	headerRequest  = "Kingcupwood-Request-Id"
	headerTimeLeft = "Kingcupwood-Request-Deadline"
	headerExpect   = "Kingcupwood-Expect-Instance"
	headerOrigin   = "Kingcupwood-Caller-Service"
	headerStamp    = "Kingcupwood-Server-Stamp"
	headerNotRun   = "Kingcupwood-Not-Executed"
)

const (
	// slots and queued bound the requests at a server.
	slots, queued = 6, 12
	// beatInterval separates two heartbeats of a server, beatTimeout bounds one.
	beatInterval = 400 * time.Millisecond
	beatTimeout  = time.Second
	// drainTime is how long a server serves on after its leave was confirmed.
	drainTime = 2 * time.Second
)

// server is one lifetime of the backend server of a machine.
type server struct {
	w       *world
	m       *machine
	id      string
	born    int64
	http    *http.Server
	relay   *relay
	places  chan struct{}
	running chan struct{}
	state   atomic.Value // "ready" or "draining"
	// drained is the Unix time in nanoseconds at which the daemon confirmed that the server leaves.
	drained  atomic.Int64
	sequence atomic.Int64
	stamps   atomic.Int64 // answers so far; each has a stamp of its own
	stop     context.CancelFunc
	beats    sync.WaitGroup
	// loseAnswers and fail are the shares of requests in percent that run without an answer, and that
	// fail after they have run.
	loseAnswers, fail atomic.Int64
}

// startServer starts a new lifetime of the server of m.
func startServer(w *world, m *machine, id string) (*server, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(m.ip, "0"))
	if err != nil {
		return nil, err
	}
	front, err := newRelay(net.JoinHostPort(m.ip, "0"), listener.Addr().String())
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &server{
		w: w, m: m, id: id, born: time.Now().UnixMilli(), relay: front, stop: cancel,
		places: make(chan struct{}, slots+queued), running: make(chan struct{}, slots),
	}
	s.state.Store("ready")
	s.http = &http.Server{Handler: s}
	go func() { _ = s.http.Serve(listener) }()
	s.beats.Go(func() {
		for ctx.Err() == nil {
			s.beat()
			select {
			case <-ctx.Done():
			case <-time.After(beatInterval):
			}
		}
	})
	return s, nil
}

// beat sends a heartbeat and reports whether it was confirmed.
func (s *server) beat() bool {
	body := fmt.Sprintf(`{"address":%q,"info":{"service":%q,"version":"v1","zone":%q,"slots":%d},"status":{"state":%q,"seq":%d,"coldLeftS":0},"born":%d}`,
		s.relay.address(), s.m.service, s.m.zone, slots, s.state.Load(), s.sequence.Add(1), s.born)
	return s.tell(http.MethodPut, []byte(body))
}

func (s *server) tell(method string, body []byte) bool {
	ctx, cancel := context.WithTimeout(context.Background(), beatTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+s.m.control+"/v1/instances/"+s.id, bytes.NewReader(body))
	if err != nil {
		return false
	}
	response, err := s.w.control.Do(r)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// leave lets the server drain and end. Abrupt ones only say that they leave.
func (s *server) leave(abrupt bool) {
	s.state.Store("draining")
	for range 5 {
		confirmed := false
		if abrupt {
			s.end()
			confirmed = s.tell(http.MethodDelete, nil)
		} else {
			confirmed = s.beat()
		}
		if confirmed {
			s.drained.Store(time.Now().UnixNano())
			time.Sleep(drainTime)
			break
		}
		time.Sleep(beatInterval)
	}
	s.end()
	if !abrupt {
		s.tell(http.MethodDelete, nil)
	}
	ctx, cancel := context.WithTimeout(context.Background(), drainTime)
	defer cancel()
	_ = s.http.Shutdown(ctx) // what is left then is cut by crash
	s.crash()
}

// end stops the heartbeats.
func (s *server) end() {
	s.stop()
	s.beats.Wait()
}

// crash ends the server at once.
func (s *server) crash() {
	s.stop()
	_ = s.http.Close()
	s.relay.close()
}

// ServeHTTP runs one request as the platform's servers do.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the daemon broke the request off
	}
	id := r.Header.Get(headerRequest)
	w.Header().Set(headerRequest, id)
	if r.Header.Get(headerExpect) != s.id {
		w.Header().Set(headerNotRun, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	select {
	case s.places <- struct{}{}:
	default:
		w.Header().Set(headerNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-s.places }()
	select {
	case s.running <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-s.running }()
	s.run(w, r, id, body)
}

func (s *server) run(w http.ResponseWriter, r *http.Request, id string, body []byte) {
	s.w.ledger.ran(s, r, id, body)
	time.Sleep(time.Duration(2+rand.IntN(20)) * time.Millisecond)
	status := http.StatusOK
	if r.URL.Path == viewPath && rand.IntN(2) == 0 && !s.w.call(s.m, r) || rand.Int64N(100) < s.fail.Load() {
		status = http.StatusInternalServerError
	}
	if rand.Int64N(100) < s.loseAnswers.Load() {
		panic(http.ErrAbortHandler) // closes the connection without an answer
	}
	answer := answerTo(id, r.Method, r.RequestURI, body)
	if status != http.StatusOK {
		answer = []byte("failed")
	}
	stamp := fmt.Sprintf("stamp-%s-%d", s.id, s.stamps.Add(1))
	s.w.ledger.ended(id, stamp, status)
	w.Header().Set(headerStamp, stamp)
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	w.WriteHeader(status)
	_, _ = w.Write(answer) // the daemon has gone if this fails
}
