package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Headers of the pages.
const (
	headerRequest  = "Kingcupwood-Request-Id"
	headerDeadline = "Kingcupwood-Request-Deadline"
	headerExpect   = "Kingcupwood-Expect-Instance"
	headerCaller   = "Kingcupwood-Caller-Service"
	headerStamp    = "Kingcupwood-Server-Stamp"
	headerNotRun   = "Kingcupwood-Not-Executed"
	headerInstance = "Kingcupwood-Instance-Id"
)

const heartbeatInterval = 1500 * time.Millisecond

// server is an application server as the pages describe it: it runs what it gets, with a stamp in each answer.
type server struct {
	m       *machine
	id      string
	slots   int
	born    int64
	addr    string
	http    *http.Server
	state   atomic.Value
	seq     atomic.Int64
	stamps  atomic.Int64
	beating context.CancelFunc
	control *http.Client
	// run serves a request in place of the usual answer if it is set; it returns false for the usual one.
	run func(w http.ResponseWriter, r *http.Request, body []byte) bool

	mu   sync.Mutex
	runs map[string]int
}

func startServer(m *machine, id string, slots int) (*server, error) {
	l, err := net.Listen("tcp", m.ip+":0")
	if err != nil {
		return nil, err
	}
	s := &server{m: m, id: id, slots: slots, born: time.Now().UnixMilli(), addr: l.Addr().String(), runs: map[string]int{},
		control: &http.Client{Timeout: time.Second}}
	s.state.Store("ready")
	s.http = &http.Server{Handler: s}
	go func() { _ = s.http.Serve(l) }()
	ctx, cancel := context.WithCancel(context.Background())
	s.beating = cancel
	go func() {
		for {
			s.beat()
			select {
			case <-ctx.Done():
				return
			case <-time.After(heartbeatInterval):
			}
		}
	}()
	m.srv = s
	return s, nil
}

func (s *server) close() {
	s.beating()
	_ = s.http.Close()
}

// beat sends a heartbeat and reports whether it was acknowledged.
func (s *server) beat() bool {
	return s.call(http.MethodPut, s.beatBody(s.state.Load().(string)))
}

func (s *server) beatBody(state string) string {
	return fmt.Sprintf(`{"address":%q,"born":%d,"info":{"service":%q,"version":"v1","zone":%q,"slots":%d},"status":{"state":%q,"seq":%d,"coldLeftS":0}}`,
		s.addr, s.born, s.m.service, s.m.zone, s.slots, state, s.seq.Add(1))
}

// call sends a call of the server's registration.
func (s *server) call(method, body string) bool {
	r, err := http.NewRequest(method, "http://"+s.m.ip+":"+s.m.control+"/v1/instances/"+s.id, bytes.NewBufferString(body))
	if err != nil {
		return false
	}
	r.Header.Set("Content-Type", "application/json")
	resp, err := s.control.Do(r)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode/100 == 2
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(headerRequest)
	if r.URL.Path == "/health" {
		w.Header().Set(headerInstance, s.id)
		return
	}
	w.Header().Set(headerRequest, id)
	if want := r.Header.Get(headerExpect); want != "" && want != s.id {
		w.Header().Set(headerInstance, s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	s.runs[id]++
	s.mu.Unlock()
	if s.run != nil && s.run(w, r, body) {
		return
	}
	w.Header().Set(headerStamp, s.stamp())
	fmt.Fprintf(w, "ran %s: %d bytes", id, len(body))
}

func (s *server) stamp() string { return fmt.Sprintf("%s.%d", s.id, s.stamps.Add(1)) }

func (s *server) ran(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}
