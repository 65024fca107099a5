// Package endpoint holds the records by which instances announce their backend servers, and the
// rule that merges two records of one instance.
package endpoint

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

// ParseState returns the state with the given name and whether there is one.
func ParseState(name string) (State, bool) {
	for s, n := range stateNames {
		if n != "" && n == name {
			return State(s), true
		}
	}
	return 0, false
}

// InstanceID names an instance; it comes from the settings of its daemon and is unique.
type InstanceID string

// Record describes an instance. Only the daemon of that instance writes it; all others copy it.
type Record struct {
	Instance InstanceID `cbor:"1,keyasint"`
	// Incarnation grows with each start of the daemon (start time in milliseconds) and when it
	// refutes a suspicion. Counter grows with each change within an incarnation.
	Incarnation uint64 `cbor:"2,keyasint"`
	Counter     uint64 `cbor:"3,keyasint"`
	Domain      string `cbor:"4,keyasint"`
	// CallAddr takes call frames, RPCAddr net/rpc (fence, sync), ProbeAddr UDP probes and AdminAddr
	// the administration API. All are "ip:port".
	CallAddr  string `cbor:"5,keyasint"`
	RPCAddr   string `cbor:"6,keyasint"`
	ProbeAddr string `cbor:"7,keyasint"`
	AdminAddr string `cbor:"8,keyasint"`
	// Service is the service of the backend server, empty while none has announced itself.
	Service string `cbor:"9,keyasint,omitempty"`
	State   State  `cbor:"10,keyasint"`
	// Slots is the number of requests that the backend server runs at once.
	Slots int `cbor:"11,keyasint,omitempty"`
	// ReadySinceMS is the Unix time in milliseconds of the change to Ready; it drives slow start.
	ReadySinceMS int64 `cbor:"12,keyasint,omitempty"`
	// SourceAway tells that the daemon does not reach the source of the configuration.
	SourceAway bool `cbor:"13,keyasint,omitempty"`
}

// Newer reports whether r replaces other: a later incarnation, or a later change in the same one.
func (r Record) Newer(other Record) bool {
	if r.Incarnation != other.Incarnation {
		return r.Incarnation > other.Incarnation
	}
	return r.Counter > other.Counter
}

// View is an immutable picture of all endpoints as one daemon sees them. Readers share it, so its
// contents are never changed after publication.
type View struct {
	// Records holds every live record by instance.
	Records map[InstanceID]Record
	// ByService lists the records of a service in order of instance.
	ByService map[string][]Record
	// Unreachable holds the failure domains that cannot be reached at present.
	Unreachable map[string]bool
	// Own lists the members of the failure domain of this daemon. Views share it until one of them
	// joins or dies, so that a reader can keep what it derived from it.
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
