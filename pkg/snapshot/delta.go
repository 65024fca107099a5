package snapshot

import (
	"slices"
	"strings"

	"github.com/pkg/errors"
)

// DeltaFrom returns the delta from old to s. If old is nil, the delta is complete and has Base 0.
// It fails with ErrOldVersion if s is not newer than old.
func (s *Snapshot) DeltaFrom(old *Snapshot) (*Delta, error) {
	if err := old.checkNewer(s.Version); err != nil {
		return nil, err
	}
	d := &Delta{Base: old.versionOrZero(), Version: s.Version, ManifestHash: s.ManifestHash, Limits: s.Manifest.Limits}
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
	return d, d.changeAccounts(old, s)
}

// changeAccounts adds the groups of accounts in which s differs from old.
func (d *Delta) changeAccounts(old, s *Snapshot) error {
	before := accountBuilderFrom(old).entries
	for _, e := range s.Manifest.Accounts {
		if known := before[e.Group]; known == nil || *known != e {
			object := s.AccountObject(e.Group)
			if HashOf(object) != e.Hash {
				return errors.Wrapf(ErrHash, "account group %d of version %d", e.Group, s.Version)
			}
			d.Accounts = append(d.Accounts, e)
			d.AccountObjects = append(d.AccountObjects, object)
		}
		before[e.Group] = nil
	}
	for g, e := range before {
		if e != nil {
			d.RemovedGroups = append(d.RemovedGroups, g)
		}
	}
	return nil
}

func (s *Snapshot) entries() []ManifestEntry {
	if s == nil {
		return nil
	}
	return s.Manifest.Entries
}

// change adds an entry of s with its encoded service. Snapshots do not keep encoded objects, to
// save memory; the deterministic encoding reproduces the bytes that belong to the hash of the
// entry.
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

// Apply returns the snapshot that results from applying d to s. It does not modify the receiver,
// which may be nil for a complete delta, and shares its unchanged services with the result. A delta
// is applied completely or not at all: Apply fails with ErrOldVersion, ErrBase, ErrFormat,
// ErrMissing, ErrHash or Problems.
func (s *Snapshot) Apply(d *Delta) (*Snapshot, error) {
	if err := s.checkDelta(d); err != nil {
		return nil, err
	}
	b := newBuilder(len(d.Changed))
	if d.Base != 0 {
		b = builderFrom(s)
	}
	b.limits = d.Limits
	for _, service := range d.Removed {
		if err := b.remove(service); err != nil {
			return nil, err
		}
	}
	for i, e := range d.Changed {
		if err := s.applyEntry(b, e, d.Objects[i]); err != nil {
			return nil, err
		}
	}
	if err := b.accounts.apply(d); err != nil {
		return nil, err
	}
	next, err := b.finish(d.Version)
	if err != nil {
		return nil, err
	}
	if next.ManifestHash != d.ManifestHash {
		return nil, errors.Wrapf(ErrHash, "manifest of version %d", d.Version)
	}
	return next, nil
}

// applyEntry verifies the object even if s already contains it, so that a corrupt delta is detected
// regardless of the state of the receiver.
func (s *Snapshot) applyEntry(b *builder, e ManifestEntry, object []byte) error {
	existing, ok := s.entry(e.Service)
	if !ok || existing.Hash != e.Hash || HashOf(object) != e.Hash || e.Revision == 0 {
		return b.add(e, object)
	}
	b.reuse(s, e)
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
	if d.Base != 0 && d.Base != s.versionOrZero() {
		return errors.Wrapf(ErrBase, "base %d, current is %d", d.Base, s.versionOrZero())
	}
	if d.Base == 0 && len(d.Removed) > 0 {
		return errors.Wrap(ErrFormat, "complete delta removes services")
	}
	if len(d.Changed) != len(d.Objects) {
		return errors.Wrapf(ErrFormat, "%d changed entries, %d objects", len(d.Changed), len(d.Objects))
	}
	if len(d.Accounts) != len(d.AccountObjects) {
		return errors.Wrapf(ErrFormat, "%d changed account groups, %d objects", len(d.Accounts), len(d.AccountObjects))
	}
	if err := checkAccountEntries(d.Accounts); err != nil {
		return err
	}
	return checkOrder(d.Changed)
}
