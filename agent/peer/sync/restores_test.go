package sync

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"kingcupwood.example/kingcupwood/pkg/endpoint"
	"kingcupwood.example/kingcupwood/pkg/membership"
	"kingcupwood.example/kingcupwood/pkg/snapshot"
)

// sharedEras is the number of restores of a sharedSource and its floor row.
type sharedEras struct {
	mu            sync.Mutex
	era, floorEra uint64
	floor         snapshot.Version
	floorWrites   int
	// floorLost is set while the row of the floor cannot be written.
	floorLost bool
}

func (s *sharedEras) newest() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// restore begins the next era, in which the configuration has an older version.
func (s *sharedSource) restore(older snapshot.Version, floorLost bool) {
	s.eras.mu.Lock()
	s.eras.era++
	s.eras.floorLost = floorLost
	s.eras.mu.Unlock()
	s.publish(older)
}

// restoresOf implements Restores for one daemon.
type restoresOf struct {
	shared *sharedEras

	mu           sync.Mutex
	first, known uint64
	heard        bool
	changed      chan struct{}
	// rewritten holds when the rows of the daemon were written again, and the delays by which.
	rewritten []time.Time
	delays    []time.Duration
}

func (r *restoresOf) Raise(era uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.heard {
		r.heard, r.first, r.known = true, era, era
	}
	if era > r.known {
		r.known = era
		close(r.changed)
		r.changed = make(chan struct{})
	}
}

func (r *restoresOf) Eras() (first, newest uint64, changed <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.first, r.known, r.changed
}

func (r *restoresOf) RecordFloor(_ context.Context, v snapshot.Version) (bool, error) {
	s := r.shared
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.floorLost:
		return false, errDown
	case s.era == 0 || s.floorEra == s.era && s.floor >= v:
		return false, nil
	}
	s.floor, s.floorEra = max(s.floor, v), s.era
	s.floorWrites++
	return true, nil
}

func (r *restoresOf) Floor(context.Context) (snapshot.Version, bool, error) {
	s := r.shared
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.floor, s.floorEra >= s.era, nil
}

func (r *restoresOf) onRestore(_ context.Context, delay time.Duration) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rewritten, r.delays = append(r.rewritten, time.Now()), append(r.delays, delay)
	return 1
}

func (r *restoresOf) rewrites() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.rewritten)
}

// runRestorable is runSourceDomain with a source that states the number of its restores.
func runRestorable(t *testing.T, f func(c *cluster)) {
	t.Helper()
	runDomainOf(t, func() *sharedSource {
		s := newSharedSource()
		s.eras = &sharedEras{}
		return s
	}, f)
}

// Guards against daemons that do not call the store and never learn of its restore, against rows that are
// written again all at once, repeatedly or without a restore, and against a version that goes back.
func TestEveryDaemonHearsOfARestore(t *testing.T) {
	runRestorable(t, func(c *cluster) {
		c.source.publish(9)
		c.waitUntil("version 9", applyLimit, c.daemons, inForce(9))
		for _, d := range c.daemons {
			if d.restores.rewrites() > 0 || d.RestorePending() {
				t.Fatal("rows are written again without a restore")
			}
		}
		before := c.source.callsOf(c.daemons)
		restored := time.Now()
		c.source.restore(5, false)
		c.waitUntil("all have written their rows again", 5*time.Second, c.daemons, func(d *daemon) bool { return d.restores.rewrites() == 1 && !d.RestorePending() })
		shortest, longest, last := rewriteSpread, time.Duration(0), time.Duration(0)
		for _, d := range c.daemons {
			shortest, longest = min(shortest, d.restores.delays[0]), max(longest, d.restores.delays[0])
			last = max(last, d.restores.rewritten[0].Sub(restored))
		}
		t.Logf("the last daemon heard of the restore after %s; delays %s to %s", last, shortest, longest)
		if longest-shortest < rewriteSpread/2 || longest > rewriteSpread {
			t.Errorf("%d daemons spread what they write from %s to %s", len(c.daemons), shortest, longest)
		}
		time.Sleep(10 * time.Second)
		for n, d := range c.daemons {
			if d.store.Version() != 9 || d.restores.rewrites() != 1 {
				t.Errorf("%s has version %d and wrote %d times", d.record.Instance, d.store.Version(), d.restores.rewrites())
			}
			if calls := c.source.callsOf(c.daemons)[n] - before[n]; !d.isReader() && calls > 0 {
				t.Errorf("%s is no reader and called the source %d times", d.record.Instance, calls)
			}
		}
		if c.source.eras.floor != 9 || c.source.eras.floorWrites != 1 {
			t.Errorf("floor %d was written %d times", c.source.eras.floor, c.source.eras.floorWrites)
		}
		c.source.publish(10)
		c.waitUntil("the next version", applyLimit, c.daemons, inForce(10))
	})
}

// Guards against a daemon that starts while the restored store still has an older configuration, and serves
// it (a withdrawn route or key), whether the store has the floor again or only members know it.
func TestStartBesideARestoredStore(t *testing.T) {
	for name, floorLost := range map[string]bool{"floor in the store": false, "floor with members only": true} {
		t.Run(name, func(t *testing.T) {
			runRestorable(t, func(c *cluster) {
				c.source.publish(9)
				c.waitUntil("version 9", applyLimit, c.daemons, inForce(9))
				const restarted = 5
				c.daemons[restarted].kill()
				c.source.restore(5, floorLost)
				if !floorLost {
					time.Sleep(time.Second)
				}
				d := c.start(restarted, "domain-0")
				began, readyAfter := time.Now(), time.Duration(0)
				for range 500 {
					time.Sleep(10 * time.Millisecond)
					if d.Ready() && readyAfter == 0 {
						readyAfter = time.Since(began)
					}
					if d.Ready() && d.store.Version() < 9 {
						t.Fatalf("it serves version %d", d.store.Version())
					}
				}
				if !d.Ready() {
					t.Fatalf("it is not ready: %+v", d.Status())
				}
				t.Logf("ready after %s", readyAfter)
			})
		})
	}
}

// Guards against a daemon that never serves because no member is left that knows more than the restored store.
func TestStartAloneBesideARestoredStore(t *testing.T) {
	runRestorable(t, func(c *cluster) {
		for _, d := range c.daemons {
			d.kill()
		}
		c.source.restore(5, true)
		d := c.start(0, "domain-0")
		c.waitUntil("it serves what is left", restoredFloorTimeout+2*time.Second, []*daemon{d}, func(d *daemon) bool { return d.Ready() && d.store.Version() == 5 })
	})
}

// Guards against a departure that the members forget with the record of the process that reported it, or with the
// next departure, so that the next process cannot learn of it from them (review/8).
func TestMembersRememberDepartures(t *testing.T) {
	runRestorable(t, func(c *cluster) {
		d := c.daemons[5]
		marks := []endpoint.DepartureMark{{Server: 7, LastStartMS: 77}, {Server: 8, LastStartMS: 88}}
		for _, mark := range marks {
			d.Do(func(now time.Time, s *membership.State) {
				r := s.Local()
				r.LeftServer, r.LeftStartMS = mark.Server, mark.LastStartMS
				s.SetLocal(now, r)
			})
			time.Sleep(5 * time.Second)
		}
		d.kill()
		c.known[5].Record.Incarnation++
		d = c.start(5, "domain-0")
		remembered, err := d.RememberedDepartures(context.Background())
		for began := time.Now(); err != nil && time.Since(began) < 10*time.Second; remembered, err = d.RememberedDepartures(context.Background()) {
			time.Sleep(100 * time.Millisecond)
		}
		if err != nil {
			t.Fatal(err)
		}
		for _, mark := range marks {
			if !slices.Contains(remembered, mark) {
				t.Errorf("members remember %v", remembered)
			}
		}
	})
}

// Guards against a daemon that misses a restore because its parents do not answer its polls.
func TestEraInTheRecordOfAReader(t *testing.T) {
	runRestorable(t, func(c *cluster) {
		d := c.without(c.readers())[0]
		reader := c.readers()[0].record
		reader.Counter, reader.StoreEra = 1000, 4
		d.Do(func(now time.Time, s *membership.State) { s.Merge(now, []membership.Entry{{Record: reader}}) })
		time.Sleep(membership.PublishInterval + 2*eraCheckInterval)
		if _, era, _ := d.restores.Eras(); era != 4 {
			t.Errorf("era %d", era)
		}
	})
}
