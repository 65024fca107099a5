package tests

import (
	"bufio"
	"encoding/json"
	"fmt"
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

// loggedKeys adds up the keys that the log of an instance reports as sent by the given event; owner
// limits it to keys sent to that instance.
func (d *deployment) loggedKeys(i *fleet.Instance, e event.Event, owner string) int {
	d.t.Helper()
	file, err := os.Open(filepath.Join(d.Dir, i.Name+"-daemon.log"))
	if err != nil {
		d.t.Fatal(err)
	}
	defer file.Close()
	total := 0
	for lines := bufio.NewScanner(file); lines.Scan(); {
		var line struct {
			Msg, Owner string
			Sent       int
		}
		if json.Unmarshal(lines.Bytes(), &line) == nil && line.Msg == e.Text && (owner == "" || line.Owner == owner) {
			total += line.Sent
		}
	}
	return total
}

// Guards against keyed saves that run again when they are repeated while the owner of their key drains,
// after it has stopped, and after it has come back.
func TestKeyedSavesAcrossARestart(t *testing.T) {
	d := deploy(t, longDeadline)
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

	owned := d.loggedKeys(leaving, event.KeysHandedOver, "")
	if owned == 0 {
		t.Fatal("the stopped daemon has handed over no keys")
	}
	if err := d.StartDaemon(leaving); err != nil {
		t.Fatal(err)
	}
	d.waitState(leaving, "ready")
	for deadline := time.Now().Add(setupLimit); ; time.Sleep(50 * time.Millisecond) {
		moved := 0
		for _, i := range d.Instances[:neighbour] {
			moved += d.loggedKeys(i, event.KeysMoved, leaving.Name)
		}
		if moved >= owned {
			break
		}
		if time.Now().After(deadline) {
			t.Fatalf("only %d of %d keys have returned to their owner", moved, owned)
		}
	}
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
