package sync

import (
	"testing"

	"github.com/matryer/is"

	"kingcupwood.example/kingcupwood/pkg/snapshot"
)

// accepted offers version v to d as an operator does.
func accepted(d *daemon, v snapshot.Version, objects map[snapshot.Hash][]byte) error {
	return d.ApplyAccepted(manifestOf(v), hashOf("manifest", uint64(v)), objects)
}

// objectsOf holds the objects of version v.
func objectsOf(v snapshot.Version) map[snapshot.Hash][]byte {
	objects := map[snapshot.Hash][]byte{}
	for _, e := range manifestOf(v).Entries {
		objects[e.Hash] = e.Hash[:]
	}
	return objects
}

// Guards against an accepted version that does not spread from the daemon that accepted it while the
// platform is out, that is taken without verification, or that replaces a higher one.
func TestAcceptedSpreadsDuringOutage(t *testing.T) {
	run(t, 12, 3, func(is *is.I, c *cluster) {
		c.setDown(true)
		d := c.daemons[5]
		is.True(accepted(d, 4, nil) != nil) // without its object
		is.Equal(d.store.Version(), snapshot.Version(3))
		is.Equal(len(d.Refusals()), 1)
		is.NoErr(accepted(d, 4, objectsOf(4)))
		is.Equal(d.store.Version(), snapshot.Version(4))
		c.until("outage", changeLimit, c.daemons, at(4))
		is.NoErr(accepted(d, 3, objectsOf(3)))
		is.Equal(d.store.Version(), snapshot.Version(4))
		c.platform.set(func() { c.platform.head = 4 })
		c.setDown(false)
	})
}
