package sync

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"kingcupwood.example/kingcupwood/pkg/endpoint"
	"kingcupwood.example/kingcupwood/pkg/snapshot"
)

var errDown = errors.New("fake: down")

// hashOf returns the hash of the fake content of a service or manifest.
func hashOf(name string, n uint64) snapshot.Hash {
	return sha256.Sum256(binary.BigEndian.AppendUint64([]byte(name), n))
}

// manifestOf returns version v of the fake configuration: one service that changes with each
// version and one that never does.
func manifestOf(v snapshot.Version) *snapshot.Manifest {
	return &snapshot.Manifest{Version: v, Entries: []snapshot.ManifestEntry{
		{Service: "fixed", Revision: 1, Hash: hashOf("fixed", 1)},
		{Service: "pages", Revision: uint64(v), Hash: hashOf("pages", uint64(v))},
	}}
}

// fakeCodec verifies that the objects fit the entries and that the result is exactly manifestOf.
type fakeCodec struct {
	refuse map[snapshot.Version]bool
	// complete counts the complete deltas that Delta returned.
	complete atomic.Int32
}

func (c *fakeCodec) Apply(base *snapshot.Snapshot, d *snapshot.Delta) (*snapshot.Snapshot, error) {
	if c.refuse[d.Version] {
		return nil, errors.Errorf("fake: version %d is invalid", d.Version)
	}
	if d.ManifestHash != hashOf("manifest", uint64(d.Version)) {
		return nil, errors.New("fake: manifest hash differs")
	}
	held := map[string]snapshot.ManifestEntry{}
	if base != nil {
		for _, e := range base.Manifest.Entries {
			held[e.Service] = e
		}
	}
	for i, e := range d.Changed {
		if string(d.Objects[i]) != string(e.Hash[:]) {
			return nil, errors.New("fake: object differs")
		}
		held[e.Service] = e
	}
	want := manifestOf(d.Version)
	for _, e := range want.Entries {
		if held[e.Service] != e {
			return nil, errors.Errorf("fake: service %s is missing", e.Service)
		}
	}
	return &snapshot.Snapshot{Version: d.Version, ManifestHash: d.ManifestHash, Manifest: *want}, nil
}

func (c *fakeCodec) Delta(from, to *snapshot.Snapshot) (*snapshot.Delta, error) {
	d := &snapshot.Delta{Version: to.Version, ManifestHash: to.ManifestHash}
	if from != nil {
		d.Base = from.Version
	} else {
		c.complete.Add(1)
	}
	for _, e := range to.Manifest.Entries {
		if from == nil || e.Service == "pages" {
			d.Changed = append(d.Changed, e)
			d.Objects = append(d.Objects, append([]byte(nil), e.Hash[:]...))
		}
	}
	return d, nil
}

func (c *fakeCodec) Object(s *snapshot.Snapshot, service string) []byte {
	for _, e := range s.Manifest.Entries {
		if e.Service == service {
			return e.Hash[:]
		}
	}
	return nil
}

// fakePlatform fakes the table and the object store.
type fakePlatform struct {
	mu   sync.Mutex
	head snapshot.Version
	down bool
	cut  map[endpoint.InstanceID]bool
	// silent holds the daemons that get no answer; their calls end with their timeout.
	silent map[endpoint.InstanceID]bool
	leases map[string]fakeLease
	reads  int
	heads  int
	// contents counts the reads of manifests and objects.
	contents int
	broken   map[snapshot.Hash]bool
}

type fakeLease struct {
	holder  string
	token   uint64
	expires time.Time
}

func (p *fakePlatform) do(f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f()
}

// platformOf is fakePlatform as one daemon reaches it.
type platformOf struct {
	*fakePlatform
	id endpoint.InstanceID
	// wait blocks while the daemon is frozen.
	wait func()
}

// enter locks the platform, or returns an error if it does not answer this daemon.
func (p platformOf) enter() error {
	p.wait()
	time.Sleep(2 * time.Millisecond)
	p.wait()
	p.mu.Lock()
	p.reads++
	if p.silent[p.id] {
		p.mu.Unlock()
		time.Sleep(platformTimeout)
		return errDown
	}
	if p.down || p.cut[p.id] {
		p.mu.Unlock()
		return errDown
	}
	return nil
}

func (p platformOf) Head(context.Context) (Head, error) {
	if err := p.enter(); err != nil {
		return Head{}, err
	}
	defer p.mu.Unlock()
	p.heads++
	return Head{Version: p.head, Manifest: hashOf("manifest", uint64(p.head))}, nil
}

func (p platformOf) Manifest(_ context.Context, h snapshot.Hash) (*snapshot.Manifest, error) {
	if err := p.enter(); err != nil {
		return nil, err
	}
	defer p.mu.Unlock()
	p.contents++
	for v := p.head; v > 0; v-- {
		if hashOf("manifest", uint64(v)) == h {
			return manifestOf(v), nil
		}
	}
	return nil, errors.New("fake: no such manifest")
}

func (p platformOf) Object(_ context.Context, h snapshot.Hash) ([]byte, error) {
	if err := p.enter(); err != nil {
		return nil, err
	}
	defer p.mu.Unlock()
	p.contents++
	if p.broken[h] {
		return []byte("broken"), nil
	}
	return h[:], nil
}

func (p platformOf) AcquireLease(_ context.Context, name, holder string, ttl time.Duration) (Lease, error) {
	if err := p.enter(); err != nil {
		return Lease{}, err
	}
	defer p.mu.Unlock()
	l := p.leases[name]
	if l.holder != holder && time.Now().Before(l.expires) {
		return Lease{}, errors.New("fake: lease is held")
	}
	l = fakeLease{holder: holder, token: l.token + 1, expires: time.Now().Add(ttl)}
	p.leases[name] = l
	return Lease{Name: name, Holder: holder, Token: l.token}, nil
}

// LeaseHolders implements SeedSource.
func (p platformOf) LeaseHolders(context.Context) (holders []string, err error) {
	if err := p.enter(); err != nil {
		return nil, err
	}
	defer p.mu.Unlock()
	for _, l := range p.leases {
		holders = append(holders, l.holder)
	}
	return holders, nil
}

func (p platformOf) RenewLease(_ context.Context, l Lease, ttl time.Duration) (Lease, error) {
	if err := p.enter(); err != nil {
		return Lease{}, err
	}
	defer p.mu.Unlock()
	held := p.leases[l.Name]
	if held.token != l.Token || !time.Now().Before(held.expires) {
		return Lease{}, errors.New("fake: lease is lost")
	}
	held.expires = time.Now().Add(ttl)
	p.leases[l.Name] = held
	return l, nil
}
