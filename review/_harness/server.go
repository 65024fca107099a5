package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// server is a stand-in for an application server, as PROTOCOL describes a sound one.
type server struct {
	m      *machine
	id     string
	addr   string
	born   int64
	slots  chan struct{}
	queue  int
	queued atomic.Int64
	seq    atomic.Int64
	http   *http.Server
	// work is how long a request runs.
	work time.Duration
	mu   sync.Mutex
	// state is reported in heartbeats; leftAt is when the leaving was acknowledged.
	state   string
	leftAt  time.Time
	arrived []arrival
	beating context.CancelFunc
}

type arrival struct {
	id  string
	at  time.Time
	ran bool
}

var serverNumber atomic.Int64

func (m *machine) startServer(slots, queue int, work time.Duration) *server {
	s := &server{
		m: m, id: fmt.Sprintf("i-%08x", serverNumber.Add(1)), born: time.Now().UnixMilli(),
		slots: make(chan struct{}, slots), queue: queue, work: work, state: "ready",
	}
	l, err := net.Listen("tcp", m.ip+":0")
	check(err)
	s.addr = l.Addr().String()
	s.http = &http.Server{Handler: s}
	m.server = s
	go func() { _ = s.http.Serve(l) }()
	ctx, cancel := context.WithCancel(context.Background())
	s.beating = cancel
	go func() {
		for ctx.Err() == nil {
			s.beat(s.heartbeat())
			select {
			case <-ctx.Done():
			case <-time.After(1500 * time.Millisecond):
			}
		}
	}()
	m.w.logf("%s: server %s of %s at %s started", m.name, s.id, m.service, s.addr)
	return s
}

// end ends the server without a word.
func (s *server) end() {
	s.beating()
	_ = s.http.Close()
}

// heartbeat returns the body of the next heartbeat.
func (s *server) heartbeat() []byte {
	s.mu.Lock()
	state := s.state
	s.mu.Unlock()
	return s.heartbeatWith(state, s.seq.Add(1))
}

func (s *server) heartbeatWith(state string, seq int64) []byte {
	data, err := json.Marshal(map[string]any{
		"address": s.addr, "born": s.born,
		"info":   map[string]any{"service": s.m.service, "version": "v1", "zone": s.m.zone, "slots": cap(s.slots)},
		"status": map[string]any{"state": state, "seq": seq, "coldLeftS": 0},
	})
	check(err)
	return data
}

// call sends a call to the control address of the machine and reports whether it was acknowledged.
func (s *server) call(method string, body []byte) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+s.m.control+"/v1/instances/"+s.id, bytes.NewReader(body))
	check(err)
	r.Header.Set("Content-Type", "application/json")
	resp, err := s.m.w.http.Do(r)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	answer, _ := io.ReadAll(resp.Body)
	return resp.StatusCode/100 == 2 && len(answer) <= 4096
}

func (s *server) beat(body []byte) bool { return s.call(http.MethodPut, body) }

// leave sends DELETE and no heartbeat after it.
func (s *server) leave() bool {
	s.beating()
	return s.confirmLeft("gone", func() bool { return s.call(http.MethodDelete, nil) })
}

func (s *server) confirmLeft(what string, send func() bool) bool {
	for range 5 {
		if send() {
			s.mu.Lock()
			s.leftAt = time.Now()
			s.mu.Unlock()
			s.m.w.logf("%s: daemon ACKNOWLEDGED that server %s is %s", s.m.name, s.id, what)
			return true
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}

// ServeHTTP runs a request, or refuses it as not run.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Kingcupwood-Request-Id")
	w.Header().Set("Kingcupwood-Instance-Id", s.id)
	if r.URL.Path == "/health" {
		return
	}
	w.Header().Set("Kingcupwood-Request-Id", id)
	if expected := r.Header.Get("Kingcupwood-Expect-Instance"); expected != "" && expected != s.id {
		s.m.w.logf("server %s: 421 for %s, which expects %s", s.id, id, expected)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	at := time.Now()
	refuse := func(status int) {
		s.note(id, at, false)
		w.Header().Set("Kingcupwood-Not-Executed", "1")
		w.WriteHeader(status)
	}
	if id == "" {
		refuse(http.StatusBadRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	left, err := strconv.Atoi(r.Header.Get("Kingcupwood-Request-Deadline"))
	if err != nil {
		left = 10000
	}
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(left)*time.Millisecond)
	defer cancel()
	select {
	case s.slots <- struct{}{}:
	default:
		if int(s.queued.Add(1)) > s.queue {
			s.queued.Add(-1)
			refuse(http.StatusServiceUnavailable)
			return
		}
		select {
		case s.slots <- struct{}{}:
			s.queued.Add(-1)
		case <-ctx.Done():
			s.queued.Add(-1)
			refuse(http.StatusServiceUnavailable)
			return
		}
	}
	defer func() { <-s.slots }()
	s.note(id, at, true)
	w.Header().Set("Kingcupwood-Server-Stamp", "stamp."+s.id+"."+id)
	select {
	case <-time.After(s.work):
	case <-ctx.Done():
		if r.Context().Err() != nil {
			s.m.w.logf("server %s (%s): the run of %s was BROKEN OFF by its caller after %.3f s", s.id, s.m.service, id, time.Since(at).Seconds())
			s.noteBroken(id)
			return
		}
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	_, _ = io.WriteString(w, "done "+id+"\n")
}

func (s *server) note(id string, at time.Time, ran bool) {
	s.mu.Lock()
	s.arrived = append(s.arrived, arrival{id, at, ran})
	s.mu.Unlock()
	if known, ok := s.m.w.requests.Load(id); ok && ran {
		r := known.(*request)
		r.mu.Lock()
		r.runs = append(r.runs, s.id)
		r.ranAt = at
		r.mu.Unlock()
	}
	s.m.w.logf("server %s (%s): %s arrived, ran=%v", s.id, s.m.service, id, ran)
}

func (s *server) noteBroken(id string) {
	if known, ok := s.m.w.requests.Load(id); ok {
		r := known.(*request)
		r.mu.Lock()
		r.brokenAt = time.Now()
		r.mu.Unlock()
	}
}

// lateArrivals returns the requests that reached the server later than drainS after the confirmation.
func (s *server) lateArrivals(drain time.Duration) (late []arrival) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range s.arrived {
		if !s.leftAt.IsZero() && a.at.After(s.leftAt.Add(drain)) {
			late = append(late, a)
		}
	}
	return late
}
