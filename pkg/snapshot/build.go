package snapshot

import (
	"slices"
	"strings"

	"github.com/pkg/errors"
)

// builder collects the entries of a snapshot that is being built.
type builder struct {
	entries    map[string]ManifestEntry
	services   map[string]*Service
	kindTables map[string]*kindTable
	limits     *Limits
	accounts   accountBuilder
}

func newBuilder(size int) *builder {
	return &builder{
		entries:    make(map[string]ManifestEntry, size),
		services:   make(map[string]*Service, size),
		kindTables: make(map[string]*kindTable, size),
		accounts:   accountBuilderFrom(nil),
	}
}

// builderFrom returns a builder that starts with the entries of s, which may be nil.
func builderFrom(s *Snapshot) *builder {
	if s == nil {
		return newBuilder(0)
	}
	b := newBuilder(len(s.Manifest.Entries) + 1)
	b.limits = s.Manifest.Limits
	b.accounts = accountBuilderFrom(s)
	for _, e := range s.Manifest.Entries {
		b.reuse(s, e)
	}
	return b
}

// reuse adds an entry of s together with its decoded service and kind table.
func (b *builder) reuse(s *Snapshot, e ManifestEntry) {
	b.entries[e.Service] = e
	b.services[e.Service] = s.Services[e.Service]
	b.kindTables[e.Service] = s.kindTables[e.Service]
}

// add verifies and decodes the object of an entry and adds both.
func (b *builder) add(e ManifestEntry, object []byte) error {
	if e.Revision == 0 {
		return errors.Wrapf(ErrFormat, "service %q: revision 0", e.Service)
	}
	svc, err := Decode(object, e.Hash)
	if err != nil {
		return errors.WithMessagef(err, "service %q", e.Service)
	}
	if svc.Name != e.Service {
		return errors.Wrapf(ErrFormat, "service %q: the object describes %q", e.Service, svc.Name)
	}
	b.entries[e.Service] = e
	b.services[e.Service] = svc
	b.kindTables[e.Service] = newKindTable(svc)
	return nil
}

// remove deletes a service. It fails with ErrMissing if the service does not exist.
func (b *builder) remove(service string) error {
	if _, ok := b.entries[service]; !ok {
		return errors.Wrapf(ErrMissing, "removed service %q", service)
	}
	delete(b.entries, service)
	delete(b.services, service)
	delete(b.kindTables, service)
	return nil
}

// finish builds the snapshot and validates it.
func (b *builder) finish(version Version) (*Snapshot, error) {
	s := &Snapshot{Version: version, Services: b.services, kindTables: b.kindTables, routesByHost: newRouteTable(b.services)}
	s.Manifest = Manifest{Version: version, Entries: make([]ManifestEntry, 0, len(b.entries)), Limits: b.limits, Accounts: b.accounts.manifestEntries()}
	for _, e := range b.entries {
		s.Manifest.Entries = append(s.Manifest.Entries, e)
	}
	slices.SortFunc(s.Manifest.Entries, func(x, y ManifestEntry) int { return strings.Compare(x.Service, y.Service) })
	_, hash, err := EncodeManifest(&s.Manifest)
	if err != nil {
		return nil, err
	}
	s.ManifestHash = hash
	accounts, problems := b.accounts.finish()
	if problems = append(Check(s.Services), problems...); len(problems) > 0 {
		return nil, problems
	}
	s.accounts = accounts
	return s, nil
}

// Build returns the snapshot of a manifest and its objects. It verifies the hash of each object and
// validates the complete configuration. It fails with ErrMissing, ErrHash, ErrFormat or Problems.
func Build(m *Manifest, objects map[Hash][]byte) (*Snapshot, error) {
	if m.Version == 0 {
		return nil, errors.Wrap(ErrFormat, "manifest of version 0")
	}
	if err := m.checkOrder(); err != nil {
		return nil, err
	}
	b := newBuilder(len(m.Entries))
	b.limits = m.Limits
	for _, e := range m.Entries {
		object, ok := objects[e.Hash]
		if !ok {
			return nil, errors.Wrapf(ErrMissing, "object %s of service %q", e.Hash.Short(), e.Service)
		}
		if err := b.add(e, object); err != nil {
			return nil, err
		}
	}
	for _, e := range m.Accounts {
		object, ok := objects[e.Hash]
		if !ok {
			return nil, errors.Wrapf(ErrMissing, "object %s of account group %d", e.Hash.Short(), e.Group)
		}
		if err := b.accounts.add(e, object); err != nil {
			return nil, err
		}
	}
	return b.finish(m.Version)
}

// With returns a snapshot of the given version in which svc is added or replaces the service with
// the same name. It copies svc and does not modify the receiver, which may be nil. It fails with
// ErrOldVersion, ErrFormat or Problems.
func (s *Snapshot) With(version Version, svc *Service, revision uint64) (*Snapshot, error) {
	if err := s.checkNewer(version); err != nil {
		return nil, err
	}
	object, hash, err := Encode(svc)
	if err != nil {
		return nil, err
	}
	b := builderFrom(s)
	if err := b.add(ManifestEntry{Service: svc.Name, Revision: revision, Hash: hash}, object); err != nil {
		return nil, err
	}
	return b.finish(version)
}

// Without returns a snapshot of the given version without the named service. It fails with
// ErrMissing if the service does not exist, with ErrOldVersion, or with Problems if another service
// refers to it.
func (s *Snapshot) Without(version Version, service string) (*Snapshot, error) {
	if err := s.checkNewer(version); err != nil {
		return nil, err
	}
	b := builderFrom(s)
	if err := b.remove(service); err != nil {
		return nil, err
	}
	return b.finish(version)
}

// versionOrZero returns the version of s, or 0 if s is nil.
func (s *Snapshot) versionOrZero() Version {
	if s == nil {
		return 0
	}
	return s.Version
}

// Assemble returns the snapshot of a configuration that is written as a whole, not generated from
// answers. Such a configuration has no revisions, so every service gets revision 1. It fails with
// Problems or ErrFormat.
func Assemble(version Version, services []*Service, limits *Limits, accounts ...*Account) (*Snapshot, error) {
	b := newBuilder(len(services))
	b.limits = limits
	for _, svc := range services {
		object, hash, err := Encode(svc)
		if err != nil {
			return nil, err
		}
		if _, duplicate := b.entries[svc.Name]; duplicate {
			return nil, errors.Wrapf(ErrFormat, "service %q is declared twice", svc.Name)
		}
		if err := b.add(ManifestEntry{Service: svc.Name, Revision: 1, Hash: hash}, object); err != nil {
			return nil, err
		}
	}
	if err := b.addAccounts(accounts); err != nil {
		return nil, err
	}
	return b.finish(version)
}

// addAccounts encodes accounts and adds their groups.
func (b *builder) addAccounts(accounts []*Account) error {
	groups, err := splitAccounts(accounts)
	if err != nil {
		return err
	}
	for g, group := range groups {
		if len(group) == 0 {
			continue
		}
		object, hash, err := encodeGroup(group)
		if err != nil {
			return errors.WithMessagef(err, "account group %d", g)
		}
		if err := b.accounts.add(AccountEntry{Group: g, Hash: hash}, object); err != nil {
			return err
		}
	}
	return nil
}

func (s *Snapshot) checkNewer(version Version) error {
	if current := s.versionOrZero(); version <= current {
		return errors.Wrapf(ErrOldVersion, "version %d, current is %d", version, current)
	}
	return nil
}
