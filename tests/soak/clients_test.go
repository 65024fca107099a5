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
	// clientsPerMachine and clientPause set the load; the pause is the mean pause between two
	// requests of a client.
	clientsPerMachine = 3
	clientPause       = 40 * time.Millisecond
	// clientTimeout is the timeout of a client's request, callTimeout that of a call made by a
	// server.
	clientTimeout = 3 * time.Second
	callTimeout   = 1500 * time.Millisecond
	// probeInterval is the interval at which the configuration in force on a daemon is checked.
	probeInterval = 150 * time.Millisecond
)

// newRequest returns an unsent request for path.
func (c *cluster) newRequest(path, origin string, timeout time.Duration) *request {
	r := &request{
		id: fmt.Sprintf("q%d", c.ids.Add(1)), method: http.MethodGet, target: path, origin: origin, timeout: timeout, idempotent: path != savePath,
	}
	if path == savePath {
		r.method, r.body = http.MethodPost, bytes.Repeat([]byte(r.id+";"), 1+rand.IntN(300))
	}
	return r
}

// send sends r to the daemon of m with client and checks the response. It returns the status, or 0
// if there was no response.
func (c *cluster) send(ctx context.Context, m *machine, client *http.Client, r *request) int {
	var written atomic.Int64 // Unix nanoseconds of the last byte
	trace := &httptrace.ClientTrace{WroteRequest: func(i httptrace.WroteRequestInfo) {
		if i.Err == nil {
			written.Store(time.Now().UnixNano())
		}
	}}
	ctx, cancel := context.WithTimeout(httptrace.WithClientTrace(ctx, trace), r.timeout+time.Second)
	defer cancel()
	call, err := http.NewRequestWithContext(ctx, r.method, "http://"+m.outbound+r.target, bytes.NewReader(r.body))
	if err != nil {
		c.ledger.report("request %s: %v", r.id, err)
		return 0
	}
	call.Host = host
	call.GetBody = nil // the library must not send a request twice
	call.Header.Set(headerRequest, r.id)
	call.Header.Set(headerTimeLeft, strconv.FormatInt(r.timeout.Milliseconds(), 10))
	c.ledger.begin(r)
	response, err := client.Do(call)
	var body []byte
	if err == nil {
		defer response.Body.Close()
		body, err = io.ReadAll(response.Body)
	}
	if err != nil {
		if at := written.Load(); c.planned && at > 0 && ctx.Err() == nil && c.ledger.wasCut(r, time.Since(time.Unix(0, at))) {
			c.ledger.report("request %s to %s was cut off during planned work: %v", r.id, m.name, err)
		}
		return 0
	}
	c.ledger.responseReceived(r, response, body)
	if c.planned && response.StatusCode == http.StatusBadGateway {
		c.ledger.report("request %s to %s failed during planned work: %s", r.id, m.name, body)
	}
	return response.StatusCode
}

// call makes the nested call of a server of m that processes r, and reports whether it succeeded.
func (c *cluster) call(m *machine, r *http.Request) bool {
	return c.send(r.Context(), m, c.control, c.newRequest(findPath, m.service, callTimeout)) == http.StatusOK
}

// runClients sends requests to the daemon of m until ctx ends. One client opens a connection for
// each request, the others reuse theirs.
func (c *cluster) runClients(ctx context.Context, m *machine) {
	fresh := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	paths := []string{viewPath, viewPath, savePath, findPath, movePath}
	for n := range clientsPerMachine {
		client := m.clients
		if n == 0 {
			client = fresh
		}
		c.jobs.Go(func() {
			for ctx.Err() == nil {
				if m.inUse.Load() {
					r := c.newRequest(paths[rand.IntN(len(paths))], m.service, clientTimeout)
					c.send(context.WithoutCancel(ctx), m, client, r)
				}
				time.Sleep(time.Duration(rand.Int64N(int64(2 * clientPause))))
			}
		})
	}
}

// watchVersion checks that the daemon of m never returns to an older configuration while its
// process runs.
func (c *cluster) watchVersion(ctx context.Context, m *machine) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	seen, of := 0, int64(0)
	for ctx.Err() == nil {
		time.Sleep(probeInterval)
		lifetime := m.lifetime.Load()
		if lifetime != of {
			seen, of = 0, lifetime
		}
		version := int(c.version.Load())
		if seen > 0 && rand.IntN(2) == 0 {
			version = seen
		}
		status := c.send(context.WithoutCancel(ctx), m, client, c.newRequest(markerPath(version), m.service, time.Second))
		if m.lifetime.Load() != lifetime {
			continue
		}
		switch {
		case status == http.StatusNotFound && version <= seen:
			c.ledger.report("daemon %s returned not found for version %d after it had served version %d", m.name, version, seen)
		case status == http.StatusOK:
			seen = max(seen, version)
		}
	}
}

// checkMetrics checks that the metrics of the daemon of m include the latency of requests.
func (c *cluster) checkMetrics(m *machine) {
	response, err := http.Get(fmt.Sprintf("http://%s:%d/metrics", m.ip, portMetrics))
	if err != nil {
		c.ledger.report("metrics of %s: %v", m.name, err)
		return
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil || !bytes.Contains(body, []byte(`"`+services[0]+`/answered":`)) {
		c.ledger.report("metrics of %s lack the latency of responses: %v", m.name, err)
	}
}

// waitHealthy waits until each daemon serves all kinds of requests and the newest configuration.
func (c *cluster) waitHealthy() {
	deadline := time.Now().Add(healthyTimeout)
	for _, m := range c.machines {
		client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
		for _, path := range []string{viewPath, savePath, findPath, movePath, markerPath(int(c.version.Load()))} {
			for good, status := 0, 0; good < 5; {
				status = c.send(context.Background(), m, client, c.newRequest(path, m.service, clientTimeout))
				good++
				if status != http.StatusOK {
					good = 0
					time.Sleep(50 * time.Millisecond)
				}
				if time.Now().After(deadline) {
					c.ledger.report("daemon %s does not serve %s within %s after the faults, status %d", m.name, path, healthyTimeout, status)
					return
				}
			}
		}
	}
}
