package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Headers of requests and answers.
const (
	headerRequest = "Kingcupwood-Request-Id"
	headerExpect  = "Kingcupwood-Expect-Instance"
	headerStamp   = "Kingcupwood-Server-Stamp"
	headerNotRun  = "Kingcupwood-Not-Executed"
)

// beatInterval is heartbeatS of the settings, beatTimeout the time within which a heartbeat is confirmed.
const (
	beatInterval = 1500 * time.Millisecond
	beatTimeout  = time.Second
)

// workTime is how long a server works on a request unless a case sets another time.
const workTime = 250 * time.Millisecond

// run is a request that a server has begun to work on.
type run struct {
	id, method string
	at         time.Time
}

// server is one lifetime of the server on a machine. It runs all requests at the same time.
type server struct {
	m            *machine
	id, address  string
	born         int64
	listener     net.Listener
	sequence     atomic.Int64
	state        atomic.Value
	stopBeats    chan struct{}
	stopBeatOnce sync.Once
	// work is how long the server works on a request.
	work time.Duration

	mu    sync.Mutex
	runs  []run
	conns []net.Conn
}

// newServer starts a server; it does not announce itself yet.
func newServer(m *machine, id string) *server {
	listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", m.ip, portServer))
	check(err)
	s := &server{m: m, id: id, born: time.Now().UnixMilli(), address: listener.Addr().String(), listener: listener, stopBeats: make(chan struct{}), work: workTime}
	s.state.Store("ready")
	m.d.rec.log("server %s starts on %s, born %d", id, m.name, s.born)
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns = append(s.conns, c)
			s.mu.Unlock()
			go s.serve(c)
		}
	}()
	return s
}

func (s *server) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		id := r.Header.Get(headerRequest)
		if r.Header.Get(headerExpect) != s.id {
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\n%s: %s\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", headerRequest, id, headerNotRun)
			continue
		}
		s.mu.Lock()
		s.runs = append(s.runs, run{id, r.Method, time.Now()})
		s.mu.Unlock()
		s.m.d.rec.log("server %s runs %s %s %s, %d bytes", s.id, id, r.Method, r.RequestURI, len(body))
		time.Sleep(s.work)
		text := "answer to " + id
		if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s.%s\r\nContent-Length: %d\r\n\r\n%s", headerRequest, id, headerStamp, s.id, id, len(text), text); err != nil {
			return
		}
	}
}

// beat returns the next heartbeat.
func (s *server) beat() []byte {
	return fmt.Appendf(nil, `{"address":%q,"info":{"service":%q,"version":"v1","zone":%q,"slots":12},"status":{"state":%q,"seq":%d,"coldLeftS":0},"born":%d}`,
		s.address, s.m.service, s.m.zone, s.state.Load(), s.sequence.Add(1), s.born)
}

// tell sends a call about the server to an address and returns the status, 0 without an answer in time.
func (s *server) tell(address, method string, body []byte) int {
	client := http.Client{Timeout: beatTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := http.NewRequest(method, "http://"+address+"/v1/instances/"+s.id, bytes.NewReader(body))
	check(err)
	r.Header.Set("Content-Type", "application/json")
	status := 0
	if response, err := client.Do(r); err == nil {
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		status = response.StatusCode
	}
	s.m.d.rec.log("server %s sends %s %s: %d", s.id, method, body, status)
	return status
}

// announce sends heartbeats until quiet.
func (s *server) announce() {
	go func() {
		for {
			s.tell(s.m.control, http.MethodPut, s.beat())
			select {
			case <-s.stopBeats:
				return
			case <-time.After(beatInterval):
			}
		}
	}()
}

func (s *server) quiet() { s.stopBeatOnce.Do(func() { close(s.stopBeats) }) }

// leave sends DELETE, again while it is not confirmed, and returns the time of the confirmation.
func (s *server) leave() time.Time {
	const tries = 5
	s.quiet()
	for range tries {
		if s.tell(s.m.control, http.MethodDelete, nil) == http.StatusOK {
			return time.Now()
		}
	}
	check(fmt.Errorf("the leaving of %s is not confirmed", s.id))
	return time.Time{}
}

// crash ends the server at once.
func (s *server) crash() {
	s.quiet()
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		_ = c.Close()
	}
	s.m.d.rec.log("server %s has ended", s.id)
}

// runsSince returns the requests that the server has begun to run after at.
func (s *server) runsSince(at time.Time) (late []run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.runs {
		if r.at.After(at) {
			late = append(late, r)
		}
	}
	return late
}
