package agent

import (
	"bytes"
	"context"
	_ "embed"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"kingcupwood.example/kingcupwood/agent/backend"
	"kingcupwood.example/kingcupwood/agent/caller"
	"kingcupwood.example/kingcupwood/agent/operator"
	"kingcupwood.example/kingcupwood/agent/store"
	"kingcupwood.example/kingcupwood/lib/credentials"
	"kingcupwood.example/kingcupwood/lib/event"
	"kingcupwood.example/kingcupwood/pkg/snapshot"
	standin "kingcupwood.example/kingcupwood/standin/platform"
)

// Deadlines of the acceptance criteria: a change is in force within inForceWithin, also after a
// partition or an outage ends; a mass restart converges within restartWithin.
const (
	inForceWithin = 5 * time.Second
	restartWithin = 10 * time.Second
	// setupWithin limits the start of a cluster. It is not an acceptance criterion: a daemon that
	// missed the record of a backend server receives it by anti-entropy, in rounds of 10 s.
	setupWithin = 40 * time.Second
	// pollInterval is the interval between checks of a condition.
	pollInterval = 10 * time.Millisecond
	// announceEvery is the period of the announcements of a backend server.
	announceEvery = time.Second
	// operatorToken is the bearer token of the operator.
	operatorToken = "secret"
)

// servedBy is the response header with the instance of the backend server.
const servedBy = "Served-By"

// domains are the failure domains of a cluster, each with three instances.
var domains = []string{"a", "b", "c"}

// services maps the instances to their services. finder has no backend server in domain c.
var services = map[string]string{
	"a1": "pages", "a2": "pages", "a3": "finder",
	"b1": "pages", "b2": "pages", "b3": "finder",
	"c1": "pages", "c2": "pages", "c3": "pages",
}

//go:embed store/testdata/service.ini
var serviceAnswers string

// answersOf returns an answer file; its revisions differ in the number of slots.
func answersOf(service string, slots int) []byte {
	return fmt.Appendf(nil, serviceAnswers, service, slots, 2, "")
}

// node is an instance with a daemon and a backend server.
type node struct {
	host
	backend *httptest.Server
	daemon  *Daemon
	stop    func()
}

// cluster is a set of daemons with a platform on a testNetwork.
type cluster struct {
	t        *testing.T
	network  *testNetwork
	platform *httptest.Server
	// direct is a platform client that is not affected by cuts.
	direct *store.Client
	nodes  map[string]*node
	watch  *watcher
	// files are the key files of all daemons; they are empty without authentication.
	files credentials.Files
	// mu guards changes.
	mu      sync.Mutex
	changes int
}

// newCluster starts all instances with version 2 in force, one change for each service.
func newCluster(t *testing.T) *cluster { return newSecuredCluster(t, credentials.Files{}) }

// newSecuredCluster is like newCluster but with authentication by the given key files.
func newSecuredCluster(t *testing.T, files credentials.Files) *cluster {
	t.Helper()
	c := &cluster{t: t, network: newTestNetwork(), nodes: map[string]*node{}, files: files}
	c.watch = newWatcher(t)
	c.platform = httptest.NewServer(standin.NewServer(standin.Config{
		Table: standin.DefaultTable, Bucket: standin.DefaultBucket,
		Operators: []standin.Operator{{
			Name: "ana", TokenSHA256: snapshot.HashOf([]byte(operatorToken)).String(), Services: []string{store.AllServices},
		}},
	}, event.Nop()))
	c.network.register(c.platform.Listener.Addr().String(), host{name: platformNode})
	var err error
	c.direct, err = store.NewClient(store.Config{
		TableURL: c.platform.URL, ObjectsURL: c.platform.URL, Table: standin.DefaultTable, Bucket: standin.DefaultBucket,
		AccessKey: "k", SecretKey: "s",
	}, event.Nop())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.close)
	for _, domain := range domains {
		for i := range 3 {
			name := fmt.Sprintf("%s%d", domain, i+1)
			c.nodes[name] = c.newNode(host{name: name, domain: domain})
			c.start(name)
		}
	}
	c.accept("a1", "pages", 12, 0)
	c.accept("b2", "finder", 12, 1)
	c.eventually(setupWithin, "all daemons serve and know all backend servers", c.complete)
	return c
}

// complete reports whether each daemon serves version 2 and can use each backend server.
func (c *cluster) complete() bool {
	for _, n := range c.nodes {
		view := n.daemon.prober.View()
		if n.daemon.store.Version() != 2 || n.daemon.snapshot() == nil {
			return false
		}
		if view.ReadyCount("pages") != 7 || view.ReadyCount("finder") != 2 || len(view.Unreachable) > 0 {
			return false
		}
		if len(n.daemon.follower.Status().Parents) == 0 && !n.daemon.follower.Leading() {
			return false // this daemon has not discovered the lease holders yet
		}
	}
	return true
}

func (c *cluster) newNode(h host) *node {
	n := &node{host: h}
	n.backend = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(servedBy, h.name)
	}))
	return n
}

// settings returns the settings of an instance; its seeds are the running daemons.
func (c *cluster) settings(n *node) *Settings {
	s := &Settings{}
	s.Daemon.Instance, s.Daemon.FailureDomain = n.name, n.domain
	s.Daemon.StopTime = inForceWithin
	local := netip.MustParseAddrPort("127.0.0.1:0")
	l := &s.Listen
	l.Callers, l.Announcements, l.Administration, l.Calls, l.RPC, l.Probes = local, local, local, local, local, local
	for _, name := range c.names() {
		if other := c.nodes[name]; other.daemon != nil {
			s.Peers.Seeds = append(s.Peers.Seeds, netip.MustParseAddrPort(other.daemon.listeners.rpc.Addr().String()))
		}
	}
	s.Security.Certificate, s.Security.PrivateKey = c.files.Certificate, c.files.PrivateKey
	s.Security.Authority, s.Security.ProbeKeys = c.files.Authority, c.files.ProbeKeys
	p := &s.Platform
	p.TableURL, p.ObjectURL, p.Region = c.platform.URL, c.platform.URL, "local"
	p.Table, p.Bucket, p.AccessKey, p.SecretKey = standin.DefaultTable, standin.DefaultBucket, "k", "s"
	return s
}

// start starts a new daemon on an instance.
func (c *cluster) start(name string) {
	c.t.Helper()
	n := c.nodes[name]
	d, err := NewWithNetwork(c.settings(n), c.network.at(n.host), nil, event.Nop())
	if err != nil {
		c.t.Fatal(err)
	}
	c.network.register(d.listeners.rpc.Addr().String(), n.host)
	c.network.register(d.listeners.calls.Addr().String(), n.host)
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() {
		if err := d.Run(ctx); err != nil {
			c.t.Errorf("daemon %s: %v", name, err)
		}
	})
	running.Go(func() { n.announce(ctx, d) })
	unwatch := c.watch.add(name, d)
	n.daemon = d
	n.stop = func() {
		unwatch()
		cancel()
		running.Wait()
		n.daemon, n.stop = nil, nil
	}
}

// announce announces the backend server until ctx ends.
func (n *node) announce(ctx context.Context, d *Daemon) {
	ticker := time.NewTicker(announceEvery)
	defer ticker.Stop()
	url := "http://" + d.listeners.announcements.Addr().String() + backend.AnnouncePath
	for {
		body := fmt.Sprintf(`{"service":%q,"address":%q,"state":"ready","slots":12,"connections":100}`,
			services[n.name], n.backend.Listener.Addr())
		request, err := http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewBufferString(body))
		if err != nil {
			panic(err) // the URL is an address of a listener
		}
		request.Close = true
		if response, err := http.DefaultClient.Do(request); err == nil {
			_ = response.Body.Close()
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (c *cluster) close() {
	c.network.heal()
	var stopping sync.WaitGroup
	for _, n := range c.nodes {
		if n.stop != nil {
			stopping.Go(n.stop)
		}
	}
	stopping.Wait()
	c.watch.close()
	c.network.close()
	for _, n := range c.nodes {
		n.backend.Close()
	}
	c.direct.Close()
	c.platform.Close()
}

func (c *cluster) names() []string {
	var names []string
	for name := range c.nodes {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// in returns the nodes of the given failure domains in order of name.
func (c *cluster) in(domains ...string) []*node {
	var list []*node
	for _, name := range c.names() {
		if slices.Contains(domains, c.nodes[name].domain) {
			list = append(list, c.nodes[name])
		}
	}
	return list
}

// eventually waits until condition holds and fails the test after limit.
func (c *cluster) eventually(limit time.Duration, what string, condition func() bool) {
	c.t.Helper()
	for deadline := time.Now().Add(limit); !condition(); time.Sleep(pollInterval) {
		if time.Now().After(deadline) {
			c.t.Fatalf("not within %v: %s\n%s", limit, what, c.describe())
		}
	}
}

// describe lists the state of all daemons for a failure message.
func (c *cluster) describe() string {
	var lines []string
	for _, name := range c.names() {
		if d := c.nodes[name].daemon; d != nil {
			s := d.follower.Status()
			lines = append(lines, fmt.Sprintf("%s: version %d, highest %d, floor %d, ready %v, leading %v, parents %v, unreachable %v, servers of pages %d, of finder %d",
				name, s.Version, s.Highest, s.Floor, s.Ready, s.Leading, s.Parents, s.Unreachable,
				d.prober.View().ReadyCount("pages"), d.prober.View().ReadyCount("finder")))
		}
	}
	return strings.Join(lines, "\n")
}

// inForce waits until all given daemons serve version v.
func (c *cluster) inForce(v snapshot.Version, nodes []*node) {
	c.t.Helper()
	c.eventually(inForceWithin, fmt.Sprintf("version %d is in force", v), func() bool {
		return !slices.ContainsFunc(nodes, func(n *node) bool {
			s := n.daemon.snapshot()
			return s == nil || s.Version != v
		})
	})
}

// client returns an administration client of one daemon.
func (c *cluster) client(name string) *operator.Client {
	addr := netip.MustParseAddrPort(c.nodes[name].daemon.listeners.admin.Addr().String())
	return operator.NewClient([]netip.AddrPort{addr}, operatorToken, &http.Client{Transport: &http.Transport{DisableKeepAlives: true}})
}

// token returns a new change token.
func (c *cluster) token() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.changes++
	return fmt.Sprintf("change-%d", c.changes)
}

// tryAccept submits and accepts answers through the daemon of an instance.
func (c *cluster) tryAccept(name, service string, slots int, seen snapshot.Version) (operator.OutcomeMessage, error) {
	client := c.client(name)
	draft, err := client.Submit(c.t.Context(), service+".ini", answersOf(service, slots))
	if err != nil {
		return operator.OutcomeMessage{}, err
	}
	return client.Accept(c.t.Context(), service, operator.AcceptRequest{Draft: draft.Hash, Seen: seen, Token: c.token()})
}

// accept is like tryAccept but fails the test unless the change on version seen succeeds.
func (c *cluster) accept(name, service string, slots int, seen snapshot.Version) {
	c.t.Helper()
	outcome, err := c.tryAccept(name, service, slots, seen)
	if err != nil || outcome.State != store.StateAccepted {
		c.t.Fatalf("accept through %s: %s %v", name, outcome.State, err)
	}
	c.recordHead(seen + 1)
}

// recordHead passes the accepted manifest hash of version v, which must be the head, to the
// watcher.
func (c *cluster) recordHead(v snapshot.Version) {
	c.t.Helper()
	head, err := c.direct.Head(context.Background())
	if err != nil || head.Version != v {
		c.t.Fatalf("head is at version %d, not %d: %v", head.Version, v, err)
	}
	c.watch.accepted(v, head.Manifest)
}

// get sends a request of a caller to the daemon of an instance and returns the instance that served
// it. More than one attempt is an error, because the first one was sent to an unreachable server.
func (c *cluster) get(name, service string) (string, error) {
	url := "http://" + c.nodes[name].daemon.listeners.callers.Addr().String() + "/x"
	request, err := http.NewRequestWithContext(c.t.Context(), http.MethodGet, url, nil)
	if err != nil {
		return "", err
	}
	request.Host, request.Close = service, true
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err == nil && response.StatusCode != http.StatusOK {
		err = fmt.Errorf("status %d: %s", response.StatusCode, body)
	}
	if attempts := response.Header.Get(caller.HeaderAttempts); err == nil && attempts != "1" {
		err = fmt.Errorf("%s attempts", attempts)
	}
	return response.Header.Get(servedBy), err
}
