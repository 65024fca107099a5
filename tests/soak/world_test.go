package soak

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"

	"kingcupwood.example/kingcupwood/platform/standin"
	"kingcupwood.example/kingcupwood/tools/fleet"
)

// Ports of a machine. Each machine has a loopback address of its own, so that no other process takes one.
const (
	portOutbound = 7000 + iota
	portControl
	portReady
	portCalls
	portPeer
	portAdmin
	portRelayCalls
	portRelayPeer
	portRelayStore
	portMetrics = 9464
)

const (
	// readyInterval separates two questions whether a daemon may get requests; readyMisses misses in a
	// row take it out.
	readyInterval = 300 * time.Millisecond
	readyMisses   = 2
	// startTime is the time in which a process may not have installed its signal handlers yet; a signal ends
	// it then, which cuts nothing.
	startTime = 200 * time.Millisecond
	// graceTime is how long a daemon may take to stop.
	graceTime = 6 * time.Second
	// healLimit bounds the wait for a deployment without faults to serve again. It is far above the
	// 15 s of the platform's rules, so that a busy machine does not decide a run.
	healLimit = 60 * time.Second
)

// world is one deployment: daemons as processes, everything around them in this process.
type world struct {
	t        *testing.T
	ledger   *ledger
	store    *standin.Store
	stores   *http.Server
	machines []*machine
	// control has no limits of its own; it sends heartbeats.
	control *http.Client
	dir     string
	// version is the number of the newest configuration.
	version atomic.Int64
	// planned tells that only planned work happens, so that no request may be cut.
	planned bool
	ended   context.Context
	end     context.CancelFunc
	jobs    sync.WaitGroup
	// ids numbers the requests.
	ids atomic.Int64
}

// machine is one machine with its daemon and its server.
type machine struct {
	name, zone, service, ip string
	outbound, control       string
	ready, settings         string
	calls, peer, store      *relay

	// lifecycle is held while the daemon is stopped or started by a fault.
	lifecycle sync.Mutex
	mu        sync.Mutex
	process   *fleet.Process
	started   time.Time
	server    *server
	// replacing is held while the server is replaced.
	replacing sync.Mutex
	servers   int
	// lifetime counts the starts of the daemon, inUse tells whether clients send to it.
	lifetime atomic.Int64
	inUse    atomic.Bool
	clients  *http.Client
}

// worlds numbers the worlds of this process, which share 127.0.0.0/8 with those of others.
var worlds atomic.Int64

// newWorld starts a deployment of count machines, half of them for each service.
func newWorld(t *testing.T, count int) *world {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	w := &world{t: t, ledger: newLedger(), store: &standin.Store{}, control: &http.Client{}, dir: t.TempDir(), ended: ctx, end: cancel}
	t.Cleanup(w.close)
	prefix, storeAddr := w.serveStore()
	w.publish()
	for n := range count {
		m, err := w.addMachine(fmt.Sprintf("m%d", n), fmt.Sprintf("zone-%d", n%3), services[n/3%2], fmt.Sprintf("%s.%d", prefix, n+1), storeAddr)
		if err != nil {
			t.Fatal(err)
		}
		if err := w.startDaemon(m); err != nil {
			t.Fatal(err)
		}
		if err := w.startServer(m, ""); err != nil {
			t.Fatal(err)
		}
		w.jobs.Go(func() { w.watchReady(m) })
	}
	return w
}

// serveStore starts the store on the first free network of the process. Its address keeps others from using the
// same one.
func (w *world) serveStore() (prefix, addr string) {
	const networks, lastOctet = 120, 250
	for range lastOctet {
		prefix = fmt.Sprintf("127.%d.%d", 1+os.Getpid()%networks, worlds.Add(1)%lastOctet)
		addr = fmt.Sprintf("%s.%d:7000", prefix, lastOctet)
		listener, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		w.stores = &http.Server{Handler: w.store}
		go func() { _ = w.stores.Serve(listener) }()
		return prefix, addr
	}
	w.t.Fatal("no free loopback network")
	return "", ""
}

// publish writes the next version of the configuration.
func (w *world) publish() {
	version := w.version.Add(1)
	w.store.Put("op", "config", configuration(int(version)))
}

func (w *world) addMachine(name, zone, service, ip, storeAddr string) (*machine, error) {
	at := func(port int) string { return fmt.Sprintf("%s:%d", ip, port) }
	m := &machine{
		name: name, zone: zone, service: service, ip: ip, outbound: at(portOutbound), control: at(portControl), ready: at(portReady),
		settings: filepath.Join(w.dir, name+".ini"), clients: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}},
	}
	for _, item := range []struct {
		into   **relay
		port   int
		target string
	}{
		{&m.calls, portRelayCalls, at(portCalls)}, {&m.peer, portRelayPeer, at(portPeer)}, {&m.store, portRelayStore, storeAddr},
	} {
		var err error
		if *item.into, err = newRelay(at(item.port), item.target); err != nil {
			return nil, err
		}
	}
	w.machines = append(w.machines, m)
	return m, w.writeSettings(m, "58")
}

// writeSettings renders the settings of m as the platform does, with the relays as advertised addresses.
func (w *world) writeSettings(m *machine, slack string) error {
	data, err := os.ReadFile("../../deploy/daemon.ini")
	if err != nil {
		return errors.Wrap(err, "template")
	}
	text := string(data)
	for name, value := range map[string]string{
		"node": m.name, "zone": m.zone, "service": m.service, "ip": m.ip, "platform.address": m.store.address(),
		"listen.outbound": m.outbound, "listen.control": m.control, "listen.ready": m.ready,
		"listen.inbound": fmt.Sprintf("%s:%d", m.ip, portCalls), "portRange.0": fmt.Sprint(portPeer), "portRange.1": fmt.Sprint(portAdmin),
		"bounds.retryBudgetRatio": "0.2", "bounds.budgetSlack": slack, "bounds.budgetWindowS": "10",
	} {
		text = strings.ReplaceAll(text, "{{"+name+"}}", value)
	}
	text += fmt.Sprintf("\n[advertise]\ncalls = %s\nrpc = %s\nprobes = %s:%d\n", m.calls.address(), m.peer.address(), m.ip, portPeer)
	return errors.Wrap(os.WriteFile(m.settings, []byte(text), 0o600), "settings")
}

// startDaemon starts the daemon of m; the caller holds its lifecycle, or nobody else knows m.
func (w *world) startDaemon(m *machine) error {
	p, err := fleet.StartProcess(w.dir, m.name, binary, "daemon", "--settings", m.settings)
	if err != nil {
		return err
	}
	m.mu.Lock()
	m.process, m.started = p, time.Now()
	m.mu.Unlock()
	m.lifetime.Add(1)
	return nil
}

// daemon returns the process of the daemon of m.
func (m *machine) daemon() *fleet.Process {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.process
}

// startServer starts a new lifetime of the server of m, under a new ID unless one is given.
func (w *world) startServer(m *machine, id string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.servers++
	if id == "" {
		id = fmt.Sprintf("i-%s-%d", m.name, m.servers)
	}
	s, err := startServer(w, m, id)
	m.server = s
	return err
}

// justStarted reports whether the daemon of m may still lack its signal handlers.
func (m *machine) justStarted() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Since(m.started) < startTime
}

func (m *machine) currentServer() *server {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.server
}

// watchReady keeps clients away from m while its daemon says that it is not ready.
func (w *world) watchReady(m *machine) {
	client := &http.Client{Timeout: readyInterval}
	misses := readyMisses
	for w.ended.Err() == nil {
		response, err := client.Get("http://" + m.ready + "/v1/readiness")
		misses++
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				misses = 0
			}
		}
		m.inUse.Store(misses < readyMisses)
		time.Sleep(readyInterval)
	}
}

// close ends everything that the world has started.
func (w *world) close() {
	w.end()
	w.jobs.Wait()
	for _, m := range w.machines {
		if p := m.daemon(); p != nil && p.Running() {
			p.Kill()
		}
		if s := m.currentServer(); s != nil {
			s.crash()
		}
		for _, r := range []*relay{m.calls, m.peer, m.store} {
			if r != nil {
				r.close()
			}
		}
		m.clients.CloseIdleConnections()
	}
	w.control.CloseIdleConnections()
	if w.stores != nil {
		_ = w.stores.Close()
	}
}
