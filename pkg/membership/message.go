package membership

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"kingcupwood.example/kingcupwood/pkg/endpoint"
	"kingcupwood.example/kingcupwood/pkg/snapshot"
)

type messageKind uint8

const (
	kindPing     messageKind = iota + 1 // answered with kindAck
	kindAck                             // answer to kindPing, also relayed for an indirect probe
	kindIndirect                        // requests that the receiver ping Target
	kindNack                            // the receiver of kindIndirect is alive, Target did not answer it
	kindPush                            // carries updates only, is not answered
)

// message is the content of a packet.
type message struct {
	_    struct{} `cbor:",toarray"`
	Kind messageKind
	Seq  uint64
	From endpoint.InstanceID
	// Incarnation and Counter are the version of the sender's own record.
	Incarnation uint64
	Counter     uint64
	// Version is the configuration version in force at the sender, Highest the highest version it
	// has seen.
	Version snapshot.Version
	Highest snapshot.Version
	// Target is the intended receiver of a ping, so that an instance on a reused address does not
	// answer for another, or the member to ping for kindIndirect.
	Target endpoint.InstanceID
	// Want requests the receiver's own record.
	Want    bool
	Updates []cbor.RawMessage
}

type updateKind uint8

const (
	updateRecord updateKind = iota + 1
	updateSuspect
	updateDead
	updateUnreachable // the sender marked Domain unreachable
	updateReachable   // the sender marked Domain reachable again
	updateHolder      // Instance holds lease Slot of Domain under the fencing token Incarnation
)

// update is a single disseminated change.
type update struct {
	Kind        updateKind          `cbor:"1,keyasint"`
	Record      *endpoint.Record    `cbor:"2,keyasint,omitempty"`
	Instance    endpoint.InstanceID `cbor:"3,keyasint,omitempty"`
	Incarnation uint64              `cbor:"4,keyasint,omitempty"`
	Domain      string              `cbor:"5,keyasint,omitempty"`
	Slot        int                 `cbor:"6,keyasint,omitempty"`
}

// decMode decodes an update. packetMode decodes a packet without its updates; its limits are those of
// MaxPacketBytes, so that one update does not make the whole packet unreadable.
var (
	decMode    = mustDecMode(cbor.DecOptions{MaxArrayElements: 1024, MaxMapPairs: 64, MaxNestedLevels: 8})
	packetMode = mustDecMode(cbor.DecOptions{MaxArrayElements: MaxPacketBytes, MaxMapPairs: MaxPacketBytes, MaxNestedLevels: MaxPacketBytes})
)

func mustDecMode(options cbor.DecOptions) cbor.DecMode {
	mode, err := options.DecMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}

func mustEncode(v any) []byte {
	data, err := cbor.Marshal(v)
	if err != nil {
		panic(err) // only types without custom encoders are passed
	}
	return data
}

func decodeMessage(data []byte) (*message, error) {
	if len(data) > MaxPacketBytes {
		return nil, errors.Errorf("packet of %d bytes exceeds %d", len(data), MaxPacketBytes)
	}
	var m message
	if err := packetMode.Unmarshal(data, &m); err != nil {
		return nil, errors.Wrap(err, "decode packet")
	}
	if m.Kind < kindPing || m.Kind > kindPush || m.From == "" || len(m.From) > maxFieldBytes {
		return nil, errors.Errorf("packet of kind %d from %q is malformed", m.Kind, m.From)
	}
	return &m, nil
}

func decodeUpdate(data []byte) (update, error) {
	var u update
	if err := decMode.Unmarshal(data, &u); err != nil {
		return u, errors.Wrap(err, "decode update")
	}
	if u.Kind == updateRecord {
		if u.Record == nil {
			return u, errors.New("update without record")
		}
		return u, Validate(*u.Record)
	}
	switch {
	case u.Kind < updateRecord || u.Kind > updateHolder:
		return u, errors.Errorf("update has unknown kind %d", u.Kind)
	case len(u.Domain) > maxFieldBytes || len(u.Instance) > maxFieldBytes:
		return u, errors.New("update has an oversized field")
	case u.Incarnation > maxIncarnation:
		return u, errors.Errorf("update of %q has incarnation %d", u.Instance, u.Incarnation)
	}
	return u, nil
}

// maxIncarnation bounds the incarnations and counters of records. Incarnations begin at the start time
// of a daemon in milliseconds. With the largest integer, a daemon would have no larger one left to
// override a record that it did not write.
const maxIncarnation = 1 << 53

// ValidateEntry returns an error if an entry from another daemon is not usable.
func ValidateEntry(e Entry) error {
	if e.DeadIncarnation > maxIncarnation {
		return errors.Errorf("entry of %q has incarnation %d", e.Record.Instance, e.DeadIncarnation)
	}
	return Validate(e.Record)
}

// Validate returns an error if a record from another daemon is not usable.
func Validate(r endpoint.Record) error {
	if r.Instance == "" || r.Domain == "" || r.Incarnation == 0 {
		return errors.Errorf("record of %q in domain %q lacks an instance, domain or incarnation", r.Instance, r.Domain)
	}
	if r.Incarnation > maxIncarnation || r.Counter > maxIncarnation {
		return errors.Errorf("record of %q has incarnation %d and counter %d", r.Instance, r.Incarnation, r.Counter)
	}
	if r.Slots < 0 || r.Slots > snapshot.MaxSlots || r.LinkBytesPerSecond < 0 {
		return errors.Errorf("record of %q has %d slots and a link of %d B/s", r.Instance, r.Slots, r.LinkBytesPerSecond)
	}
	if r.State < endpoint.Starting || r.State > endpoint.Gone {
		return errors.Errorf("record of %q has unknown state %d", r.Instance, r.State)
	}
	for _, field := range []string{string(r.Instance), r.Domain, r.CallAddr, r.RPCAddr, r.ProbeAddr, r.AdminAddr, r.Service} {
		if len(field) > maxFieldBytes {
			return errors.Errorf("record of %q has a field of %d bytes", r.Instance, len(field))
		}
	}
	if len(r.Version) > endpoint.MaxVersionBytes || len(r.Rollouts) > endpoint.MaxRolloutsBytes {
		return errors.Errorf("record of %q has a version of %d and roll-outs of %d bytes", r.Instance, len(r.Version), len(r.Rollouts))
	}
	if r.ProbeAddr == "" {
		return errors.Errorf("record of %q has no address for probes", r.Instance)
	}
	for _, addr := range []string{r.ProbeAddr, r.CallAddr, r.RPCAddr, r.AdminAddr} {
		if addr == "" {
			continue // a daemon of another kind may not offer it
		}
		if err := endpoint.CheckAddr(addr); err != nil {
			return errors.Wrapf(err, "record of %q", r.Instance)
		}
	}
	return nil
}
