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

// maxBodyBytes limits the bodies that the stand-in reads.
const maxBodyBytes = 8 << 20

var errQueueFull = errors.New("no free slot")

// work runs a request: it waits for a slot, calls other services, takes the service time and replies.
func (s *Server) work(w http.ResponseWriter, r *http.Request) {
	if s.state() == endpoint.Starting {
		shed(w, "starting")
		return
	}
	if _, err := io.Copy(io.Discard, http.MaxBytesReader(w, r.Body, maxBodyBytes)); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	ctx, cancel := requestContext(r)
	defer cancel()
	if err := s.takeSlot(ctx); err != nil {
		shed(w, err.Error())
		return
	}
	defer func() { <-s.slots }()
	s.runs.add(r.Header.Get(RequestIDHeader))
	if err := s.run(ctx, r); err != nil {
		http.Error(w, err.Error(), http.StatusGatewayTimeout)
		return
	}
	s.reply(w, r)
}

// requestContext ends with the connection of the daemon or the time left according to it.
func requestContext(r *http.Request) (context.Context, context.CancelFunc) {
	left, err := strconv.Atoi(r.Header.Get(call.TimeoutHeader))
	if err != nil || left <= 0 {
		return context.WithCancel(r.Context())
	}
	return context.WithTimeout(r.Context(), time.Duration(left)*time.Millisecond)
}

// shed refuses a request that has not run.
func shed(w http.ResponseWriter, reason string) {
	w.Header().Set(verdict.Header, verdict.NotRun.String())
	http.Error(w, reason, http.StatusServiceUnavailable)
}

func (s *Server) takeSlot(ctx context.Context) error {
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

func (s *Server) run(ctx context.Context, r *http.Request) error {
	if to, ok := longest(s.calls, r.URL.Path); ok {
		if err := s.call(ctx, r, to); err != nil {
			return err
		}
	}
	left := s.settings.Work.ServiceTime
	if specific, ok := longest(s.times, r.URL.Path); ok {
		left = specific
	}
	timer := time.NewTimer(left)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// call sends a request to another service through the daemon, with the timeout, depth, attempt and ID of r.
func (s *Server) call(ctx context.Context, r *http.Request, to target) error {
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

// reply sends the request ID, the path and the number of runs, padded to the configured size, so that
// a caller can tell whether the response belongs to its request.
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
