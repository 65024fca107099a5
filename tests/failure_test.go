package tests

import (
	"testing"
	"time"

	"kingcupwood.example/kingcupwood/pkg/verdict"
	"kingcupwood.example/kingcupwood/standin/platform"
	"kingcupwood.example/kingcupwood/tools/fleet"
)

// Deadlines of the kinds: short where senders must give up, long where nothing may fail.
const (
	shortDeadline = "600ms"
	longDeadline  = "20s"
)

// neighbour is the instance that fails or leaves. It shares its failure domain with instance 0, so that
// half of the requests through that one reach it.
const neighbour = 3

// platformDelay is longer than every timeout of a daemon towards the platform.
const platformDelay = 10 * time.Second

// Guards against requests that a frozen daemon runs after its resumption although their senders have
// given up, and against a configuration that falls back or stays behind after the pause.
func TestDaemonFrozenUnderSaves(t *testing.T) {
	d := deploy(t, shortDeadline)
	defer watchVersions(t, d.Instances)()
	frozen := d.Instances[neighbour]
	l := startLoad(t, d.Instances[:neighbour])
	l.await(100)
	if err := frozen.DaemonProcess.Freeze(); err != nil {
		t.Fatal(err)
	}
	// Senders give up, fence and eject; the change passes the frozen daemon by.
	time.Sleep(1500 * time.Millisecond)
	if output, err := d.Accept("pages", d.draft(), int(d.version)); err != nil {
		t.Errorf("accept: %v: %s", err, output)
	}
	d.version++
	l.await(100)
	if err := frozen.DaemonProcess.Resume(); err != nil {
		t.Fatal(err)
	}
	d.converge()
	l.await(200)
	l.finish(d, false)
}

// Guards against saves that run again, or false verdicts, when the receiving daemon dies while its
// backend server goes on.
func TestDaemonKilledUnderSaves(t *testing.T) {
	d := deploy(t, shortDeadline)
	defer watchVersions(t, d.Instances)()
	l := startLoad(t, d.Instances[:neighbour])
	l.await(100)
	d.Instances[neighbour].DaemonProcess.Kill()
	l.await(100)
	d.revise()
	l.await(200)
	l.finish(d, false)
}

// Guards against saves that run again, or false verdicts, when a backend server dies.
func TestBackendServerKilledUnderSaves(t *testing.T) {
	d := deploy(t, shortDeadline)
	defer watchVersions(t, d.Instances)()
	l := startLoad(t, d.Instances)
	l.await(200)
	victim := d.Instances[neighbour]
	l.keepRuns(victim)
	victim.BackendProcess.Kill()
	l.await(200)
	d.revise()
	l.finish(d, true)
}

// Guards against requests that are cut or refused when a daemon stops while callers use it directly.
func TestStoppingDaemonCutsNoRequest(t *testing.T) {
	d := deploy(t, longDeadline)
	defer watchVersions(t, d.Instances)()
	leaving := d.Instances[neighbour]
	// Half of the callers use the leaving daemon and go on to the other one, which sends to it.
	l := startLoad(t, []*fleet.Instance{leaving, d.Instances[0]})
	l.await(200)
	if err := leaving.DaemonProcess.Stop(setupLimit); err != nil {
		t.Error(err)
	}
	l.await(200)
	d.revise()
	expectAll(t, l.finish(d, false))
}

// Guards against requests that fail when a backend server stops, and against new work for it after
// the time in which it must not get any.
func TestStoppingBackendServer(t *testing.T) {
	const quietAfter = 3 * time.Second
	d := deploy(t, longDeadline, "drain-notice = 5s")
	defer watchVersions(t, d.Instances)()
	leaving := d.Instances[neighbour]
	l := startLoad(t, d.Instances)
	l.await(200)
	stopped := make(chan error, 1)
	go func() { stopped <- leaving.BackendProcess.Stop(setupLimit) }()
	d.waitState(leaving, "draining")
	time.Sleep(quietAfter)
	l.keepRuns(leaving)
	before := len(l.kept[leaving.Name])
	l.await(200)
	l.keepRuns(leaving)
	if after := len(l.kept[leaving.Name]); after != before {
		t.Errorf("%d requests ran on a server that had been draining for %v", after-before, quietAfter)
	}
	if err := <-stopped; err != nil {
		t.Error(err)
	}
	l.await(100)
	expectAll(t, l.finish(d, false))
}

// Guards against a request path that depends on the platform, and against a restarted daemon that
// cannot start, or starts with an old version, while the platform is away.
func TestPlatformOutageAndSlowness(t *testing.T) {
	d := deploy(t, longDeadline)
	d.revise()
	defer watchVersions(t, d.Instances)()
	entries := append(d.Instances[:1:1], d.Instances[2:]...)
	l := startLoad(t, entries)
	d.inject(platform.Table, platform.Outage, platform.AllOperations, 0)
	d.inject(platform.Objects, platform.Outage, platform.AllOperations, 0)
	l.await(300)
	restarted := d.Instances[1]
	if err := restarted.DaemonProcess.Stop(setupLimit); err != nil {
		t.Error(err)
	}
	if err := d.StartDaemon(restarted); err != nil {
		t.Fatal(err)
	}
	d.waitServing(restarted)
	direct := startLoad(t, d.Instances[1:2])
	direct.await(50)
	d.clearFaults()
	d.inject(platform.Table, platform.Slow, platform.AllOperations, platformDelay)
	d.inject(platform.Objects, platform.Slow, platform.AllOperations, platformDelay)
	l.await(300)
	d.clearFaults()
	d.revise()
	expectAll(t, l.finish(d, false))
	expectAll(t, direct.finish(d, false))
}

// Guards against an accept that is repeated, or reported as not accepted, because the response of the
// platform was lost after the write took effect.
func TestLostResponseOfAnAccept(t *testing.T) {
	d := deploy(t, longDeadline)
	defer watchVersions(t, d.Instances)()
	draft := d.draft()
	d.inject(platform.Table, platform.LoseResponse, platform.OnlyWrites, 0)
	output, err := d.Accept("pages", draft, int(d.version))
	d.clearFaults()
	t.Logf("accept: %s", output)
	if err != nil {
		t.Errorf("the accept took effect, but the operator was told: %v", err)
	}
	d.version++
	d.converge()
	for _, i := range d.Instances {
		if v, err := i.Version(t.Context()); err != nil || v != d.version {
			t.Errorf("%s has version %d, want %d: %v", i.Name, v, d.version, err)
		}
	}
	if output, err := d.Accept("pages", draft, int(d.version)-1); err == nil {
		t.Errorf("accepted on an outdated version: %s", output)
	}
	l := startLoad(t, d.Instances)
	l.await(50)
	for _, r := range l.finish(d, false) {
		if r.verdict != verdict.Ran {
			t.Errorf("request %+v was not served", *r)
		}
	}
}
