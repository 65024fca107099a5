package snapshot

import (
	"slices"
	"strings"

	"github.com/pkg/errors"
)

// assembly collects the entries of a snapshot that is being built.
type assembly struct {
	entries  map[string]ManifestEntry
	services map[string]*Service
	routes   map[string]*routing
	limits   *Limits
}

func newAssembly(size int) *assembly {
	return &assembly{
		entries:  make(map[string]ManifestEntry, size),
		services: make(map[string]*Service, size),
		routes:   make(map[string]*routing, size),
	}
}

// copyOf returns an assembly with the entries of s, which may be nil.
func copyOf(s *Snapshot) *assembly {
	if s == nil {
		return newAssembly(0)
	}
	a := newAssembly(len(s.Manifest.Entries) + 1)
	a.limits = s.Manifest.Limits
	for _, e := range s.Manifest.Entries {
		a.share(s, e)
	}
	return a
}

// share takes over an entry of s with its decoded service.
func (a *assembly) share(s *Snapshot, e ManifestEntry) {
	a.entries[e.Service] = e
	a.services[e.Service] = s.Services[e.Service]
	a.routes[e.Service] = s.routes[e.Service]
}

// add decodes the object of an entry and verifies it.
func (a *assembly) add(e ManifestEntry, object []byte) error {
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
	a.entries[e.Service] = e
	a.services[e.Service] = svc
	a.routes[e.Service] = newRouting(svc)
	return nil
}

// remove fails with ErrMissing if there is no such service.
func (a *assembly) remove(service string) error {
	if _, ok := a.entries[service]; !ok {
		return errors.Wrapf(ErrMissing, "removed service %q", service)
	}
	delete(a.entries, service)
	delete(a.services, service)
	delete(a.routes, service)
	return nil
}

// finish returns the validated snapshot.
func (a *assembly) finish(version Version) (*Snapshot, error) {
	s := &Snapshot{Version: version, Services: a.services, routes: a.routes, hosts: newHostTable(a.services)}
	s.Manifest = Manifest{Version: version, Entries: make([]ManifestEntry, 0, len(a.entries)), Limits: a.limits}
	for _, e := range a.entries {
		s.Manifest.Entries = append(s.Manifest.Entries, e)
	}
	slices.SortFunc(s.Manifest.Entries, func(x, y ManifestEntry) int { return strings.Compare(x.Service, y.Service) })
	_, hash, err := EncodeManifest(&s.Manifest)
	if err != nil {
		return nil, err
	}
	s.ManifestHash = hash
	if err := s.Validate(); err != nil {
		return nil, err
	}
	return s, nil
}

// Build returns the snapshot of a manifest and its objects. It verifies the hash of each object and
// validates the whole. It fails with ErrMissing, ErrHash, ErrFormat or Problems.
func Build(m *Manifest, objects map[Hash][]byte) (*Snapshot, error) {
	if m.Version == 0 {
		return nil, errors.Wrap(ErrFormat, "manifest of version 0")
	}
	if err := checkOrder(m.Entries); err != nil {
		return nil, err
	}
	a := newAssembly(len(m.Entries))
	a.limits = m.Limits
	for _, e := range m.Entries {
		object, ok := objects[e.Hash]
		if !ok {
			return nil, errors.Wrapf(ErrMissing, "object %s of service %q", e.Hash.Short(), e.Service)
		}
		if err := a.add(e, object); err != nil {
			return nil, err
		}
	}
	return a.finish(m.Version)
}

// With returns a snapshot of the given version in which svc replaces the service of its name or is
// added. The receiver, which may be nil, and svc are unchanged; svc is copied. It fails with
// ErrOldVersion or Problems.
func (s *Snapshot) With(version Version, svc *Service, revision uint64) (*Snapshot, error) {
	if err := s.checkNewer(version); err != nil {
		return nil, err
	}
	object, hash, err := Encode(svc)
	if err != nil {
		return nil, err
	}
	a := copyOf(s)
	if err := a.add(ManifestEntry{Service: svc.Name, Revision: revision, Hash: hash}, object); err != nil {
		return nil, err
	}
	return a.finish(version)
}

// Without returns a snapshot of the given version that lacks a service. It fails with ErrMissing if
// there is no such service, with ErrOldVersion, or with Problems if another service refers to it.
func (s *Snapshot) Without(version Version, service string) (*Snapshot, error) {
	if err := s.checkNewer(version); err != nil {
		return nil, err
	}
	a := copyOf(s)
	if err := a.remove(service); err != nil {
		return nil, err
	}
	return a.finish(version)
}

// current returns the version of s, 0 for a nil snapshot.
func (s *Snapshot) current() Version {
	if s == nil {
		return 0
	}
	return s.Version
}

// Assemble returns the snapshot of a configuration that is written as a whole. Revisions count from 1 in
// each version, because such a configuration has none. It fails with Problems or ErrFormat.
func Assemble(version Version, services []*Service, limits *Limits) (*Snapshot, error) {
	a := newAssembly(len(services))
	a.limits = limits
	for _, svc := range services {
		object, hash, err := Encode(svc)
		if err != nil {
			return nil, err
		}
		if _, twice := a.entries[svc.Name]; twice {
			return nil, errors.Wrapf(ErrFormat, "service %q is declared twice", svc.Name)
		}
		if err := a.add(ManifestEntry{Service: svc.Name, Revision: 1, Hash: hash}, object); err != nil {
			return nil, err
		}
	}
	return a.finish(version)
}

func (s *Snapshot) checkNewer(version Version) error {
	if current := s.current(); version <= current {
		return errors.Wrapf(ErrOldVersion, "version %d, current is %d", version, current)
	}
	return nil
}
