package tests

import (
	"testing"
	"time"

	"kingcupwood.example/kingcupwood/pkg/verdict"
	"kingcupwood.example/kingcupwood/standin/platform"
	"kingcupwood.example/kingcupwood/tools/fleet"
)

// Deadlines of the kinds. The short one makes senders give up on a failed instance; the long one is
// for tests in which no request may fail.
const (
	shortDeadline = "600ms"
	longDeadline  = "20s"
)

// affected is the index of the instance that fails or stops. It is in the failure domain of
// instance 0, so that half of the requests through instance 0 are sent to it.
const affected = 3

// platformDelay is longer than all timeouts of a daemon for requests to the platform.
const platformDelay = 10 * time.Second

// Guards against requests that a frozen daemon runs after it resumes although their senders have
// abandoned them, and against a configuration version that decreases or stays outdated after the
// pause.
func TestDaemonFrozenUnderSaves(t *testing.T) {
	d := deploy(t, shortDeadline)
	defer watchVersions(t, d.Instances)()
	frozen := d.Instances[affected]
	l := startLoad(t, d.Instances[:affected])
	l.await(100)
	if err := frozen.DaemonProcess.Freeze(); err != nil {
		t.Fatal(err)
	}
	// Senders time out, fence their attempts and eject the daemon. The frozen daemon misses the
	// change.
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

// Guards against saves that run twice, and against wrong verdicts, when the receiving daemon is
// killed while its backend server continues to run.
func TestDaemonKilledUnderSaves(t *testing.T) {
	d := deploy(t, shortDeadline)
	defer watchVersions(t, d.Instances)()
	l := startLoad(t, d.Instances[:affected])
	l.await(100)
	d.Instances[affected].DaemonProcess.Kill()
	l.await(100)
	d.revise()
	l.await(200)
	l.finish(d, false)
}

// Guards against saves that run twice, and against wrong verdicts, when a backend server is killed.
func TestBackendServerKilledUnderSaves(t *testing.T) {
	d := deploy(t, shortDeadline)
	defer watchVersions(t, d.Instances)()
	l := startLoad(t, d.Instances)
	l.await(200)
	killed := d.Instances[affected]
	l.saveRuns(killed)
	killed.BackendProcess.Kill()
	l.await(200)
	d.revise()
	l.finish(d, true)
}

// Guards against requests that are aborted or refused when a daemon stops while callers send to it
// directly.
func TestStoppingDaemonCutsNoRequest(t *testing.T) {
	d := deploy(t, longDeadline)
	defer watchVersions(t, d.Instances)()
	stopping := d.Instances[affected]
	// Half of the callers start with the stopping daemon and switch to the other one, which also
	// sends requests to the stopping daemon.
	l := startLoad(t, []*fleet.Instance{stopping, d.Instances[0]})
	l.await(200)
	if err := stopping.DaemonProcess.Stop(setupLimit); err != nil {
		t.Error(err)
	}
	l.await(200)
	d.revise()
	expectAll(t, l.finish(d, false))
}

// Guards against requests that fail when a backend server stops, and against new requests to it
// after it has been draining for drainDelay.
func TestStoppingBackendServer(t *testing.T) {
	const drainDelay = 3 * time.Second
	d := deploy(t, longDeadline, "drain-notice = 5s")
	defer watchVersions(t, d.Instances)()
	stopping := d.Instances[affected]
	l := startLoad(t, d.Instances)
	l.await(200)
	stopped := make(chan error, 1)
	go func() { stopped <- stopping.BackendProcess.Stop(setupLimit) }()
	d.waitState(stopping, "draining")
	time.Sleep(drainDelay)
	l.saveRuns(stopping)
	before := len(l.savedRuns[stopping.Name])
	l.await(200)
	l.saveRuns(stopping)
	if after := len(l.savedRuns[stopping.Name]); after != before {
		t.Errorf("%d requests ran on a server that had been draining for %v", after-before, drainDelay)
	}
	if err := <-stopped; err != nil {
		t.Error(err)
	}
	l.await(100)
	expectAll(t, l.finish(d, false))
}

// Guards against a request path that depends on the platform, and against a daemon that cannot
// restart, or restarts with an old version, during a platform outage.
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

// Guards against an accept that is applied twice, or reported as not accepted, because the response
// of the platform was lost after the write took effect.
func TestLostResponseOfAnAccept(t *testing.T) {
	d := deploy(t, longDeadline)
	defer watchVersions(t, d.Instances)()
	draft := d.draft()
	d.inject(platform.Table, platform.LoseResponse, platform.OnlyWrites, 0)
	output, err := d.Accept("pages", draft, int(d.version))
	d.clearFaults()
	t.Logf("accept: %s", output)
	if err != nil {
		t.Errorf("the accept took effect, but the command returned an error: %v", err)
	}
	d.version++
	d.converge()
	for _, i := range d.Instances {
		if v, err := i.Version(t.Context()); err != nil || v != d.version {
			t.Errorf("%s has version %d, want %d: %v", i.Name, v, d.version, err)
		}
	}
	if output, err := d.Accept("pages", draft, int(d.version)-1); err == nil {
		t.Errorf("accept based on an outdated version succeeded: %s", output)
	}
	l := startLoad(t, d.Instances)
	l.await(50)
	for _, r := range l.finish(d, false) {
		if r.verdict != verdict.Ran {
			t.Errorf("request %+v was not served", *r)
		}
	}
}
