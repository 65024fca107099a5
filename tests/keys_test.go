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

// keyedSaves is enough for every one of four daemons to own some keys.
const keyedSaves = 60

// keyed is a set of saves with an idempotency key each, and the responses to their first submission.
type keyed struct {
	d     *deployment
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

// repeat submits all saves again through the daemon of i. A refusal as not run is repeated until the
// owner of the key has changed; anything else must be the first response.
func (k *keyed) repeat(i *fleet.Instance) {
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

// hasMoved reports whether the log of i, from the given offset on, shows a complete transfer of keys to
// the daemon of owner.
func (d *deployment) hasMoved(i *fleet.Instance, offset int64, owner string) bool {
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

// logSizes returns the sizes of the logs of all daemons.
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

// Guards against keyed saves that run again when they are repeated while the owner of their key drains,
// after it has stopped, and after it has come back.
func TestKeyedSavesAcrossARestart(t *testing.T) {
	// settled is longer than the time after which a server that became ready owns keys. The owners of
	// all keys are the same from then on.
	const settled = 3 * time.Second
	d := deploy(t, longDeadline)
	time.Sleep(settled)
	k := &keyed{d: d, first: map[string]string{}}
	k.repeat(d.Instances[0])

	leaving := d.Instances[neighbour]
	stopped := make(chan error, 1)
	go func() { stopped <- leaving.DaemonProcess.Stop(setupLimit) }()
	for leaving.DaemonProcess.Running() {
		k.repeat(d.Instances[0])
	}
	if err := <-stopped; err != nil {
		t.Error(err)
	}
	k.repeat(d.Instances[0])

	before := d.logSizes()
	if err := d.StartDaemon(leaving); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), setupLimit)
	defer cancel()
	if err := fleet.WaitReady(ctx, d.Instances, "pages", servers); err != nil {
		t.Fatal(err)
	}
	// Each of the other daemons holds some keys of the one that has come back, by their fixed names.
	for _, i := range d.Instances[:neighbour] {
		for !d.hasMoved(i, before[i.Name], leaving.Name) {
			if ctx.Err() != nil {
				t.Fatalf("%s has not returned the keys of %s", i.Name, leaving.Name)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	k.repeat(leaving)
	time.Sleep(settled)
	for _, i := range d.Instances {
		k.repeat(i)
	}
	runs := (&load{t: t}).countRuns(d)
	for n := range keyedSaves {
		if id := fmt.Sprint("keyed-", n); runs[id] != 1 {
			t.Errorf("save %s ran %d times", id, runs[id])
		}
	}
}
