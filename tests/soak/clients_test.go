package soak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"
)

const (
	// clientsPerMachine and clientPause give the load.
	clientsPerMachine = 3
	clientPause       = 40 * time.Millisecond
	// clientAllowance is the time that a client allows, callAllowance that of a call of a server.
	clientAllowance = 3 * time.Second
	callAllowance   = 1500 * time.Millisecond
	// probeInterval separates two looks at the configuration that is in force on a daemon.
	probeInterval = 150 * time.Millisecond
)

// newRequest returns a request for path that has not been sent.
func (w *world) newRequest(path, origin string, allowed time.Duration) *request {
	r := &request{
		id: fmt.Sprintf("q%d", w.ids.Add(1)), method: http.MethodGet, target: path, origin: origin, allowed: allowed, idempotent: path != savePath,
	}
	if path == savePath {
		r.method, r.body = http.MethodPost, bytes.Repeat([]byte(r.id+";"), 1+rand.IntN(300))
	}
	return r
}

// send sends r to the daemon of m with client and checks the answer. It returns the status, 0 without one.
func (w *world) send(ctx context.Context, m *machine, client *http.Client, r *request) int {
	var written atomic.Int64 // Unix nanoseconds of the last byte
	trace := &httptrace.ClientTrace{WroteRequest: func(i httptrace.WroteRequestInfo) {
		if i.Err == nil {
			written.Store(time.Now().UnixNano())
		}
	}}
	ctx, cancel := context.WithTimeout(httptrace.WithClientTrace(ctx, trace), r.allowed+time.Second)
	defer cancel()
	call, err := http.NewRequestWithContext(ctx, r.method, "http://"+m.outbound+r.target, bytes.NewReader(r.body))
	if err != nil {
		w.ledger.violate("request %s: %v", r.id, err)
		return 0
	}
	call.Host = host
	call.GetBody = nil // the library must not send a request twice
	call.Header.Set(headerRequest, r.id)
	call.Header.Set(headerTimeLeft, strconv.FormatInt(r.allowed.Milliseconds(), 10))
	w.ledger.begin(r)
	response, err := client.Do(call)
	var body []byte
	if err == nil {
		defer response.Body.Close()
		body, err = io.ReadAll(response.Body)
	}
	if err != nil {
		if at := written.Load(); w.planned && at > 0 && ctx.Err() == nil && w.ledger.wasCut(r, time.Since(time.Unix(0, at))) {
			w.ledger.violate("request %s to %s was cut during planned work: %v", r.id, m.name, err)
		}
		return 0
	}
	w.ledger.answered(r, response, body)
	if w.planned && response.StatusCode == http.StatusBadGateway {
		w.ledger.violate("request %s to %s failed during planned work: %s", r.id, m.name, body)
	}
	return response.StatusCode
}

// call is the call that a server of m makes while it works on r. It reports whether it succeeded.
func (w *world) call(m *machine, r *http.Request) bool {
	return w.send(r.Context(), m, w.control, w.newRequest(findPath, m.service, callAllowance)) == http.StatusOK
}

// runClients sends requests to the daemon of m until ctx ends. Some clients keep connections, others open one
// for each request.
func (w *world) runClients(ctx context.Context, m *machine) {
	fresh := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	paths := []string{viewPath, viewPath, savePath, findPath, movePath}
	for n := range clientsPerMachine {
		client := m.clients
		if n == 0 {
			client = fresh
		}
		w.jobs.Go(func() {
			for ctx.Err() == nil {
				if m.inUse.Load() {
					r := w.newRequest(paths[rand.IntN(len(paths))], m.service, clientAllowance)
					w.send(context.WithoutCancel(ctx), m, client, r)
				}
				time.Sleep(time.Duration(rand.Int64N(int64(2 * clientPause))))
			}
		})
	}
}

// watchVersion checks that the daemon of m never goes back to an older configuration in a lifetime.
func (w *world) watchVersion(ctx context.Context, m *machine) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	seen, of := 0, int64(0)
	for ctx.Err() == nil {
		time.Sleep(probeInterval)
		lifetime := m.lifetime.Load()
		if lifetime != of {
			seen, of = 0, lifetime
		}
		version := int(w.version.Load())
		if seen > 0 && rand.IntN(2) == 0 {
			version = seen
		}
		status := w.send(context.WithoutCancel(ctx), m, client, w.newRequest(markerPath(version), m.service, time.Second))
		if m.lifetime.Load() != lifetime {
			continue
		}
		switch {
		case status == http.StatusNotFound && version <= seen:
			w.ledger.violate("daemon %s does not know version %d after it has served version %d", m.name, version, seen)
		case status == http.StatusOK:
			seen = max(seen, version)
		}
	}
}

// checkMetrics checks that the daemon of m tells how long requests took.
func (w *world) checkMetrics(m *machine) {
	response, err := http.Get(fmt.Sprintf("http://%s:%d/metrics", m.ip, portMetrics))
	if err != nil {
		w.ledger.violate("metrics of %s: %v", m.name, err)
		return
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil || !bytes.Contains(body, []byte(`"`+services[0]+`/answered":`)) {
		w.ledger.violate("metrics of %s lack the latency of answers: %v", m.name, err)
	}
}

// heals waits until each daemon serves all kinds of requests and the newest configuration.
func (w *world) heals() {
	deadline := time.Now().Add(healLimit)
	for _, m := range w.machines {
		client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
		for _, path := range []string{viewPath, savePath, findPath, movePath, markerPath(int(w.version.Load()))} {
			for good, status := 0, 0; good < 5; {
				status = w.send(context.Background(), m, client, w.newRequest(path, m.service, clientAllowance))
				good++
				if status != http.StatusOK {
					good = 0
					time.Sleep(50 * time.Millisecond)
				}
				if time.Now().After(deadline) {
					w.ledger.violate("daemon %s does not serve %s within %s after the faults, status %d", m.name, path, healLimit, status)
					return
				}
			}
		}
	}
}
