package sync

import (
	"time"

	"github.com/pkg/errors"

	"kingcupwood.example/kingcupwood/pkg/distribution"
	"kingcupwood.example/kingcupwood/pkg/membership"
	"kingcupwood.example/kingcupwood/pkg/snapshot"
)

// originOperator is the origin of a version that was accepted through this daemon.
const originOperator = "operator"

// ApplyAccepted puts a version in force that was accepted through this daemon, so that it spreads
// through the tree and the probes without another read from the platform. hash is the hash of the
// manifest; objects holds the object of each service. The version is verified like any other one
// and ignored if it is not above the one in force. The error is the reason for a refusal.
func (f *Follower) ApplyAccepted(m *snapshot.Manifest, hash snapshot.Hash, objects map[snapshot.Hash][]byte) error {
	position := f.position()
	f.cfg.Members.Do(func(_ time.Time, s *membership.State) {
		s.RaiseHighest(m.Version)
		// The ancestors in the tree get the version even if no root can deliver it.
		s.AnnounceTo(m.Version, position.Parents[:position.Ancestors])
	})
	for {
		d := distribution.FromManifest(f.cfg.Store.Load(), m, hash)
		for _, e := range d.Changed {
			d.Objects = append(d.Objects, objects[e.Hash])
		}
		for _, e := range d.Accounts {
			d.AccountObjects = append(d.AccountObjects, objects[e.Hash])
		}
		// Another version may have come into force since the delta was made.
		if err := f.apply(d, originOperator); !errors.Is(err, ErrBaseMismatch) {
			return err
		}
	}
}
