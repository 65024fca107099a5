// Package endpoint defines the records with which instances announce their backend servers, and the
// rule that decides between two records of one instance.
package endpoint

import (
	"fmt"
	"net/netip"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// CheckAddr returns an error unless addr has the form "ip:port" and names a single host and port to
// which a connection can be opened.
func CheckAddr(addr string) error {
	a, err := netip.ParseAddrPort(addr)
	if err != nil {
		return errors.Errorf("address %q is not ip:port", addr)
	}
	if a.Port() == 0 || a.Addr().IsUnspecified() || a.Addr().IsMulticast() {
		return errors.Errorf("address %q names no host and port", addr)
	}
	return nil
}

// State is the state of a backend server.
type State uint8

// The states. Only a Ready endpoint gets new work.
const (
	Starting State = iota + 1
	Ready
	Draining
	Gone
)

var stateNames = [...]string{Starting: "starting", Ready: "ready", Draining: "draining", Gone: "gone"}

// String returns the name of s.
func (s State) String() string {
	if int(s) < len(stateNames) && stateNames[s] != "" {
		return stateNames[s]
	}
	return "unknown"
}

// ParseState returns the state with the given name and reports whether it exists.
func ParseState(name string) (State, bool) {
	for s, n := range stateNames {
		if n != "" && n == name {
			return State(s), true
		}
	}
	return 0, false
}

// InstanceID identifies an instance. It is unique and set in the settings of its daemon.
type InstanceID string

// Record describes an instance. Only the daemon of that instance changes it; the other daemons
// replicate it.
type Record struct {
	Instance InstanceID `cbor:"1,keyasint"`
	// Incarnation increases with each start of the daemon (start time in milliseconds) and when the
	// daemon refutes a suspicion. Counter increases with each change within an incarnation.
	Incarnation uint64 `cbor:"2,keyasint"`
	Counter     uint64 `cbor:"3,keyasint"`
	Domain      string `cbor:"4,keyasint"`
	// CallAddr accepts call frames, RPCAddr net/rpc (fence, sync), ProbeAddr UDP probes and AdminAddr
	// the administration API. All have the form "ip:port".
	CallAddr  string `cbor:"5,keyasint"`
	RPCAddr   string `cbor:"6,keyasint"`
	ProbeAddr string `cbor:"7,keyasint"`
	AdminAddr string `cbor:"8,keyasint"`
	// Service is the service of the backend server; it is empty until a backend server announces
	// itself.
	Service string `cbor:"9,keyasint,omitempty"`
	State   State  `cbor:"10,keyasint"`
	// Slots is the number of requests that the backend server runs concurrently.
	Slots int `cbor:"11,keyasint,omitempty"`
	// ReadySinceMS is the Unix time in milliseconds of the change to Ready; slow start begins at it.
	ReadySinceMS int64 `cbor:"12,keyasint,omitempty"`
	// SourceAway means that the daemon cannot reach the configuration source.
	SourceAway bool `cbor:"13,keyasint,omitempty"`
	// ServerLeft means that the state is Draining because the backend server has left, and not because
	// the daemon stops. Only daemons of earlier releases read it.
	ServerLeft bool `cbor:"19,keyasint,omitempty"`
	// LeftServer and LeftStartMS are the DepartureMark of the last backend server that left during this run of
	// the daemon, zero if none did.
	LeftServer  uint64 `cbor:"20,keyasint,omitempty"`
	LeftStartMS int64  `cbor:"21,keyasint,omitempty"`
	// LinkBytesPerSecond is the rate of the network link of the instance, zero if unknown. With a
	// rate, the daemon schedules the large bodies that other daemons send to it.
	LinkBytesPerSecond int64 `cbor:"14,keyasint,omitempty"`
	// Version is the key of the version of the backend server (VersionKey), empty if unknown.
	Version string `cbor:"15,keyasint,omitempty"`
	// Rollouts holds the roll-outs that this daemon coordinates, in the form of rollout.Encode.
	Rollouts string `cbor:"16,keyasint,omitempty"`
	// RolloutBad is the number of the order whose target version has responded badly too often at
	// this instance, zero if there is none.
	RolloutBad uint64 `cbor:"17,keyasint,omitempty"`
	// StoreEra is the number of restores of the platform's store from older copies. Only readers of the
	// configuration source state it.
	StoreEra uint64 `cbor:"18,keyasint,omitempty"`
}

// Left returns the DepartureMark in r.
func (r Record) Left() DepartureMark { return DepartureMark{r.LeftServer, r.LeftStartMS} }

// MaxVersionBytes bounds Record.Version, and MaxRolloutsBytes bounds Record.Rollouts, so that every
// record fits in a packet.
const (
	MaxVersionBytes  = 32
	MaxRolloutsBytes = 320
)

// VersionKey returns version if it is short enough for a record, and otherwise its beginning and its
// hash.
func VersionKey(version string) string {
	if len(version) <= MaxVersionBytes {
		return version
	}
	const hashBytes = 16
	start := strings.ToValidUTF8(version[:MaxVersionBytes-hashBytes-1], "")
	return fmt.Sprintf("%s#%016x", start, xxhash.Sum64String(version))
}

// Newer reports whether r replaces other: a later incarnation, or a later change in the same one.
func (r Record) Newer(other Record) bool {
	if r.Incarnation != other.Incarnation {
		return r.Incarnation > other.Incarnation
	}
	return r.Counter > other.Counter
}

// View is an immutable snapshot of all endpoints known to one daemon. Readers share it, so its
// contents must not be changed after publication.
type View struct {
	// Records holds every live record by instance.
	Records map[InstanceID]Record
	// ByService lists the records of a service in order of instance.
	ByService map[string][]Record
	// Unreachable holds the failure domains that are currently unreachable.
	Unreachable map[string]bool
	// Own lists the members of the failure domain of this daemon. Successive views share the same
	// pointer until a member joins or dies, so that readers can cache data derived from it.
	Own *Members
}

// Members is an immutable list of live instances.
type Members struct {
	// Instances is in order of instance.
	Instances []InstanceID
}

// ReadyCount returns the number of ready records of service in reachable domains.
func (v *View) ReadyCount(service string) int {
	n := 0
	for _, r := range v.ByService[service] {
		if r.State == Ready && !v.Unreachable[r.Domain] {
			n++
		}
	}
	return n
}
