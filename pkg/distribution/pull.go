package distribution

import (
	"maps"
	"slices"
	"time"

	"kingcupwood.example/kingcupwood/pkg/endpoint"
	"kingcupwood.example/kingcupwood/pkg/snapshot"
)

// PullAfter is how long a peer must have had a higher version before a daemon pulls from it. The
// tree delivers versions faster, so a pull is needed only if the tree did not reach this daemon.
const PullAfter = 300 * time.Millisecond

const (
	// minSeedPeriod is the minimum value of SeedPeriod. Exchanges with seeds merge groups of
	// daemons that started without discovering each other.
	minSeedPeriod = 6
	// seedLoadPeriod is the number of exchange intervals per exchange at each seed. An exchange
	// transfers about 1 kB, and the interval is 12 s.
	seedLoadPeriod = 2
)

// SeedPeriod returns the number of anti-entropy exchanges of a daemon per exchange with a seed. It
// grows with the number of members to bound the load of seeds: with a constant interval of 75 s per
// daemon, 100 daemons caused traffic of 1 kB/s at a seed.
func SeedPeriod(members, seeds int) int {
	return max(minSeedPeriod, seedLoadPeriod*members/max(seeds, 1))
}

// Action is how to handle a received delta.
type Action uint8

// The actions for a received delta.
const (
	Ignore   Action = iota // the version is not higher than the one in force
	Apply                  // the delta is complete or is based on the version in force
	PullFull               // the delta is based on another version
)

// Decide returns how a daemon with version current handles the delta d.
func Decide(current snapshot.Version, d *snapshot.Delta) Action {
	switch {
	case d == nil || d.Version <= current:
		return Ignore
	case d.Base == 0 || d.Base == current:
		return Apply
	}
	return PullFull
}

// Candidate is a peer that reported a higher version.
type Candidate struct {
	Instance endpoint.InstanceID
	Version  snapshot.Version
	Since    time.Time
}

// PullFrom returns the candidate with the highest version above current among those whose version
// has been known for at least the duration after, and whether there is one.
func PullFrom(now time.Time, after time.Duration, current snapshot.Version, candidates []Candidate) (Candidate, bool) {
	var best Candidate
	for _, c := range candidates {
		if c.Version > max(current, best.Version) && now.Sub(c.Since) >= after {
			best = c
		}
	}
	return best, best.Version > 0
}

// FromManifest returns the delta from current to the manifest m, without the objects of the changed
// entries. If current is nil, the delta is complete.
func FromManifest(current *snapshot.Snapshot, m *snapshot.Manifest, hash snapshot.Hash) *snapshot.Delta {
	d := &snapshot.Delta{Version: m.Version, ManifestHash: hash, Limits: m.Limits}
	remaining := map[string]snapshot.ManifestEntry{}
	if current == nil {
		d.Accounts = m.Accounts
	} else {
		d.Base = current.Version
		d.Accounts, d.RemovedGroups = accountChanges(current.Manifest.Accounts, m.Accounts)
		for _, e := range current.Manifest.Entries {
			remaining[e.Service] = e
		}
	}
	for _, e := range m.Entries {
		if remaining[e.Service] != e {
			d.Changed = append(d.Changed, e)
		}
		delete(remaining, e.Service)
	}
	if current != nil {
		for _, e := range current.Manifest.Entries {
			if _, removed := remaining[e.Service]; removed {
				d.Removed = append(d.Removed, e.Service)
			}
		}
	}
	return d
}

// accountChanges returns the groups of accounts in which to differs from from, and those that it lacks.
func accountChanges(from, to []snapshot.AccountEntry) (changed []snapshot.AccountEntry, removed []int) {
	remaining := make(map[int]snapshot.AccountEntry, len(from))
	for _, e := range from {
		remaining[e.Group] = e
	}
	for _, e := range to {
		if known, ok := remaining[e.Group]; !ok || known != e {
			changed = append(changed, e)
		}
		delete(remaining, e.Group)
	}
	return changed, slices.Sorted(maps.Keys(remaining))
}

// Backoff computes exponential delays with full jitter between retries, so that daemons that failed
// at the same time do not retry at the same time.
type Backoff struct {
	// Base is the upper bound of the first delay, Max that of all delays.
	Base, Max time.Duration
	failures  int
}

// Next returns the delay before the next attempt. random returns a value in [0, n).
func (b *Backoff) Next(random func(n int64) int64) time.Duration {
	limit := b.Max
	if shift := b.failures; shift < 30 && b.Base<<shift < b.Max {
		limit = b.Base << shift
	}
	b.failures++
	return time.Duration(random(int64(limit)) + 1)
}

// Reset restores the initial delay after a success.
func (b *Backoff) Reset() { b.failures = 0 }
