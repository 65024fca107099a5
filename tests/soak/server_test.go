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

// Headers between daemon and server.
const (
	headerRequest  = "Kingcupwood-Request-Id"
	headerTimeLeft = "Kingcupwood-Request-Deadline"
	headerExpect   = "Kingcupwood-Expect-Instance"
	headerOrigin   = "Kingcupwood-Caller-Service"
	headerStamp    = "Kingcupwood-Server-Stamp"
	headerNotRun   = "Kingcupwood-Not-Executed"
)

const (
	// slots and queued limit the running and the waiting requests of a server.
	slots, queued = 6, 12
	// heartbeatInterval is the time between heartbeats of a server, heartbeatTimeout the timeout of
	// each.
	heartbeatInterval = 400 * time.Millisecond
	heartbeatTimeout  = time.Second
	// drainTime is how long a server continues to serve after its draining was confirmed.
	drainTime = 2 * time.Second
)

// server is one lifetime of the backend server of a machine.
type server struct {
	c       *cluster
	m       *machine
	id      string
	born    int64
	http    *http.Server
	relay   *relay
	places  chan struct{}
	running chan struct{}
	state   atomic.Value // "ready" or "draining"
	// drained is the Unix time in nanoseconds at which the daemon confirmed that the server is
	// draining.
	drained    atomic.Int64
	sequence   atomic.Int64
	stamps     atomic.Int64 // number of responses; each has its own stamp
	stop       context.CancelFunc
	heartbeats sync.WaitGroup
	// dropResponses and fail are the shares of requests in percent that run but get no response,
	// and that run but fail.
	dropResponses, fail atomic.Int64
}

// startServer starts a new lifetime of the server of m.
func startServer(c *cluster, m *machine, id string) (*server, error) {
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
		c: c, m: m, id: id, born: time.Now().UnixMilli(), relay: front, stop: cancel,
		places: make(chan struct{}, slots+queued), running: make(chan struct{}, slots),
	}
	s.state.Store("ready")
	s.http = &http.Server{Handler: s}
	go func() { _ = s.http.Serve(listener) }()
	s.heartbeats.Go(func() {
		for ctx.Err() == nil {
			s.sendHeartbeat()
			select {
			case <-ctx.Done():
			case <-time.After(heartbeatInterval):
			}
		}
	})
	return s, nil
}

// sendHeartbeat sends a heartbeat and reports whether it was confirmed.
func (s *server) sendHeartbeat() bool {
	body := fmt.Sprintf(`{"address":%q,"info":{"service":%q,"version":"v1","zone":%q,"slots":%d},"status":{"state":%q,"seq":%d,"coldLeftS":0},"born":%d}`,
		s.relay.address(), s.m.service, s.m.zone, slots, s.state.Load(), s.sequence.Add(1), s.born)
	return s.sendInstance(http.MethodPut, []byte(body))
}

// sendInstance sends a request for the instance of s to the daemon and reports whether it returned
// 200. sendInstance sends a request for the instance of s to the daemon and reports whether it
// returned 200. sendInstance sends a request for the instance of s to the daemon and reports
// whether it returned 200.
func (s *server) sendInstance(method string, body []byte) bool {
	ctx, cancel := context.WithTimeout(context.Background(), heartbeatTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+s.m.control+"/v1/instances/"+s.id, bytes.NewReader(body))
	if err != nil {
		return false
	}
	response, err := s.c.control.Do(r)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// drain drains the server and ends it. With abrupt set it deletes its registration at once instead
// of reporting the state draining first.
func (s *server) drain(abrupt bool) {
	s.state.Store("draining")
	for range 5 {
		confirmed := false
		if abrupt {
			s.stopHeartbeats()
			confirmed = s.sendInstance(http.MethodDelete, nil)
		} else {
			confirmed = s.sendHeartbeat()
		}
		if confirmed {
			s.drained.Store(time.Now().UnixNano())
			time.Sleep(drainTime)
			break
		}
		time.Sleep(heartbeatInterval)
	}
	s.stopHeartbeats()
	if !abrupt {
		s.sendInstance(http.MethodDelete, nil)
	}
	ctx, cancel := context.WithTimeout(context.Background(), drainTime)
	defer cancel()
	_ = s.http.Shutdown(ctx) // crash closes the remaining connections
	s.crash()
}

// stopHeartbeats stops the heartbeats.
func (s *server) stopHeartbeats() {
	s.stop()
	s.heartbeats.Wait()
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
		return // the daemon aborted the request
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
	s.c.ledger.runStarted(s, r, id, body)
	time.Sleep(time.Duration(2+rand.IntN(20)) * time.Millisecond)
	status := http.StatusOK
	if r.URL.Path == viewPath && rand.IntN(2) == 0 && !s.c.call(s.m, r) || rand.Int64N(100) < s.fail.Load() {
		status = http.StatusInternalServerError
	}
	if rand.Int64N(100) < s.dropResponses.Load() {
		panic(http.ErrAbortHandler) // closes the connection without a response
	}
	response := responseBody(id, r.Method, r.RequestURI, body)
	if status != http.StatusOK {
		response = []byte("failed")
	}
	stamp := fmt.Sprintf("stamp-%s-%d", s.id, s.stamps.Add(1))
	s.c.ledger.runEnded(id, stamp, status)
	w.Header().Set(headerStamp, stamp)
	w.Header().Set("Content-Length", strconv.Itoa(len(response)))
	w.WriteHeader(status)
	_, _ = w.Write(response) // a failure means that the daemon closed the connection
}
