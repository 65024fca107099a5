package snapshot

import (
	"slices"
	"strings"

	"github.com/pkg/errors"
)

// DeltaFrom returns what turns old into s. A nil old gives a complete delta with Base 0. It fails
// with ErrOldVersion if s is not newer than old.
func (s *Snapshot) DeltaFrom(old *Snapshot) (*Delta, error) {
	if err := old.checkNewer(s.Version); err != nil {
		return nil, err
	}
	d := &Delta{Base: old.current(), Version: s.Version, ManifestHash: s.ManifestHash, Limits: s.Manifest.Limits}
	before := old.entries()
	for _, e := range s.Manifest.Entries {
		for len(before) > 0 && before[0].Service < e.Service {
			d.Removed = append(d.Removed, before[0].Service)
			before = before[1:]
		}
		if len(before) > 0 && before[0].Service == e.Service {
			same := before[0] == e
			before = before[1:]
			if same {
				continue
			}
		}
		if err := d.change(s, e); err != nil {
			return nil, err
		}
	}
	for _, e := range before {
		d.Removed = append(d.Removed, e.Service)
	}
	return d, nil
}

func (s *Snapshot) entries() []ManifestEntry {
	if s == nil {
		return nil
	}
	return s.Manifest.Entries
}

// change adds an entry of s. Snapshots keep no encoded objects, which saves memory; the encoding is
// deterministic and gives the announced hash again.
func (d *Delta) change(s *Snapshot, e ManifestEntry) error {
	object, hash, err := Encode(s.Services[e.Service])
	if err != nil {
		return err
	}
	if hash != e.Hash {
		return errors.Wrapf(ErrHash, "service %q of version %d", e.Service, s.Version)
	}
	d.Changed = append(d.Changed, e)
	d.Objects = append(d.Objects, object)
	return nil
}

// Apply returns the snapshot that d makes of s. The receiver, which may be nil for a complete delta,
// is unchanged and its unchanged services are shared. A delta is taken as a whole or not at all:
// Apply fails with ErrOldVersion, ErrBase, ErrFormat, ErrMissing, ErrHash or Problems.
func (s *Snapshot) Apply(d *Delta) (*Snapshot, error) {
	if err := s.checkDelta(d); err != nil {
		return nil, err
	}
	a := newAssembly(len(d.Changed))
	if d.Base != 0 {
		a = copyOf(s)
	}
	a.limits = d.Limits
	for _, service := range d.Removed {
		if err := a.remove(service); err != nil {
			return nil, err
		}
	}
	for i, e := range d.Changed {
		if err := s.applyEntry(a, e, d.Objects[i]); err != nil {
			return nil, err
		}
	}
	next, err := a.finish(d.Version)
	if err != nil {
		return nil, err
	}
	if next.ManifestHash != d.ManifestHash {
		return nil, errors.Wrapf(ErrHash, "manifest of version %d", d.Version)
	}
	return next, nil
}

// applyEntry verifies the object even if s already holds the same content, so that a corrupted
// delta is noticed whatever the receiver holds.
func (s *Snapshot) applyEntry(a *assembly, e ManifestEntry, object []byte) error {
	held, ok := s.entry(e.Service)
	if !ok || held.Hash != e.Hash || HashOf(object) != e.Hash || e.Revision == 0 {
		return a.add(e, object)
	}
	a.share(s, e)
	return nil
}

func (s *Snapshot) entry(service string) (ManifestEntry, bool) {
	entries := s.entries()
	i, ok := slices.BinarySearchFunc(entries, service, func(e ManifestEntry, name string) int {
		return strings.Compare(e.Service, name)
	})
	if !ok {
		return ManifestEntry{}, false
	}
	return entries[i], true
}

func (s *Snapshot) checkDelta(d *Delta) error {
	if err := s.checkNewer(d.Version); err != nil {
		return err
	}
	if d.Base != 0 && d.Base != s.current() {
		return errors.Wrapf(ErrBase, "base %d, current is %d", d.Base, s.current())
	}
	if d.Base == 0 && len(d.Removed) > 0 {
		return errors.Wrap(ErrFormat, "complete delta removes services")
	}
	if len(d.Changed) != len(d.Objects) {
		return errors.Wrapf(ErrFormat, "%d changed entries, %d objects", len(d.Changed), len(d.Objects))
	}
	return checkOrder(d.Changed)
}
