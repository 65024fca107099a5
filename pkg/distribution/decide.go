package distribution

import (
	"time"

	"kingcupwood.example/kingcupwood/pkg/endpoint"
	"kingcupwood.example/kingcupwood/pkg/snapshot"
)

// PullAfter is how long a peer must have been seen with a higher version before a daemon pulls from
// it. The tree delivers faster, so a pull is a sign that the tree missed this daemon.
const PullAfter = 300 * time.Millisecond

const (
	// seedEvery is the least number of anti-entropy exchanges of a daemon for each one with a seed, which
	// reunites groups of daemons that started without seeing each other.
	seedEvery = 6
	// seedRounds is the number of exchanges in the time of which a seed is asked once. An exchange is about
	// 1 kB and follows after 12 s.
	seedRounds = 2
)

// SeedPeriod returns the number of anti-entropy exchanges of a daemon, one of which is with a seed. It
// grows with the number of members: asked by each daemon every 75 s, a seed spent 1 kB/s with 100 daemons.
func SeedPeriod(members, seeds int) int {
	return max(seedEvery, seedRounds*members/max(seeds, 1))
}

// Action is what to do with a delta that arrived.
type Action uint8

// The actions.
const (
	Ignore   Action = iota // the version is not above the one in force
	Apply                  // the delta fits
	PullFull               // the delta is based on another version
)

// Decide returns what a daemon with version current does with a delta.
func Decide(current snapshot.Version, d *snapshot.Delta) Action {
	switch {
	case d == nil || d.Version <= current:
		return Ignore
	case d.Base == 0 || d.Base == current:
		return Apply
	}
	return PullFull
}

// Candidate is a peer that was seen with a higher version.
type Candidate struct {
	Instance endpoint.InstanceID
	Version  snapshot.Version
	Since    time.Time
}

// PullFrom returns the candidate with the highest version among those seen for the time after, and
// whether there is one.
func PullFrom(now time.Time, after time.Duration, current snapshot.Version, candidates []Candidate) (Candidate, bool) {
	var best Candidate
	for _, c := range candidates {
		if c.Version > max(current, best.Version) && now.Sub(c.Since) >= after {
			best = c
		}
	}
	return best, best.Version > 0
}

// FromManifest returns the delta that leads from current to the manifest m, without its objects,
// which are those of Changed. A nil current gives a complete delta.
func FromManifest(current *snapshot.Snapshot, m *snapshot.Manifest, hash snapshot.Hash) *snapshot.Delta {
	d := &snapshot.Delta{Version: m.Version, ManifestHash: hash, Limits: m.Limits}
	held := map[string]snapshot.ManifestEntry{}
	if current != nil {
		d.Base = current.Version
		for _, e := range current.Manifest.Entries {
			held[e.Service] = e
		}
	}
	for _, e := range m.Entries {
		if held[e.Service] != e {
			d.Changed = append(d.Changed, e)
		}
		delete(held, e.Service)
	}
	if current != nil {
		for _, e := range current.Manifest.Entries {
			if _, removed := held[e.Service]; removed {
				d.Removed = append(d.Removed, e.Service)
			}
		}
	}
	return d
}

// Backoff gives the pauses between retries: exponential with full jitter, so that daemons which
// failed together do not return together.
type Backoff struct {
	// Base is the upper bound of the first pause, Max that of all.
	Base, Max time.Duration
	failures  int
}

// Next returns the pause before the next attempt. random returns a value in [0, n).
func (b *Backoff) Next(random func(n int64) int64) time.Duration {
	limit := b.Max
	if shift := b.failures; shift < 30 && b.Base<<shift < b.Max {
		limit = b.Base << shift
	}
	b.failures++
	return time.Duration(random(int64(limit)) + 1)
}

// Reset makes the next pause short again after a success.
func (b *Backoff) Reset() { b.failures = 0 }
