package tests

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"kingcupwood.example/kingcupwood/lib/event"
	"kingcupwood.example/kingcupwood/pkg/verdict"
	"kingcupwood.example/kingcupwood/standin/backend"
	"kingcupwood.example/kingcupwood/tools/fleet"
)

// keyedSaves is the number of saves. It is high enough for each of the four daemons to own some
// keys.
const keyedSaves = 60

// keyed submits saves with one idempotency key each and compares the responses.
type keyed struct {
	d *deployment
	// first holds the body of the first response to each save, by request ID.
	first map[string]string
}

// submit sends save n through the daemon of i.
func (k *keyed) submit(i *fleet.Instance, n int) (fleet.Answer, error) {
	id := fmt.Sprint("keyed-", n)
	header := http.Header{}
	header.Set(backend.RequestIDHeader, id)
	header.Set("Idempotency-Key", id)
	return fleet.Call(k.d.t.Context(), i.Callers, "pages", http.MethodPost, "/pages/"+id, header, []byte("text"))
}

// submitAll submits all saves through the daemon of i. It retries a save with the verdict not-run,
// which is expected while the ownership of its key changes. Any other response must equal the first
// one.
func (k *keyed) submitAll(i *fleet.Instance) {
	k.d.t.Helper()
	for n := range keyedSaves {
		for deadline := time.Now().Add(setupLimit); ; time.Sleep(50 * time.Millisecond) {
			a, err := k.submit(i, n)
			if err != nil {
				k.d.t.Fatal(err)
			}
			if a.Verdict == verdict.NotRun && time.Now().Before(deadline) {
				continue
			}
			id := fmt.Sprint("keyed-", n)
			if k.first[id] == "" {
				k.first[id] = string(a.Body)
			}
			if a.Status != http.StatusOK || string(a.Body) != k.first[id] {
				k.d.t.Errorf("%s: status %d, %s: %.60q, first response %.60q", id, a.Status, a.Verdict, a.Body, k.first[id])
			}
			break
		}
	}
}

// handedOver reports whether the log of i shows, after the given offset, a complete handover of
// keys to the daemon of owner.
func (d *deployment) handedOver(i *fleet.Instance, offset int64, owner string) bool {
	d.t.Helper()
	file, err := os.Open(d.logPath(i))
	if err != nil {
		d.t.Fatal(err)
	}
	defer file.Close()
	if _, err := file.Seek(offset, io.SeekStart); err != nil {
		d.t.Fatal(err)
	}
	for lines := bufio.NewScanner(file); lines.Scan(); {
		var line struct {
			Msg, Owner string
			Keys, Sent int
		}
		if json.Unmarshal(lines.Bytes(), &line) == nil && line.Msg == event.KeysMoved.Text &&
			line.Owner == owner && line.Keys > 0 && line.Sent == line.Keys {
			return true
		}
	}
	return false
}

func (d *deployment) logPath(i *fleet.Instance) string {
	return filepath.Join(d.Dir, i.Name+"-daemon.log")
}

// logSizes returns the current log size of each daemon, by instance.
func (d *deployment) logSizes() map[string]int64 {
	d.t.Helper()
	sizes := map[string]int64{}
	for _, i := range d.Instances {
		info, err := os.Stat(d.logPath(i))
		if err != nil {
			d.t.Fatal(err)
		}
		sizes[i.Name] = info.Size()
	}
	return sizes
}

// Guards against keyed saves that run twice when they are submitted again while the owner of their
// key is draining, after it has stopped, and after it has restarted.
func TestKeyedSavesAcrossARestart(t *testing.T) {
	// ownershipDelay is longer than the time after which a server that became ready owns keys. The
	// owner of each key stays the same from then on.
	const ownershipDelay = 3 * time.Second
	d := deploy(t, longDeadline)
	time.Sleep(ownershipDelay)
	k := &keyed{d: d, first: map[string]string{}}
	k.submitAll(d.Instances[0])

	stopping := d.Instances[affected]
	stopped := make(chan error, 1)
	go func() { stopped <- stopping.DaemonProcess.Stop(setupLimit) }()
	for stopping.DaemonProcess.Running() {
		k.submitAll(d.Instances[0])
	}
	if err := <-stopped; err != nil {
		t.Error(err)
	}
	k.submitAll(d.Instances[0])

	before := d.logSizes()
	if err := d.StartDaemon(stopping); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), setupLimit)
	defer cancel()
	if err := fleet.WaitReady(ctx, d.Instances, "pages", servers); err != nil {
		t.Fatal(err)
	}
	// Each of the other daemons holds some keys of the restarted one: instance names and keys are
	// fixed, so this distribution is the same in every run.
	for _, i := range d.Instances[:affected] {
		for !d.handedOver(i, before[i.Name], stopping.Name) {
			if ctx.Err() != nil {
				t.Fatalf("%s has not handed over the keys of %s", i.Name, stopping.Name)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	k.submitAll(stopping)
	time.Sleep(ownershipDelay)
	for _, i := range d.Instances {
		k.submitAll(i)
	}
	runs := (&load{t: t}).countRuns(d)
	for n := range keyedSaves {
		if id := fmt.Sprint("keyed-", n); runs[id] != 1 {
			t.Errorf("save %s ran %d times", id, runs[id])
		}
	}
}
