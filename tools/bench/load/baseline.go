package main

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"kingcupwood.example/kingcupwood/agent/peer/call"
	"kingcupwood.example/kingcupwood/pkg/snapshot"
	"kingcupwood.example/kingcupwood/pkg/verdict"
)

// Policies. The ranked one is that of the daemon.
const (
	policyRanked = "ranked"
	policyFIFO   = "fifo"
	policyStrict = "strict"
)

const maxBodyBytes = 4 << 20

// baseline stands in for the daemon of an instance in a comparison. It passes requests for its own
// service through a queue to its backend server, and others to a random instance of their service.
type baseline struct {
	service string
	backend string
	peers   map[string][]string // addresses by service
	snap    *snapshot.Snapshot
	queue   *queue
	client  *http.Client
}

// baselineOptions are the options of a baseline process.
type baselineOptions struct {
	policy, service, listen, backend string
	// peers holds entries "service=address" separated by commas.
	peers, answers string
	slots          int
	scale          float64
}

// serveBaseline runs a baseline process until ctx ends.
func serveBaseline(ctx context.Context, o baselineOptions) error {
	users, err := loadUsers(o.answers, o.scale)
	if err != nil {
		return err
	}
	b := &baseline{
		service: o.service, backend: o.backend, peers: map[string][]string{}, queue: newQueue(o.policy, o.slots),
		client: &http.Client{Transport: &http.Transport{MaxIdleConns: maxOpen, MaxIdleConnsPerHost: idlePerDaemon}},
	}
	for _, u := range users {
		for _, s := range u.services {
			if b.snap, err = b.snap.With(nextVersion(b.snap), s, 1); err != nil {
				return err
			}
		}
	}
	for _, item := range strings.Split(o.peers, ",") {
		service, addr, _ := strings.Cut(item, "=")
		b.peers[service] = append(b.peers[service], addr)
	}
	l, err := net.Listen("tcp", o.listen)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: b, ReadHeaderTimeout: time.Minute}
	stop := context.AfterFunc(ctx, func() { _ = server.Shutdown(context.Background()) })
	defer stop()
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

func nextVersion(s *snapshot.Snapshot) snapshot.Version {
	if s == nil {
		return 1
	}
	return s.Version + 1
}

// ServeHTTP implements http.Handler.
func (b *baseline) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Host != b.service {
		peers := b.peers[r.Host]
		if len(peers) == 0 {
			refuse(w, "no such service")
			return
		}
		b.forward(r.Context(), w, r, peers[rand.IntN(len(peers))])
		return
	}
	_, kind, ok := b.snap.Match(r.Host, r.Method, r.URL.Path)
	if !ok {
		refuse(w, "no such kind")
		return
	}
	timeout := kind.Deadline
	if ms, err := strconv.Atoi(r.Header.Get(call.TimeoutHeader)); err == nil {
		timeout = min(timeout, time.Duration(ms)*time.Millisecond)
	}
	ctx, cancel := context.WithTimeout(r.Context(), timeout)
	defer cancel()
	if !b.queue.enter(ctx, kind.Rank) {
		refuse(w, "no slot")
		return
	}
	defer b.queue.leave()
	b.forward(ctx, w, r, b.backend)
}

// forward sends r to addr and passes the response on. A failure leaves it unknown whether r has run.
func (b *baseline) forward(ctx context.Context, w http.ResponseWriter, r *http.Request, addr string) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		refuse(w, err.Error())
		return
	}
	out, err := http.NewRequestWithContext(ctx, r.Method, "http://"+addr+r.URL.RequestURI(), bytes.NewReader(body))
	if err != nil {
		refuse(w, err.Error())
		return
	}
	out.Host, out.Header = r.Host, r.Header.Clone()
	resp, err := b.client.Do(out)
	if err != nil {
		fail(w, err)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	if body, err = io.ReadAll(io.LimitReader(resp.Body, maxBodyBytes)); err != nil {
		fail(w, err)
		return
	}
	told := resp.Header.Get(verdict.Header)
	if told == "" {
		told = verdict.Ran.String()
	}
	w.Header().Set(verdict.Header, told)
	w.WriteHeader(resp.StatusCode)
	_, _ = w.Write(body) // the caller has gone if this fails
}

// refuse answers a request that has not run.
func refuse(w http.ResponseWriter, reason string) {
	w.Header().Set(verdict.Header, verdict.NotRun.String())
	http.Error(w, reason, http.StatusServiceUnavailable)
}

// fail answers a request of which it is unknown whether it has run.
func fail(w http.ResponseWriter, err error) {
	w.Header().Set(verdict.Header, verdict.MayHaveRun.String())
	http.Error(w, err.Error(), http.StatusBadGateway)
}
