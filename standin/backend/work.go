package backend

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"kingcupwood.example/kingcupwood/agent/peer/call"
	"kingcupwood.example/kingcupwood/pkg/endpoint"
	"kingcupwood.example/kingcupwood/pkg/verdict"
)

// maxBodyBytes is the maximum size of a request body.
const maxBodyBytes = 8 << 20

var errQueueFull = errors.New("no free slot")

// handleRequest simulates the work of a request: it waits for a slot, calls another service if a
// rule applies, waits for the service time and responds.
func (s *Server) handleRequest(w http.ResponseWriter, r *http.Request) {
	if s.state() == endpoint.Starting {
		shed(w, r, "starting")
		return
	}
	if _, err := io.Copy(io.Discard, http.MaxBytesReader(w, r.Body, maxBodyBytes)); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	ctx, cancel := requestContext(r)
	defer cancel()
	if err := s.acquireSlot(ctx); err != nil {
		shed(w, r, err.Error())
		return
	}
	defer func() { <-s.slots }()
	s.runs.add(r.Header.Get(RequestIDHeader))
	if err := s.process(ctx, r); err != nil {
		http.Error(w, err.Error(), http.StatusGatewayTimeout)
		return
	}
	s.reply(w, r)
}

// requestContext returns a context that ends when the daemon closes the connection or when the
// timeout in the request header expires.
func requestContext(r *http.Request) (context.Context, context.CancelFunc) {
	left, err := strconv.Atoi(r.Header.Get(call.TimeoutHeader))
	if err != nil || left <= 0 {
		return context.WithCancel(r.Context())
	}
	return context.WithTimeout(r.Context(), time.Duration(left)*time.Millisecond)
}

// shed refuses a request with the verdict that it has not run. The ID of the attempt proves to the
// daemon that the refusal is not a copy of an earlier one.
func shed(w http.ResponseWriter, r *http.Request, reason string) {
	w.Header().Set(verdict.Header, verdict.NotRun.String())
	w.Header().Set(call.AttemptHeader, r.Header.Get(call.AttemptHeader))
	http.Error(w, reason, http.StatusServiceUnavailable)
}

func (s *Server) acquireSlot(ctx context.Context) error {
	select {
	case s.slots <- struct{}{}:
		return nil
	default:
	}
	defer s.waiting.Add(-1)
	if int(s.waiting.Add(1)) > s.settings.Work.Queue {
		return errQueueFull
	}
	select {
	case s.slots <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s *Server) process(ctx context.Context, r *http.Request) error {
	if to, ok := matchLongestPrefix(s.calls, r.URL.Path); ok {
		if err := s.call(ctx, r, to); err != nil {
			return err
		}
	}
	serviceTime := s.settings.Work.ServiceTime
	if specific, ok := matchLongestPrefix(s.serviceTimes, r.URL.Path); ok {
		serviceTime = specific
	}
	timer := time.NewTimer(serviceTime)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// call sends a request to another service through the daemon. It passes on the depth, attempt and
// request ID of r, and the time left as timeout.
func (s *Server) call(ctx context.Context, r *http.Request, to callTarget) error {
	url := "http://" + s.settings.Daemon.Call.String() + to.path
	out, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	out.Host = to.service
	if deadline, ok := ctx.Deadline(); ok {
		out.Header.Set(call.TimeoutHeader, strconv.FormatInt(max(time.Until(deadline).Milliseconds(), 1), 10))
	}
	for _, name := range []string{call.DepthHeader, call.AttemptHeader, RequestIDHeader} {
		if value := r.Header.Get(name); value != "" {
			out.Header.Set(name, value)
		}
	}
	resp, err := s.client.Do(out)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return err
	}
	if resp.StatusCode >= http.StatusInternalServerError {
		return errors.Errorf("call to %s: status %d", to.service, resp.StatusCode)
	}
	return nil
}

// reply sends the request ID, the path and the number of runs, padded to the configured size, so
// that the sender can check that the response belongs to its request.
func (s *Server) reply(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(RequestIDHeader)
	body := fmt.Appendf(nil, "%s %s %d\n", id, r.URL.Path, s.runs.count(id))
	if missing := s.settings.Work.ResponseBytes - len(body); missing > 0 {
		body = append(body, bytes.Repeat([]byte{'.'}, missing)...)
	}
	w.Header().Set(RequestIDHeader, id)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body)
}
