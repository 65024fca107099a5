package sync

import (
	"context"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"kingcupwood.example/kingcupwood/pkg/endpoint"
)

// seedFailureThreshold is the number of failed joins after which the lease rows are read for seeds,
// so that a mass restart with live seeds causes no reads of the platform.
const seedFailureThreshold = 3

// maxHolderNameBytes bounds the name of a daemon; the parts of a record have at most 64 bytes each.
const maxHolderNameBytes = 2*64 + 1

// SeedSource is implemented by a Platform that can list the holders of all leases.
type SeedSource interface {
	// LeaseHolders returns the holders of the leases that have not expired, as given to
	// AcquireLease.
	LeaseHolders(ctx context.Context) ([]string, error)
}

// HolderName returns the name under which a daemon holds a lease: its instance and its net/rpc
// address, so that other daemons can join through the lease holders.
func HolderName(r endpoint.Record) string { return string(r.Instance) + " " + r.RPCAddr }

// ParseHolderName returns the instance and the net/rpc address in a HolderName.
func ParseHolderName(name string) (endpoint.InstanceID, string, error) {
	instance, addr, ok := strings.Cut(name, " ")
	if !ok || instance == "" || len(name) > maxHolderNameBytes {
		return "", "", errors.Errorf("%.80q is not an instance and an address", name)
	}
	if err := endpoint.CheckAddr(addr); err != nil {
		return "", "", errors.Wrapf(err, "instance %q", instance)
	}
	return endpoint.InstanceID(instance), addr, nil
}

// otherSeeds returns the seeds of the settings without this daemon.
func (f *Follower) otherSeeds() []string {
	return slices.DeleteFunc(slices.Clone(f.cfg.Seeds), func(addr string) bool { return addr == f.cfg.Self.RPCAddr })
}

// leaseSeeds returns the addresses of the lease holders, none if the leases cannot be read.
func (f *Follower) leaseSeeds(ctx context.Context) []string {
	source, ok := f.cfg.Platform.(SeedSource)
	if !ok {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	holders, err := source.LeaseHolders(ctx)
	if err != nil {
		return nil
	}
	var addrs []string
	for _, name := range holders {
		if id, addr, err := ParseHolderName(name); err == nil && id != f.cfg.Self.Instance {
			addrs = append(addrs, addr)
		}
	}
	slices.Sort(addrs)
	return addrs
}
