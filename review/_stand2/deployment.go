// Command stand2 plays the cases of the second review. It starts the daemons of a small deployment as
// separate processes on loopback addresses, and stands in for the platform's store, the servers and the clients.
package main

import (
	"fmt"
	"maps"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"kingcupwood.example/kingcupwood/platform/standin"
	"kingcupwood.example/kingcupwood/tools/fleet"
)

// Ports of a machine. Each machine has a loopback address of its own.
const (
	portOutbound = 7000 + iota
	portControl
	portReady
	portInbound
	portPeer
	portAdmin
	portServer
	portSlowControl
	portStore
)

// Bounds of the site file zpwg-mesh, in force in each case.
const (
	drainTime  = 2 * time.Second
	stableTime = 3 * time.Second
)

// exitCannotRun is the exit status of a case that could not run.
const exitCannotRun = 2

// record writes record.txt.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(path string) *record {
	file, err := os.Create(path)
	check(err)
	return &record{file: file, began: time.Now()}
}

func (r *record) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// check ends the program if the case cannot run.
func check(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case cannot run:", err)
		stopAll()
		os.Exit(exitCannotRun)
	}
}

// deployment is a set of machines with the platform's store.
type deployment struct {
	dir, binary, prefix string
	store               *standin.Store
	machines            []*machine
	servers             []*server
	rec                 *record
	// bounds holds further values for the settings.
	bounds map[string]string

	mu sync.Mutex
	// statuses holds the answers that clients got, by request, 0 for none.
	statuses map[string]int
}

// answered notes the answer to a request.
func (d *deployment) answered(id string, status int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.statuses[id] = status
}

// unsuccessful returns the number of saves among runs whose clients got no success.
func (d *deployment) unsuccessful(runs []run) (saves int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, r := range runs {
		if r.method == http.MethodPost && d.statuses[r.id] != http.StatusOK {
			saves++
		}
	}
	return saves
}

// machine is one machine with its daemon.
type machine struct {
	d                        *deployment
	name, zone, service, ip  string
	outbound, control, ready string
	settings                 string
	process                  *fleet.Process
	// storeBusy means that the store turns this machine away with status 503.
	storeBusy atomic.Bool
}

var started struct {
	mu   sync.Mutex
	list []*fleet.Process
}

// stopAll ends all processes that this program has started.
func stopAll() {
	started.mu.Lock()
	defer started.mu.Unlock()
	for _, p := range started.list {
		if p.Running() {
			_ = p.Signal(syscall.SIGCONT)
			p.Kill()
		}
	}
}

// newDeployment returns a deployment on a free loopback network. A listener reserves the network.
func newDeployment(dir, binary string, rec *record) *deployment {
	const networks = 200
	d := &deployment{dir: dir, binary: binary, store: &standin.Store{}, rec: rec, statuses: map[string]int{}}
	for n := range networks {
		d.prefix = fmt.Sprintf("127.%d.%d", 20+os.Getpid()%networks, 1+n)
		if _, err := net.Listen("tcp", d.prefix+".250:7000"); err == nil {
			return d
		}
	}
	check(fmt.Errorf("no free loopback network"))
	return nil
}

// add adds a machine and renders the settings of its daemon as the platform does.
func (d *deployment) add(name, zone, service string) *machine {
	ip := fmt.Sprintf("%s.%d", d.prefix, len(d.machines)+1)
	at := func(port int) string { return fmt.Sprintf("%s:%d", ip, port) }
	m := &machine{
		d: d, name: name, zone: zone, service: service, ip: ip, outbound: at(portOutbound), control: at(portControl), ready: at(portReady),
		settings: filepath.Join(d.dir, name+".conf"),
	}
	listener, err := net.Listen("tcp", at(portStore))
	check(err)
	go func() { _ = http.Serve(listener, http.HandlerFunc(m.serveStore)) }()
	template, err := os.ReadFile("deploy/daemon.ini")
	check(err)
	values := map[string]string{
		"node": name, "zone": zone, "service": service, "ip": ip, "platform.address": at(portStore),
		"listen.outbound": m.outbound, "listen.control": m.control, "listen.ready": m.ready, "listen.inbound": at(portInbound),
		"portRange.0": fmt.Sprint(portPeer), "portRange.1": fmt.Sprint(portAdmin), "limits.linkMbps": "1000.0",
		"bounds.retryBudgetRatio": "0.2", "bounds.budgetSlack": "58", "bounds.budgetWindowS": "10", "bounds.configApplyS": "2",
	}
	maps.Copy(values, d.bounds)
	text, err := fleet.RenderTemplate(string(template), values)
	check(err)
	check(os.WriteFile(m.settings, []byte(text), 0o600))
	d.machines = append(d.machines, m)
	return m
}

// serveStore answers the calls of the daemon of m to the store.
func (m *machine) serveStore(w http.ResponseWriter, r *http.Request) {
	if m.storeBusy.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	m.d.store.ServeHTTP(w, r)
}

// start starts the daemon of m.
func (m *machine) start() {
	p, err := fleet.StartProcess(m.d.dir, m.name, m.d.binary, "daemon", "--settings", m.settings)
	check(err)
	m.process = p
	started.mu.Lock()
	started.list = append(started.list, p)
	started.mu.Unlock()
	m.d.rec.log("daemon of %s starts", m.name)
}

// isReady asks the daemon for its readiness.
func (m *machine) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + m.ready + "/v1/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (m *machine) awaitReady(limit time.Duration) {
	for end := time.Now().Add(limit); !m.isReady(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			check(fmt.Errorf("the daemon of %s is not ready within %s", m.name, limit))
		}
	}
	m.d.rec.log("daemon of %s is ready", m.name)
}

// configuration returns the operator's configuration: a safe and an unsafe route for each service.
func configuration(version int, services ...string) []byte {
	routes, list := "", ""
	for i, service := range services {
		if i > 0 {
			routes, list = routes+",", list+","
		}
		routes += fmt.Sprintf(`["v-%s",%q,"/%s/view/","safe",1.5,0.5,0,%q,2,null],["s-%s",%q,"/%s/save/","unsafe",1.2,0.8,1,%q,2,null]`,
			service, host, service, service, service, host, service, service)
		list += fmt.Sprintf(`[%q,"/health",110,"h1",false]`, service)
	}
	return fmt.Appendf(nil, `{"version":"r%d","routes":{"columns":["name","host","prefix","kind","timeoutS","targetLatencyS","priority","service","maxAttempts","weightedServices"],"rows":[%s]},`+
		`"services":{"columns":["name","healthPath","maxConnections","protocol","tls"],"rows":[%s]},"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutS":3,"idleTimeoutS":15}}`, version, routes, list)
}
