package fleet

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// adminToken is the bearer token of the operator of a fleet; it exists on loopback only.
const adminToken = "fleet-operator"

// stopLimit bounds the graceful stop of one process.
const stopLimit = 15 * time.Second

// ServerConfig describes the backend server of an instance.
type ServerConfig struct {
	Service     string
	Slots       int
	Connections int
	// Calls is the address for calls to other services; the zero value stands for the daemon.
	Calls netip.AddrPort
	// Extra holds further lines of the settings file by section.
	Extra map[string][]string
}

// Instance is one daemon with its backend server.
type Instance struct {
	Name    string
	Domain  string
	Server  ServerConfig
	Callers netip.AddrPort
	Admin   netip.AddrPort
	RPC     netip.AddrPort
	Backend netip.AddrPort

	announcements, calls, probes netip.AddrPort
	// DaemonProcess and BackendProcess are nil until started.
	DaemonProcess, BackendProcess *Process
}

// Fleet is a deployment of separate processes on loopback.
type Fleet struct {
	Binary    string
	Dir       string
	Platform  netip.AddrPort
	Instances []*Instance

	platformProcess *Process
	processes       []*Process
	// secured is set by Secure.
	secured bool
	// port is the last port handed out.
	port int
}

// New returns a Fleet whose settings and logs go to dir.
func New(binary, dir string) (*Fleet, error) {
	f := &Fleet{Binary: binary, Dir: dir, port: firstPort + rand.IntN(lastPort-firstPort)}
	addrs, err := f.freeAddrs(1)
	if err != nil {
		return nil, err
	}
	f.Platform = addrs[0]
	return f, f.writeAdministration(nil)
}

// Ports of a fleet come from a range below the ephemeral ports of the kernel, so that no outgoing
// connection takes one between the check and the start of the process that listens on it.
const (
	firstPort = 12000
	lastPort  = 30000
)

// freeAddrs returns n loopback addresses whose ports are free for TCP and UDP.
func (f *Fleet) freeAddrs(n int) ([]netip.AddrPort, error) {
	var list []netip.AddrPort
	for tries := 0; len(list) < n; tries++ {
		if tries > lastPort-firstPort {
			return nil, errors.New("no free ports")
		}
		f.port++
		if f.port > lastPort {
			f.port = firstPort
		}
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(f.port))
		if isFree(addr) {
			list = append(list, addr)
		}
	}
	return list, nil
}

func isFree(addr netip.AddrPort) bool {
	tcp, err := net.Listen("tcp", addr.String())
	if err != nil {
		return false
	}
	defer tcp.Close()
	udp, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return false
	}
	return udp.Close() == nil
}

// addrsPerInstance is the number of listeners of a daemon and its backend server.
const addrsPerInstance = 7

// Add adds an instance; its processes are not started.
func (f *Fleet) Add(name, domain string, server ServerConfig) (*Instance, error) {
	a, err := f.freeAddrs(addrsPerInstance)
	if err != nil {
		return nil, err
	}
	i := &Instance{
		Name: name, Domain: domain, Server: server, Callers: a[0], Admin: a[1], RPC: a[2], Backend: a[3],
		announcements: a[4], calls: a[5], probes: a[6],
	}
	f.Instances = append(f.Instances, i)
	return i, nil
}

// StartPlatform starts the stand-in for the platform.
func (f *Fleet) StartPlatform() error {
	digest := sha256.Sum256([]byte(adminToken))
	path, err := f.write("platform", fmt.Sprintf("[platform]\nlisten = %s\n[operator fleet]\ntoken-sha256 = %s\nservices = *\n",
		f.Platform, hex.EncodeToString(digest[:])))
	if err != nil {
		return err
	}
	f.platformProcess, err = f.launch("platform", "platform", "--settings", path)
	return err
}

// PlatformProcess returns the process of the platform stand-in.
func (f *Fleet) PlatformProcess() *Process { return f.platformProcess }

// seedCount is the number of daemons that each daemon knows from its settings.
const seedCount = 3

// StartDaemon starts the daemon of i. The first instances of the fleet are its seeds.
func (f *Fleet) StartDaemon(i *Instance) error {
	var seeds []string
	for _, other := range f.Instances[:min(seedCount, len(f.Instances))] {
		seeds = append(seeds, other.RPC.String())
	}
	text := fmt.Sprintf(`[daemon]
instance = %s
failure-domain = %s
[listen]
callers = %s
announcements = %s
administration = %s
calls = %s
rpc = %s
probes = %s
[peers]
seeds = %s
[platform]
table-url = http://%s
object-url = http://%s
access-key = fleet
secret-key = fleet
`, i.Name, i.Domain, i.Callers, i.announcements, i.Admin, i.calls, i.RPC, i.probes,
		strings.Join(seeds, ", "), f.Platform, f.Platform)
	security, err := f.securitySection(i)
	if err != nil {
		return err
	}
	path, err := f.write(i.Name+"-daemon", text+security)
	if err != nil {
		return err
	}
	i.DaemonProcess, err = f.launch(i.Name+"-daemon", "daemon", "--settings", path)
	return err
}

// StartInstead starts another program in place of the daemon of i, for comparisons. It has to serve
// the address i.Callers.
func (f *Fleet) StartInstead(i *Instance, binary string, args ...string) error {
	p, err := StartProcess(f.Dir, i.Name+"-daemon", binary, args...)
	if err != nil {
		return err
	}
	f.processes = append(f.processes, p)
	i.DaemonProcess = p
	return nil
}

// StartBackend starts the backend server of i.
func (f *Fleet) StartBackend(i *Instance) error {
	var b strings.Builder
	fmt.Fprintf(&b, "[backend]\nservice = %s\nlisten = %s\nslots = %d\nconnections = %d\n",
		i.Server.Service, i.Backend, i.Server.Slots, i.Server.Connections)
	for _, line := range i.Server.Extra["backend"] {
		fmt.Fprintln(&b, line)
	}
	calls := i.Server.Calls
	if !calls.IsValid() {
		calls = i.Callers
	}
	fmt.Fprintf(&b, "[daemon]\nannounce = %s\ncall = %s\n", i.announcements, calls)
	for section, lines := range i.Server.Extra {
		if section != "backend" {
			fmt.Fprintf(&b, "[%s]\n%s\n", section, strings.Join(lines, "\n"))
		}
	}
	path, err := f.write(i.Name+"-backend", b.String())
	if err != nil {
		return err
	}
	i.BackendProcess, err = f.launch(i.Name+"-backend", "backend", "--settings", path)
	return err
}

// Start starts the platform, all daemons and all backend servers.
func (f *Fleet) Start() error {
	if err := f.StartPlatform(); err != nil {
		return err
	}
	for _, i := range f.Instances {
		if err := f.StartDaemon(i); err != nil {
			return err
		}
		if err := f.StartBackend(i); err != nil {
			return err
		}
	}
	return f.WriteAdministration()
}

// WriteAdministration writes the settings file that RunAdministration uses. Start does this.
func (f *Fleet) WriteAdministration() error { return f.writeAdministration(f.Instances) }

// Close kills every process that is still running.
func (f *Fleet) Close() {
	for _, p := range f.processes {
		if p.Running() {
			p.Kill()
		}
	}
}

// Stop stops an instance gracefully: the daemon first, then its backend server.
func (i *Instance) Stop() error {
	if err := i.DaemonProcess.Stop(stopLimit); err != nil {
		return err
	}
	return i.BackendProcess.Stop(stopLimit)
}

// Kill ends the daemon and the backend server of an instance at once.
func (i *Instance) Kill() {
	i.DaemonProcess.Kill()
	i.BackendProcess.Kill()
}

// Run executes the program with args to its end and returns its output.
func (f *Fleet) Run(args ...string) (string, error) { return run(f.Binary, args...) }

// Submit submits an answer file and returns the hash of the draft.
func (f *Fleet) Submit(file string) (string, error) {
	output, err := f.RunAdministration("answers", "submit", file)
	if err != nil {
		return "", err
	}
	// The first line is "draft of SERVICE: HASH".
	line, _, _ := strings.Cut(output, "\n")
	_, hash, ok := strings.Cut(line, ": ")
	if !ok {
		return "", errors.Errorf("unexpected output of answers submit: %q", output)
	}
	return hash, nil
}

// Accept accepts a draft on the version that the operator has seen.
func (f *Fleet) Accept(service, draft string, seen int) (string, error) {
	return f.RunAdministration("config", "accept", service, "--draft", draft, "--seen", strconv.Itoa(seen))
}

// RunAdministration executes a command that calls the administration API.
func (f *Fleet) RunAdministration(args ...string) (string, error) {
	return f.Run(append(args, "--settings", f.administrationPath())...)
}

func (f *Fleet) administrationPath() string { return filepath.Join(f.Dir, "administration.ini") }

// writeAdministration writes the settings of an operator who knows some of the daemons.
func (f *Fleet) writeAdministration(instances []*Instance) error {
	var addrs []string
	for _, i := range instances[:min(seedCount, len(instances))] {
		addrs = append(addrs, i.Admin.String())
	}
	_, err := f.write("administration", fmt.Sprintf("[administration]\naddresses = %s\ntoken = %s\n", strings.Join(addrs, ", "), adminToken))
	return err
}

func (f *Fleet) write(name, text string) (string, error) {
	path := filepath.Join(f.Dir, name+".ini")
	return path, errors.Wrap(os.WriteFile(path, []byte(text), 0o600), "write settings")
}

func (f *Fleet) launch(name string, args ...string) (*Process, error) {
	p, err := StartProcess(f.Dir, name, f.Binary, args...)
	if err == nil {
		f.processes = append(f.processes, p)
	}
	return p, err
}
