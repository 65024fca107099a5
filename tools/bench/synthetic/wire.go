package synthetic

import (
	"github.com/fxamacker/cbor/v2"

	"kingcupwood.example/kingcupwood/pkg/endpoint"
)

// Kinds of probe packets, as in pkg/membership.
const (
	kindPing = 1
	kindAck  = 2
	kindPush = 5
)

// updateRecord is the kind of an update that carries a record.
const updateRecord = 1

// packet has the layout of a probe packet of pkg/membership, whose type is not exported.
type packet struct {
	_                    struct{} `cbor:",toarray"`
	Kind                 uint8
	Seq                  uint64
	From                 endpoint.InstanceID
	Incarnation, Counter uint64
	Version, Highest     uint64
	Target               endpoint.InstanceID
	Want                 bool
	Updates              []cbor.RawMessage
}

type update struct {
	Kind   uint8           `cbor:"1,keyasint"`
	Record endpoint.Record `cbor:"2,keyasint"`
}

func encodeUpdate(r endpoint.Record) (cbor.RawMessage, error) {
	return cbor.Marshal(update{Kind: updateRecord, Record: r})
}
