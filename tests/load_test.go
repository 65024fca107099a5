package tests

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"kingcupwood.example/kingcupwood/pkg/snapshot"
	"kingcupwood.example/kingcupwood/pkg/verdict"
	"kingcupwood.example/kingcupwood/standin/backend"
	"kingcupwood.example/kingcupwood/tools/fleet"
)

const (
	workers = 4
	// workerPause is the delay before each request of a worker.
	workerPause = 5 * time.Millisecond
	// callLimit is the client timeout of a request; it is far above every deadline.
	callLimit = 30 * time.Second
	// responseBytes is the size of the responses of the stand-in backend server.
	responseBytes = 4096
	// settleTime is the wait before runs are counted. Requests that their senders have abandoned,
	// if any, can still run during this time and are then counted.
	settleTime = time.Second
)

// reply is the result of one request as seen by its caller.
type reply struct {
	id      string
	save    bool
	status  int
	verdict verdict.Verdict
	reason  string
	err     error
}

func (r *reply) ran() bool { return r.err == nil && r.status == http.StatusOK }

// loads is the number of loads started by all tests.
var loads atomic.Int32

// load is a group of callers, each of which sends saves and views alternately, one request at a
// time. A caller switches to the next daemon when its daemon closes the connection, as a client
// with several addresses does.
type load struct {
	t *testing.T
	// number makes the request IDs unique among several loads.
	number int32
	// entries are the instances whose daemons the callers use.
	entries []*fleet.Instance
	stop    chan struct{}
	group   sync.WaitGroup

	mu      sync.Mutex
	replies []*reply
	// savedRuns holds the runs that saveRuns has read, by server and request ID.
	savedRuns map[string]map[string]int
}

// startLoad starts callers that send to the daemons of entries.
func startLoad(t *testing.T, entries []*fleet.Instance) *load {
	l := &load{t: t, number: loads.Add(1), entries: entries, stop: make(chan struct{}), savedRuns: map[string]map[string]int{}}
	for n := range workers {
		l.group.Go(func() { l.worker(n) })
	}
	return l
}

func (l *load) worker(n int) {
	transport := &http.Transport{MaxIdleConnsPerHost: 1}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport, Timeout: callLimit}
	entry := n
	for k := 0; ; k++ {
		select {
		case <-l.stop:
			return
		case <-time.After(workerPause):
		}
		r := &reply{id: fmt.Sprintf("%d-%d-%d", l.number, n, k), save: k%2 == 0}
		if closing := l.send(client, l.entries[entry%len(l.entries)], r); closing {
			entry++
		}
		l.mu.Lock()
		l.replies = append(l.replies, r)
		l.mu.Unlock()
	}
}

// send sends the request of r, stores its result in r and reports whether the caller should switch
// to the next daemon because the connection was closed or failed.
func (l *load) send(client *http.Client, i *fleet.Instance, r *reply) (closing bool) {
	method := http.MethodGet
	if r.save {
		method = http.MethodPost
	}
	req, err := http.NewRequestWithContext(context.Background(), method, "http://"+i.Callers.String()+"/pages/"+r.id, strings.NewReader("text"))
	if err != nil {
		r.err = err
		return false
	}
	req.Host = "pages"
	req.GetBody = nil // the client must not retry a request by itself
	req.Header.Set(backend.RequestIDHeader, r.id)
	resp, err := client.Do(req)
	if err != nil {
		r.err = err
		return true
	}
	defer resp.Body.Close()
	r.status = resp.StatusCode
	r.verdict, r.err = verdict.Parse(resp.Header.Get(verdict.Header))
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		r.err = err
	}
	r.reason = string(body)
	if want := r.id + " /pages/" + r.id + " "; r.ran() && (len(body) != responseBytes || !strings.HasPrefix(r.reason, want)) {
		r.err = fmt.Errorf("response of %d bytes belongs to another request: %.40q", len(body), body)
	}
	return resp.Close
}

// saveRuns reads and stores the runs of a backend server, which cannot be read after it has ended.
func (l *load) saveRuns(i *fleet.Instance) {
	report, err := i.Runs(l.t.Context())
	if err != nil {
		l.t.Fatal(err)
	}
	l.savedRuns[i.Name] = report.Runs
}

// await waits until n more requests have completed or failed.
func (l *load) await(n int) {
	l.t.Helper()
	target := l.count() + n
	for deadline := time.Now().Add(setupLimit); l.count() < target; time.Sleep(workerPause) {
		if time.Now().After(deadline) {
			l.t.Fatalf("only %d of %d requests have ended before the timeout", l.count(), target)
		}
	}
}

func (l *load) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.replies)
}

// finish stops the load, checks the invariants and returns the replies without a complete response.
// If runsIncomplete is set, the recorded runs of some server may be incomplete, and a served
// request without a recorded run is no failure.
func (l *load) finish(d *deployment, runsIncomplete bool) []*reply {
	l.t.Helper()
	close(l.stop)
	l.group.Wait()
	time.Sleep(settleTime)
	runs := l.countRuns(d)
	var failed []*reply
	served := 0
	for _, r := range l.replies {
		n := runs[r.id]
		if r.save && n > 1 {
			l.t.Errorf("save %s ran %d times", r.id, n)
		}
		if r.err == nil && r.verdict == verdict.NotRun && n > 0 {
			l.t.Errorf("request %s ran although its caller received verdict %q (status %d)", r.id, r.verdict, r.status)
		}
		if r.ran() && n == 0 && !runsIncomplete {
			l.t.Errorf("request %s received a response but has not run", r.id)
		}
		if r.ran() {
			served++
		} else {
			failed = append(failed, r)
		}
	}
	l.t.Logf("%d requests served, %d not served; first not served: %+v", served, len(failed), first(failed))
	if served < len(l.replies)/2 {
		l.t.Errorf("only %d of %d requests were served", served, len(l.replies))
	}
	return failed
}

func first(list []*reply) reply {
	if len(list) == 0 {
		return reply{}
	}
	return *list[0]
}

// countRuns returns the total number of runs of each request on all backend servers, by request ID.
func (l *load) countRuns(d *deployment) map[string]int {
	l.t.Helper()
	runs := map[string]int{}
	for _, i := range d.Instances {
		byID := l.savedRuns[i.Name]
		if i.BackendProcess.Running() {
			report, err := i.Runs(l.t.Context())
			if err != nil {
				l.t.Fatal(err)
			}
			byID = report.Runs
		}
		for id, n := range byID {
			runs[id] += n
		}
	}
	return runs
}

// expectAll reports a test error for each request without a complete response.
func expectAll(t *testing.T, failed []*reply) {
	t.Helper()
	for _, r := range failed {
		t.Errorf("request %+v was not served", *r)
	}
}

// watchVersions polls the daemons until stop is called and reports a test error if the version in
// force on one of them decreases.
func watchVersions(t *testing.T, instances []*fleet.Instance) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	for _, i := range instances {
		group.Go(func() {
			var highest snapshot.Version
			for ctx.Err() == nil {
				limit, done := context.WithTimeout(ctx, time.Second)
				v, err := i.Version(limit)
				done()
				if err == nil && v < highest && v != 0 {
					t.Errorf("version on %s decreased from %d to %d", i.Name, highest, v)
				}
				if err == nil {
					highest = max(highest, v)
				}
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	return func() {
		cancel()
		group.Wait()
	}
}
